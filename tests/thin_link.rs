//! Entry hosts behind thin links: what is large takes longer than any fixed time limit, and must come through all
//! the same, without keeping the rest from it.

use std::path::Path;
use std::time::Duration;

use greengagearch::platform::http_client::CallResult;
use greengagearch::platform::http_client::PlatformHttp;
use greengagearch_standins::platform_cluster::CALLER_HOST;
use greengagearch_standins::platform_cluster::PlatformCluster;
use greengagearch_standins::platform_cluster::job_name;
use greengagearch_standins::platform_cluster::job_of_steps;
use greengagearch_standins::proxy::ProxyFault;
use reqwest::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Bytes a second of the thinnest link that was met, 2 Mbit/s.
const THIN_LINK: u32 = 250_000;
/// Routes of a configuration that takes two seconds on it.
const MANY_QUEUES: usize = 1_700;

/// Starts the system with the programs of this build.
async fn start(planners: usize, nodes: usize) -> PlatformCluster {
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap();
    PlatformCluster::start(programs, None, planners, nodes).await
}

/// The load: a configuration that grows by many routes, at entry hosts whose links bear 2 Mbit/s, while jobs come in.
/// With one limit of 1.4 s for the whole answer no host ever has it.
#[tokio::test]
async fn a_large_configuration_comes_into_force_over_a_thin_link() {
    let env = start(2, 1).await;
    for planner in &env.planners {
        planner.line.set_fault(ProxyFault::Thin(THIN_LINK));
    }
    let names: Vec<String> = (0..MANY_QUEUES).map(|number| format!("queue-{number}")).collect();
    let mut queues: Vec<&str> = names.iter().map(String::as_str).collect();
    queues.push("q");
    env.configure(2, &queues);
    for planner in 0..2 {
        let status = async || {
            let url = env.url(planner, &format!("/{}/", names[MANY_QUEUES - 1]));
            let answer = env.client().get(url).header("Host", CALLER_HOST).send().await;
            answer.unwrap().status()
        };
        env.until(async || status().await == StatusCode::OK).await;
    }
    env.submit_until_accepted(0, &job_name(1), &job_of_steps("run_ms=50", &[2])).await;
    env.until_state(1, &job_name(1), "completed").await;
}

/// Serves one connection: the head of an answer and then pieces of its body with a pause before each.
async fn serve_in_pieces(pieces: &'static [(&'static str, Duration)]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = [0; 1_024];
        assert!(stream.read(&mut head).await.unwrap() > 0, "the call came");
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n").await.unwrap();
        for (piece, pause) in pieces {
            tokio::time::sleep(*pause).await;
            stream.write_all(piece.as_bytes()).await.unwrap();
        }
        std::future::pending::<()>().await;
    });
    format!("http://{address}/")
}

#[tokio::test]
async fn a_body_that_makes_progress_is_read_to_its_end() {
    const PAUSE: Duration = Duration::from_millis(100);
    const PIECES: &[(&str, Duration)] =
        &[("01234", PAUSE), ("56789", PAUSE), ("01234", PAUSE), ("56789", PAUSE)];
    let url = serve_in_pieces(PIECES).await;
    let http = PlatformHttp::open();
    let answer = http.send(http.client().get(url), Duration::from_millis(300)).await;
    assert_eq!(answer, CallResult::Answer(StatusCode::OK, b"01234567890123456789".to_vec()));
}

#[tokio::test]
async fn a_body_that_stands_still_is_given_up() {
    let url = serve_in_pieces(&[("01234", Duration::ZERO)]).await;
    let http = PlatformHttp::open();
    let answer = http.send(http.client().get(url), Duration::from_secs(30)).await;
    assert!(matches!(answer, CallResult::NoAnswer(_)), "{answer:?}");
}
