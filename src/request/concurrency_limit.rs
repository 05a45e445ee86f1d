//! A limit on the requests that an endpoint runs at once, learned from their times.
//!
//! Declared slots may be more than an endpoint can really run: beyond that point further requests only
//! make each other slower. The limit looks for the number in flight with the greatest power, throughput
//! over time of a request (Kleinrock, "Power and deterministic rules of thumb for probabilistic problems in
//! computer communications", ICC 1979). By Little's law the throughput at n in flight is n over the mean time
//! there, so that the power is n / time². A slowdown from outside, such as a batch task beside the
//! endpoint, slows every number alike and leaves the limit where it is.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest sample in a level's mean time.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Samples that a level needs before it is compared.
const MIN_SAMPLES: u32 = 16;
/// Time after which what was measured at a level is no longer compared.
const LEVEL_TTL: Duration = Duration::from_secs(15);
/// Time between two looks at the levels.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Looks in a row at which another level must be better: when the endpoint's times change from outside,
/// the levels that are measured more often show it earlier.
const EVALUATIONS_TO_LOWER: u32 = 6;
/// Time at the best known level before one more is tried.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// By how much another level's power must be greater than that of the limit.
const MIN_POWER_GAIN: f64 = 1.25;
/// Smallest limit.
const MIN_LIMIT: u32 = 1;

/// What was measured with a number of requests in flight.
#[derive(Clone, Copy, Debug)]
struct ConcurrencyLevel {
    mean_seconds: f64,
    samples: u32,
    measured_at: Instant,
}

/// The limit of one endpoint.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: u32,
    /// Levels from one in flight upwards.
    levels: Vec<Option<ConcurrencyLevel>>,
    evaluated_at: Instant,
    changed_at: Instant,
    better_evaluations: u32,
}

impl ConcurrencyLimit {
    /// A limit that starts at the declared slots.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::concurrency_limit::ConcurrencyLimit;
    ///
    /// assert_eq!(ConcurrencyLimit::new(8, Instant::now()).limit(), 8);
    /// ```
    pub fn new(slots: u32, now: Instant) -> ConcurrencyLimit {
        ConcurrencyLimit {
            slots,
            limit: slots,
            levels: vec![None; slots as usize],
            evaluated_at: now,
            changed_at: now,
            better_evaluations: 0,
        }
    }

    /// Requests that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Takes in another number of declared slots; what was learned is kept where it still applies.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::request::concurrency_limit::ConcurrencyLimit;
    /// let mut limit = ConcurrencyLimit::new(8, Instant::now());
    /// limit.set_slots(4);
    /// assert_eq!(limit.limit(), 4);
    /// ```
    pub fn set_slots(&mut self, slots: u32) {
        if slots == self.slots {
            return;
        }
        let was_at_slots = self.limit == self.slots;
        self.slots = slots;
        self.limit = if was_at_slots { slots } else { self.limit.min(slots) };
        self.levels.resize(slots as usize, None);
    }

    /// Takes in a good answer that took `time` with `in_flight` requests at the endpoint.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::request::concurrency_limit::ConcurrencyLimit;
    /// let now = Instant::now();
    /// ConcurrencyLimit::new(8, now).on_response(3, Duration::from_millis(20), now);
    /// ```
    pub fn on_response(&mut self, in_flight: u32, time: Duration, now: Instant) {
        let index = in_flight.clamp(1, self.slots.max(1)) as usize - 1;
        let Some(level) = self.levels.get_mut(index) else {
            return;
        };
        let seconds = time.as_secs_f64();
        let recent = level.filter(|level| is_fresh(level, now));
        let mut next = recent.unwrap_or(ConcurrencyLevel {
            mean_seconds: seconds,
            samples: 0,
            measured_at: now,
        });
        // A plain mean until there are enough samples for a running one.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(next.samples + 1));
        next.mean_seconds += weight * (seconds - next.mean_seconds);
        next.samples = next.samples.saturating_add(1);
        next.measured_at = now;
        *level = Some(next);
        self.evaluate(in_flight, now);
    }

    /// Moves the limit when it is reached: to the best level, or one up to learn.
    fn evaluate(&mut self, in_flight: u32, now: Instant) {
        let since_evaluation = now.saturating_duration_since(self.evaluated_at);
        if in_flight < self.limit || since_evaluation < EVALUATION_INTERVAL {
            return;
        }
        self.evaluated_at = now;
        let Some(limit_power) = self.power(self.limit, now) else {
            return;
        };
        let best = self.best_level(now);
        let target = best + headroom(best);
        let best_power = self.power(best, now);
        let is_better = target < self.limit && best_power > Some(limit_power * MIN_POWER_GAIN);
        self.better_evaluations = if is_better { self.better_evaluations + 1 } else { 0 };
        let since_change = now.saturating_duration_since(self.changed_at);
        if self.better_evaluations >= EVALUATIONS_TO_LOWER {
            self.set_limit(target, now);
        } else if !is_better && self.limit < self.slots && since_change >= PROBE_INTERVAL {
            self.set_limit(self.limit + 1, now);
        }
    }

    fn set_limit(&mut self, limit: u32, now: Instant) {
        self.limit = limit.max(MIN_LIMIT);
        self.changed_at = now;
        self.better_evaluations = 0;
    }

    /// The level of the greatest power among those that are known.
    fn best_level(&self, now: Instant) -> u32 {
        let levels = (1..=self.limit).filter_map(|one| Some((one, self.power(one, now)?)));
        levels.max_by(|a, b| a.1.total_cmp(&b.1)).map_or(self.limit, |(level, _)| level)
    }

    /// Throughput over time of a request, when enough was measured at the level.
    fn power(&self, level: u32, now: Instant) -> Option<f64> {
        let recent = self.levels.get(level.checked_sub(1)? as usize)?.as_ref()?;
        let is_known = recent.samples >= MIN_SAMPLES && is_fresh(recent, now);
        is_known.then(|| f64::from(level) / recent.mean_seconds.max(f64::MIN_POSITIVE).powi(2))
    }
}

/// What the limit keeps above the best level: a limit that is a little too low leaves cores idle while
/// requests wait, one that is a little too high costs a little time.
fn headroom(level: u32) -> u32 {
    (f64::from(level).sqrt() / 2.0).ceil() as u32
}

fn is_fresh(level: &ConcurrencyLevel, now: Instant) -> bool {
    now.saturating_duration_since(level.measured_at) <= LEVEL_TTL
}

#[cfg(test)]
mod tests {
    use rand::Rng;
    use rand::RngExt;
    use rand::SeedableRng;
    use rand::rngs::StdRng;

    use super::*;

    const BASE: f64 = 0.02;

    /// Runs an endpoint that shares `cores` among its requests, kept busy up to the limit or below
    /// it, and gives the limits over the last half of the time.
    fn simulate(cores: f64, slots: u32, outside: impl Fn(usize) -> f64) -> Vec<u32> {
        let start = Instant::now();
        let mut rng = StdRng::seed_from_u64(7);
        let mut limit = ConcurrencyLimit::new(slots, start);
        let mut limits = Vec::new();
        for step in 0..20_000 {
            let now = start + Duration::from_millis(5 * step as u64);
            let in_flight = random_level(&mut rng, limit.limit());
            let share = (f64::from(in_flight) / cores).max(1.0);
            let noise = rng.random_range(0.8..1.2);
            let time = Duration::from_secs_f64(BASE * share * noise * outside(step));
            limit.on_response(in_flight, time, now);
            if step >= 10_000 {
                limits.push(limit.limit());
            }
        }
        limits
    }

    /// At the limit in half of the cases, else anywhere below.
    fn random_level(rng: &mut impl Rng, limit: u32) -> u32 {
        if rng.random_bool(0.5) { limit } else { rng.random_range(1..=limit) }
    }

    fn mean(limits: &[u32]) -> f64 {
        limits.iter().map(|limit| f64::from(*limit)).sum::<f64>() / limits.len() as f64
    }

    #[test]
    fn the_limit_finds_the_cores_behind_too_many_slots() {
        let limits = simulate(4.0, 16, |_| 1.0);
        assert!((4.0..=6.5).contains(&mean(&limits)), "{}", mean(&limits));
    }

    #[test]
    fn honest_slots_are_all_used() {
        let limits = simulate(8.0, 8, |_| 1.0);
        assert_eq!(limits.iter().min(), Some(&8));
    }

    #[test]
    fn a_slowdown_from_outside_takes_no_slots_away() {
        let limits = simulate(8.0, 8, |step| if (step / 1_500) % 2 == 0 { 1.0 } else { 1.8 });
        assert!(mean(&limits) > 7.5, "{}", mean(&limits));
    }

    #[test]
    fn cores_that_come_back_are_found_by_probing() {
        let start = Instant::now();
        let mut limit = ConcurrencyLimit::new(8, start);
        let mut rng = StdRng::seed_from_u64(7);
        let mut at_end = Vec::new();
        for cores in [2.0, 8.0] {
            for step in 0..20_000_u64 {
                let passed = if cores > 4.0 { 100_000 + 5 * step } else { 5 * step };
                let now = start + Duration::from_millis(passed);
                let in_flight = random_level(&mut rng, limit.limit());
                let share = (f64::from(in_flight) / cores).max(1.0);
                limit.on_response(in_flight, Duration::from_secs_f64(BASE * share), now);
            }
            at_end.push(limit.limit());
        }
        assert!(at_end[0] <= 4, "{at_end:?}");
        assert_eq!(at_end[1], 8, "{at_end:?}");
    }

    #[test]
    fn below_the_limit_nothing_changes() {
        let start = Instant::now();
        let mut limit = ConcurrencyLimit::new(8, start);
        for step in 0..1_000_u64 {
            let now = start + Duration::from_millis(10 * step);
            let level = 1 + (step % 4) as u32;
            limit.on_response(level, Duration::from_millis(20 * u64::from(level)), now);
        }
        assert_eq!(limit.limit(), 8);
    }
}
