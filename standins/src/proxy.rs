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
    /// It holds everything back that goes towards the target.
    HoldForward,
    /// It holds everything back that comes from the target.
    HoldBack,
    /// It passes nothing on and accepts nothing new: a cut line.
    Cut,
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
        for target in self.next_targets() {
            let Ok(onward) = TcpStream::connect(target).await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = onward.set_nodelay(true);
            let (near_read, near_write) = stream.into_split();
            let (far_read, far_write) = onward.into_split();
            let forth = pump(near_read, far_write, self.fault.subscribe(), ProxyFault::HoldForward);
            let back = pump(far_read, near_write, self.fault.subscribe(), ProxyFault::HoldBack);
            tokio::join!(forth, back);
            return;
        }
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    fault: watch::Receiver<ProxyFault>,
    held_by: ProxyFault,
) {
    let mut buffer = vec![0; 16_384];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        let now = *fault.borrow();
        if let ProxyFault::Delay(delay) = now {
            tokio::time::sleep(delay).await;
        }
        loop {
            let now = *fault.borrow();
            if now != held_by && now != ProxyFault::Cut {
                break;
            }
            tokio::time::sleep(HOLD_POLL).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
