//! Calls whose connection breaks, and what counts as a call that never left.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use greengagearch::connection::http_connection::CallFailure;
use greengagearch::connection::http_connection::HttpConnection;
use greengagearch::platform::http_client::CallResult;
use greengagearch::platform::http_client::PlatformHttp;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LIMIT: Duration = Duration::from_secs(5);
const BODY: &str = "carried out";
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Reads one call up to the end of its body. Gives false if the connection ends first.
async fn read_call(stream: &mut TcpStream) -> bool {
    let mut read = Vec::new();
    let mut piece = [0; 4_096];
    while !read.ends_with(BODY.as_bytes()) {
        match stream.read(&mut piece).await {
            Ok(length) if length > 0 => read.extend_from_slice(&piece[..length]),
            _ => return false,
        }
    }
    true
}

/// Sends one call. The HTTP client sends it again on a new connection where it believes that the first was not written.
async fn send(http: &PlatformHttp, address: SocketAddr, method: reqwest::Method) -> CallResult {
    let call = http.client().request(method, format!("http://{address}/")).body(BODY);
    http.send(call, LIMIT).await
}

/// A server that answers the first call and keeps the connection.
struct KeptConnection {
    http: PlatformHttp,
    address: SocketAddr,
    listener: TcpListener,
    stream: TcpStream,
}

impl KeptConnection {
    /// Has a call answered, so that the connection is kept for the next one.
    async fn open() -> KeptConnection {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let http = PlatformHttp::open();
        let serving = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(read_call(&mut stream).await);
            stream.write_all(OK).await.unwrap();
            stream
        };
        let (stream, answer) = tokio::join!(serving, send(&http, address, reqwest::Method::POST));
        assert!(matches!(answer, CallResult::Answer(..)));
        KeptConnection { http, address, listener, stream }
    }
}

fn is_possibly_carried_out(result: &CallResult) -> bool {
    matches!(result, CallResult::Broken(_) | CallResult::NoAnswer(_))
}

/// The server takes a whole call on a kept connection, and is gone without an answer.
async fn take_and_end(method: reqwest::Method, is_reset: bool) -> CallResult {
    let KeptConnection { http, address, listener, mut stream } = KeptConnection::open().await;
    let serving = async move {
        assert!(read_call(&mut stream).await);
        drop(listener);
        if is_reset {
            stream.set_zero_linger().unwrap();
        }
    };
    let ((), result) = tokio::join!(serving, send(&http, address, method));
    result
}

/// Guards against a call that counts as never sent, since its repeat by the HTTP client is refused.
#[tokio::test]
async fn a_call_that_a_server_took_before_its_end_is_not_refused() {
    for method in [reqwest::Method::GET, reqwest::Method::PUT, reqwest::Method::POST] {
        for is_reset in [false, true] {
            let result = take_and_end(method.clone(), is_reset).await;
            assert!(is_possibly_carried_out(&result), "{method}, reset {is_reset}: {result:?}");
        }
    }
}

/// Guards against the same where the connection ends right before, beside or right after the call is written. The server takes
/// what still comes.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_a_connection_that_ends_is_refused_only_if_it_was_not_taken() {
    for round in 0..300 {
        let KeptConnection { http, address, listener, mut stream } = KeptConnection::open().await;
        drop(listener);
        let serving = async move {
            for _ in 0..round % 10 {
                tokio::task::yield_now().await;
            }
            // Ends only the direction to the client.
            stream.shutdown().await.unwrap();
            read_call(&mut stream).await
        };
        let (is_taken, result) = tokio::join!(serving, send(&http, address, reqwest::Method::POST));
        assert!(!is_taken || is_possibly_carried_out(&result), "round {round}: {result:?}");
    }
}

/// Guards against a call that counts as never sent, and is sent again elsewhere, though the process at the other end took it; and
/// against one that leaves on another connection than its own.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_one_connection_counts_as_not_sent_only_if_it_was_not_taken() {
    let call = || hyper::Request::post("/").body(BODY.to_string()).unwrap();
    for round in 0..300 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let opened = HttpConnection::open(&address, LIMIT);
        let (accepted, opened) = tokio::join!(listener.accept(), opened);
        let (mut stream, mut connection) = (accepted.unwrap().0, opened.unwrap());
        let answering = async {
            assert!(read_call(&mut stream).await);
            stream.write_all(OK).await.unwrap();
        };
        let ((), answer) = tokio::join!(answering, connection.send(call(), LIMIT));
        assert_matches!(answer, Ok(_));
        let serving = async {
            for _ in 0..round % 10 {
                tokio::task::yield_now().await;
            }
            // Ends only the direction to the client.
            stream.shutdown().await.unwrap();
            read_call(&mut stream).await
        };
        let (is_taken, result) = tokio::join!(serving, connection.send(call(), LIMIT));
        let is_unsent = matches!(result, Err(CallFailure::NotSent { .. }));
        assert!(!is_taken || !is_unsent, "round {round}: {result:?}");
        let next = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
        assert!(next.is_err(), "round {round}: a second connection");
    }
}
