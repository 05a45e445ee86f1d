//! The planner's connection to one node agent: asks for its state, hands over orders.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::connection::node_protocol::LeaseGrant;
use crate::connection::node_protocol::LinkStamp;
use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::NodeRpcClient;
use crate::connection::node_protocol::OrderCall;
use crate::connection::node_protocol::SyncCall;
use crate::connection::rpc_client::CallError;
use crate::connection::rpc_client::RpcConnection;
use crate::connection::rpc_client::call_within;
use crate::ids::InstanceId;
use crate::ids::PlannerEpoch;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::shared::PlannerShared;
use crate::workflow::grant::expired_by;
use crate::workflow::grant::lease_duration;

/// Time for a connection to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait of an agent for news: leases are extended and silence is noticed that often.
const SYNC_WAIT: Duration = Duration::from_millis(400);
/// Time beyond the wait within which an agent must answer, also when its host is five times slower.
const ANSWER_SLACK: Duration = Duration::from_millis(900);
/// Pause before a connection is made anew.
const RECONNECT_PAUSE: Duration = Duration::from_millis(150);

/// Orders on their way to one life of a runner.
#[derive(Clone, Debug)]
pub struct OrderBatch {
    /// The life.
    pub instance: InstanceId,
    /// Number of the orders.
    pub number: u64,
    /// The orders.
    pub orders: Vec<NodeOrder>,
}

/// What links tell the planner's loop.
#[derive(Debug)]
pub enum LinkEvent {
    /// An agent has reported.
    Report {
        /// Its address.
        address: String,
        /// What it said.
        report: Box<NodeReport>,
        /// Whether it is the first report over its link that names a runner, or one before that.
        is_new_link: bool,
    },
    /// An agent knows a later planner.
    Replaced(LinkStamp),
}

/// A running link; it ends when it is dropped.
#[derive(Debug)]
pub struct NodeLink {
    /// Takes orders.
    pub orders: mpsc::UnboundedSender<OrderBatch>,
    running: JoinHandle<()>,
}

impl Drop for NodeLink {
    fn drop(&mut self) {
        self.running.abort();
    }
}

impl NodeLink {
    /// Starts a link to the agent at an address.
    pub fn spawn(
        shared: Arc<PlannerShared>,
        epoch: PlannerEpoch,
        address: String,
        news: mpsc::UnboundedSender<LinkEvent>,
    ) -> NodeLink {
        let (orders, parcels) = mpsc::unbounded_channel();
        let worker = LinkWorker {
            last_sent: 0,
            shared,
            address,
            news,
            stamp: LinkStamp { epoch, link: 0 },
            order_lost: Arc::default(),
        };
        NodeLink { orders, running: tokio::spawn(worker.run(parcels)) }
    }
}

struct LinkWorker {
    /// Number of the last orders that were sent over the present link.
    last_sent: u64,
    shared: Arc<PlannerShared>,
    address: String,
    news: mpsc::UnboundedSender<LinkEvent>,
    stamp: LinkStamp,
    /// Tells that an order of the present link was not answered.
    order_lost: Arc<Notify>,
}

impl LinkWorker {
    async fn run(mut self, mut parcels: mpsc::UnboundedReceiver<OrderBatch>) {
        let mut was_up = true;
        loop {
            self.stamp.link += 1;
            self.last_sent = 0;
            self.order_lost = Arc::default();
            let opened = clock::now();
            let reason = match self.connect().await {
                Some(client) => {
                    // What was ordered over earlier links is sent anew where it is still wanted.
                    while parcels.try_recv().is_ok() {}
                    self.serve(&client, &mut parcels).await
                }
                None => "connect".to_string(),
            };
            let is_up = clock::elapsed(opened) > CONNECT_TIMEOUT;
            // A link that cannot be made again and again is told once.
            if was_up {
                log_event(
                    Level::Warn,
                    "node_link_lost",
                    &[("node", &self.address), ("link", &self.stamp.link), ("reason", &reason)],
                );
            }
            was_up = is_up;
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn connect(&self) -> Option<NodeRpcClient> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.address)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(NodeRpcClient::spawn(stream, Arc::default()))
    }

    /// Asks again and again; gives the reason when the link has broken.
    async fn serve(
        &mut self,
        client: &NodeRpcClient,
        parcels: &mut mpsc::UnboundedReceiver<OrderBatch>,
    ) -> String {
        let mut call = SyncCall {
            stamp: self.stamp,
            grant: None,
            instance: None,
            seen: 0,
            wait: Duration::ZERO,
        };
        let mut is_new_link = true;
        loop {
            let report = match self.exchange(client, parcels, call).await {
                Ok(report) => report,
                Err(reason) => return reason,
            };
            call = self.next_call(&report);
            // An agent that has just started may not have heard of its runner yet.
            let names_runner = report.runner.is_some();
            let report = Box::new(report);
            let news = LinkEvent::Report { address: self.address.clone(), report, is_new_link };
            is_new_link &= !names_runner;
            if self.news.send(news).is_err() {
                return "planning ended".to_string();
            }
        }
    }

    /// Sends one call, and orders while it waits.
    async fn exchange(
        &mut self,
        client: &NodeRpcClient,
        parcels: &mut mpsc::UnboundedReceiver<OrderBatch>,
        call: SyncCall,
    ) -> Result<NodeReport, String> {
        let limit = call.wait + ANSWER_SLACK;
        let answer = client.sync(call_within(limit), call);
        tokio::pin!(answer);
        let limit = tokio::time::sleep(limit);
        tokio::pin!(limit);
        loop {
            tokio::select! {
                answer = &mut answer => return match answer {
                    Ok(Ok(report)) => Ok(report),
                    Ok(Err(stale)) => {
                        // A planner that has ended needs no news.
                        let _ = self.news.send(LinkEvent::Replaced(stale.newest));
                        Err(stale.to_string())
                    }
                    Err(error) => Err(CallError::from(error).to_string()),
                },
                Some(parcel) = parcels.recv() => self.send(client, parcel),
                // The agent counts orders in their sequence: one that is missing holds up all later
                // ones, until a new link begins the sequence anew.
                () = self.order_lost.notified() => return Err("an order was not answered".to_string()),
                () = &mut limit => return Err("no answer in time".to_string()),
            }
        }
    }

    fn send(&mut self, client: &NodeRpcClient, parcel: OrderBatch) {
        let call = OrderCall {
            stamp: self.stamp,
            instance: parcel.instance,
            number: parcel.number,
            previous: std::mem::replace(&mut self.last_sent, parcel.number),
            orders: parcel.orders,
        };
        let (client, order_lost) = (client.clone(), self.order_lost.clone());
        tokio::spawn(async move {
            // That the agent obeys a later link is told to the calls that ask for its state as well.
            if client.order(call_within(ANSWER_SLACK), call).await.is_err() {
                order_lost.notify_one();
            }
        });
    }

    /// The next call, with an extension of leases that counts from the report's own time.
    fn next_call(&self, report: &NodeReport) -> SyncCall {
        let received = clock::now();
        let instance = report.runner.as_ref().map(|runner| runner.instance.clone());
        let mut call = SyncCall {
            stamp: self.stamp,
            grant: None,
            instance: instance.clone(),
            seen: 0,
            wait: SYNC_WAIT,
        };
        let mut owned = self.shared.owned();
        if let (Some(owned), Some(instance)) = (owned.as_mut(), instance) {
            let span = lease_duration(owned.proof, received);
            owned.planner.on_grant(&instance, expired_by(received, span));
            call.grant = Some(LeaseGrant { since: report.now, span });
            call.seen = owned.planner.last_acked_end(&instance);
        }
        call
    }
}
