//! Connections that peers open to a process: what they may hold, and which of them is closed when
//! memory or descriptors run short.

pub mod bounded_list;
pub mod connection_guard;
pub mod connection_ledger;
pub mod error_text;
pub mod guarded_body;
pub mod guarded_stream;
pub mod http_limits;
