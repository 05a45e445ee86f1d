//! Jobs of several steps: the model, the decisions of the planner and of the node agents.
//!
//! Nothing here does input or output or reads a clock; times are arguments.

pub mod advice_book;
pub mod assigned_run;
mod changed_jobs;
pub mod disturbance;
pub mod grant;
mod hopeless_needs;
pub mod job_forecast;
pub mod job_outlook;
pub mod learned_effects;
pub mod over_target;
pub mod pacing;
pub mod placement;
pub mod plan_decision;
pub mod planner;
pub mod planner_batch;
pub mod planner_consolidation;
mod planner_crashes;
pub mod planner_jobs;
pub mod planner_load;
pub mod planner_moves;
pub mod planner_preemption;
pub mod planner_reports;
pub mod planner_rounds;
pub mod progress;
pub mod room_hold;
mod run_pace;
pub mod serving_layout;
pub mod spec;
pub mod task_name;
pub mod task_progress;
pub mod task_suspicion;
mod urgency;
pub mod worker_entry;
pub mod worker_inventory;
