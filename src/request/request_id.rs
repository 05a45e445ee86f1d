//! Age and expiry of request ids.
//!
//! A request id is a version 7 UUID, which contains the wall-clock time of its creation. Owners and
//! agents remember an id until its retention window has passed. A request with an older id gets the
//! outcome "unknown", because it cannot be determined any more whether the id was run.

use std::time::Duration;

use crate::ids::RequestId;

/// Largest tolerated difference between the wall clocks of any two machines, callers included.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Age of an id relative to its retention window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdAge {
    /// It was created within the window.
    Current,
    /// It was created before the window.
    TooOld,
    /// Its timestamp is further in the future than clock skew can explain.
    InFuture,
}

/// Creation time of an id since the Unix epoch; `None` for UUIDs of other versions.
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

/// Retention window for the ids of a service with this largest deadline.
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

/// Age of an id created at `time`, at the wall-clock time `now`; both are since the Unix epoch.
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

/// Wall-clock time at which an id created at `time` may be removed: from then on, every owner
/// treats the id as too old, even at the largest clock skew.
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
