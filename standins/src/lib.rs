//! Stand-ins for the platform and the endpoints: small, for tests and a first try, never shipped.

pub mod caller;
pub mod load;
pub mod local;
pub mod proxy;
pub mod runner;
pub mod table_service;
pub mod worker;
