//! The calls that an agent serves for entries.

use std::sync::Arc;

use kameo::actor::ActorRef;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;

use crate::connection::protocol::AgentRpc;
use crate::connection::protocol::DispatchOrder;
use crate::connection::protocol::DispatchReply;
use crate::connection::protocol::SettleQuery;
use crate::connection::rpc_client::framed;
use crate::ids::GenerationNumber;
use crate::process::agent::dispatcher;
use crate::process::agent::reconciler::ReconcileActor;
use crate::process::agent::reconciler::ReconcileTick;
use crate::process::agent::shared::AgentShared;
use crate::process::rpc_server::spawn_rpc_server;
use crate::request::request_journal::SettleAnswer;

#[derive(Clone)]
struct AgentServer {
    shared: Arc<AgentShared>,
    reconciler: ActorRef<ReconcileActor>,
}

/// Serves calls on `listener` until the process ends.
pub fn spawn_agent_rpc(
    listener: TcpListener,
    shared: Arc<AgentShared>,
    reconciler: ActorRef<ReconcileActor>,
) {
    let server = AgentServer { shared, reconciler };
    spawn_rpc_server(listener, move |stream| {
        BaseChannel::with_defaults(framed(stream)).execute(server.clone().serve())
    });
}

impl AgentRpc for AgentServer {
    async fn dispatch(self, _: Context, order: DispatchOrder) -> DispatchReply {
        dispatcher::dispatch(self.shared, order).await
    }

    async fn settle(self, _: Context, question: SettleQuery) -> SettleAnswer {
        dispatcher::settle(&self.shared, &question)
    }

    async fn documents_changed(self, _: Context, generation: GenerationNumber) {
        if generation > self.shared.generation() {
            // The answers to the heartbeat bring the documents.
            self.shared.beat_now.notify_one();
        }
    }

    async fn row_changed(self, _: Context) {
        // A full mailbox means that a look is due anyway.
        let _ = self.reconciler.tell(ReconcileTick).await;
    }
}
