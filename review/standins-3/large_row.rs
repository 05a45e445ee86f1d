//! A timed job whose occurrences overlap, beside small jobs. Its progress grows beyond `RowBytes`.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::Record;
use crate::deployment::wall_ms;
use crate::json::Json;

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r-quick","Host":"nony24.example","Prefix":"/quick/","Kind":"non_idempotent","TimeoutMs":3000,"TargetDurationMs":250,"Priority":0,"Service":"app","MaxAttempts":2,"Stretch":1.5},{"Name":"r-timed","Host":"nony24.example","Prefix":"/timed/","Kind":"non_idempotent","TimeoutMs":3000,"TargetDurationMs":1000,"Priority":2,"Service":"app","MaxAttempts":3,"Stretch":2.0}],"Services":[{"Name":"app","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"EnforcesCapacity":true,"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;
const QUICK: &str =
    r#"{"Spec":"500","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":500}]}"#;
const TRAFFIC: Duration = Duration::from_secs(64);
const GAP: Duration = Duration::from_millis(500);
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);
const OBSERVED: Duration = Duration::from_millis(3_000);
const TIMED: &str = "5c0e7a21d94b36f8";

pub fn play(folder: &Path, trouble: bool) -> Verdict {
    let mut record = Record::open(folder);
    let mut deployment = Deployment::start(CONFIG, 4);
    if !deployment.wait_until_ready() {
        record.line("the processes do not become ready");
        deployment.end();
        return Verdict::NotRun;
    }
    record.line(&format!("3 gga-planner and 4 gga-node are ready; TROUBLE={}", i32::from(trouble)));
    let mut accepted = Vec::new();
    let mut largest = 0;
    let start = Instant::now();
    let mut is_timed_sent = false;
    for number in 0_u32.. {
        if start.elapsed() >= TRAFFIC {
            break;
        }
        if !is_timed_sent && start.elapsed() >= Duration::from_secs(3) {
            is_timed_sent = true;
            if !submit_timed(&deployment, trouble, &mut record) {
                deployment.end();
                return Verdict::NotRun;
            }
        }
        let name = format!("{:016x}", 0x1000_0000_0000_0000_u64 + u64::from(number) * 0x9e37);
        let sent = Instant::now();
        let (status, _) = deployment.submit(number as usize, &format!("/quick/{name}"), QUICK);
        let took = sent.elapsed().as_millis();
        record.line(&format!("POST /quick/{name}: {status} after {took} ms"));
        if status == 200 {
            accepted.push(name);
        }
        let (size, row) = deployment.store.largest();
        if size > largest + 4_000 {
            largest = size;
            record.line(&format!("the largest value has {size} bytes: {row}"));
        }
        std::thread::sleep((start + GAP * (number + 1)).saturating_duration_since(Instant::now()));
    }
    record.line(&format!("end of the traffic; {} quick jobs were accepted", accepted.len()));
    std::thread::sleep(FINISH);
    let verdict = judge(&deployment, &accepted, &mut record);
    for process in &deployment.processes {
        for text in ["commit_failed", "planning_started", "panicked"] {
            for line in process.lines(text).iter().take(4) {
                record.line(&format!("log of {}: {line}", process.name));
            }
        }
    }
    for (what, number) in deployment.store.refused() {
        record.line(&format!("the store refused {number} times: {what}"));
    }
    deployment.end();
    verdict
}

/// Submits 12 occurrences of 400 short tasks and one longer task, 4 s apart. With the trouble, the
/// longer task takes 60 s, so that the occurrences overlap.
fn submit_timed(deployment: &Deployment, trouble: bool, record: &mut Record) -> bool {
    let long_ms = if trouble { 60_000 } else { 500 };
    let first = wall_ms() + 1_000;
    let short = r#"{"Count":400,"Cpu":200,"MemMb":64,"EstimateMs":200}"#;
    let long = format!(r#"{{"Count":1,"Cpu":200,"MemMb":64,"EstimateMs":{long_ms}}}"#);
    let times = format!(r#""Times":12,"FirstMs":{first},"IntervalMs":4000"#);
    let body = format!(r#"{{"Spec":"200,{long_ms}","Steps":[{short},{long}],{times}}}"#);
    let (status, _) = deployment.submit(0, &format!("/timed/{TIMED}"), &body);
    record.line(&format!("POST /timed/{TIMED} {body}: {status}"));
    status == 200
}

/// LOST: after `finish_s`, a job isn't known, or for 3 s has nothing running though it has not
/// ended. The runners have capacity for every job many times over.
fn judge(deployment: &Deployment, accepted: &[String], record: &mut Record) -> Verdict {
    let mut open = Vec::new();
    for (entry, name) in accepted.iter().enumerate() {
        let path = format!("/quick/{name}");
        let mut told = deployment.call(entry, "GET", &path, "");
        if told.0 == 0 {
            told = deployment.call(entry + 1, "GET", &path, "");
        }
        let state = Json::parse(&told.1).map(|body| body.get("State").text().to_string());
        let state = state.unwrap_or_default();
        if state != "completed" {
            record.line(&format!("GET {path}: {} {state}", told.0));
            open.push(name.clone());
        }
    }
    let end = Instant::now() + OBSERVED;
    let mut idle = open.clone();
    let mut most = 0;
    while Instant::now() < end {
        let running = deployment.running();
        most = most.max(running.len());
        idle.retain(|name| !running.iter().any(|(task, _)| task.starts_with(name.as_str())));
        std::thread::sleep(Duration::from_millis(50));
    }
    let (accepted, open, lost) = (accepted.len(), open.len(), idle.len());
    record.line(&format!("at most {most} tasks run, of 0.2 to 0.5 of 256 cores each"));
    record.line(&format!(
        "of {accepted} accepted quick jobs, {open} are not completed, of which {lost} have nothing \
         running for 3 s"
    ));
    let events = deployment.events.lock().unwrap();
    for what in ["start", "done", "lapsed", "stopped"] {
        let count = events.iter().filter(|event| event.what == what).count();
        record.line(&format!("{count} runs: {what}"));
    }
    if let Some(last) = events.iter().rfind(|event| event.what == "start") {
        let ago = last.at.elapsed().as_secs_f64();
        record.line(&format!("the last start, {} run {}, was {ago:.1} s ago", last.task, last.run));
    }
    record.line(if lost > 0 { "BROKEN: LOST" } else { "held" });
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
