//! The rule by which a job is refused.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::workflow::admission::backlog_forecast::BacklogForecast;
use crate::workflow::admission::job_demand::JobDemand;

/// Age from which a forecast is not used any more. A heartbeat is written every 0.4 s; the limit
/// covers a takeover by a prompt successor.
pub const MAX_FORECAST_AGE: Duration = Duration::from_secs(3);
/// Shortest time after which a refused caller is asked to return.
pub const MIN_RETRY: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is asked to return. Forecasts are poor beyond it.
pub const MAX_RETRY: Duration = Duration::from_secs(30);

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// It would end after it has become worthless to its caller.
    Backlog,
    /// The forecast is too old, and this host has accepted its part of the last known rate.
    StaleForecast,
}

impl RefusalReason {
    /// Label in logs and metrics.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_policy::RefusalReason;
    ///
    /// assert_eq!(RefusalReason::Backlog.as_str(), "backlog");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Backlog => "backlog",
            RefusalReason::StaleForecast => "stale_forecast",
        }
    }
}

/// Decision on a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It is accepted.
    Admit,
    /// It is refused.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Time until the forecast accepts it, in whole seconds from [`MIN_RETRY`] on. It may
        /// exceed [`MAX_RETRY`], in which case no place is promised.
        retry_after: Duration,
    },
}

/// Rounds the time until a caller may return up to whole seconds, as its header gives it.
pub(crate) fn whole_seconds(span: Duration) -> Duration {
    let seconds = span.as_secs() + u64::from(span.subsec_nanos() > 0);
    Duration::from_secs(seconds).max(MIN_RETRY)
}

/// What is known of a submission and of the backlog.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionQuery<'a> {
    /// What the job needs.
    pub demand: &'a JobDemand,
    /// The newest forecast and its age, if there was ever one.
    pub forecast: Option<(&'a BacklogForecast, Duration)>,
    /// Work ahead of the job that the forecast does not contain, in core-milliseconds.
    pub extra_core_ms: u64,
    /// Time since its caller was first refused, if it holds a place.
    pub since_refused: Option<Duration>,
}

/// The rule by which a job is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Multiple of its objective after which a job has no value to its caller.
    pub worthless_after: f64,
}

impl AdmissionPolicy {
    /// Time within which a job has to end to be of any value.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_policy::AdmissionPolicy;
    /// use greengagearch::workflow::admission::job_demand::*;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 0, core_ms: 10, critical_path_ms: 500, objective_ms: 1_000 };
    /// assert_eq!(AdmissionPolicy { worthless_after: 3.0 }.limit(&demand).as_secs(), 3);
    /// ```
    pub fn limit(&self, demand: &JobDemand) -> Duration {
        Duration::from_millis((demand.objective_ms as f64 * self.worthless_after) as u64)
    }

    /// Decides on a submission. Without a forecast, or with one that is too old, it is accepted, and
    /// so is a job whose critical path alone exceeds its limit. A caller that holds a place and was first refused [`MAX_RETRY`] ago is accepted as well:
    /// places are only given for work that is done in that time.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_policy::*;
    /// use greengagearch::workflow::admission::job_demand::*;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 0, core_ms: 10, critical_path_ms: 500, objective_ms: 1_000 };
    /// let query = AdmissionQuery { demand: &demand, forecast: None, extra_core_ms: 0, since_refused: None };
    /// let policy = AdmissionPolicy { worthless_after: 3.0 };
    /// assert_eq!(policy.decide(&query), AdmissionVerdict::Admit);
    /// ```
    pub fn decide(&self, query: &AdmissionQuery<'_>) -> AdmissionVerdict {
        let Some((forecast, _)) = query.forecast.filter(|(_, age)| *age <= MAX_FORECAST_AGE) else {
            return AdmissionVerdict::Admit;
        };
        let expected_end = forecast.expected_end(query.demand, query.extra_core_ms);
        let limit = self.limit(query.demand);
        let has_waited = query.since_refused.is_some_and(|since| since >= MAX_RETRY);
        // No return would help a job that takes longer than its limit without any wait.
        let is_hopeless = Duration::from_millis(query.demand.critical_path_ms) > limit;
        if expected_end <= limit || has_waited || is_hopeless {
            return AdmissionVerdict::Admit;
        }
        let retry_after =
            whole_seconds(forecast.time_to_admission(query.demand, query.extra_core_ms, limit));
        AdmissionVerdict::Refuse { reason: RefusalReason::Backlog, retry_after }
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::workflow::admission::backlog_forecast::ClassBacklog;
    use crate::workflow::admission::backlog_forecast::SizedWork;
    use crate::workflow::admission::backlog_forecast::size_bucket;
    use crate::workflow::admission::job_demand::WorkClass;

    pub(crate) const POLICY: AdmissionPolicy = AdmissionPolicy { worthless_after: 3.0 };

    /// A job of 10 core-seconds on a path of a second, worthless after 9 s.
    pub(crate) fn demand(queue: &str) -> JobDemand {
        JobDemand {
            service: "s".to_string(),
            queue: queue.to_string(),
            class: WorkClass::BestEffort,
            priority: 2,
            core_ms: 10_000,
            critical_path_ms: 1_000,
            objective_ms: 3_000,
        }
    }

    /// A forecast by which jobs of the same queue wait this long, at 10 cores.
    pub(crate) fn forecast(number: u64, wait_ms: u64) -> BacklogForecast {
        let bucket = size_bucket(10_000) - 1;
        let work = SizedWork { priority: 2, bucket, is_late: false, core_ms: wait_ms * 10 };
        let backlog = ClassBacklog {
            service: "s".to_string(),
            class: WorkClass::BestEffort,
            rate: 10_000,
            late_rate: 0,
            has_spare_capacity: false,
            open: vec![work],
            promised: Vec::new(),
        };
        BacklogForecast { number, classes: vec![backlog], ..BacklogForecast::default() }
    }

    fn decide(wait_ms: u64, age: Duration, since_refused: Option<Duration>) -> AdmissionVerdict {
        let (demand, forecast) = (demand("q"), forecast(1, wait_ms));
        let forecast = Some((&forecast, age));
        POLICY.decide(&AdmissionQuery {
            demand: &demand,
            forecast,
            extra_core_ms: 0,
            since_refused,
        })
    }

    /// Guards against refusals before a job is worthless, and against a return that is too early.
    #[test]
    fn a_job_is_refused_only_if_it_would_end_worthless() {
        assert_eq!(decide(8_000, Duration::ZERO, None), AdmissionVerdict::Admit);
        let retry_after = Duration::from_secs(3);
        let refused = AdmissionVerdict::Refuse { reason: RefusalReason::Backlog, retry_after };
        assert_eq!(decide(10_100, Duration::ZERO, None), refused);
    }

    /// Guards against refusals from old forecasts, and of callers that have waited the longest time.
    #[test]
    fn old_forecasts_and_long_waits_are_accepted() {
        assert_eq!(decide(60_000, Duration::from_secs(5), None), AdmissionVerdict::Admit);
        assert_eq!(decide(60_000, Duration::ZERO, Some(MAX_RETRY)), AdmissionVerdict::Admit);
    }

    /// Guards against refusals on an idle service, of jobs that take longer than a short objective.
    #[test]
    fn a_job_that_exceeds_its_limit_without_any_wait_is_not_refused() {
        let short = JobDemand { objective_ms: 300, ..demand("q") };
        for wait_ms in [0, 60_000] {
            let forecast = forecast(1, wait_ms);
            let query = AdmissionQuery {
                demand: &short,
                forecast: Some((&forecast, Duration::ZERO)),
                extra_core_ms: 0,
                since_refused: None,
            };
            assert_eq!(POLICY.decide(&query), AdmissionVerdict::Admit, "{wait_ms}");
        }
    }

    /// Guards against refusals on a barely loaded service, where a few long tasks have much work
    /// left and most workers are idle. What has been admitted since the forecast counts.
    #[test]
    fn open_work_delays_no_job_while_no_task_waits() {
        let mut idle = forecast(1, 60_000);
        idle.classes[0].has_spare_capacity = true;
        assert_eq!(idle.expected_wait(&demand("q"), 0), Duration::ZERO);
        assert_eq!(idle.expected_wait(&demand("q"), 100_000), Duration::from_secs(10));
        idle.classes[0].promised = idle.classes[0].open.clone();
        assert_eq!(idle.expected_wait(&demand("q"), 0), Duration::from_secs(60));
    }

    /// Guards against small jobs that are refused because of large ones, which they precede.
    #[test]
    fn a_small_job_does_not_wait_for_large_ones() {
        let large = forecast(1, 60_000);
        let small = JobDemand { core_ms: 1_000, ..demand("q") };
        assert_eq!(large.expected_wait(&small, 0), Duration::ZERO);
        let urgent = JobDemand { priority: 0, ..demand("q") };
        assert_eq!(large.expected_wait(&urgent, 0), Duration::ZERO);
    }

    /// Guards against refusals of jobs that would meet their objective before late ones, which come
    /// after them in the order.
    #[test]
    fn late_jobs_delay_only_those_that_are_late_as_well() {
        let mut mixed = forecast(1, 1_000);
        let late = SizedWork { is_late: true, core_ms: 600_000, ..mixed.classes[0].open[0] };
        mixed.classes[0].open.push(late);
        mixed.classes[0].late_rate = 5_000;
        assert_eq!(mixed.expected_wait(&demand("q"), 0), Duration::from_secs(1));
        assert_eq!(mixed.expected_wait(&demand("q"), 12_000), Duration::from_millis(122_200));
        let until = mixed.time_to_admission(&demand("q"), 12_000, Duration::from_secs(9));
        assert_eq!(until, Duration::from_millis(200));
    }
}
