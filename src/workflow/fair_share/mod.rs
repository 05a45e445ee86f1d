//! Fair sharing of a service's resources among queues, and the bound on how long a job waits.
//!
//! The modules decide and hold no connection to the rest of the planner: usage, demand and
//! capacity are arguments, as is the current time.

pub mod dominant_share;
pub mod reclaim_choice;
pub mod reclaim_policy;
pub mod share_ledger;
pub(crate) mod share_order;
pub mod share_settings;
pub mod wait_bound;
