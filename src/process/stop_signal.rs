//! Graceful stop: the first signal asks for it, the second one ends the process at once.

use log::Level;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

use crate::exit_codes::ExitCode;
use crate::process::logging::log_event;

/// A flag that is raised once, when the process shall stop.
#[derive(Clone, Debug)]
pub struct StopSignal {
    receiver: watch::Receiver<bool>,
}

/// Raises the flag of its [`StopSignal`].
#[derive(Debug)]
pub struct StopSwitch {
    sender: watch::Sender<bool>,
}

impl StopSwitch {
    /// A switch and its signal.
    ///
    /// ```
    /// use greengagearch::process::stop_signal::StopSwitch;
    ///
    /// let (switch, signal) = StopSwitch::new();
    /// switch.stop();
    /// assert!(signal.is_raised());
    /// ```
    pub fn new() -> (StopSwitch, StopSignal) {
        let (sender, receiver) = watch::channel(false);
        (StopSwitch { sender }, StopSignal { receiver })
    }

    /// Raises the flag.
    ///
    /// ```
    /// # use greengagearch::process::stop_signal::StopSwitch;
    /// StopSwitch::new().0.stop();
    /// ```
    pub fn stop(&self) {
        // Nobody listens any more when there is no receiver.
        let _ = self.sender.send(true);
    }
}

impl StopSignal {
    /// Whether the flag is raised.
    ///
    /// ```
    /// # use greengagearch::process::stop_signal::StopSwitch;
    /// assert!(!StopSwitch::new().1.is_raised());
    /// ```
    pub fn is_raised(&self) -> bool {
        *self.receiver.borrow()
    }

    /// Waits until the flag is raised; a dropped switch counts as raised.
    ///
    /// ```
    /// # use greengagearch::process::stop_signal::StopSwitch;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let (switch, signal) = StopSwitch::new();
    /// switch.stop();
    /// signal.raised().await;
    /// # });
    /// ```
    pub async fn raised(&self) {
        let mut receiver = self.receiver.clone();
        let _ = receiver.wait_for(|raised| *raised).await;
    }
}

/// A signal raised by SIGTERM or SIGINT; a second one of them exits at once.
///
/// # Errors
///
/// When the operating system refuses the handlers.
///
/// ```no_run
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let signal = greengagearch::process::stop_signal::listen().unwrap();
/// signal.raised().await;
/// # });
/// ```
pub fn listen() -> std::io::Result<StopSignal> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    ignore_hangups()?;
    let (switch, stop) = StopSwitch::new();
    tokio::spawn(async move {
        for is_first in [true, false] {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            if !is_first {
                ExitCode::GeneralError.exit();
            }
            switch.stop();
        }
    });
    Ok(stop)
}

/// Takes note of hangup signals, which tell that the settings file was written anew. Everything that can
/// change while a process runs comes from the store, so that nothing is read again.
fn ignore_hangups() -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            log_event(Level::Info, "settings_unchanged", &[("signal", &"hangup")]);
        }
    });
    Ok(())
}
