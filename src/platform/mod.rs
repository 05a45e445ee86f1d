//! Translates between the users' platform and the product's own types.
//!
//! Only this folder knows the platform's paths and field names. It decides nothing and keeps nothing.

pub mod advice_client;
pub mod caller_gate;
pub mod configuration;
pub mod evacuations;
pub mod http_client;
pub mod instance_name;
pub mod runner_client;
pub mod runner_registry;
mod runner_wire;
pub mod store_client;
