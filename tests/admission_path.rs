//! Admission control with real processes: hosts refuse from the published forecast and ask the planner, and what they say
//! of a job is true.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use greengagearch::platform::caller_gate;
use greengagearch::process::gate::CallDeadline;
use greengagearch::process::gate::JobGate;
use greengagearch::process::gate::JobRefusal;
use greengagearch::process::http_server::ListenerSettings;
use greengagearch::process::http_server::spawn_http_server;
use greengagearch::process::planning::evacuation_status::EvacuationStatus;
use greengagearch::process::planning::job_http;
use greengagearch::process::stop_signal::StopSwitch;
use greengagearch::version::queue_table::QueueRoute;
use greengagearch::version::queue_table::QueueTable;
use greengagearch::version::queue_table::RequestLimits;
use greengagearch::workflow::progress::JobStatus;
use greengagearch::workflow::spec::QueuePolicy;
use greengagearch::workflow::spec::WorkflowSpec;
use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_store::StoreFault;
use reqwest::StatusCode;
use reqwest::header::RETRY_AFTER;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;

const SETTINGS: &str = "[admission]\nworthless-after = 1\n";
/// A job of three tasks that each take a second on a core; the worker has four.
fn job() -> Value {
    json!({ "Spec": "run_ms=1000", "Steps": [
        { "Count": 3, "Cpu": 1_000, "MemMb": 10, "EstimateMs": 1_000 },
    ] })
}

async fn start(planners: usize, lines: &str) -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut env = PlatformCluster::start(programs, None, 0, 1).await;
    env.add_planner_lines(lines);
    for planner in 0..planners {
        env.add_planner().await;
        env.until_ready(planner).await;
    }
    env.until(async || env.store.keys("peers").len() == planners).await;
    if !lines.is_empty() {
        // The first planner refuses nothing until its workers have had 4 s to report.
        tokio::time::sleep(Duration::from_secs(5)).await;
    }
    env
}

/// Hands a job in once. Returns the status and the seconds after which to return.
async fn submit(
    env: &PlatformCluster,
    planner: usize,
    job_number: u64,
) -> (StatusCode, Option<u64>) {
    let url = env.url(planner, &format!("/q/{}", job_name(job_number)));
    let call = env.client().post(url).header("Host", CALLER_HOST).json(&job());
    let answer = call.send().await.unwrap();
    let seconds = answer.headers().get(RETRY_AFTER).map(|value| value.to_str().unwrap().parse());
    (answer.status(), seconds.map(Result::unwrap))
}

/// Hands jobs in at all hosts in turn, faster than the worker completes them, until some are refused. Returns the numbers of
/// those that were accepted and refused.
async fn overload(env: &PlatformCluster, planners: usize) -> (BTreeSet<u64>, BTreeSet<u64>) {
    let (mut accepted, mut refused) = (BTreeSet::new(), BTreeSet::new());
    for number in 1..200 {
        match submit(env, number as usize % planners, number).await {
            (StatusCode::OK, _) => accepted.insert(number),
            (StatusCode::TOO_MANY_REQUESTS, Some(seconds)) => {
                assert!((1..=30).contains(&seconds), "{seconds}");
                refused.insert(number)
            }
            other => panic!("{other:?}"),
        };
        if refused.len() >= 8 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(refused.len() >= 8, "{} jobs were accepted", accepted.len());
    (accepted, refused)
}

fn jobs_that_ran(env: &PlatformCluster) -> BTreeSet<String> {
    let records = env.journal.records();
    records.iter().filter_map(|record| record.task.split('.').next().map(str::to_string)).collect()
}

/// Guards against refused jobs that run, accepted jobs that are refused later or lost, and a caller that returns as told and is
/// not let in.
#[tokio::test]
async fn refused_jobs_never_run_and_accepted_ones_always_end() {
    let env = start(3, SETTINGS).await;
    let (accepted, mut refused) = overload(&env, 3).await;
    for number in accepted.iter().take(5) {
        let repeated = submit(&env, 1, *number).await.0;
        assert_eq!(
            repeated,
            StatusCode::OK,
            "a job that is stored is accepted whatever the backlog"
        );
    }
    let returning = *refused.first().unwrap();
    refused.remove(&returning);
    let limit = tokio::time::Instant::now() + Duration::from_secs(45);
    while let (StatusCode::TOO_MANY_REQUESTS, seconds) = submit(&env, 2, returning).await {
        assert!(
            tokio::time::Instant::now() < limit,
            "the caller is told to return again and again"
        );
        tokio::time::sleep(Duration::from_secs(seconds.unwrap())).await;
    }
    for number in accepted.iter().chain([&returning]) {
        env.until_state(0, &job_name(*number), "completed").await;
    }
    let ran = jobs_that_ran(&env);
    assert!(refused.iter().all(|number| !ran.contains(&job_name(*number))), "{refused:?} {ran:?}");
    assert_eq!(ran.len(), accepted.len() + 1);
    env.assert_nothing_doubled();
}

/// Guards against a refusal of a job whose first submission got no answer and is carried out by the store after it.
#[tokio::test]
async fn a_job_whose_submission_may_be_stored_later_is_not_refused() {
    let env = start(3, SETTINGS).await;
    env.planners[2].listener.set_fault(StoreFault::LateWrites(Duration::from_secs(6)));
    let url = env.url(2, &format!("/q/{}", job_name(700)));
    let call = env.client().post(url).header("Host", CALLER_HOST).json(&job());
    let first = call.header("X-Greengagearch-Deadline-Ms", "1200").send().await.unwrap();
    assert_eq!(first.status(), StatusCode::GATEWAY_TIMEOUT);
    let (_, refused) = overload(&env, 2).await;
    assert_eq!(submit(&env, 1, 700).await.0, StatusCode::OK);
    assert_eq!(submit(&env, 1, *refused.first().unwrap()).await.0, StatusCode::TOO_MANY_REQUESTS);
    env.until_state(0, &job_name(700), "completed").await;
    env.assert_nothing_doubled();
}

/// Guards against a refusal of a job whose caller disconnected while the store was called, so that its host ended the call
/// without an answer.
#[tokio::test]
async fn a_job_whose_caller_disconnected_is_not_refused() {
    let env = start(3, SETTINGS).await;
    env.planners[2].listener.set_fault(StoreFault::LateWrites(Duration::from_secs(6)));
    let url = env.url(2, &format!("/q/{}", job_name(700)));
    let call = env.client().post(url).header("Host", CALLER_HOST).json(&job());
    assert!(call.timeout(Duration::from_millis(400)).send().await.unwrap_err().is_timeout());
    let (_, refused) = overload(&env, 2).await;
    assert_eq!(submit(&env, 1, 700).await.0, StatusCode::OK);
    assert_eq!(submit(&env, 1, *refused.first().unwrap()).await.0, StatusCode::TOO_MANY_REQUESTS);
    env.until_state(0, &job_name(700), "completed").await;
    env.assert_nothing_doubled();
}

/// Guards against a host that says of an accepted job that it was not accepted, because neither the planner nor the store
/// tells it in time whether the job exists.
#[tokio::test]
async fn an_accepted_job_is_not_refused_while_nobody_knows_it() {
    let env = start(2, SETTINGS).await;
    let (accepted, _) = overload(&env, 2).await;
    env.planners[0].process.signal("STOP");
    env.planners[1].listener.set_fault(StoreFault::Slow(Duration::from_secs(3)));
    let repeated = accepted.iter().take(5).map(async |number| {
        let url = env.url(1, &format!("/q/{}", job_name(*number)));
        let call = env.client().post(url).header("Host", CALLER_HOST).json(&job());
        call.header("X-Greengagearch-Deadline-Ms", "1200").send().await.unwrap().status()
    });
    for status in futures::future::join_all(repeated).await {
        assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    }
}

/// Guards against hosts that refuse everything, or wait for the planner, when it does not answer, and against a successor that
/// refuses without need.
#[tokio::test]
async fn a_frozen_planner_delays_no_answer_and_its_successor_admits() {
    let mut env = start(2, SETTINGS).await;
    let owner = env.store.changes_of("ownership", Some("planner"));
    assert!(owner > 0);
    let (accepted, refused) = overload(&env, 2).await;
    // The first host is the planner, since it started alone.
    env.planners[0].process.signal("STOP");
    let (mut admitted, mut answers) = (0, 0);
    for number in 500..520 {
        let asked_at = tokio::time::Instant::now();
        let (status, _) = submit(&env, 1, number).await;
        assert!(asked_at.elapsed() < Duration::from_millis(900), "{:?}", asked_at.elapsed());
        assert!([StatusCode::OK, StatusCode::TOO_MANY_REQUESTS].contains(&status), "{status}");
        admitted += u64::from(status == StatusCode::OK);
        answers += 1;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    assert!(admitted > 0 && answers == 20, "{admitted} of {answers}");
    env.planners[0].process.kill();
    for number in &accepted {
        env.until_state(1, &job_name(*number), "completed").await;
    }
    env.until(async || submit(&env, 1, 900).await.0 == StatusCode::OK).await;
    env.until_state(1, &job_name(900), "completed").await;
    let ran = jobs_that_ran(&env);
    assert!(refused.iter().all(|number| !ran.contains(&job_name(*number))));
    env.assert_nothing_doubled();
}

/// Guards against refusals where admission control is not enabled.
#[tokio::test]
async fn without_the_setting_everything_is_accepted() {
    let env = start(2, "").await;
    for number in 1..60 {
        assert_eq!(submit(&env, number as usize % 2, number).await.0, StatusCode::OK);
    }
}

/// A service that admits nothing.
struct ClosedGate;

#[async_trait]
impl JobGate for ClosedGate {
    fn is_ready(&self) -> bool {
        true
    }

    fn queues(&self) -> Option<Arc<QueueTable>> {
        let policy = QueuePolicy { queue: "q".to_string(), ..WorkflowSpec::unknown().policy };
        let route = QueueRoute { prefix: "/q/".to_string(), policy };
        let limits = RequestLimits { max_body_bytes: 10_000, ..RequestLimits::default() };
        Some(Arc::new(QueueTable::new(1, limits, vec![(CALLER_HOST.to_string(), route)])))
    }

    fn wall_millis(&self) -> u64 {
        0
    }

    async fn submit(&self, _: &str, _: WorkflowSpec, _: CallDeadline) -> Result<(), JobRefusal> {
        let retry_after = Duration::from_secs(7);
        Err(JobRefusal::NotAdmitted { reason: "backlog".to_string(), retry_after })
    }

    async fn status(&self, _: &str, _: CallDeadline) -> Result<Option<JobStatus>, JobRefusal> {
        Ok(None)
    }

    async fn cancel(&self, _: &str, _: CallDeadline) -> Result<bool, JobRefusal> {
        Ok(false)
    }

    fn pending(&self, _: &str) -> u64 {
        0
    }

    fn evacuations(&self) -> Option<EvacuationStatus> {
        None
    }
}

/// Guards against a listener that answers with a constant time instead of the one that was decided.
#[tokio::test]
async fn both_listeners_tell_when_to_return() {
    let (_switch, stop) = StopSwitch::new();
    let gate: Arc<dyn JobGate> = Arc::new(ClosedGate);
    let routers = [
        (caller_gate::router(gate.clone()), format!("/q/{}", job_name(1))),
        (job_http::router(gate), "/v1/workflows".to_string()),
    ];
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    for (router, path) in routers {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let url = format!("http://{}{path}", listener.local_addr().unwrap());
        spawn_http_server(listener, router, ListenerSettings::default(), stop.clone());
        let body = if path.starts_with("/q/") {
            job()
        } else {
            json!({ "id": "a", "queue": "q", "steps": [{ "count": 1 }] })
        };
        let answer = client.post(url).header("Host", CALLER_HOST).json(&body).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::TOO_MANY_REQUESTS, "{path}");
        assert_eq!(answer.headers()[RETRY_AFTER], "7", "{path}");
    }
}
