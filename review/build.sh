#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the crates that the build of the deploy file
# has fetched, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline \
  --manifest-path review/standins/Cargo.toml
