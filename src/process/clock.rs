//! The time that processes decide by.
//!
//! A host may be suspended for seconds. `Instant::now` stands still meanwhile, while the leases of others go on; a process that
//! went by it would believe in leases and proofs that have expired. So all instants are taken from [`now`], which counts the time
//! that the host was suspended.

use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// The first reading of both clocks, from which instants are counted.
static FIRST_READING: OnceLock<(Instant, Duration)> = OnceLock::new();

/// The present instant. It goes on while the host is suspended, so it must only be compared with others of its kind.
///
/// ```
/// use greengagearch::process::clock;
///
/// let earlier = clock::now();
/// assert!(clock::now() >= earlier);
/// ```
pub fn now() -> Instant {
    let (instant, boot) = *FIRST_READING.get_or_init(|| (Instant::now(), since_boot()));
    instant + since_boot().saturating_sub(boot)
}

/// Time since an instant of [`now`].
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::clock;
///
/// assert!(clock::elapsed(clock::now()) < Duration::from_secs(60));
/// ```
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// Time since the host was booted, with the time that it was suspended.
fn since_boot() -> Duration {
    let read = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(read.tv_sec).unwrap_or(0);
    Duration::from_secs(seconds) + Duration::from_nanos(u64::try_from(read.tv_nsec).unwrap_or(0))
}

/// Wall-clock time, read once at the start and carried on by [`now`], so that it never steps.
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
            started: now(),
        }
    }

    /// Wall-clock time since the Unix epoch.
    ///
    /// ```
    /// let clock = greengagearch::process::clock::SteadyClock::start();
    /// assert!(clock.wall() <= clock.wall());
    /// ```
    pub fn wall(&self) -> Duration {
        self.started_wall + elapsed(self.started)
    }

    /// The wall-clock time at an instant of [`now`].
    ///
    /// ```
    /// use greengagearch::process::clock;
    ///
    /// let steady = clock::SteadyClock::start();
    /// assert!(steady.wall_at(clock::now()) <= steady.wall());
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
