//! Versioned configuration: service documents and their catalog, and the queues of jobs.

pub mod catalog;
pub mod document;
pub mod queue_table;
