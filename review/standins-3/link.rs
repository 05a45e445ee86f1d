//! The link between a machine and the store, which can be cut. A cut is silent: nothing passes, and
//! what was sent is sent again after growing pauses, as TCP does, so that it passes some time after
//! the cut has healed, unless its sender has closed the connection.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Pause before a connection is attempted again; it doubles each time.
const CONNECT_PAUSE: Duration = Duration::from_secs(1);
/// Pause before bytes are sent again; it doubles each time.
const SEND_PAUSE: Duration = Duration::from_millis(200);
const POLL: Duration = Duration::from_millis(5);

/// A link that can be cut.
#[derive(Clone)]
pub struct Link {
    /// Where the machine reaches the store.
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl Link {
    /// Passes on what comes to a listener.
    pub fn open(listener: TcpListener, target: SocketAddr) -> Link {
        let address = listener.local_addr().expect("an address");
        let link = Link { address, is_cut: Arc::default() };
        let passing = link.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let passing = passing.clone();
                std::thread::spawn(move || passing.connect(stream, target));
            }
        });
        link
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn connect(self, client: TcpStream, target: SocketAddr) {
        self.wait(CONNECT_PAUSE);
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let (Ok(from_client), Ok(to_server)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let forward = self.clone();
        std::thread::spawn(move || forward.pass(from_client, to_server));
        self.pass(server, client);
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 65_536];
        loop {
            let size = from.read(&mut buffer).unwrap_or(0);
            self.wait(SEND_PAUSE);
            if size == 0 || to.write_all(&buffer[..size]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Waits for the first attempt that isn't lost.
    fn wait(&self, first_pause: Duration) {
        let mut pause = first_pause;
        while self.is_cut.load(Ordering::Relaxed) {
            let end = Instant::now() + pause;
            while Instant::now() < end {
                std::thread::sleep(POLL);
            }
            pause *= 2;
        }
    }
}
