//! A TCP proxy that can be told to misbehave; with several targets it is a balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

/// Time between two looks at a fault that holds data back.
const HOLD_POLL: Duration = Duration::from_millis(5);

/// How the proxy misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyFault {
    /// It does not.
    #[default]
    None,
    /// It passes each piece of data on after this time.
    Delay(Duration),
    /// It holds everything back that goes towards the target, and makes no new connections.
    HoldForward,
    /// It holds everything back that comes from the target.
    HoldBack,
    /// It passes nothing on and makes no new connections: a cut line. What open connections have sent arrives
    /// when it ends, as retransmissions do.
    Cut,
    /// All its connections together pass this many bytes a second on from the targets: a thin link.
    Thin(u32),
}

impl ProxyFault {
    /// Whether connections cannot be made meanwhile.
    fn is_unreachable(self) -> bool {
        matches!(self, ProxyFault::HoldForward | ProxyFault::Cut)
    }
}

#[derive(Debug, Default)]
struct ProxyState {
    targets: Vec<SocketAddr>,
    next: usize,
}

/// A running proxy.
#[derive(Clone)]
pub struct FaultProxy {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
    fault: watch::Sender<ProxyFault>,
    /// Held by the piece of data that is on the thin link; pieces of all connections follow in turn.
    link: Arc<tokio::sync::Mutex<()>>,
}

impl FaultProxy {
    /// Starts a proxy on any free port that forwards to the targets in turn.
    pub async fn bind(targets: &[SocketAddr]) -> FaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let (fault, _) = watch::channel(ProxyFault::None);
        let state = ProxyState { targets: targets.to_vec(), next: 0 };
        let proxy = FaultProxy {
            address: listener.local_addr().expect("a bound listener has an address"),
            state: Arc::new(Mutex::new(state)),
            fault,
            link: Arc::default(),
        };
        let accepting = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().carry(stream));
            }
        });
        proxy
    }

    /// Changes the fault from now on, for open connections too.
    pub fn set_fault(&self, fault: ProxyFault) {
        self.fault.send_replace(fault);
    }

    /// Changes the targets of new connections.
    pub fn set_targets(&self, targets: &[SocketAddr]) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.targets = targets.to_vec();
    }

    fn next_targets(&self) -> Vec<SocketAddr> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.targets.is_empty() {
            return Vec::new();
        }
        state.next = (state.next + 1) % state.targets.len();
        let mut targets = state.targets.clone();
        targets.rotate_left(state.next);
        targets
    }

    async fn carry(self, stream: TcpStream) {
        if self.fault.borrow().is_unreachable() {
            // Callers give a connection up before its first packet is sent again, so that it is not made later.
            let mut fault = self.fault.subscribe();
            let _ = fault.wait_for(|now| !now.is_unreachable()).await;
            return;
        }
        for target in self.next_targets() {
            let Ok(onward) = TcpStream::connect(target).await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = onward.set_nodelay(true);
            let (near_read, near_write) = stream.into_split();
            let (far_read, far_write) = onward.into_split();
            let forth = LinePump {
                fault: self.fault.subscribe(),
                held_by: ProxyFault::HoldForward,
                link: None,
            };
            let back = LinePump {
                fault: self.fault.subscribe(),
                held_by: ProxyFault::HoldBack,
                link: Some(self.link.clone()),
            };
            tokio::join!(forth.run(near_read, far_write), back.run(far_read, near_write));
            return;
        }
    }
}

/// One direction of a connection.
struct LinePump {
    fault: watch::Receiver<ProxyFault>,
    held_by: ProxyFault,
    /// The link that can be thin, where it is this direction's.
    link: Option<Arc<tokio::sync::Mutex<()>>>,
}

impl LinePump {
    async fn run(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; 16_384];
        while let Ok(length) = from.read(&mut buffer).await {
            if length == 0 {
                break;
            }
            self.hold_back(length).await;
            if to.write_all(&buffer[..length]).await.is_err() {
                break;
            }
        }
        let _ = to.shutdown().await;
    }

    /// Waits as long as the fault keeps a piece of data of this length.
    async fn hold_back(&self, length: usize) {
        let now = *self.fault.borrow();
        if let ProxyFault::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        if let (ProxyFault::Thin(rate), Some(link)) = (now, &self.link) {
            let on_link = link.lock().await;
            tokio::time::sleep(Duration::from_secs(length as u64) / rate).await;
            drop(on_link);
        }
        loop {
            let now = *self.fault.borrow();
            if now != self.held_by && now != ProxyFault::Cut {
                break;
            }
            tokio::time::sleep(HOLD_POLL).await;
        }
    }
}
