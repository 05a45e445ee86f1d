//! What lives as long as a process: settings, logging, metrics, the programs' parts.

pub mod agent;
pub mod clock;
pub mod entry;
pub mod http_server;
pub mod ini_reader;
pub mod logging;
pub mod metrics;
pub mod program;
pub mod rpc_server;
pub mod settings;
pub mod stop_signal;
