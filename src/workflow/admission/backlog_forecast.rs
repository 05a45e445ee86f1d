//! Forecast of when a job would end if it was accepted now.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::QueueName;
use crate::ids::ServiceName;
use crate::workflow::admission::job_demand::JobDemand;
use crate::workflow::admission::job_demand::WorkClass;

/// Number of size buckets. The largest begins at 17 core-days.
pub const SIZE_BUCKETS: u8 = 24;
/// Upper bound of the smallest bucket in core-milliseconds; each further one is twice as large.
const SMALLEST_BUCKET_CORE_MS: u64 = 256;

/// Bucket of a job's remaining work.
///
/// ```
/// use greengagearch::workflow::admission::backlog_forecast::size_bucket;
///
/// assert_eq!((size_bucket(0), size_bucket(256), size_bucket(u64::MAX)), (0, 1, 23));
/// ```
pub fn size_bucket(core_ms: u64) -> u8 {
    let doublings = (core_ms / SMALLEST_BUCKET_CORE_MS).checked_ilog2().map_or(0, |log| log + 1);
    u8::try_from(doublings).unwrap_or(u8::MAX).min(SIZE_BUCKETS - 1)
}

/// Work of one priority and size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SizedWork {
    /// Priority of the queue; zero is the highest.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Size bucket of the jobs.
    #[serde(rename = "b")]
    pub bucket: u8,
    /// Whether the jobs can no longer meet their objective, so that all which can precede them.
    #[serde(rename = "l", default, skip_serializing_if = "is_false")]
    pub is_late: bool,
    /// Work in core-milliseconds.
    #[serde(rename = "w")]
    pub core_ms: u64,
}

fn is_false(value: &bool) -> bool {
    !value
}

impl SizedWork {
    /// The part of this work that precedes a job of `core_ms` in the planner's order among jobs that
    /// are equally late: that of higher priority, and of smaller jobs of the same priority. Within
    /// its own bucket sizes are assumed to be spread evenly.
    ///
    /// ```
    /// use greengagearch::workflow::admission::backlog_forecast::SizedWork;
    ///
    /// let work = SizedWork { priority: 1, bucket: 2, is_late: false, core_ms: 100 };
    /// assert_eq!((work.ahead_of(2, 0), work.ahead_of(1, 768), work.ahead_of(1, 9)), (100, 50, 0));
    /// ```
    pub fn ahead_of(&self, priority: u32, core_ms: u64) -> u64 {
        let bucket = size_bucket(core_ms);
        match (self.priority.cmp(&priority), self.bucket.cmp(&bucket)) {
            (Ordering::Less, _) | (Ordering::Equal, Ordering::Less) => self.core_ms,
            (Ordering::Equal, Ordering::Equal) => {
                (self.core_ms as f64 * position_in_bucket(core_ms)) as u64
            }
            _ => 0,
        }
    }
}

/// Where a size lies between the bounds of its bucket, from 0 to 1.
fn position_in_bucket(core_ms: u64) -> f64 {
    let bucket = u32::from(size_bucket(core_ms));
    let upper = SMALLEST_BUCKET_CORE_MS << bucket;
    let lower = if bucket == 0 { 0 } else { upper / 2 };
    (core_ms.saturating_sub(lower) as f64 / (upper - lower) as f64).min(1.0)
}

/// Open work of one class of a service, and the rate at which it is done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassBacklog {
    /// The service.
    pub service: ServiceName,
    /// The class.
    pub class: WorkClass,
    /// Recent rate in core-milliseconds per second; zero while no capacity is known.
    pub rate: u64,
    /// The part of it that is left for late jobs. It is zero in forecasts of planners that do not
    /// tell it.
    #[serde(default)]
    pub late_rate: u64,
    /// Whether tasks of the class wait for no capacity, so that a new job does not wait for the open
    /// ones, however much work they have left.
    #[serde(default, skip_serializing_if = "is_false")]
    pub has_spare_capacity: bool,
    /// What the open jobs still need.
    pub open: Vec<SizedWork>,
    /// Work of refused callers who have a place. What is due is in the smallest bucket, since no
    /// job without a place may use its headroom.
    pub promised: Vec<SizedWork>,
}

impl ClassBacklog {
    /// Total open work in core-milliseconds.
    ///
    /// ```
    /// use greengagearch::workflow::admission::backlog_forecast::ClassBacklog;
    /// use greengagearch::workflow::admission::job_demand::WorkClass;
    ///
    /// let class = WorkClass::Reserved;
    /// let backlog = ClassBacklog { service: String::new(), class, rate: 0, late_rate: 0,
    ///     has_spare_capacity: true, open: vec![], promised: vec![] };
    /// assert_eq!(backlog.open_core_ms(), 0);
    /// ```
    pub fn open_core_ms(&self) -> u64 {
        self.open.iter().map(|work| work.core_ms).sum()
    }

    /// Time that work of late jobs takes at the rate that is left for them.
    fn time_for_late(&self, core_ms: u64) -> Duration {
        let rate = if self.late_rate == 0 { self.rate } else { self.late_rate };
        time_at(rate, core_ms)
    }

    /// Time that work takes at the recent rate; zero while the rate is unknown.
    pub(crate) fn time_for(&self, core_ms: u64) -> Duration {
        time_at(self.rate, core_ms)
    }
}

fn time_at(rate: u64, core_ms: u64) -> Duration {
    if rate == 0 {
        return Duration::ZERO;
    }
    Duration::from_millis(core_ms.saturating_mul(1_000) / rate)
}

/// Open work of all services, published with the planner's heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogForecast {
    /// Number of the forecast; each has a higher one than those before of the same planner.
    pub number: u64,
    /// The classes with open work or known capacity.
    pub classes: Vec<ClassBacklog>,
    /// Ratio of the actual to the declared work by queue in percent, where it is not 100.
    #[serde(default)]
    pub ratios: BTreeMap<QueueName, u32>,
}

impl BacklogForecast {
    /// The backlog of a class; `None` if nothing is known of it.
    ///
    /// ```
    /// use greengagearch::workflow::admission::backlog_forecast::BacklogForecast;
    /// use greengagearch::workflow::admission::job_demand::WorkClass;
    ///
    /// assert!(BacklogForecast::default().class("s", WorkClass::Reserved).is_none());
    /// ```
    pub fn class(&self, service: &str, class: WorkClass) -> Option<&ClassBacklog> {
        self.classes.iter().find(|known| known.service == service && known.class == class)
    }

    /// Ratio of the actual to the declared work of a queue.
    ///
    /// ```
    /// use greengagearch::workflow::admission::backlog_forecast::BacklogForecast;
    ///
    /// assert_eq!(BacklogForecast::default().ratio("q"), 1.0);
    /// ```
    pub fn ratio(&self, queue: &str) -> f64 {
        self.ratios.get(queue).map_or(1.0, |percent| f64::from(*percent) / 100.0)
    }

    /// Wait of a job in the planner's order. `extra_core_ms` is work ahead of it that the forecast
    /// does not contain. Zero for a class of which nothing is known.
    ///
    /// A job that can meet its objective waits only for others that can. One that cannot also waits
    /// for the late ones. Jobs that arrive later and precede it are not included, so that the
    /// estimate is rather too short than too long.
    ///
    /// ```
    /// use greengagearch::workflow::admission::backlog_forecast::*;
    /// use greengagearch::workflow::admission::job_demand::*;
    ///
    /// let open = vec![SizedWork { priority: 0, bucket: 3, is_late: false, core_ms: 9_000 }];
    /// let class = WorkClass::Reserved;
    /// let backlog = ClassBacklog { service: "s".into(), class, rate: 1_500, late_rate: 0,
    ///     has_spare_capacity: false, open, promised: vec![] };
    /// let forecast = BacklogForecast { classes: vec![backlog], ..BacklogForecast::default() };
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class, priority: 1,
    ///     core_ms: 4_000, critical_path_ms: 500, objective_ms: 1_000 };
    /// assert_eq!(forecast.expected_wait(&demand, 0).as_secs(), 6);
    /// assert_eq!(forecast.expected_end(&demand, 0).as_millis(), 6_500);
    /// ```
    pub fn expected_wait(&self, demand: &JobDemand, extra_core_ms: u64) -> Duration {
        let (before_late, in_all) = self.waits(demand, extra_core_ms);
        if before_late <= on_time_wait(demand) { before_late } else { in_all }
    }

    /// Time until a job that is refused would meet its objective, or would end within `limit`,
    /// whichever comes first.
    pub(crate) fn time_to_admission(
        &self,
        demand: &JobDemand,
        extra_core_ms: u64,
        limit: Duration,
    ) -> Duration {
        let (before_late, in_all) = self.waits(demand, extra_core_ms);
        let path = Duration::from_millis(demand.critical_path_ms);
        let until_on_time = before_late.saturating_sub(on_time_wait(demand));
        until_on_time.min((in_all + path).saturating_sub(limit))
    }

    /// Wait of a job for those that can meet their objective, and for all others as well.
    fn waits(&self, demand: &JobDemand, extra_core_ms: u64) -> (Duration, Duration) {
        let Some(backlog) = self.class(&demand.service, demand.class) else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let open = if backlog.has_spare_capacity { &[] } else { backlog.open.as_slice() };
        let (mut on_time, mut late) = (extra_core_ms, 0_u64);
        for work in open.iter().chain(&backlog.promised) {
            let ahead = work.ahead_of(demand.priority, demand.core_ms);
            let sum = if work.is_late { &mut late } else { &mut on_time };
            *sum = sum.saturating_add(ahead);
        }
        let before_late = backlog.time_for(on_time);
        (before_late, before_late + backlog.time_for_late(late))
    }

    /// Time until a job ends: its wait and its critical path.
    ///
    /// ```
    /// use greengagearch::workflow::admission::backlog_forecast::BacklogForecast;
    /// use greengagearch::workflow::admission::job_demand::*;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 1, core_ms: 4_000, critical_path_ms: 500, objective_ms: 1_000 };
    /// assert_eq!(BacklogForecast::default().expected_end(&demand, 0).as_millis(), 500);
    /// ```
    pub fn expected_end(&self, demand: &JobDemand, extra_core_ms: u64) -> Duration {
        self.expected_wait(demand, extra_core_ms) + Duration::from_millis(demand.critical_path_ms)
    }
}

/// Longest wait with which a job meets its objective.
fn on_time_wait(demand: &JobDemand) -> Duration {
    Duration::from_millis(demand.objective_ms.saturating_sub(demand.critical_path_ms))
}
