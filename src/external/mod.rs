//! The traits through which the platform is reached, and their adapters.

pub mod http_table;
pub mod http_worker;
pub mod memory_table;
pub mod paced_table;
pub mod table;
pub mod worker;
pub mod write_budget;
