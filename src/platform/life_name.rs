//! Names of the lives of runners.
//!
//! A runner may start again under its id. The name of a life is made of the id and of the start time, so that everything outside
//! this folder tells two lives apart by their names alone.

use crate::ids::InstanceId;
use crate::ids::StartMillis;

/// Stands between the id and the start time.
const START_MARK: char = '@';

/// The name of a life; without a start time it is that of the runner, which then has a new id in each life.
///
/// ```
/// use greengagearch::platform::life_name::life_name;
///
/// assert_eq!(life_name("i-1", Some(1_783_446_898_000)), "i-1@1783446898000");
/// assert_eq!(life_name("i-1", None), "i-1");
/// ```
pub fn life_name(runner: &str, started_at: Option<StartMillis>) -> InstanceId {
    match started_at {
        Some(started_at) => format!("{runner}{START_MARK}{started_at}"),
        // The mark in an id is not taken for that of a start time.
        None if runner.contains(START_MARK) => format!("{runner}{START_MARK}"),
        None => runner.to_string(),
    }
}

/// The id of the runner, from the name of one of its lives.
///
/// ```
/// use greengagearch::platform::life_name::life_name;
/// use greengagearch::platform::life_name::runner_id;
///
/// assert_eq!(runner_id(&life_name("i-1", Some(5))), "i-1");
/// assert_eq!(runner_id(&life_name("i@1", None)), "i@1");
/// ```
pub fn runner_id(life: &str) -> &str {
    life.rsplit_once(START_MARK).map_or(life, |(runner, _)| runner)
}
