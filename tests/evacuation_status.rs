//! What operators are told of evacuations, with real processes: by the planner, by another process, across a takeover, and while the store
//! is away.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use greengagearch::process::planning::evacuation_status::DomainStatus;
use greengagearch::process::planning::evacuation_status::EvacuationStatus;
use greengagearch::process::planning::evacuation_status::StatusSource;
use greengagearch::workflow::evacuation_summary::PowerHindrance;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::platform_store::StoreFault;
use reqwest::StatusCode;

/// Tasks of a job that do not all fit on the workers of one domain (26), and all on the workers of both.
const TASKS: u32 = 30;

/// Planner processes, and four workers in the domains z0 and z1.
async fn start(planners: usize, lines: &str) -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let mut env = PlatformCluster::start_in_domains(programs, None, 0, 4, 2).await;
    env.add_planner_keys(&format!("job-listen = 127.0.0.1:0\n{lines}"));
    for planner in 0..planners {
        env.add_planner().await;
        env.until_ready(planner).await;
    }
    env
}

fn evacuate(env: &PlatformCluster) {
    env.store.put("op", "", "evacuate/z0", STANDARD.encode("{}"));
}

async fn status(env: &PlatformCluster, planner: usize) -> Option<EvacuationStatus> {
    let address = env.planners[planner].process.address("jobs");
    let response =
        env.client().get(format!("http://{address}/v1/evacuations")).send().await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    response.json().await.ok()
}

/// What a process says of z0.
async fn domain(env: &PlatformCluster, planner: usize) -> Option<(EvacuationStatus, DomainStatus)> {
    let status = status(env, planner).await?;
    let domain = status.domains.iter().find(|one| one.domain == "z0").cloned()?;
    Some((status, domain))
}

/// Waits until what a process says of z0 fulfils a condition.
async fn until_domain(
    env: &PlatformCluster,
    planner: usize,
    condition: impl Fn(&EvacuationStatus, &DomainStatus) -> bool,
) -> (EvacuationStatus, DomainStatus) {
    env.until(async || {
        domain(env, planner).await.is_some_and(|(status, domain)| condition(&status, &domain))
    })
    .await;
    domain(env, planner).await.unwrap()
}

/// Number of the process that owns planning.
async fn owner(env: &PlatformCluster, planners: &[usize]) -> usize {
    let find = async || {
        for planner in planners {
            let status = status(env, *planner).await;
            if status.is_some_and(|status| status.source == StatusSource::Planner) {
                return Some(*planner);
            }
        }
        None
    };
    env.until(async || find().await.is_some()).await;
    find().await.unwrap()
}

/// Runs at work in z0.
fn running_in_domain(env: &PlatformCluster) -> usize {
    let records = env.journal.records();
    let is_inside = |instance: &str| {
        let node = env.nodes.iter().position(|node| node.runner.instance == instance);
        node.is_some_and(|node| env.domain_of(node) == 0)
    };
    records.iter().filter(|one| one.ended.is_none() && is_inside(&one.instance)).count()
}

fn ctl(address: SocketAddr) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gga-ctl"));
    let output = command.args(["evacuations", "--planner", &address.to_string()]).output().unwrap();
    (output.status.success(), String::from_utf8(output.stdout).unwrap())
}

/// Guards against a takeover that hides the evacuation, loses since when it is in force, or lets operators cut
/// power while runs are at work; and against other processes that cannot tell.
#[tokio::test]
async fn every_process_shows_the_evacuation_also_across_a_takeover() {
    let mut env = start(2, "").await;
    let job = job_name(1);
    env.submit_until_accepted(0, &job, &job_of_steps("run_ms=9000", &[TASKS])).await;
    env.until(async || running_in_domain(&env) > 0).await;
    evacuate(&env);
    let first = owner(&env, &[0, 1]).await;
    let other = 1 - first;
    let (_, at_planner) =
        until_domain(&env, first, |_, domain| domain.evacuation.workers == 2).await;
    assert!(at_planner.evacuation.runs.batch > 0, "{at_planner:?}");
    assert_eq!(at_planner.hindrance, Some(PowerHindrance::RunsLeft));
    let (status, at_other) =
        until_domain(&env, other, |_, domain| domain.evacuation.runs.total() > 0).await;
    assert_eq!(status.source, StatusSource::Heartbeat);
    assert!(status.age_ms < 3_000, "{status:?}");
    assert_eq!(at_other.evacuation.since_ms, at_planner.evacuation.since_ms);
    env.planners[first].process.kill();
    let mut is_taken_over = false;
    while running_in_domain(&env) > 0 {
        let running = running_in_domain(&env);
        let Some((status, domain)) = domain(&env, other).await else {
            panic!("the evacuation is not shown");
        };
        if running_in_domain(&env) > 0 {
            assert!(!domain.can_cut_power, "{running} runs are at work: {status:?}");
        }
        is_taken_over |= status.source == StatusSource::Planner && status.requests_read;
        assert_eq!(domain.evacuation.since_ms, at_planner.evacuation.since_ms, "{status:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(is_taken_over, "the test has to see the successor while runs are at work");
    let (status, _) = until_domain(&env, other, |_, domain| domain.can_cut_power).await;
    assert_eq!((status.source, status.unlocated_runs), (StatusSource::Planner, 0));
    let (is_done, text) = ctl(env.planners[other].process.address("jobs"));
    assert!(is_done && text.contains("evacuation domain=z0 "), "{text}");
    assert!(text.contains(" runs=0 ") && text.contains(" can_cut_power=true"), "{text}");
    env.store.remove("op", "", "evacuate/z0");
    env.until(async || status_is_empty(&env, other).await).await;
    env.until_state(other, &job, "completed").await;
    env.assert_nothing_doubled();
}

async fn status_is_empty(env: &PlatformCluster, planner: usize) -> bool {
    status(env, planner).await.is_some_and(|status| status.domains.is_empty())
}

/// Guards against an answer that is taken for current while the store is away: requests may have been taken back.
#[tokio::test]
async fn while_the_store_is_away_no_process_says_that_power_can_be_cut() {
    let env = start(2, "").await;
    evacuate(&env);
    for planner in 0..2 {
        until_domain(&env, planner, |_, domain| domain.can_cut_power).await;
    }
    let planner = owner(&env, &[0, 1]).await;
    env.planners.iter().for_each(|seat| seat.listener.set_fault(StoreFault::Silent));
    let (status, _) = until_domain(&env, planner, |status, _| !status.requests_read).await;
    assert_eq!(status.source, StatusSource::Planner);
    let is_old = |_: &EvacuationStatus, domain: &DomainStatus| {
        domain.hindrance == Some(PowerHindrance::SummaryOld)
    };
    for planner in 0..2 {
        let (status, domain) = until_domain(&env, planner, is_old).await;
        assert!(status.age_ms > 3_000 && !domain.can_cut_power, "{status:?}");
    }
    env.planners.iter().for_each(|seat| seat.listener.set_fault(StoreFault::None));
    for planner in 0..2 {
        until_domain(&env, planner, |_, domain| domain.can_cut_power).await;
    }
}

/// Guards against gauges that are not fed, or that go on showing an evacuation that is over.
#[tokio::test]
async fn the_planner_counts_what_is_left_in_its_metrics() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let env = start(1, &format!("metrics-listen = {free}\n")).await;
    env.submit_until_accepted(0, &job_name(1), &job_of_steps("run_ms=60000", &[TASKS])).await;
    env.until(async || running_in_domain(&env) > 0).await;
    let metrics = async || {
        let response = env.client().get(format!("http://{free}/metrics")).send().await.unwrap();
        response.text().await.unwrap()
    };
    evacuate(&env);
    env.until(async || metrics().await.contains("gga_evacuated_workers{domain=\"z0\"} 2\n")).await;
    // Starts that were decided before may still be on their way.
    env.until(async || {
        let left = running_in_domain(&env);
        metrics().await.contains(&format!("gga_evacuated_runs{{domain=\"z0\"}} {left}\n"))
    })
    .await;
    env.store.remove("op", "", "evacuate/z0");
    env.until(async || !metrics().await.contains("gga_evacuated_")).await;
}
