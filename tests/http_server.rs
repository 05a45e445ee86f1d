//! Listeners that have no room for another connection.

use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use greengagearch::process::http_server::HttpLimits;
use greengagearch::process::http_server::ListenerSettings;
use greengagearch::process::http_server::spawn_http_server;
use greengagearch::process::stop_signal::StopSwitch;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

/// Guards against a connection that is closed without a word, or a response that is cut off, when
/// the process works on the requests of all connections that it may have.
#[tokio::test]
async fn a_connection_beyond_those_that_are_worked_on_is_refused_with_an_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (started, finish) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (on_start, on_finish) = (started.clone(), finish.clone());
    let router = Router::new().route(
        "/",
        get(async move || {
            on_start.notify_one();
            on_finish.notified().await;
            "done"
        }),
    );
    let limits = HttpLimits { connections: 1, ..HttpLimits::default() };
    let settings = ListenerSettings::default().with_limits(limits);
    let (_switch, stop) = StopSwitch::new();
    spawn_http_server(listener, router, settings, stop);
    let mut first = TcpStream::connect(address).await.unwrap();
    first.write_all(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").await.unwrap();
    started.notified().await;
    let mut second = TcpStream::connect(address).await.unwrap();
    let refused = read_to_end(&mut second).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    assert!(refused.contains("Retry-After: 1"), "{refused}");
    finish.notify_one();
    let answered = read_to_end(&mut first).await;
    assert!(answered.ends_with("done"), "{answered}");
}
