//! Stand-ins for the platform and the endpoints: small, for tests and a first try, never shipped.

pub mod caller;
pub mod crowd;
pub mod deployment;
pub mod experiments;
pub mod laboratory;
pub mod load;
pub mod local;
pub mod local_platform;
pub mod partition_queues;
pub mod platform_advice;
pub mod platform_cluster;
pub mod platform_journal;
pub mod platform_runner;
pub mod platform_store;
pub mod processes;
pub mod proxy;
pub mod runner;
pub mod soak;
pub mod table_service;
pub mod traffic;
pub mod worker;
