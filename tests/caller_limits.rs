//! Limits on the requests of callers: what is inside them is served however it comes, and what is
//! outside them is refused or closed.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::processes::SettingsFolder;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest head and body of a request in bytes.
const HEAD_BYTES: usize = 16_384;
const BODY_BYTES: usize = 262_144;
/// Time for which a peer waits for the end of its connection; it only ends a test that would hang.
const END_LIMIT: Duration = Duration::from_secs(20);

async fn start() -> PlatformCluster {
    start_logged(None).await
}

async fn start_logged(logs: Option<PathBuf>) -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    let cluster = PlatformCluster::start(programs, logs, 1, 1).await;
    cluster.submit_until_accepted(0, &job_name(1), &job_of_steps("run_ms=50", &[1])).await;
    cluster
}

async fn connect(cluster: &PlatformCluster) -> TcpStream {
    TcpStream::connect(cluster.planners[0].process.address("callers")).await.unwrap()
}

/// What the peer sends until it closes the connection.
async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let reading = timeout(END_LIMIT, stream.read_to_end(&mut text)).await;
    // A connection that is reset has ended too.
    let _ = reading.expect("the connection ends");
    String::from_utf8_lossy(&text).into_owned()
}

/// A head of a submission with this size; its last header is filled up.
fn head_of_size(size: usize, body_bytes: usize) -> String {
    let start = format!(
        "POST /q/{} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nConnection: close\r\n\
         Content-Length: {body_bytes}\r\nX-Filler: ",
        job_name(2)
    );
    let filler = "a".repeat(size - start.len() - "\r\n\r\n".len());
    format!("{start}{filler}\r\n\r\n")
}

/// Guards against time limits of the configuration that are not applied: half a head and an idle
/// connection were left open for a minute.
#[tokio::test]
async fn the_configuration_bounds_heads_and_idle_connections() {
    let cluster = start().await;
    let limits = json!({ "HeaderTimeoutMs": 200, "IdleTimeoutMs": 300 });
    cluster.configure_limits(2, &["q", "limited"], &limits);
    let status = async || cluster.submit(0, &job_name(3), &job_of_steps("", &[1])).await;
    cluster.until(async || status().await.is_success()).await;
    let known = async || {
        let url = cluster.url(0, "/limited/");
        let answer = cluster.client().get(url).header("Host", CALLER_HOST).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    };
    cluster.until(known).await;
    let mut idle = connect(&cluster).await;
    let mut half = connect(&cluster).await;
    half.write_all(b"POST /q/1 HTTP/1.1\r\nHost").await.unwrap();
    let mut body = connect(&cluster).await;
    body.write_all(head_of_size(400, 10).as_bytes()).await.unwrap();
    assert_eq!(read_to_end(&mut idle).await, "");
    assert_eq!(read_to_end(&mut half).await, "");
    let answer = read_to_end(&mut body).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("retry-after: 1"), "{answer}");
}

#[tokio::test]
async fn a_head_of_the_largest_size_is_served_and_a_larger_one_is_refused() {
    let cluster = start().await;
    let body = job_of_steps("run_ms=50", &[1]).to_string();
    let mut largest = connect(&cluster).await;
    let head = head_of_size(HEAD_BYTES, body.len());
    largest.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
    let answer = read_to_end(&mut largest).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let mut larger = connect(&cluster).await;
    let head = head_of_size(4 * HEAD_BYTES, body.len());
    // The rest may be refused while it is sent.
    let _ = larger.write_all(format!("{head}{body}").as_bytes()).await;
    let answer = read_to_end(&mut larger).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

/// Guards against bounds on bodies that cut off an ordinary caller behind a thin link.
#[tokio::test]
async fn a_body_of_the_largest_size_that_comes_slowly_is_served() {
    const PIECES: usize = 20;
    const PAUSE: Duration = Duration::from_millis(200);
    let cluster = start().await;
    let job = job_of_steps("run_ms=50", &[1]).to_string();
    let body = format!("{job}{}", " ".repeat(BODY_BYTES - job.len()));
    let mut caller = connect(&cluster).await;
    caller.write_all(head_of_size(400, body.len()).as_bytes()).await.unwrap();
    for piece in body.as_bytes().chunks(BODY_BYTES.div_ceil(PIECES)) {
        tokio::time::sleep(PAUSE).await;
        caller.write_all(piece).await.unwrap();
    }
    let answer = read_to_end(&mut caller).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against partial requests that hold a stop up until the process is killed.
#[tokio::test]
async fn callers_that_stay_do_not_hold_a_stop_up() {
    let logs = SettingsFolder::open();
    let mut cluster = start_logged(Some(logs.path().to_path_buf())).await;
    let mut callers = Vec::new();
    for sent in ["", "POST /q/1 HT", &head_of_size(400, 10)] {
        let mut caller = connect(&cluster).await;
        caller.write_all(sent.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    cluster.submit_until_accepted(0, &job_name(4), &job_of_steps("run_ms=50", &[1])).await;
    let planner = &mut cluster.planners[0].process;
    planner.signal("TERM");
    assert!(planner.ended().await);
    let log = std::fs::read_to_string(logs.path().join("planner-0.log")).unwrap();
    assert!(log.contains("event=stopped"), "{log}");
    assert!(!log.contains("drain_limit_passed"), "{log}");
}
