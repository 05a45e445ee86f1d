//! Faults of processes on the request path. Each test audits the callers' answers against the runners'
//! journal.

mod env;

use std::net::SocketAddr;
use std::time::Duration;

use env::TestEnv;
use env::bookings::Bookings;
use env::bookings::Cluster;
use env::bookings::DEADLINE;
use env::bookings::WORK;
use env::bookings::count;
use env::get;
use env::until;
use greengagearch_standins::caller::Caller;
use greengagearch_standins::caller::CallerAnswer;
use greengagearch_standins::proxy::FaultProxy;
use greengagearch_standins::proxy::ProxyFault;
use greengagearch_standins::runner::RunnerBehaviour;
use greengagearch_standins::table_service::TableFault;
use tokio::task::JoinHandle;
use uuid::Uuid;

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_killed_with_bookings_in_flight() {
    let mut cluster = Cluster::open(3).await;
    let bookings = Bookings::start(&cluster.callers(), 12);
    until("bookings run", async || cluster.env.requests.records().len() > 100).await;
    cluster.entries[0].kill();
    let before = cluster.env.requests.records().len();
    until("bookings run again", async || cluster.env.requests.records().len() > before + 200).await;
    let answers = bookings.finish().await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
    assert!(count(&answers, "answered") > 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_killed_and_comes_back() {
    let mut cluster = Cluster::open(3).await;
    let bookings = Bookings::start(&cluster.callers(), 12);
    until("bookings run", async || cluster.env.requests.records().len() > 100).await;
    cluster.hosts[0].agent.kill();
    let worker = cluster.hosts[0].worker.address;
    cluster.hosts[0].agent = cluster.env.spawn_agent("w1", worker);
    cluster.runners[0].announce_to(cluster.hosts[0].agent.address("endpoints"));
    let agent = cluster.hosts[0].agent.address("endpoints");
    until("the new agent holds its lease", async || {
        reqwest::get(format!("http://{agent}/readyz")).await.is_ok_and(|one| one.status() == 200)
    })
    .await;
    let before = cluster.env.requests.records().len();
    until("bookings run again", async || cluster.env.requests.records().len() > before + 200).await;
    let answers = bookings.finish().await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_wakes_after_its_lease_lapsed() {
    let cluster = Cluster::open(3).await;
    let bookings = Bookings::start(&cluster.callers(), 12);
    until("bookings run", async || cluster.env.requests.records().len() > 100).await;
    cluster.entries[1].signal("STOP");
    let operators = cluster.entries[0].address("operators");
    until("the others remove it", async || {
        get(operators, "/v1/cluster").await["map_generation"].as_u64() >= Some(4)
    })
    .await;
    let before = cluster.env.requests.records().len();
    until("bookings run again", async || cluster.env.requests.records().len() > before + 50).await;
    cluster.entries[1].signal("CONT");
    cluster.until_whole().await;
    let answers = bookings.finish().await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_go_on_while_the_table_service_is_down() {
    let cluster = Cluster::open_steady(3).await;
    cluster.env.table.set_fault(TableFault::Hanging);
    // Far longer than any read keeps a lease alive: what goes on lives on grants.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let bookings = Bookings::start(&cluster.callers(), 6);
    let before = cluster.env.requests.records().len();
    until("bookings run", async || cluster.env.requests.records().len() > before + 200).await;
    let answers = bookings.finish().await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
    assert_eq!(count(&answers, "answered"), answers.len(), "all are answered in the outage");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_dies_while_the_table_service_is_down() {
    let mut cluster = Cluster::open_steady(3).await;
    let bookings = Bookings::start(&cluster.callers()[1..], 6);
    cluster.env.table.set_fault(TableFault::Down);
    until("bookings run", async || cluster.env.requests.records().len() > 100).await;
    cluster.entries[0].kill();
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.env.table.set_fault(TableFault::None);
    let before = cluster.env.requests.records().len();
    until("bookings run again", async || cluster.env.requests.records().len() > before + 100).await;
    let answers = bookings.finish().await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_and_an_entry_are_cut_off_from_the_table_together() {
    // The trap of grants: e1 grants to e2 and both are cut off from the table, while e3 reaches it.
    let mut env = TestEnv::open().await;
    let line = FaultProxy::bind(&[env.table.address]).await;
    let first = env.spawn_entry_at("e1", line.address);
    env.balancer.set_targets(&[first.address("internal")]);
    env.apply_document(&first).await;
    let second = env.spawn_entry_at("e2", line.address);
    let third = env.spawn_entry("e3");
    let host = env.spawn_host("w1").await;
    let runners = vec![env.spawn_runner(&host, WORK).await];
    let entries = vec![first, second, third];
    let cluster = Cluster { env, entries, hosts: vec![host], runners };
    cluster.until_whole().await;
    let bookings = Bookings::start(&cluster.callers(), 9);
    until("bookings run", async || cluster.env.requests.records().len() > 50).await;
    line.set_fault(ProxyFault::Cut);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = cluster.env.requests.records().len();
    until("bookings run", async || cluster.env.requests.records().len() > before + 50).await;
    line.set_fault(ProxyFault::None);
    cluster.until_whole().await;
    let answers = bookings.finish().await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_nothing_more_and_loses_nothing() {
    let cluster = Cluster::open_steady(3).await;
    let bookings = Bookings::start(&cluster.callers(), 12);
    until("bookings run", async || cluster.env.requests.records().len() > 100).await;
    let agent = cluster.hosts[0].agent.address("endpoints");
    let receipt = cluster.runners[0].leave(agent).await.expect("the agent knows the runner");
    let before = cluster.env.requests.records().len();
    until("bookings run", async || cluster.env.requests.records().len() > before + 200).await;
    let answers = bookings.finish().await;
    // Requests that the agent had sent before it knew may arrive after its receipt.
    let begun = cluster.runners[0].begun();
    assert_eq!(begun, receipt.dispatched, "nothing was sent after the agent knew");
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
    let noticed: Vec<&CallerAnswer> =
        answers.iter().filter(|answer| answer.outcome != "answered").collect();
    assert!(noticed.is_empty(), "a caller noticed: {noticed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_everything_cuts_nothing_off() {
    let mut cluster = Cluster::open_steady(3).await;
    for number in 0..3 {
        let keep: Vec<SocketAddr> = cluster
            .callers()
            .into_iter()
            .enumerate()
            .filter(|(index, _)| *index != number)
            .map(|(_, address)| address)
            .collect();
        let bookings = Bookings::start(&keep, 6);
        cluster.entries[number].signal("TERM");
        assert!(cluster.entries[number].ended().await);
        let id = format!("e{}", number + 1);
        cluster.entries[number] = cluster.env.spawn_entry(&id);
        cluster.hosts[number].agent.signal("TERM");
        assert!(cluster.hosts[number].agent.ended().await);
        let worker = cluster.hosts[number].worker.address;
        let name = format!("w{}", number + 1);
        cluster.hosts[number].agent = cluster.env.spawn_agent(&name, worker);
        let agent = cluster.hosts[number].agent.address("endpoints");
        cluster.runners[number].announce_to(agent);
        let internal: Vec<SocketAddr> =
            cluster.entries.iter().map(|entry| entry.address("internal")).collect();
        cluster.env.balancer.set_targets(&internal);
        cluster.until_whole().await;
        let answers = bookings.finish().await;
        assert_eq!(cluster.violations(&answers), Vec::<String>::new());
        assert_eq!(count(&answers, "broken"), 0);
        let unknown = answers.iter().find(|one| one.outcome == "unknown" && !one.is_passing());
        assert!(unknown.is_none(), "{unknown:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_know_nothing_of_each_other_never_exceed_an_endpoints_slots() {
    let cluster = Cluster::open(1).await;
    let bookings = Bookings::start(&cluster.callers(), 60);
    let before = cluster.env.requests.records().len();
    until("bookings run", async || cluster.env.requests.records().len() > before + 300).await;
    let answers = bookings.finish().await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
    assert_eq!(cluster.runners[0].most_in_flight(), 8, "all slots are used, and no more");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_of_a_booking_that_ran_is_never_called_not_run() {
    let mut cluster = Cluster::open(1).await;
    let slow = RunnerBehaviour {
        time: Duration::from_secs(2),
        spread: Duration::ZERO,
        fails: false,
        ..Default::default()
    };
    cluster.runners[0].set_behaviour(slow);
    let entries = cluster.callers();
    // So many that some are sure to fall into partitions of the entry that is killed.
    let calls = (0..40).map(|number| {
        let entries = entries.clone();
        tokio::spawn(async move {
            let caller = Caller::open("desk");
            let id = Some(Uuid::now_v7());
            let mut answers = vec![caller.send(entries[0], "spots", id, DEADLINE, "b").await];
            for _ in 0..40 {
                // Too short a time to wait for the next owner, so that repeats are refused.
                let short = Duration::from_millis(120);
                let entry = entries[1 + number % 2];
                answers.push(caller.send(entry, "spots", id, short, "b").await);
            }
            answers
        })
    });
    let before = cluster.runners[0].begun();
    let calls: Vec<JoinHandle<Vec<CallerAnswer>>> = calls.collect();
    until("bookings run", async || cluster.runners[0].begun() >= before + 8).await;
    cluster.entries[0].kill();
    let mut answers = Vec::new();
    for call in calls {
        answers.extend(call.await.unwrap());
    }
    assert!(answers.iter().any(CallerAnswer::is_passing), "repeats found no owner");
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
}
