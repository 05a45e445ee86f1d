//! The planner and the agents' paces in virtual time, on workers where tasks that fill share what serves leave.
//!
//! The decisions are the product's own modules; workers, loads and callers are played. Only what decisions see is
//! there: no network, no store that fails, no processes.

pub mod goodput;
pub mod offered_job;
pub mod serving_load;
pub mod shared_fleet;
pub mod shared_worker;
