#!/bin/sh
# Plays the case on real processes. TROUBLE=0 leaves the cuts out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/lab stale-cancel review/9
