//! The outside systems: the traits that the product owns, and clients of its own stand-ins.

pub mod advice_service;
pub mod http_table;
pub mod http_worker;
pub mod memory_table;
pub mod observed_store;
pub mod paced_table;
pub mod row_store;
pub mod runner_control;
pub mod table;
pub mod worker;
pub mod write_budget;
