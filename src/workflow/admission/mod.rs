//! Admission control of jobs: whether a submission is accepted, or refused with a time at which to
//! return.
//!
//! The planner computes a [`backlog_forecast::BacklogForecast`] with each heartbeat. Hosts decide
//! from the published forecast, bounded by an [`admission_ledger::AdmissionLedger`], and ask the
//! planner before they refuse. All estimates err on the side of acceptance.

pub mod admission_control;
pub mod admission_ledger;
pub mod admission_policy;
pub mod backlog_forecast;
pub mod job_demand;
pub(crate) mod planner_admission;
pub mod return_queue;
pub mod work_rate;
pub mod work_ratio;
