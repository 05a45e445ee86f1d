//! The planner's link to one node agent: polls its state, grants leases and sends orders.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::connection::node_protocol::LeaseGrant;
use crate::connection::node_protocol::LinkStamp;
use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::NodeReport;
use crate::connection::node_protocol::NodeRpcClient;
use crate::connection::node_protocol::OrderCall;
use crate::connection::node_protocol::OrderLease;
use crate::connection::node_protocol::SyncCall;
use crate::connection::rpc_client::CallError;
use crate::connection::rpc_client::RpcConnection;
use crate::connection::rpc_client::call_within;
use crate::ids::InstanceId;
use crate::ids::PlannerEpoch;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::evacuation_watch::order_validity;
use crate::process::planning::shared::PlannerShared;
use crate::workflow::grant::expired_by;
use crate::workflow::grant::lease_duration;
use crate::workflow::report_interval::MIN_REPORT_INTERVAL;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum part of the validity of start orders that an agent may wait for changes before it answers
/// a sync call, since each answer renews that validity.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Time that an agent has for a response beyond the requested wait, sufficient also if its host is
/// five times slower than usual.
const RESPONSE_MARGIN: Duration = Duration::from_millis(900);
/// Minimum delay before a lost link is established again.
const MIN_RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// Maximum such delay.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(5);
/// Part of the time without a link that the delay takes. Agents that are gone for good stay
/// registered; after a release of half a fleet there are hundreds of them. A link to an agent that was
/// cut off is back later by this part of its outage at most, and at once if the agent has restarted.
const RECONNECT_DELAY_DIVISOR: u32 = 8;

/// Orders that are sent to one runner instance in one call.
#[derive(Clone, Debug)]
pub struct OrderBatch {
    /// The runner instance.
    pub instance: InstanceId,
    /// Number of the batch, which increases from batch to batch.
    pub number: u64,
    /// Orders of the batch.
    pub orders: Vec<NodeOrder>,
}

/// Event that a link sends to the planner's loop.
#[derive(Debug)]
pub enum LinkEvent {
    /// An agent has reported its state.
    Report {
        /// Address of the agent.
        address: String,
        /// The report.
        report: Box<NodeReport>,
        /// Whether the link is new: true for all reports of a link up to and including the first
        /// that names a runner.
        is_new_link: bool,
        /// Held until the first report of a new agent has been processed.
        first_contact: Option<OwnedSemaphorePermit>,
    },
    /// The first attempt to contact an agent has failed.
    Unreachable {
        /// Address of the agent.
        address: String,
    },
    /// An agent refused a call because it has received one with this later stamp.
    Replaced(LinkStamp),
}

/// Handle of a link, whose task is aborted when the handle is dropped.
#[derive(Debug)]
pub struct NodeLink {
    /// Queue of the orders to send.
    pub orders: mpsc::UnboundedSender<OrderBatch>,
    registered: Arc<Notify>,
    task: JoinHandle<()>,
}

impl Drop for NodeLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl NodeLink {
    /// Starts a link to the agent at `address`. Its first call is sent once `first_contacts` has a
    /// permit.
    pub fn spawn(
        shared: Arc<PlannerShared>,
        epoch: PlannerEpoch,
        address: String,
        events: mpsc::UnboundedSender<LinkEvent>,
        first_contacts: Arc<Semaphore>,
    ) -> NodeLink {
        let (orders, batches) = mpsc::unbounded_channel();
        let registered = Arc::new(Notify::new());
        let task = LinkTask {
            registered: registered.clone(),
            last_sent: 0,
            shared,
            address,
            events,
            stamp: LinkStamp { epoch, link: 0 },
            unanswered: Arc::default(),
            outage: None,
            first_contacts: Some(first_contacts),
            first_contact: None,
        };
        let task = task.run(batches);
        NodeLink { orders, registered, task: tokio::spawn(task) }
    }

    /// Tells the link that its agent has registered again, and can be reached.
    pub fn on_registered(&self) {
        self.registered.notify_one();
    }
}

/// Delay before a link is established again that was lost for the time `outage`.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::planning::node_link::reconnect_delay;
///
/// assert_eq!(reconnect_delay(Duration::ZERO), Duration::from_millis(150));
/// assert_eq!(reconnect_delay(Duration::from_secs(8)), Duration::from_secs(1));
/// ```
pub fn reconnect_delay(outage: Duration) -> Duration {
    (outage / RECONNECT_DELAY_DIVISOR).clamp(MIN_RECONNECT_DELAY, MAX_RECONNECT_DELAY)
}

/// Time without a report of the agent.
struct LinkOutage {
    since: Instant,
    /// The reason that was logged last.
    reason: String,
}

struct LinkTask {
    /// Notified when the agent registers again.
    registered: Arc<Notify>,
    /// Number of the last batch that was sent over the current connection, or 0.
    last_sent: u64,
    shared: Arc<PlannerShared>,
    address: String,
    events: mpsc::UnboundedSender<LinkEvent>,
    stamp: LinkStamp,
    /// Notified when a batch of orders sent over the current connection got no response.
    unanswered: Arc<Notify>,
    /// The current outage; `None` once the agent has reported over the current connection.
    outage: Option<LinkOutage>,
    /// Limits the first calls of all links; `None` once this link has made its own, or the first
    /// attempt has failed.
    first_contacts: Option<Arc<Semaphore>>,
    /// Permit of the first call, until the agent has reported.
    first_contact: Option<OwnedSemaphorePermit>,
}

impl LinkTask {
    async fn run(mut self, mut batches: mpsc::UnboundedReceiver<OrderBatch>) {
        loop {
            self.stamp.link += 1;
            self.last_sent = 0;
            self.unanswered = Arc::default();
            let reason = match self.connect().await {
                Some(client) => {
                    self.await_first_contact().await;
                    // Drops orders queued for the earlier connection. The planner orders again what
                    // it still needs.
                    while batches.try_recv().is_ok() {}
                    self.sync_until_lost(&client, &mut batches).await
                }
                None => "connect".to_string(),
            };
            let outage = self.on_lost(reason);
            let delay = reconnect_delay(outage);
            // Elapses unless the agent registers meanwhile.
            let _ = timeout(delay, self.registered.notified()).await;
        }
    }

    /// Waits until the first call of this link may be sent. A host that does not respond to a
    /// connection takes no permit.
    async fn await_first_contact(&mut self) {
        if let Some(first_contacts) = self.first_contacts.take() {
            // The semaphore is never closed.
            self.first_contact = first_contacts.acquire_owned().await.ok();
        }
    }

    /// Logs the loss of the link. During an outage the same reason is logged only once. Returns the
    /// time without a link.
    fn on_lost(&mut self, reason: String) -> Duration {
        let is_first = self.first_contacts.take().is_some();
        if self.first_contact.take().is_some() || is_first {
            // The receiver is closed if planning has ended.
            let _ = self.events.send(LinkEvent::Unreachable { address: self.address.clone() });
        }
        let is_logged = self.outage.as_ref().is_some_and(|outage| outage.reason == reason);
        if !is_logged {
            log_event(
                Level::Warn,
                "node_link_lost",
                &[("node", &self.address), ("link", &self.stamp.link), ("reason", &reason)],
            );
        }
        let since = self.outage.take().map_or_else(clock::now, |outage| outage.since);
        self.outage = Some(LinkOutage { since, reason });
        clock::elapsed(since)
    }

    /// Logs the end of an outage.
    fn on_report(&mut self) {
        let Some(outage) = self.outage.take() else {
            return;
        };
        log_event(
            Level::Info,
            "node_link_regained",
            &[
                ("node", &self.address),
                ("link", &self.stamp.link),
                ("away_ms", &clock::elapsed(outage.since).as_millis()),
            ],
        );
    }

    async fn connect(&self) -> Option<NodeRpcClient> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(&self.address)).await;
        let stream = connected.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(NodeRpcClient::spawn(stream, Arc::default()))
    }

    /// Polls the agent and sends orders until the connection fails. Returns the reason.
    async fn sync_until_lost(
        &mut self,
        client: &NodeRpcClient,
        batches: &mut mpsc::UnboundedReceiver<OrderBatch>,
    ) -> String {
        let mut call = SyncCall {
            stamp: self.stamp,
            grant: None,
            instance: None,
            last_acked_end: 0,
            wait: Duration::ZERO,
        };
        let mut is_new_link = true;
        loop {
            let report = match self.sync(client, batches, call).await {
                Ok(report) => report,
                Err(reason) => return reason,
            };
            self.on_report();
            call = self.next_sync_call(&report);
            // The runner may not have registered yet with an agent that has just started.
            let names_runner = report.runner.is_some();
            let report = Box::new(report);
            let first_contact = self.first_contact.take();
            let address = self.address.clone();
            let event = LinkEvent::Report { address, report, is_new_link, first_contact };
            is_new_link &= !names_runner;
            if self.events.send(event).is_err() {
                return "planning ended".to_string();
            }
        }
    }

    /// Sends one sync call, and orders until its response arrives.
    async fn sync(
        &mut self,
        client: &NodeRpcClient,
        batches: &mut mpsc::UnboundedReceiver<OrderBatch>,
        call: SyncCall,
    ) -> Result<NodeReport, String> {
        let limit = call.wait + RESPONSE_MARGIN;
        let answer = client.sync(call_within(limit), call);
        tokio::pin!(answer);
        let limit = tokio::time::sleep(limit);
        tokio::pin!(limit);
        loop {
            tokio::select! {
                answer = &mut answer => return match answer {
                    Ok(Ok(report)) => Ok(report),
                    Ok(Err(stale)) => {
                        // The receiver is closed if planning has ended.
                        let _ = self.events.send(LinkEvent::Replaced(stale.newest));
                        Err(stale.to_string())
                    }
                    Err(error) => Err(CallError::from(error).to_string()),
                },
                Some(batch) = batches.recv() => self.send_orders(client, batch),
                // The agent acknowledges batches in sequence, so a missing one holds up the
                // acknowledgement of all later ones. A new link starts a new sequence.
                () = self.unanswered.notified() => return Err("orders got no response".to_string()),
                () = &mut limit => return Err("no response before the timeout".to_string()),
            }
        }
    }

    fn send_orders(&mut self, client: &NodeRpcClient, batch: OrderBatch) {
        let call = OrderCall {
            stamp: self.stamp,
            instance: batch.instance,
            number: batch.number,
            previous: std::mem::replace(&mut self.last_sent, batch.number),
            orders: batch.orders,
        };
        let (client, unanswered) = (client.clone(), self.unanswered.clone());
        tokio::spawn(async move {
            // A refusal because of a later link needs no handling here: the sync call gets it, too.
            if client.order(call_within(RESPONSE_MARGIN), call).await.is_err() {
                unanswered.notify_one();
            }
        });
    }

    /// Builds the next sync call, with a lease extension that starts at the agent's time in
    /// `report`.
    fn next_sync_call(&self, report: &NodeReport) -> SyncCall {
        let received = clock::now();
        let instance = report.runner.as_ref().map(|runner| runner.instance.clone());
        let mut call = SyncCall {
            stamp: self.stamp,
            grant: None,
            instance: instance.clone(),
            last_acked_end: 0,
            wait: MIN_REPORT_INTERVAL,
        };
        let mut owned = self.shared.owned();
        if let (Some(owned), Some(instance)) = (owned.as_mut(), instance) {
            let span = lease_duration(owned.confirmed_at, received);
            let validity = order_validity(self.shared.settings.evacuation_limit);
            let valid = span.min(validity);
            call.wait = owned.planner.report_interval().min(validity.mul_f64(MAX_WAIT_SHARE));
            let granted = OrderLease { link: self.stamp.link, end: report.now + valid };
            let granted = (granted, received + valid);
            owned.planner.on_grant(&instance, expired_by(received, span), granted);
            call.grant = Some(LeaseGrant { since: report.now, span });
            call.last_acked_end = owned.planner.last_acked_end(&instance);
        }
        call
    }
}
