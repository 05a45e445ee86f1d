//! Clients that do not behave, many at once: they send heads or bodies that do not end, or do not
//! read their answers, and keep their connections open.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which a client that cannot go on sending stops.
const SEND_LIMIT: Duration = Duration::from_secs(5);
/// Pause between the pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Pieces of a body that is sent piece by piece.
const PIECES: usize = 8;
/// Bytes of a large chunk.
const LARGE_CHUNK: usize = 16_384;
/// Bytes of a head that is far over any limit, and of empty lines without end.
const ENDLESS_BYTES: usize = 4_000_000;
/// Requests that are sent at once on one connection.
const PIPELINED_REQUESTS: usize = 500;

/// What all clients of a crowd do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrowdKind {
    /// They connect and send nothing.
    Silent,
    /// They send half a head.
    HalfHeads,
    /// They send one header of 4 MB.
    LongHeads,
    /// They send 4 MB of empty lines.
    EmptyLines,
    /// They send a body of the legal size at once, whole.
    WholeBodies,
    /// They send a body of the legal size at once, but for its last byte.
    ShortBodies,
    /// The same in pieces, with pauses.
    PiecewiseBodies,
    /// They send large chunks up to a little short of the legal size, and no end.
    LargeChunks,
    /// They send chunks of one byte up to one short of the legal size, and no end.
    SmallChunks,
    /// They send many whole requests at once and read no answer.
    UnreadAnswers,
    /// They send a body of the legal size with as many items in a list as it takes, and read no
    /// answer.
    LongLists,
}

impl CrowdKind {
    /// All kinds.
    pub const ALL: [CrowdKind; 11] = [
        CrowdKind::Silent,
        CrowdKind::HalfHeads,
        CrowdKind::LongHeads,
        CrowdKind::EmptyLines,
        CrowdKind::WholeBodies,
        CrowdKind::ShortBodies,
        CrowdKind::PiecewiseBodies,
        CrowdKind::LargeChunks,
        CrowdKind::SmallChunks,
        CrowdKind::UnreadAnswers,
        CrowdKind::LongLists,
    ];

    fn pieces(self, target: &CrowdTarget) -> Vec<Vec<u8>> {
        let head = target.head();
        let size = target.body_bytes;
        let sized = format!("{head}Content-Length: {size}\r\n\r\n").into_bytes();
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
        match self {
            CrowdKind::Silent => Vec::new(),
            CrowdKind::HalfHeads => vec![head.into_bytes()],
            CrowdKind::LongHeads => {
                vec![format!("{head}X-Long: {}", "a".repeat(ENDLESS_BYTES)).into_bytes()]
            }
            CrowdKind::EmptyLines => vec![b"\r\n".repeat(ENDLESS_BYTES / 2)],
            CrowdKind::LongLists => vec![[sized, target.list_body().into_bytes()].concat()],
            CrowdKind::WholeBodies => vec![[sized, vec![b' '; size]].concat()],
            CrowdKind::ShortBodies => vec![[sized, vec![b' '; size - 1]].concat()],
            CrowdKind::PiecewiseBodies => {
                let body = vec![b' '; size - 1];
                let pieces = body.chunks(size.div_ceil(PIECES)).map(<[u8]>::to_vec);
                std::iter::once(sized).chain(pieces).collect()
            }
            CrowdKind::LargeChunks => {
                let chunk = [
                    format!("{LARGE_CHUNK:x}\r\n").into_bytes(),
                    vec![b' '; LARGE_CHUNK],
                    b"\r\n".to_vec(),
                ];
                vec![[chunked, chunk.concat().repeat((size - 1) / LARGE_CHUNK)].concat()]
            }
            CrowdKind::SmallChunks => vec![[chunked, b"1\r\n \r\n".repeat(size - 1)].concat()],
            CrowdKind::UnreadAnswers => {
                let request = format!("{head}Content-Length: 2\r\n\r\n{{}}").into_bytes();
                vec![request.repeat(PIPELINED_REQUESTS)]
            }
        }
    }
}

/// Where a crowd goes, and what its requests look like.
#[derive(Clone, Debug)]
pub struct CrowdTarget {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Method and path of the requests.
    pub call: String,
    /// Host that the requests name.
    pub host: String,
    /// Size of a legal body in bytes.
    pub body_bytes: usize,
    /// Text of a body up to a list, such as `{"Steps":[`.
    pub list_start: String,
}

impl CrowdTarget {
    /// A body whose list has as many empty items as it takes.
    fn list_body(&self) -> String {
        let (start, item, end) = (&self.list_start, "{},", "{}]}");
        let count = (self.body_bytes - start.len() - end.len()) / item.len();
        let text = format!("{start}{}{end}", item.repeat(count));
        let filler = " ".repeat(self.body_bytes - text.len());
        text + &filler
    }

    /// The first lines of a request's head, without its end.
    fn head(&self) -> String {
        let (call, host) = (&self.call, &self.host);
        format!("{call} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n")
    }
}

/// Clients that keep their connections open until they are dropped.
pub struct ClientCrowd {
    streams: Vec<TcpStream>,
}

impl ClientCrowd {
    /// Starts `size` clients at once and waits until each has sent what it sends, or cannot go on.
    pub async fn gather(target: &CrowdTarget, kind: CrowdKind, size: usize) -> ClientCrowd {
        let pieces = kind.pieces(target);
        let clients = (0..size).map(|_| connect_and_send(target.address, &pieces));
        let streams = futures::future::join_all(clients).await;
        ClientCrowd { streams: streams.into_iter().flatten().collect() }
    }

    /// Number of clients that got a connection.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no client got a connection.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

async fn connect_and_send(address: SocketAddr, pieces: &[Vec<u8>]) -> Option<TcpStream> {
    let connecting = timeout(SEND_LIMIT, TcpStream::connect(address));
    let mut stream = connecting.await.ok()?.ok()?;
    let sending = async {
        for piece in pieces {
            // A connection that was closed is as good as one that has sent all.
            if stream.write_all(piece).await.is_err() {
                return;
            }
            if pieces.len() > 1 {
                tokio::time::sleep(PIECE_PAUSE).await;
            }
        }
    };
    let _ = timeout(SEND_LIMIT, sending).await;
    Some(stream)
}
