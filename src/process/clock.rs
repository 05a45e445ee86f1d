//! A wall clock that never steps while the process lives.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Wall-clock time, read once at the start and carried on by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SteadyClock {
    started_wall: Duration,
    started: Instant,
}

impl SteadyClock {
    /// A clock that starts with the system's.
    ///
    /// ```
    /// use greengagearch::process::clock::SteadyClock;
    ///
    /// assert!(SteadyClock::start().wall().as_secs() > 0);
    /// ```
    pub fn start() -> SteadyClock {
        SteadyClock {
            started_wall: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            started: Instant::now(),
        }
    }

    /// Wall-clock time since the Unix epoch.
    ///
    /// ```
    /// let clock = greengagearch::process::clock::SteadyClock::start();
    /// assert!(clock.wall() <= clock.wall());
    /// ```
    pub fn wall(&self) -> Duration {
        self.started_wall + self.started.elapsed()
    }

    /// The wall-clock time at a monotonic instant.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let clock = greengagearch::process::clock::SteadyClock::start();
    /// assert!(clock.wall_at(Instant::now()) <= clock.wall());
    /// ```
    pub fn wall_at(&self, instant: Instant) -> Duration {
        self.started_wall + instant.saturating_duration_since(self.started)
    }

    /// Wall-clock time in milliseconds since the Unix epoch.
    ///
    /// ```
    /// assert!(greengagearch::process::clock::SteadyClock::start().wall_millis() > 0);
    /// ```
    pub fn wall_millis(&self) -> u64 {
        u64::try_from(self.wall().as_millis()).unwrap_or(u64::MAX)
    }
}
