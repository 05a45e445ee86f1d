//! What lives as long as a version of the configuration: documents and the generation in force.

pub mod catalog;
pub mod document;
pub mod queue_table;
