//! Adaptive limit on the concurrent requests of an endpoint, learned from response times.
//!
//! An endpoint may declare more slots than it can serve in parallel; beyond that point, further
//! requests only slow each other down. The limit follows the concurrency level with the greatest
//! power, which is throughput divided by response time (Kleinrock, "Power and deterministic rules
//! of thumb for probabilistic problems in computer communications", ICC 1979). By Little's law, the
//! throughput at `n` requests in flight is `n` divided by the mean response time, so that the power
//! is `n / time²`. A slowdown with an outside cause, such as a batch task on the same host, affects
//! all levels alike and does not move the limit.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest sample in the moving average of a level's response time.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Samples that a level needs before it is compared with others.
const MIN_SAMPLES: u32 = 16;
/// Time after the last sample of a level until its measurement counts as stale.
const LEVEL_TTL: Duration = Duration::from_secs(15);
/// Shortest interval between two evaluations of the limit.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive evaluations in which a lower level must be better before the limit is lowered. After
/// an outside change of the response times, frequently sampled levels show the change before the
/// others, which makes the comparison wrong for a while.
const EVALUATIONS_TO_LOWER: u32 = 6;
/// Time since the last change of the limit after which it is raised by one as a probe.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Factor by which the best level's power must exceed that of the limit for the limit to be
/// lowered.
const MIN_POWER_GAIN: f64 = 1.25;
const MIN_LIMIT: u32 = 1;

/// Response times measured at one number of requests in flight.
#[derive(Clone, Copy, Debug)]
struct ConcurrencyLevel {
    mean_seconds: f64,
    samples: u32,
    measured_at: Instant,
}

/// Concurrency limit of one endpoint.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    slots: u32,
    limit: u32,
    /// Measurements by number of requests in flight; index 0 is one request.
    levels: Vec<Option<ConcurrencyLevel>>,
    evaluated_at: Instant,
    changed_at: Instant,
    better_evaluations: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the number of declared slots.
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

    /// Greatest number of requests that may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Sets the number of declared slots; measurements of levels up to that number are kept.
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

    /// Records a successful response that took `time` with `in_flight` requests at the endpoint.
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
        // The first samples form a plain mean; after that the average is exponentially weighted.
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(next.samples + 1));
        next.mean_seconds += weight * (seconds - next.mean_seconds);
        next.samples = next.samples.saturating_add(1);
        next.measured_at = now;
        *level = Some(next);
        self.evaluate(in_flight, now);
    }

    /// Adjusts the limit when it is reached: lowers it towards the best level, or raises it by one
    /// as a probe.
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

    /// Level with the greatest power among those with enough samples; the limit if there is none.
    fn best_level(&self, now: Instant) -> u32 {
        let levels = (1..=self.limit).filter_map(|level| Some((level, self.power(level, now)?)));
        levels.max_by(|a, b| a.1.total_cmp(&b.1)).map_or(self.limit, |(level, _)| level)
    }

    /// Throughput divided by response time at a level, if it has enough recent samples.
    fn power(&self, level: u32, now: Instant) -> Option<f64> {
        let recent = self.levels.get(level.checked_sub(1)? as usize)?.as_ref()?;
        let is_known = recent.samples >= MIN_SAMPLES && is_fresh(recent, now);
        is_known.then(|| f64::from(level) / recent.mean_seconds.max(f64::MIN_POSITIVE).powi(2))
    }
}

/// Margin of the limit above the best level: a limit that is slightly too low leaves cores idle
/// while requests wait, one that is slightly too high only adds a little response time.
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

    const BASE_SECONDS: f64 = 0.02;

    /// Simulates an endpoint whose requests share `cores` and whose response times are multiplied
    /// by `outside` at each step; returns the limits in the second half of the run.
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
            let time = Duration::from_secs_f64(BASE_SECONDS * share * noise * outside(step));
            limit.on_response(in_flight, time, now);
            if step >= 10_000 {
                limits.push(limit.limit());
            }
        }
        limits
    }

    /// The limit in half of the cases, otherwise a random level up to it.
    fn random_level(rng: &mut impl Rng, limit: u32) -> u32 {
        if rng.random_bool(0.5) { limit } else { rng.random_range(1..=limit) }
    }

    fn mean(limits: &[u32]) -> f64 {
        limits.iter().map(|limit| f64::from(*limit)).sum::<f64>() / limits.len() as f64
    }

    #[test]
    fn limit_converges_to_the_cores_when_too_many_slots_are_declared() {
        let limits = simulate(4.0, 16, |_| 1.0);
        assert!((4.0..=6.5).contains(&mean(&limits)), "{}", mean(&limits));
    }

    #[test]
    fn all_slots_are_used_when_cores_match_them() {
        let limits = simulate(8.0, 8, |_| 1.0);
        assert_eq!(limits.iter().min(), Some(&8));
    }

    #[test]
    fn an_outside_slowdown_does_not_lower_the_limit() {
        let limits = simulate(8.0, 8, |step| if (step / 1_500) % 2 == 0 { 1.0 } else { 1.8 });
        assert!(mean(&limits) > 7.5, "{}", mean(&limits));
    }

    #[test]
    fn probing_raises_the_limit_when_cores_are_added() {
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
                limit.on_response(in_flight, Duration::from_secs_f64(BASE_SECONDS * share), now);
            }
            at_end.push(limit.limit());
        }
        assert!(at_end[0] <= 4, "{at_end:?}");
        assert_eq!(at_end[1], 8, "{at_end:?}");
    }

    #[test]
    fn limit_is_unchanged_while_it_is_not_reached() {
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
