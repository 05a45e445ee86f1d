//! Requests and batch tasks: routing, queueing, concurrency limits, retries, idempotency, task
//! scheduling.

pub mod concurrency_limit;
pub mod deadline_queue;
pub mod ejection;
pub mod expiring_id_map;
pub mod job;
pub mod outcome;
pub mod placement_policy;
pub mod pool_endpoint;
pub mod request_id;
pub mod request_journal;
pub mod request_ledger;
pub mod retry_budget;
pub mod routing;
pub mod service_pool;
pub mod task_plan;
