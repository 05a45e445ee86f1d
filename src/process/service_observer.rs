//! What an agent observes of its services: times of requests, and which tasks ran beside them.
//!
//! A sample covers a span in which the same tasks ran all the time, so that it says what ran
//! together when it was measured, not when it was reported.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::ServiceName;
use crate::process::interference::InterferenceSample;
use crate::process::interference::KindName;

/// Longest span of a sample.
const SAMPLE_SPAN: Duration = Duration::from_secs(1);
/// Fewest requests of a sample.
const FEWEST_REQUESTS: u32 = 5;
/// Samples that wait for a heartbeat; older ones are dropped.
const LARGEST_BACKLOG: usize = 32;
/// Requests of a service whose times are kept for its quantiles.
const RECENT_REQUESTS: usize = 256;
/// Age after which a request's time no longer counts for quantiles.
const RECENT_SPAN: Duration = Duration::from_secs(5);
/// Fewest recent requests that say something of a service.
const FEWEST_RECENT: usize = 20;

#[derive(Clone, Copy, Debug, Default)]
struct TimeSum {
    total: Duration,
    requests: u32,
}

/// Times of requests beside the tasks that run now.
#[derive(Debug, Default)]
pub struct ServiceObserver {
    kinds: BTreeMap<KindName, u32>,
    since: Option<Instant>,
    sums: BTreeMap<ServiceName, TimeSum>,
    recent: BTreeMap<ServiceName, VecDeque<(Instant, Duration)>>,
    samples: VecDeque<InterferenceSample>,
}

impl ServiceObserver {
    /// Takes in the time of a request that was answered at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::service_observer::ServiceObserver;
    ///
    /// let mut observer = ServiceObserver::default();
    /// observer.on_answer("spots", Duration::from_millis(5), Instant::now());
    /// ```
    pub fn on_answer(&mut self, service: &str, time: Duration, now: Instant) {
        let sum = self.sums.entry(service.to_string()).or_default();
        sum.total += time;
        sum.requests += 1;
        let recent = self.recent.entry(service.to_string()).or_default();
        recent.push_back((now, time));
        if recent.len() > RECENT_REQUESTS {
            recent.pop_front();
        }
    }

    /// Takes in the tasks that run at `now`, by kind; `wall_millis` is the wall-clock time since the
    /// Unix epoch. Closes the sample when they changed or its span has passed.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::service_observer::ServiceObserver;
    ///
    /// let mut observer = ServiceObserver::default();
    /// observer.on_kinds(BTreeMap::new(), Instant::now(), 0);
    /// assert!(observer.take_samples(4).is_empty());
    /// ```
    pub fn on_kinds(&mut self, kinds: BTreeMap<KindName, u32>, now: Instant, wall_millis: u64) {
        let since = *self.since.get_or_insert(now);
        let is_over = now.saturating_duration_since(since) >= SAMPLE_SPAN;
        if kinds == self.kinds && !is_over {
            return;
        }
        for (service, sum) in std::mem::take(&mut self.sums) {
            if sum.requests >= FEWEST_REQUESTS {
                self.samples.push_back(InterferenceSample {
                    service,
                    kinds: self.kinds.clone(),
                    mean_time: sum.total / sum.requests,
                    requests: sum.requests,
                    at_millis: wall_millis,
                });
            }
        }
        while self.samples.len() > LARGEST_BACKLOG {
            self.samples.pop_front();
        }
        self.kinds = kinds;
        self.since = Some(now);
    }

    /// Takes at most `limit` samples, the oldest first.
    ///
    /// ```
    /// use greengagearch::process::service_observer::ServiceObserver;
    ///
    /// assert!(ServiceObserver::default().take_samples(4).is_empty());
    /// ```
    pub fn take_samples(&mut self, limit: usize) -> Vec<InterferenceSample> {
        let count = self.samples.len().min(limit);
        self.samples.drain(..count).collect()
    }

    /// A quantile of a service's recent times; nothing when there are too few.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::process::service_observer::ServiceObserver;
    ///
    /// let observer = ServiceObserver::default();
    /// assert_eq!(observer.quantile("spots", 0.95, Instant::now()), None);
    /// ```
    pub fn quantile(&self, service: &str, quantile: f64, now: Instant) -> Option<Duration> {
        let recent = self.recent.get(service)?.iter();
        let recent = recent.filter(|(at, _)| now.saturating_duration_since(*at) <= RECENT_SPAN);
        let mut times: Vec<Duration> = recent.map(|(_, time)| *time).collect();
        if times.len() < FEWEST_RECENT {
            return None;
        }
        times.sort_unstable();
        let index = ((times.len() as f64 * quantile) as usize).min(times.len() - 1);
        times.get(index).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kinds(names: &[&str]) -> BTreeMap<KindName, u32> {
        names.iter().map(|name| (name.to_string(), 1)).collect()
    }

    #[test]
    fn a_sample_belongs_to_the_tasks_that_ran_at_its_time() {
        let now = Instant::now();
        let mut observer = ServiceObserver::default();
        observer.on_kinds(kinds(&[]), now, 0);
        (0..10).for_each(|_| observer.on_answer("s", Duration::from_millis(10), now));
        observer.on_kinds(kinds(&["a"]), now, 1);
        (0..10).for_each(|_| observer.on_answer("s", Duration::from_millis(20), now));
        observer.on_kinds(kinds(&["a", "b"]), now, 2);
        let samples = observer.take_samples(9);
        assert_eq!(samples[0].kinds, kinds(&[]));
        assert_eq!(samples[0].mean_time, Duration::from_millis(10));
        assert_eq!(samples[1].kinds, kinds(&["a"]));
        assert_eq!(samples[1].mean_time, Duration::from_millis(20));
    }

    #[test]
    fn old_times_do_not_count_for_quantiles() {
        let now = Instant::now();
        let mut observer = ServiceObserver::default();
        (0..30).for_each(|_| observer.on_answer("s", Duration::from_secs(1), now));
        let later = now + RECENT_SPAN + Duration::from_secs(1);
        assert_eq!(observer.quantile("s", 0.5, later), None);
        (0..20).for_each(|n| observer.on_answer("s", Duration::from_millis(n), later));
        assert_eq!(observer.quantile("s", 0.5, later), Some(Duration::from_millis(10)));
    }
}
