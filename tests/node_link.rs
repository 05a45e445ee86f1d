//! The planner's link to an agent that answers some calls and loses others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::NodeRpc;
use greengagearch::connection::node_protocol::OrderCall;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::connection::node_protocol::StaleLink;
use greengagearch::connection::node_protocol::SyncCall;
use greengagearch::connection::rpc_client::framed;
use greengagearch::platform::store_client::StoreClient;
use greengagearch::process::planning::node_link::LinkEvent;
use greengagearch::process::planning::node_link::NodeLink;
use greengagearch::process::planning::node_link::OrderBatch;
use greengagearch::process::planning::settings::PlannerSettings;
use greengagearch::process::planning::shared::PlannerShared;
use greengagearch::workflow::spec::ResourceVector;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const SETTINGS: &str = "[planner]\nid = p\ndomain = d\ncaller-listen = 127.0.0.1:0\n\
    ready-listen = 127.0.0.1:0\ninternal-listen = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n";

/// An agent that answers when it is asked for its state, and never answers an order. It hears of its runner
/// after its first answer.
#[derive(Clone, Default)]
struct DeafAgent {
    answers: Arc<AtomicUsize>,
}

impl NodeRpc for DeafAgent {
    async fn sync(self, _: Context, call: SyncCall) -> Result<NodeReport, StaleLink> {
        tokio::time::sleep(call.wait).await;
        let is_first = self.answers.fetch_add(1, Ordering::AcqRel) == 0;
        let status = RunnerStatus {
            instance: "i".to_string(),
            service: "s".to_string(),
            domain: "d".to_string(),
            capacity: ResourceVector::default(),
            labels: Vec::new(),
            draining: false,
        };
        let runner = (!is_first).then_some(status);
        Ok(NodeReport {
            now: Duration::ZERO,
            runner,
            former: Vec::new(),
            unsettled: Vec::new(),
            keeps_id: false,
            in_doubt: Vec::new(),
            crashes: Vec::new(),
            snapshot: None,
        })
    }

    async fn order(self, _: Context, _: OrderCall) -> Result<(), StaleLink> {
        std::future::pending().await
    }
}

async fn spawn_agent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let agent = DeafAgent::default();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let calls = BaseChannel::with_defaults(framed(stream)).execute(agent.clone().serve());
            tokio::spawn(calls.for_each(|call| async {
                tokio::spawn(call);
            }));
        }
    });
    address
}

async fn spawn_link() -> (NodeLink, mpsc::UnboundedReceiver<LinkEvent>) {
    let settings = PlannerSettings::parse("planner.ini", SETTINGS).unwrap();
    let store = Arc::new(StoreClient::open("127.0.0.1:1"));
    let shared = Arc::new(PlannerShared::new(settings, store, None));
    let (sender, news) = mpsc::unbounded_channel();
    (NodeLink::spawn(shared, 1, spawn_agent().await.to_string(), sender), news)
}

/// Whether the next report is told to come over a new link, and whether it names a runner.
async fn next_report(news: &mut mpsc::UnboundedReceiver<LinkEvent>) -> (bool, bool) {
    match news.recv().await {
        Some(LinkEvent::Report { is_new_link, report, .. }) => {
            (is_new_link, report.runner.is_some())
        }
        other => panic!("{other:?}"),
    }
}

/// The cause of a hang: an agent that was killed came back before its runner had registered anew, so that
/// orders of the link before were never sent again.
#[tokio::test]
async fn a_link_is_new_until_the_agent_has_named_its_runner() {
    let (_link, mut news) = spawn_link().await;
    assert_eq!(next_report(&mut news).await, (true, false));
    assert_eq!(next_report(&mut news).await, (true, true));
    assert_eq!(next_report(&mut news).await, (false, true));
}

#[tokio::test]
async fn a_link_over_which_an_order_was_lost_begins_anew() {
    let (link, mut news) = spawn_link().await;
    while next_report(&mut news).await.0 {}
    let parcel = OrderBatch { instance: "i".to_string(), number: 1, orders: Vec::new() };
    link.orders.send(parcel).unwrap();
    let anew = async { while !next_report(&mut news).await.0 {} };
    let limit = Duration::from_secs(60);
    tokio::time::timeout(limit, anew).await.expect("the link begins anew");
}
