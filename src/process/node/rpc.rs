//! RPC server of a node agent for the planner.

use std::sync::Arc;

use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::time::timeout;

use crate::connection::node_protocol::LinkStamp;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::NodeRpc;
use crate::connection::node_protocol::OrderCall;
use crate::connection::node_protocol::StaleLink;
use crate::connection::node_protocol::SyncCall;
use crate::connection::rpc_client::framed;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::node::order_sender::accept_orders;
use crate::process::node::shared::NodeShared;
use crate::process::rpc_server::spawn_rpc_server;

#[derive(Clone)]
struct NodeServer {
    shared: Arc<NodeShared>,
}

/// Serves the planner's calls on a listener.
pub fn spawn_node_rpc(listener: TcpListener, shared: Arc<NodeShared>) {
    let server = NodeServer { shared };
    spawn_rpc_server(listener, move |stream| {
        BaseChannel::with_defaults(framed(stream)).execute(server.clone().serve())
    });
}

impl NodeServer {
    fn admit(&self, stamp: LinkStamp) -> Result<(), StaleLink> {
        let admitted = self.shared.state().admit(stamp);
        match admitted {
            Ok(false) => Ok(()),
            Ok(true) => {
                log_event(
                    log::Level::Info,
                    "planner_link",
                    &[("epoch", &stamp.epoch), ("link", &stamp.link)],
                );
                self.shared.poll_wakeup.notify_one();
                Ok(())
            }
            Err(newest) => Err(StaleLink { newest }),
        }
    }
}

impl NodeRpc for NodeServer {
    async fn sync(self, _: Context, call: SyncCall) -> Result<NodeReport, StaleLink> {
        self.admit(call.stamp)?;
        // The poller may notice a lapse only after the call if the process was suspended.
        self.shared.log_lease_change();
        self.shared.state().on_sync(&call);
        self.shared.log_lease_change();
        let changes = async {
            while !self.shared.state().has_changes() {
                self.shared.report_wakeup.notified().await;
            }
        };
        // The report is sent once there are changes or the wait is over.
        let _ = timeout(call.wait, changes).await;
        let mut state = self.shared.state();
        if !state.is_current(call.stamp) {
            // A snapshot taken here would be missing from the report to the newer link.
            return Err(StaleLink { newest: state.newest_stamp() });
        }
        Ok(state.report(clock::now()))
    }

    async fn order(self, _: Context, call: OrderCall) -> Result<(), StaleLink> {
        self.admit(call.stamp)?;
        accept_orders(&self.shared, call);
        Ok(())
    }
}
