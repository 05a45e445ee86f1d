//! What lives as long as a process: settings, logging, metrics, the programs' parts.

pub mod ini_reader;
