//! Names of runner instances.
//!
//! A runner may restart under its id. The name of an instance consists of the id and the start time, so that other modules
//! distinguish instances by name.

use crate::ids::InstanceId;
use crate::ids::StartMillis;

/// Separator of the id and the start time.
const START_MARK: char = '@';

/// Returns the name of an instance. Without a start time it is the id, which then is new for each instance.
///
/// ```
/// use greengagearch::platform::instance_name::instance_name;
///
/// assert_eq!(instance_name("i-1", Some(1_783_446_898_000)), "i-1@1783446898000");
/// assert_eq!(instance_name("i-1", None), "i-1");
/// ```
pub fn instance_name(runner: &str, started_at: Option<StartMillis>) -> InstanceId {
    match started_at {
        Some(started_at) => format!("{runner}{START_MARK}{started_at}"),
        // Appends a separator, so that the one within the id is not taken for that of a start time.
        None if runner.contains(START_MARK) => format!("{runner}{START_MARK}"),
        None => runner.to_string(),
    }
}

/// Returns the id of the runner to which an instance belongs.
///
/// ```
/// use greengagearch::platform::instance_name::instance_name;
/// use greengagearch::platform::instance_name::runner_id;
///
/// assert_eq!(runner_id(&instance_name("i-1", Some(5))), "i-1");
/// assert_eq!(runner_id(&instance_name("i@1", None)), "i@1");
/// ```
pub fn runner_id(instance: &str) -> &str {
    instance.rsplit_once(START_MARK).map_or(instance, |(runner, _)| runner)
}

/// Returns whether the name of an instance has a start time, so that others may follow under the same id.
///
/// ```
/// use greengagearch::platform::instance_name::has_start_time;
/// use greengagearch::platform::instance_name::instance_name;
///
/// assert!(has_start_time(&instance_name("i-1", Some(5))));
/// assert!(!has_start_time(&instance_name("i@1", None)));
/// ```
pub fn has_start_time(instance: &str) -> bool {
    instance.rsplit_once(START_MARK).is_some_and(|(_, started_at)| !started_at.is_empty())
}
