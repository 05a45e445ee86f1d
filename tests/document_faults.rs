//! Faults while documents are changed, and the operators' command line.

mod env;

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use env::DOCUMENT;
use env::TEAM_KEY;
use env::TestEnv;
use env::apply;
use env::apply_as;
use env::get;
use env::job;
use env::submit;
use env::until;
use greengagearch_standins::processes::ProductProcess;
use greengagearch_standins::table_service::TableFault;

/// The document of all tests with another comment, so that its text differs.
fn edited(comment: &str) -> String {
    format!("# {comment}\n{DOCUMENT}")
}

async fn open(entry_count: usize) -> (TestEnv, Vec<ProductProcess>) {
    let mut env = TestEnv::open().await;
    let ids = (1..=entry_count).map(|number| format!("e{number}"));
    let entries: Vec<ProductProcess> = ids.map(|id| env.spawn_entry(&id)).collect();
    let internal: Vec<_> = entries.iter().map(|entry| entry.address("internal")).collect();
    env.balancer.set_targets(&internal);
    (env, entries)
}

async fn until_generation(entry: &ProductProcess, generation: u64) {
    let operators = entry.address("operators");
    until("the generation is in force", async || {
        get(operators, "/v1/cluster").await["generation"] == generation
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_that_race_one_wins_and_the_other_is_told_the_winner() {
    let (_env, entries) = open(2).await;
    let (first, second) = (entries[0].address("operators"), entries[1].address("operators"));
    for base in 0..5 {
        let (ours, theirs) = (edited(&format!("a{base}")), edited(&format!("b{base}")));
        let (token_a, token_b) = (format!("a{base}"), format!("b{base}"));
        let (a, b) = tokio::join!(
            apply(first, "spots", &ours, base, &token_a),
            apply(second, "spots", &theirs, base, &token_b),
        );
        let mut statuses = [a.0, b.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{a:?} {b:?}");
        let loser = if a.0 == 409 { &a.1 } else { &b.1 };
        assert_eq!(loser["revision"], base + 1, "the winner's revision is named");
        until_generation(&entries[0], base + 1).await;
        until_generation(&entries[1], base + 1).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_apply_whose_answers_are_lost_takes_effect_once() {
    let (env, entries) = open(1).await;
    let operators = entries[0].address("operators");
    env.table.set_fault(TableFault::LoseAnswers(1));
    until("the change is accepted", async || {
        apply(operators, "spots", DOCUMENT, 0, "token").await.0 == 200
    })
    .await;
    let repeat = apply(operators, "spots", DOCUMENT, 0, "token").await;
    assert_eq!(repeat.0, 200, "a repeat is answered like the first: {repeat:?}");
    assert_eq!(repeat.1["revision"], 1);
    until_generation(&entries[0], 1).await;
    let row = get(operators, "/v1/documents/spots").await;
    assert_eq!(row["history"].as_array().map(Vec::len), Some(1), "{row}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_dies_in_the_middle_of_an_apply() {
    let (env, mut entries) = open(2).await;
    env.apply_document(&entries[1]).await;
    let operators = entries[0].address("operators");
    env.table.set_fault(TableFault::Slow(std::time::Duration::from_millis(50)));
    let text = edited("late");
    let call = tokio::spawn({
        let text = text.clone();
        async move { apply(operators, "spots", &text, 1, "late").await }
    });
    tokio::time::sleep(std::time::Duration::from_millis(120)).await;
    entries[0].kill();
    assert_eq!(call.await.unwrap().0, 0, "the answer is lost");
    env.table.set_fault(TableFault::None);
    let other = entries[1].address("operators");
    let repeat = apply(other, "spots", &text, 1, "late").await;
    assert_eq!(repeat.0, 200, "the repeat through another entry settles it: {repeat:?}");
    assert_eq!(repeat.1["revision"], 2);
    until_generation(&entries[1], 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_document_comes_into_force_though_the_table_service_goes_down_at_once() {
    let (mut env, entries) = open(2).await;
    env.apply_document(&entries[0]).await;
    let host = env.spawn_host("w1").await;
    until_generation(&entries[1], 1).await;
    for base in 1..10 {
        let operators = entries[base % 2].address("operators");
        let (text, token) = (edited(&base.to_string()), base.to_string());
        let accepted = apply(operators, "spots", &text, base as u64, &token).await;
        env.table.set_fault(TableFault::Down);
        assert_eq!(accepted.0, 200, "{accepted:?}");
        for entry in &entries {
            until_generation(entry, base as u64 + 1).await;
        }
        until("the agent has it too", async || {
            host.agent.metric("endpoints", "gga_generation").await == base as f64 + 1.0
        })
        .await;
        env.table.set_fault(TableFault::None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_starts_in_an_outage_takes_the_newest_documents_of_its_peers() {
    let (mut env, entries) = open(2).await;
    env.apply_document(&entries[0]).await;
    let operators = entries[0].address("operators");
    let change = apply(operators, "spots", &edited("second"), 1, "second").await;
    assert_eq!(change.0, 200, "{change:?}");
    until_generation(&entries[0], 2).await;
    until_generation(&entries[1], 2).await;
    env.table.set_fault(TableFault::Down);
    let late = env.spawn_entry("e3");
    until_generation(&late, 2).await;
    let row = get(late.address("operators"), "/v1/documents/spots").await;
    assert!(row["text"].as_str().unwrap().starts_with("# second"), "{row}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_finds_neither_table_nor_peers_serves_nothing() {
    let mut env = TestEnv::open().await;
    env.table.set_fault(TableFault::Down);
    let entry = env.spawn_entry("e1");
    let callers = entry.address("callers");
    for _ in 0..10 {
        let ready = reqwest::get(format!("http://{callers}/readyz")).await.unwrap();
        assert_eq!(ready.status(), 503);
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    env.table.set_fault(TableFault::None);
    until("the entry is ready", async || {
        reqwest::get(format!("http://{callers}/readyz")).await.unwrap().status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_generation_never_goes_back() {
    let (env, entries) = open(3).await;
    env.apply_document(&entries[0]).await;
    let watched: Vec<_> = entries.iter().map(|entry| entry.address("operators")).collect();
    let watch = tokio::spawn(async move {
        let mut highest = [0_u64; 3];
        loop {
            for (index, operators) in watched.iter().enumerate() {
                let report = get(*operators, "/v1/cluster").await;
                let Some(generation) = report["generation"].as_u64() else { continue };
                assert!(generation >= highest[index], "{generation} after {highest:?}");
                highest[index] = generation;
                if highest.iter().all(|one| *one == 8) {
                    return;
                }
            }
        }
    });
    for base in 1..8 {
        let fault = if base % 2 == 0 { TableFault::LoseAnswers(1) } else { TableFault::None };
        env.table.set_fault(fault);
        let operators = entries[base as usize % 3].address("operators");
        let text = edited(&base.to_string());
        until("the change is accepted", async || {
            apply(operators, "spots", &text, base, &base.to_string()).await.0 == 200
        })
        .await;
    }
    env.table.set_fault(TableFault::None);
    watch.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn only_the_owners_key_changes_a_document() {
    let (_env, entries) = open(1).await;
    let operators = entries[0].address("operators");
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{operators}/v1/documents/spots?base=0&token=t");
    for (team, key) in [("traffic", "wrong"), ("nobody", TEAM_KEY), ("traffic", "")] {
        let call = client.put(&url).header("x-team", team).header("x-team-key", key);
        assert_eq!(call.body(DOCUMENT).send().await.unwrap().status(), 401, "{team}");
    }
    assert_eq!(client.put(&url).body(DOCUMENT).send().await.unwrap().status(), 401);
    assert_eq!(apply_as("planning", operators, "spots", DOCUMENT, 0, "t").await.0, 403);
    until("the owner's change is accepted", async || {
        apply(operators, "spots", DOCUMENT, 0, "t").await.0 == 200
    })
    .await;
    let stolen = DOCUMENT.replace("owner = traffic", "owner = planning");
    assert_eq!(apply_as("planning", operators, "spots", &stolen, 1, "u").await.0, 403);
    let (status, answer) = apply(operators, "spots", "[service]\nname = X\n", 1, "v").await;
    assert_eq!(status, 422);
    assert!(answer["error"].as_str().unwrap().contains("spots:2: service.name"), "{answer}");
    let other_name = DOCUMENT.replace("name = spots", "name = other");
    assert_eq!(apply(operators, "spots", &other_name, 1, "w").await.0, 422);
}

struct CtlRun {
    status: i32,
    out: String,
    err: String,
}

async fn ctl(args: &[&str]) -> CtlRun {
    let args: Vec<String> = args.iter().map(|arg| arg.to_string()).collect();
    let run = tokio::task::spawn_blocking(move || {
        Command::new(env!("CARGO_BIN_EXE_gga-ctl")).args(args).output().expect("gga-ctl runs")
    });
    let output = run.await.unwrap();
    CtlRun {
        status: output.status.code().unwrap_or(-1),
        out: String::from_utf8_lossy(&output.stdout).into_owned(),
        err: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn write(name: &str, text: &str) -> String {
    let folder = std::env::temp_dir().join(format!("gga-doc-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path: PathBuf = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn ctl_checks_applies_shows_and_reports_conflicts() {
    let good = write("good.ini", DOCUMENT);
    let bad = write("bad.ini", "[service]\nname = bad\n[requests]\nidempotent = maybe\n");
    let checked = ctl(&["check", &good, &bad]).await;
    assert_eq!(checked.status, 2);
    assert!(checked.err.contains("bad.ini:1: service.owner: missing"), "{}", checked.err);
    assert!(checked.err.contains("bad.ini:4: requests.idempotent"), "{}", checked.err);
    assert_eq!(ctl(&["check", &good]).await.status, 0);

    let (env, entries) = open(2).await;
    let operators = entries[0].address("operators").to_string();
    let key = write("key", TEAM_KEY);
    let sign_in = ["--entry", &operators, "--team", "traffic", "--key-file", &key, "--wait", "20s"];
    let apply_args = |file| [&["apply", file][..], &sign_in[..]].concat();
    let applied = ctl(&apply_args(&good)).await;
    assert_eq!(applied.status, 0, "{}", applied.err);
    assert!(applied.out.contains("spots: revision 1 generation 1"), "{}", applied.out);
    assert!(applied.out.contains("is in force in"), "{}", applied.out);
    assert!(ctl(&apply_args(&good)).await.out.contains("unchanged"));
    let shown = ctl(&["show", "spots", "--entry", &operators]).await;
    assert!(shown.out.contains("# revision 1 generation 1 team traffic"), "{}", shown.out);
    let cluster = ctl(&["show", "--entry", &operators]).await;
    assert!(cluster.out.contains("entry e1 generation 1"), "{}", cluster.out);
    env.table.set_fault(TableFault::Down);
    let refused = ctl(&apply_args(&write("edited.ini", &edited("x")))).await;
    assert_eq!(refused.status, 1);
    assert!(refused.err.contains("unavailable"), "{}", refused.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn ctl_shows_endpoints_workers_and_queues_and_what_is_missing() {
    let (mut env, entries) = open(2).await;
    env.apply_document(&entries[0]).await;
    let host = env.spawn_host("w1").await;
    let runner = env.spawn_runner(&host, Duration::ZERO).await;
    env.until_serving(&entries[0]).await;
    let callers = entries[0].address("callers");
    // The host has room for four of them.
    assert_eq!(submit(callers, &job("j", 6, 60_000)).await.0, 201);
    let operators = entries[0].address("operators").to_string();
    let expected = [
        "endpoint service=spots worker=w1 name=w1-r state=open slots=8",
        "worker name=w1 domain=wien-a rack=r1 heard=true tasks=4 free=0.0c",
        "queue team=traffic queued=2 urgent=0 running=4",
    ];
    until("all is shown", async || {
        let shown = ctl(&["show", "--entry", &operators]).await.out;
        expected.iter().all(|line| shown.contains(line))
    })
    .await;
    runner.leave(host.agent.address("endpoints")).await;
    until("the endpoint is shown as leaving", async || {
        ctl(&["show", "--entry", &operators]).await.out.contains("name=w1-r state=leaving")
    })
    .await;
    env.table.set_fault(TableFault::Down);
    until("the gap is shown", async || {
        let shown = ctl(&["show", "--entry", &operators]).await;
        shown.status == 0 && shown.out.contains("missing workers reason=table_service")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_checked_as_a_whole() {
    let file =
        write("entry.ini", "[entry]\nid = e1\ncaller-listen = here\n[platform]\ntabel = x\n");
    let run = tokio::task::spawn_blocking(move || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gga-entry"));
        command.args(["--settings", &file, "--check"]).output().unwrap()
    });
    let output = run.await.unwrap();
    assert_eq!(output.status.code(), Some(2));
    let err = String::from_utf8_lossy(&output.stderr);
    let places =
        ["1: entry.domain", "3: entry.caller-listen", "4: platform.table", "5: platform.tabel"];
    for place in places {
        assert!(err.contains(place), "{place} in {err}");
    }
}
