//! Multi-step jobs (workflows): the data model and the scheduling decisions of the planner and of
//! the node agents.
//!
//! The modules do no I/O and read no clock; the current time is always an argument.

pub mod admission;
pub mod advice_cache;
pub mod assigned_run;
mod changed_jobs;
pub mod evacuation_summary;
pub mod fair_share;
pub mod grant;
pub mod job_forecast;
pub mod job_knowledge;
mod job_precedence;
pub mod learned_interference;
pub mod pacing;
pub mod pair_interference;
pub mod placement;
pub mod plan_decision;
pub mod planner;
pub mod planner_batch;
pub mod planner_consolidation;
mod planner_crashes;
mod planner_doubts;
mod planner_ends;
mod planner_evacuation;
pub mod planner_jobs;
pub mod planner_load;
pub mod planner_moves;
pub mod planner_orders;
pub mod planner_preemption;
mod planner_reclaim;
pub mod planner_reports;
pub mod planner_rounds;
pub mod planner_shares;
mod planner_speed;
mod planner_stragglers;
mod planner_traits;
pub mod progress;
pub mod remaining_work;
pub mod report_interval;
pub mod reservation;
mod run_ends;
mod run_pace;
pub mod search_budget;
pub mod serving_layout;
pub mod spec;
pub mod start_doubts;
pub mod target_violations;
pub mod task_name;
pub mod task_progress;
pub mod task_suspicion;
mod unplaceable_requests;
mod urgency;
pub mod worker_entry;
pub mod worker_inventory;
pub mod worker_speed;
