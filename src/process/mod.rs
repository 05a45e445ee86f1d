//! What lives as long as a process: settings, logging, metrics, the programs' parts.

pub mod accept;
pub mod admission_metrics;
pub mod agent;
pub mod burn_cause;
pub mod burn_ledger;
pub mod clock;
pub mod entry;
pub mod gate;
pub mod http_server;
pub mod inbound;
pub mod ini_reader;
pub mod interference;
pub mod line_queue;
pub mod logging;
pub mod machine_limits;
pub mod metrics;
pub mod node;
pub mod planning;
pub mod program;
pub mod reaction;
pub mod rpc_server;
pub mod service_observer;
pub mod settings;
pub mod size_learner;
pub mod stop_signal;
pub mod suspicion;
