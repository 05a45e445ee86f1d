//! Faults of callers, endpoints and lines on the request path. Each test audits the callers' answers against
//! the runners' journal.

mod env;

use std::net::SocketAddr;
use std::time::Duration;

use env::DOCUMENT;
use env::TestEnv;
use env::TestHost;
use env::bookings::Bookings;
use env::bookings::Cluster;
use env::bookings::DEADLINE;
use env::bookings::WORK;
use env::bookings::count;
use env::until;
use greengagearch_standins::caller::Caller;
use greengagearch_standins::caller::CallerAnswer;
use greengagearch_standins::load::audit;
use greengagearch_standins::processes::ProductProcess;
use greengagearch_standins::proxy::FaultProxy;
use greengagearch_standins::proxy::ProxyFault;
use greengagearch_standins::runner::Runner;
use greengagearch_standins::runner::RunnerBehaviour;
use greengagearch_standins::table_service::TableFault;
use uuid::Uuid;

#[tokio::test(flavor = "multi_thread")]
async fn a_runner_that_fails_at_once_does_not_attract_the_load() {
    let cluster = Cluster::open_steady(3).await;
    let fails =
        RunnerBehaviour { time: WORK, spread: Duration::ZERO, fails: true, ..Default::default() };
    let before = cluster.runners[0].begun();
    cluster.runners[0].set_behaviour(fails);
    let bookings = Bookings::start(&cluster.callers(), 12);
    let records = cluster.env.requests.records().len();
    until("bookings run", async || cluster.env.requests.records().len() > records + 600).await;
    let answers = bookings.finish().await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
    let attracted = cluster.runners[0].begun() - before;
    assert!(attracted < 150, "{attracted} of {} requests", answers.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wave_beyond_capacity_is_refused_with_a_hint_and_truthfully() {
    let cluster = Cluster::open_steady(1).await;
    let caller = Caller::open("wave");
    let entry = cluster.callers()[0];
    let calls = (0..400).map(|_| {
        let caller = caller.clone();
        async move { caller.send(entry, "spots", None, Duration::from_millis(300), "b").await }
    });
    let answers: Vec<CallerAnswer> = futures::future::join_all(calls).await;
    assert_eq!(cluster.violations(&answers), Vec::<String>::new());
    assert!(count(&answers, "answered") > 0);
    let refused = answers.iter().find(|answer| answer.outcome == "not_run");
    let refused = refused.expect("four hundred at once are too many");
    assert!(refused.body.contains("retry_after_millis"), "{}", refused.body);
    assert!(cluster.runners[0].most_in_flight() <= 8, "slots are never exceeded");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_held_back_answer_is_never_given_to_another_caller() {
    let mut env = TestEnv::open().await;
    let entry = env.spawn_entry("e1");
    env.balancer.set_targets(&[entry.address("internal")]);
    env.apply_document(&entry).await;
    let host = env.spawn_host("w1").await;
    let runner = env.spawn_runner(&host, WORK).await;
    env.until_serving(&entry).await;
    let slow = RunnerBehaviour {
        time: Duration::ZERO,
        spread: Duration::from_millis(400),
        fails: false,
        ..Default::default()
    };
    runner.set_behaviour(slow);
    let callers = entry.address("callers");
    let caller = Caller::open("desk");
    let calls = (0..64).map(|number| {
        let caller = caller.clone();
        let body = format!("booking {number}");
        async move {
            let id = Some(Uuid::now_v7());
            caller.send(callers, "spots", id, Duration::from_millis(500), &body).await
        }
    });
    let answers: Vec<CallerAnswer> = futures::future::join_all(calls).await;
    assert_eq!(audit(answers.iter(), &env.requests), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_refusal_and_leaks_no_slot() {
    let cluster = Cluster::open_steady(1).await;
    let entry = cluster.callers()[0];
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{entry}/v1/services/spots/requests");
    let old = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 1_000, 0));
    let future = Uuid::new_v7(uuid::Timestamp::from_unix(uuid::NoContext, 99_000_000_000, 0));
    let cases: [(&str, String, u16, &str); 7] = [
        ("x-request-id", "no-uuid".to_string(), 400, "x-request-id"),
        ("x-request-id", Uuid::new_v4().to_string(), 400, "version 7"),
        ("x-request-id", old.to_string(), 504, "id_too_old"),
        ("x-request-id", future.to_string(), 400, "id_in_future"),
        ("x-deadline-ms", "soon".to_string(), 400, "x-deadline-ms"),
        ("x-deadline-ms", "99999999".to_string(), 400, "20000"),
        ("x-idempotent", "perhaps".to_string(), 400, "x-idempotent"),
    ];
    for (header, value, status, text) in cases {
        let answer = client.post(&url).header(header, &value).body("b").send().await.unwrap();
        assert_eq!(answer.status(), status, "{header}: {value}");
        let body = answer.text().await.unwrap();
        assert!(body.contains(text), "{header}: {value}: {body}");
    }
    let large = client.post(&url).body(vec![0; 70_000]).send().await.unwrap();
    assert_eq!(large.status(), 413);
    assert_eq!(large.headers()["connection"], "close", "its body was not read");
    let unknown = url.replace("spots", "nothing");
    let unknown = client.post(&unknown).body("b").send().await.unwrap();
    assert_eq!(unknown.status(), 404);
    assert_eq!(unknown.headers()["connection"], "close", "its body was not read");
    let jobs = format!("http://{entry}/v1/jobs");
    let plain = client.post(&jobs).body("no media type").send().await.unwrap();
    assert_eq!(plain.status(), 400);
    assert_eq!(plain.headers()["connection"], "close", "its body was not read");

    let caller = Caller::open("desk");
    let id = Some(Uuid::now_v7());
    let first = caller.send(entry, "spots", id, DEADLINE, "one").await;
    let repeat = caller.send(entry, "spots", id, DEADLINE, "one").await;
    assert_eq!(first.body, repeat.body, "a repeat gets the kept answer");
    let other = caller.send(entry, "spots", id, DEADLINE, "two").await;
    assert_eq!(other.status, 409, "{other:?}");
    assert_eq!(cluster.env.requests.runs_of(&first.id), 1);

    for _ in 0..20 {
        let answer = caller.send(entry, "spots", None, DEADLINE, "still served").await;
        assert!(answer.is_own_answer(), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn half_closed_and_silent_callers_take_no_slot() {
    use tokio::io::AsyncWriteExt;
    let cluster = Cluster::open_steady(1).await;
    let entry = cluster.callers()[0];
    let head = "POST /v1/services/spots/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n";
    let mut silent = Vec::new();
    for _ in 0..32 {
        let mut stream = tokio::net::TcpStream::connect(entry).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(b"abc").await.unwrap();
        silent.push(stream);
    }
    for stream in silent.iter_mut().take(16) {
        stream.shutdown().await.unwrap();
    }
    let before = cluster.env.requests.records().len();
    let caller = Caller::open("desk");
    for _ in 0..20 {
        let answer = caller.send(entry, "spots", None, DEADLINE, "served").await;
        assert!(answer.is_own_answer(), "{answer:?}");
    }
    assert_eq!(cluster.env.requests.records().len(), before + 20, "no partial request was run");
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_never_end_their_headers_lose_their_connections() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let mut env = TestEnv::open().await;
    env.entry_lines = "[timing]\nentry-beat = 500ms\nagent-beat = 1s\n".to_string();
    env.entry_keys = "header-timeout = 300ms\nconnections = 8\n".to_string();
    let entry = env.spawn_entry("e1");
    env.balancer.set_targets(&[entry.address("internal")]);
    env.apply_document(&entry).await;
    let host = env.spawn_host("w1").await;
    let _runner = env.spawn_runner(&host, Duration::ZERO).await;
    let callers = entry.address("callers");
    let mut slow = Vec::new();
    for _ in 0..32 {
        let mut stream = tokio::net::TcpStream::connect(callers).await.unwrap();
        stream.write_all(b"POST /v1/services/spots/requests HTTP/1.1\r\nx-").await.unwrap();
        slow.push(stream);
    }
    // They hold every connection that may be open, and still others get through.
    env.until_serving(&entry).await;
    for mut stream in slow {
        let mut rest = Vec::new();
        // Ended by the entry: with an answer or without, but ended.
        let _ = stream.read_to_end(&mut rest).await;
    }
}

/// Two entries, the first behind a proxy, and a host with a runner.
async fn open_pair_with_line() -> (TestEnv, [ProductProcess; 2], FaultProxy, TestHost, Runner) {
    let mut env = TestEnv::open().await;
    env.entry_lines = "[timing]\nentry-beat = 500ms\nagent-beat = 1s\n".to_string();
    let line = FaultProxy::bind(&[]).await;
    let first = env.spawn_entry_behind("e1", &line).await;
    let second = env.spawn_entry("e2");
    env.balancer.set_targets(&[first.address("internal"), second.address("internal")]);
    env.apply_document(&first).await;
    let host = env.spawn_host("w1").await;
    let runner = env.spawn_runner(&host, Duration::ZERO).await;
    env.until_serving(&first).await;
    env.until_serving(&second).await;
    (env, [first, second], line, host, runner)
}

async fn book_each(entry: SocketAddr, ids: &[Uuid], deadline: Duration) -> Vec<CallerAnswer> {
    let caller = Caller::open("desk");
    let calls = ids.iter().map(|id| {
        let caller = caller.clone();
        async move { caller.send(entry, "spots", Some(*id), deadline, "b").await }
    });
    futures::future::join_all(calls).await
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_held_between_entries_are_unknown_and_a_repeat_gets_them() {
    let (env, entries, line, _host, _runner) = open_pair_with_line().await;
    let second = entries[1].address("callers");
    line.set_fault(ProxyFault::HoldBack);
    let ids: Vec<Uuid> = (0..40).map(|_| Uuid::now_v7()).collect();
    let held = book_each(second, &ids, Duration::from_secs(1)).await;
    let unknown = count(&held, "unknown");
    assert!(unknown > 0 && unknown + count(&held, "answered") == held.len(), "{held:?}");
    line.set_fault(ProxyFault::None);
    let mut again = Vec::new();
    until("all repeats are answered", async || {
        again = book_each(second, &ids, DEADLINE).await;
        again.iter().all(CallerAnswer::is_own_answer)
    })
    .await;
    let answers: Vec<CallerAnswer> = held.into_iter().chain(again).collect();
    assert_eq!(audit(answers.iter(), &env.requests), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_line_between_entries_loses_and_doubles_nothing() {
    let (env, entries, line, _host, _runner) = open_pair_with_line().await;
    line.set_fault(ProxyFault::Delay(Duration::from_millis(100)));
    let callers = entries.each_ref().map(|entry| entry.address("callers"));
    let bookings = Bookings::start(&callers, 6);
    until("bookings run", async || env.requests.records().len() > 200).await;
    let answers = bookings.finish().await;
    assert_eq!(audit(answers.iter(), &env.requests), Vec::<String>::new());
    assert_eq!(count(&answers, "broken"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn ids_are_forgotten_when_their_window_has_passed() {
    let mut env = TestEnv::open().await;
    let entry = env.spawn_entry("e1");
    env.balancer.set_targets(&[entry.address("internal")]);
    let text = DOCUMENT.replace("20s", "1s").replace("10s", "1s");
    env.apply_text(&entry, &text).await;
    let host = env.spawn_host("w1").await;
    let _runner = env.spawn_runner(&host, Duration::ZERO).await;
    env.until_serving_within(&entry, Duration::from_secs(1)).await;
    let caller = Caller::open("desk");
    for _ in 0..50 {
        caller.send(entry.address("callers"), "spots", None, Duration::from_secs(1), "b").await;
    }
    for (process, listener) in [(&entry, "operators"), (&host.agent, "endpoints")] {
        until("ids are remembered", async || {
            process.metric(listener, "gga_remembered_ids").await >= 50.0
        })
        .await;
    }
    for (process, listener) in [(&entry, "operators"), (&host.agent, "endpoints")] {
        until("no id is remembered any more", async || {
            process.metric(listener, "gga_remembered_ids").await == 0.0
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_any_prospect_of_an_owner_the_refusal_comes_at_once() {
    let mut cluster = Cluster::open(1).await;
    cluster.env.table.set_fault(TableFault::Down);
    cluster.entries[0].kill();
    // A dead entry grants nothing more; five times the life of a grant ends those on their way.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let caller = Caller::open("desk");
    let entry = cluster.callers()[1];
    until("the leases have lapsed", async || {
        let answer = caller.send(entry, "spots", None, DEADLINE, "b").await;
        answer.outcome == "not_run"
    })
    .await;
    // With a deadline of 20 s each, these would take minutes if they were held back.
    let held_back = async {
        for _ in 0..20 {
            let answer = caller.send(entry, "spots", None, DEADLINE, "b").await;
            assert_eq!(answer.outcome, "not_run", "{answer:?}");
            assert!(answer.body.contains("retry_after_millis"), "{answer:?}");
        }
    };
    tokio::time::timeout(4 * DEADLINE, held_back).await.expect("they are refused at once");
}
