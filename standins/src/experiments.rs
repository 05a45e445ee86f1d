//! The experiments of `gga-experiment`. Each prints its figures; none gives a verdict.

pub mod batch;
pub mod requests;
pub mod saturation;

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::deployment::Deployment;
use crate::deployment::SERVICE;
use crate::load::LoadPlan;

/// Deadline of requests that are not meant to run into it.
const LONG_DEADLINE: Duration = Duration::from_secs(10);
/// For how long each load is sent.
const LOAD_LENGTH: Duration = Duration::from_secs(8);
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("constant bounds")
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

fn load_plan(deployment: &Deployment, rate: f64) -> LoadPlan {
    LoadPlan {
        entries: deployment.callers(),
        service: SERVICE.to_string(),
        rate,
        length: LOAD_LENGTH,
        deadline: LONG_DEADLINE,
        own_ids: false,
    }
}
