//! What lives as long as a connection between two processes: membership, leases, announcements.

pub mod announcement;
pub mod answer_timer;
pub mod cluster_map;
pub mod cluster_view;
pub mod counted_stream;
pub mod grant_arbiter;
pub mod lease;
pub mod map_change;
pub mod node_protocol;
pub mod planner_protocol;
pub mod protocol;
pub mod retry_pace;
pub mod rpc_client;
pub mod store_health;
pub mod worker_row;
