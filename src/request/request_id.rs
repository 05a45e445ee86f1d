//! Age of request ids.
//!
//! An id of version 7 carries the wall-clock time at which it was made. Owners and agents remember
//! an id until its window has passed, and an older one is answered "unknown", because nothing is
//! known of it any more.

use std::time::Duration;

use crate::ids::RequestId;

/// Largest difference of wall clocks that is put up with, between any two of callers and hosts.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// How old an id is, as its window goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdAge {
    /// It lies within the window.
    Current,
    /// It was made before the window.
    TooOld,
    /// It claims to be made later than clock skew explains.
    InFuture,
}

/// The wall-clock time an id carries, since the Unix epoch; nothing for ids of other versions.
///
/// ```
/// use greengagearch::request::request_id::id_time;
///
/// assert!(id_time(&uuid::Uuid::now_v7()).is_some());
/// assert!(id_time(&uuid::Uuid::new_v4()).is_none());
/// ```
pub fn id_time(id: &RequestId) -> Option<Duration> {
    if id.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    Some(Duration::new(seconds, nanos))
}

/// The time span for which ids of a service are remembered.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::request::request_id::id_window;
///
/// assert_eq!(id_window(Duration::from_secs(20)), Duration::from_secs(21));
/// ```
pub fn id_window(largest_deadline: Duration) -> Duration {
    largest_deadline + 2 * MAX_CLOCK_SKEW
}

/// Judges an id's time at the wall-clock time `now`, since the Unix epoch.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::request::request_id::IdAge;
/// use greengagearch::request::request_id::id_age;
///
/// let window = Duration::from_secs(30);
/// let now = Duration::from_secs(1_000);
/// assert_eq!(id_age(Duration::from_secs(960), now, window), IdAge::TooOld);
/// assert_eq!(id_age(Duration::from_secs(990), now, window), IdAge::Current);
/// assert_eq!(id_age(Duration::from_secs(1_003), now, window), IdAge::InFuture);
/// ```
pub fn id_age(time: Duration, now: Duration, window: Duration) -> IdAge {
    if time > now + MAX_CLOCK_SKEW {
        IdAge::InFuture
    } else if time + window < now {
        IdAge::TooOld
    } else {
        IdAge::Current
    }
}

/// The wall-clock time at which an id made at `time` may be forgotten: by then every owner calls it
/// too old, however the clocks differ.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::request::request_id::expiry_time;
///
/// let time = Duration::from_secs(100);
/// assert_eq!(expiry_time(time, Duration::from_secs(30)), Duration::from_secs(131));
/// ```
pub fn expiry_time(time: Duration, window: Duration) -> Duration {
    time + window + 2 * MAX_CLOCK_SKEW
}
