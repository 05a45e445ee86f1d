//! State and messages shared between processes: cluster membership, leases, announcements of
//! endpoints, and the RPC protocols with their clients.

pub mod announcement;
pub mod cluster_map;
pub mod cluster_view;
pub mod counted_stream;
pub mod feed_cache;
pub mod grant_arbiter;
pub mod host_roster;
pub mod http_connection;
pub mod instance_connection;
pub mod lease;
pub mod map_change;
pub mod node_protocol;
pub mod planner_protocol;
pub mod protocol;
pub mod response_timer;
pub mod retry_pace;
pub mod rpc_client;
pub mod store_health;
pub mod worker_row;
