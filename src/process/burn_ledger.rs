//! Counts good and bad events of services, minute by minute, and what the bad ones come from.
//!
//! Burn rates follow Beyer et al., "The Site Reliability Workbook", chapter 5: the share of bad events
//! over the share that the objective allows. A rate of 1 uses the budget up exactly at the window's
//! end.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceName;
use crate::process::burn_cause::BurnCause;

/// Milliseconds in a minute.
const MINUTE_MILLIS: u64 = 60_000;
/// Minutes in an hour, the span of one row.
const MINUTES_PER_ROW: u64 = 60;
/// Span of the short window.
pub const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);
/// Span of the long window.
pub const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);

/// Events of one minute.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnMinute {
    /// Good events.
    pub good: u64,
    /// Bad events by cause.
    pub bad: BTreeMap<String, u64>,
}

impl BurnMinute {
    /// Bad events of all causes.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::burn_ledger::BurnMinute::default().bad_count(), 0);
    /// ```
    pub fn bad_count(&self) -> u64 {
        self.bad.values().sum()
    }

    fn add(&mut self, other: &BurnMinute) {
        self.good += other.good;
        for (cause, count) in &other.bad {
            *self.bad.entry(cause.clone()).or_default() += count;
        }
    }
}

/// Events of one hour, by minute since the Unix epoch: the content of one row.
pub type BurnHour = BTreeMap<u64, BurnMinute>;

/// Events that one process has counted.
#[derive(Debug, Default)]
pub struct BurnLedger {
    hours: BTreeMap<(ServiceName, u64), BurnHour>,
    changed: BTreeMap<(ServiceName, u64), ()>,
}

impl BurnLedger {
    /// Counts an event at `wall_millis` since the Unix epoch.
    ///
    /// ```
    /// use greengagearch::process::burn_ledger::BurnLedger;
    ///
    /// let mut ledger = BurnLedger::default();
    /// ledger.count("spots", Ok(()), 0);
    /// assert_eq!(ledger.take_changed().len(), 1);
    /// assert!(ledger.take_changed().is_empty());
    /// ```
    pub fn count(&mut self, service: &str, event: Result<(), BurnCause>, wall_millis: u64) {
        let minute = wall_millis / MINUTE_MILLIS;
        let key = (service.to_string(), minute / MINUTES_PER_ROW);
        let counts = self.hours.entry(key.clone()).or_default().entry(minute).or_default();
        match event {
            Ok(()) => counts.good += 1,
            Err(cause) => *counts.bad.entry(cause.to_string()).or_default() += 1,
        }
        self.changed.insert(key, ());
    }

    /// The hours that changed since the last call, each with its service and hour.
    ///
    /// ```
    /// assert!(greengagearch::process::burn_ledger::BurnLedger::default().take_changed().is_empty());
    /// ```
    pub fn take_changed(&mut self) -> Vec<((ServiceName, u64), BurnHour)> {
        let keys = std::mem::take(&mut self.changed).into_keys();
        keys.filter_map(|key| Some((key.clone(), self.hours.get(&key)?.clone()))).collect()
    }

    /// Marks hours as changed again, after they could not be written.
    ///
    /// ```
    /// greengagearch::process::burn_ledger::BurnLedger::default().put_back(Vec::new());
    /// ```
    pub fn put_back(&mut self, keys: Vec<(ServiceName, u64)>) {
        self.changed.extend(keys.into_iter().map(|key| (key, ())));
    }

    /// Drops hours before the one of `wall_millis` that were written.
    ///
    /// ```
    /// greengagearch::process::burn_ledger::BurnLedger::default().forget_before(0);
    /// ```
    pub fn forget_before(&mut self, wall_millis: u64) {
        let hour = hour_of(wall_millis);
        let changed = &self.changed;
        self.hours.retain(|key, _| key.1 >= hour || changed.contains_key(key));
    }
}

/// Hour since the Unix epoch.
///
/// ```
/// assert_eq!(greengagearch::process::burn_ledger::hour_of(3_600_000), 1);
/// ```
pub fn hour_of(wall_millis: u64) -> u64 {
    wall_millis / MINUTE_MILLIS / MINUTES_PER_ROW
}

/// Events of one window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Good events.
    pub good: u64,
    /// Bad events.
    pub bad: u64,
    /// Share of bad events over the share that is allowed.
    pub rate: f64,
}

/// What a service has burned of its budget.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceBurn {
    /// The service.
    pub service: ServiceName,
    /// Time within which an answer is good, in milliseconds.
    pub latency_millis: u64,
    /// Percentage of events that shall be good.
    pub percent: f64,
    /// Span of the whole window in seconds.
    pub window_seconds: u64,
    /// Events of the short window.
    pub short: WindowBurn,
    /// Events of the long window.
    pub long: WindowBurn,
    /// Events of the whole window.
    pub whole: WindowBurn,
    /// Share of the budget that is left, negative when it is overspent.
    pub budget_left: f64,
    /// Time until the budget is used up at the long window's rate, in seconds; nothing when it is
    /// not being used up.
    pub exhausted_in_seconds: Option<u64>,
    /// Bad events of the whole window by cause.
    pub causes: BTreeMap<String, u64>,
    /// Events by minute since the Unix epoch, for plots.
    pub minutes: BTreeMap<u64, BurnMinute>,
}

/// The objective of a service, as far as burn goes.
#[derive(Clone, Debug, PartialEq)]
pub struct BurnObjective {
    /// The service.
    pub service: ServiceName,
    /// Time within which an answer is good.
    pub latency: Duration,
    /// Percentage of events that shall be good.
    pub percent: f64,
    /// Span of the whole window.
    pub window: Duration,
}

/// Sums up what all processes have counted, at `wall_millis` since the Unix epoch.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::process::burn_ledger::BurnObjective;
/// use greengagearch::process::burn_ledger::sum_up;
///
/// let objective = BurnObjective {
///     service: "spots".into(),
///     latency: Duration::from_millis(100),
///     percent: 99.0,
///     window: Duration::from_secs(86_400),
/// };
/// let burn = sum_up(&objective, &[], 0);
/// assert_eq!(burn.budget_left, 1.0);
/// ```
pub fn sum_up(objective: &BurnObjective, hours: &[BurnHour], wall_millis: u64) -> ServiceBurn {
    let mut minutes: BTreeMap<u64, BurnMinute> = BTreeMap::new();
    for (minute, counts) in hours.iter().flatten() {
        minutes.entry(*minute).or_default().add(counts);
    }
    let now = wall_millis / MINUTE_MILLIS;
    let whole_minutes = objective.window.as_secs() / 60;
    minutes.retain(|minute, _| *minute + whole_minutes > now);
    let allowed = 1.0 - objective.percent / 100.0;
    let window = |span: Duration| window_burn(&minutes, now, span.as_secs() / 60, allowed);
    let whole = window(objective.window);
    let long = window(LONG_WINDOW);
    let total = whole.good + whole.bad;
    let budget_left =
        if total == 0 { 1.0 } else { 1.0 - whole.bad as f64 / (allowed * total as f64) };
    let mut sum = BurnMinute::default();
    minutes.values().for_each(|counts| sum.add(counts));
    ServiceBurn {
        service: objective.service.clone(),
        latency_millis: u64::try_from(objective.latency.as_millis()).unwrap_or(u64::MAX),
        percent: objective.percent,
        window_seconds: objective.window.as_secs(),
        short: window(SHORT_WINDOW),
        exhausted_in_seconds: forecast(objective, budget_left, &long),
        long,
        whole,
        budget_left,
        causes: sum.bad,
        minutes,
    }
}

fn window_burn(
    minutes: &BTreeMap<u64, BurnMinute>,
    now: u64,
    span: u64,
    allowed: f64,
) -> WindowBurn {
    let within = minutes.iter().filter(|(minute, _)| **minute + span > now);
    let (good, bad) = within
        .fold((0, 0), |(good, bad), (_, counts)| (good + counts.good, bad + counts.bad_count()));
    let total = good + bad;
    let rate = if total == 0 { 0.0 } else { bad as f64 / total as f64 / allowed };
    WindowBurn { good, bad, rate }
}

fn forecast(objective: &BurnObjective, budget_left: f64, long: &WindowBurn) -> Option<u64> {
    if long.rate <= 0.0 {
        return None;
    }
    let seconds = budget_left.max(0.0) * objective.window.as_secs_f64() / long.rate;
    Some(seconds as u64)
}

#[cfg(test)]
mod tests {
    use super::*;

    const MINUTE: u64 = MINUTE_MILLIS;

    fn objective() -> BurnObjective {
        BurnObjective {
            service: "s".to_string(),
            latency: Duration::from_millis(100),
            percent: 99.0,
            window: Duration::from_secs(24 * 3_600),
        }
    }

    #[test]
    fn windows_rates_and_forecast_follow_from_the_counts() {
        let mut ledger = BurnLedger::default();
        let now = 1_000 * MINUTE;
        for minute in 880..=1_000 {
            (0..98).for_each(|_| ledger.count("s", Ok(()), minute * MINUTE));
            (0..2).for_each(|_| ledger.count("s", Err(BurnCause::Queueing), minute * MINUTE));
        }
        let hours: Vec<BurnHour> = ledger.take_changed().into_iter().map(|one| one.1).collect();
        let burn = sum_up(&objective(), &hours, now);
        assert_eq!((burn.short.good, burn.short.bad), (490, 10));
        assert!((burn.long.rate - 2.0).abs() < 1e-9);
        assert!((burn.budget_left + 1.0).abs() < 1e-9);
        assert_eq!(burn.exhausted_in_seconds, Some(0));
        assert_eq!(burn.causes["queueing"], 242);
    }

    #[test]
    fn counts_of_several_processes_add_up() {
        let mut first = BurnLedger::default();
        let mut second = BurnLedger::default();
        first.count("s", Ok(()), 0);
        second.count("s", Err(BurnCause::Process), 0);
        let hours: Vec<BurnHour> = [first, second]
            .iter_mut()
            .flat_map(|one| one.take_changed())
            .map(|one| one.1)
            .collect();
        let burn = sum_up(&objective(), &hours, 0);
        assert_eq!((burn.whole.good, burn.whole.bad), (1, 1));
    }

    #[test]
    fn what_could_not_be_written_is_offered_again() {
        let mut ledger = BurnLedger::default();
        ledger.count("s", Ok(()), 0);
        let keys = ledger.take_changed().into_iter().map(|one| one.0).collect();
        ledger.put_back(keys);
        ledger.forget_before(99 * 60 * MINUTE);
        assert_eq!(ledger.take_changed().len(), 1);
    }
}
