//! Entry hosts are cut off from the store, one after another, each for 4 s. Jobs are cancelled while
//! the acting planner is cut off; their next steps become ready meanwhile.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::Record;

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r-build","Host":"nony24.example","Prefix":"/build/","Kind":"non_idempotent","TimeoutMs":3000,"TargetDurationMs":1000,"Priority":2,"Service":"app","MaxAttempts":3,"Stretch":2.0}],"Services":[{"Name":"app","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"EnforcesCapacity":true,"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;
/// Two steps; the second becomes ready while the planner is cut off.
const JOB: &str = r#"{"Spec":"2000,1500","Steps":[{"Count":3,"Cpu":500,"MemMb":256,"EstimateMs":2000},{"Count":3,"Cpu":500,"MemMb":256,"EstimateMs":1500,"After":[0]}]}"#;
const ROUNDS: u64 = 9;
const JOBS: u64 = 4;
/// `for_s` of a cut; the site file has 4.0 and 5.5.
const CUT: Duration = Duration::from_secs(4);
/// `cancel_ms` of the site.
const CANCEL_BOUND: Duration = Duration::from_secs(3);
/// Times since the begin of a round.
const PLANNER_CUT: Duration = Duration::from_millis(500);
const FIRST_CUT: Duration = Duration::from_millis(800);
const CANCEL: Duration = Duration::from_millis(850);
const LAST_CUT: Duration = Duration::from_millis(1_100);
const ROUND: Duration = Duration::from_millis(11_500);

/// The host that took over planning last.
fn planner(deployment: &Deployment) -> usize {
    let epoch = |host: &usize| {
        let lines = deployment.processes[*host].lines("event=planning_started");
        let epochs = lines.iter().filter_map(|line| line.split("epoch=").nth(1));
        let numbers = epochs.filter_map(|text| text.split(' ').next()?.parse::<u64>().ok());
        numbers.max().unwrap_or(0)
    };
    (0..deployment.entries.len()).max_by_key(epoch).unwrap_or(0)
}

fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn play(path: &Path, trouble: bool) -> Verdict {
    let mut record = Record::open(path);
    let mut deployment = Deployment::start(CONFIG, 4);
    if !deployment.wait_until_ready() {
        record.line("the processes do not become ready");
        deployment.end();
        return Verdict::NotRun;
    }
    record.line(&format!("3 gga-planner and 4 gga-node are ready; TROUBLE={}", i32::from(trouble)));
    let mut cancelled: BTreeMap<String, Instant> = BTreeMap::new();
    for round in 0..ROUNDS {
        let start = Instant::now();
        play_round(&deployment, round, trouble, &mut cancelled, &mut record);
        sleep_until(start + ROUND);
    }
    let verdict = judge(&deployment, &cancelled, &mut record);
    deployment.end();
    verdict
}

fn play_round(
    deployment: &Deployment,
    round: u64,
    trouble: bool,
    cancelled: &mut BTreeMap<String, Instant>,
    record: &mut Record,
) {
    let acting = planner(deployment);
    let others: Vec<usize> = (0..deployment.entries.len()).filter(|host| *host != acting).collect();
    let (first, last) = (others[0], others[1]);
    record.line(&format!("round {round}: host {acting} plans"));
    let begin = Instant::now();
    let cut = |host: usize, is_cut: bool, record: &mut Record| {
        deployment.links[host].cut(is_cut && trouble);
        let what = if is_cut { "cut off from the store" } else { "connected again" };
        if trouble {
            record.line(&format!("host {host} is {what}"));
        }
    };
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let name = format!("{:016x}", 0x4000_0000_0000_0000 + round * 0x100 + number);
        let (status, _) = deployment.call(last, "POST", &format!("/build/{name}"), JOB);
        record.line(&format!("POST /build/{name}: {status}"));
        if status == 200 {
            jobs.push(name);
        }
    }
    sleep_until(begin + PLANNER_CUT);
    cut(acting, true, record);
    sleep_until(begin + FIRST_CUT);
    cut(first, true, record);
    sleep_until(begin + CANCEL);
    for name in &jobs {
        let (status, _) = deployment.call(last, "DELETE", &format!("/build/{name}"), "");
        record.line(&format!("DELETE /build/{name}: {status}"));
        if status == 200 {
            cancelled.insert(name.clone(), Instant::now());
        }
    }
    sleep_until(begin + LAST_CUT);
    cut(last, true, record);
    for (host, at) in [(acting, PLANNER_CUT), (first, FIRST_CUT), (last, LAST_CUT)] {
        sleep_until(begin + at + CUT);
        cut(host, false, record);
    }
}

/// UNASKED: a task starts later than `cancel_ms` after the job's cancelling was acknowledged. The
/// machines that start are the agents', on which there is no disruption.
fn judge(
    deployment: &Deployment,
    cancelled: &BTreeMap<String, Instant>,
    record: &mut Record,
) -> Verdict {
    let mut late = 0;
    for event in deployment.events.lock().unwrap().iter() {
        let job = event.task.split('.').next().unwrap_or("");
        let since = cancelled.get(job).map(|at| event.at.saturating_duration_since(*at));
        if event.what == "start" && since.is_some_and(|since| since > CANCEL_BOUND) {
            late += 1;
            let (task, run) = (&event.task, event.run);
            let since = since.unwrap_or_default().as_millis();
            record.line(&format!("{task} run {run} starts {since} ms after the cancel's answer"));
        }
    }
    let jobs = cancelled.len();
    record.line(&format!("{jobs} jobs were cancelled; {late} tasks of them start too late"));
    record.line(if late > 0 { "BROKEN: UNASKED" } else { "held" });
    match (late, jobs) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
