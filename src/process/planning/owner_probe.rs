//! Watches whether the process that owns planning still exists.
//!
//! The heartbeats of an owner that was killed only stop, which is noticed after the takeover timeout.
//! The connections to it are closed at once, though, and its address refuses new ones. That nobody
//! listens there proves that the process has ended; a connection that is lost for another reason can
//! be made again.

use std::io::ErrorKind;
use std::time::Duration;

use log::Level;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::process::logging::log_event;

/// Timeout of a connection; a host without power does not refuse it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a connection is made again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Pause after a connection that was neither made nor refused.
const UNKNOWN_DELAY: Duration = Duration::from_millis(500);

/// Handle of a probe, whose task is aborted when the handle is dropped.
#[derive(Debug)]
pub struct OwnerProbe {
    holder: String,
    ended: watch::Receiver<bool>,
    task: JoinHandle<()>,
}

impl Drop for OwnerProbe {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl OwnerProbe {
    /// Starts to probe the process run `holder` at an address.
    ///
    /// ```
    /// use greengagearch::process::planning::owner_probe::OwnerProbe;
    ///
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// // Nobody listens at this port.
    /// OwnerProbe::spawn("holder", "127.0.0.1:1").ended().await;
    /// # });
    /// ```
    pub fn spawn(holder: &str, address: &str) -> OwnerProbe {
        let (sender, ended) = watch::channel(false);
        let task = tokio::spawn(probe(address.to_string(), sender));
        OwnerProbe { holder: holder.to_string(), ended, task }
    }

    /// The process run that is probed.
    pub fn holder(&self) -> &str {
        &self.holder
    }

    /// Waits until the process has ended.
    pub async fn ended(&mut self) {
        if self.ended.wait_for(|ended| *ended).await.is_err() {
            std::future::pending().await
        }
    }
}

async fn probe(address: String, ended: watch::Sender<bool>) {
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await {
            Ok(Ok(mut stream)) => {
                // The process sends nothing unasked; the read ends with the connection.
                let _ = stream.read_u8().await;
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                log_event(Level::Info, "owner_ended", &[("address", &address)]);
                ended.send_replace(true);
                return;
            }
            Ok(Err(_)) | Err(_) => tokio::time::sleep(UNKNOWN_DELAY).await,
        }
    }
}
