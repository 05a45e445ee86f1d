//! A probe tells that a process has ended, and nothing else.

use std::time::Duration;

use greengagearch::process::planning::owner_probe::OwnerProbe;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Far beyond what the end of a process takes to be noticed.
const LIMIT: Duration = Duration::from_secs(20);
/// Several times what a lost connection takes to be made again.
const OBSERVED: Duration = Duration::from_millis(300);

/// Accepts connections, and drops all but the newest.
async fn accept(listener: TcpListener) {
    let mut newest = None;
    while let Ok((stream, _)) = listener.accept().await {
        newest = Some(stream);
    }
    drop(newest);
}

#[tokio::test]
async fn a_process_that_ends_is_noticed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let process = tokio::spawn(accept(listener));
    let mut probe = OwnerProbe::spawn("h", &address);
    assert!(timeout(OBSERVED, probe.ended()).await.is_err(), "the process lives");
    process.abort();
    timeout(LIMIT, probe.ended()).await.expect("the process has ended");
}

/// Guards against a takeover from an owner whose connections were reset.
#[tokio::test]
async fn a_lost_connection_is_no_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let mut probe = OwnerProbe::spawn("h", &address);
    let dropping = async {
        loop {
            drop(listener.accept().await.unwrap());
        }
    };
    tokio::select! {
        () = probe.ended() => panic!("the process lives"),
        () = dropping => {}
        () = tokio::time::sleep(OBSERVED) => {}
    }
}
