//! Versioned configuration: service documents and their catalog, the queues of jobs, and evacuations.

pub mod catalog;
pub mod document;
pub mod evacuation;
pub mod queue_table;
