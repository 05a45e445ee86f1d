//! The planner's part of admission control: forecast, places of refused callers, and answers to
//! hosts that would refuse.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::JobId;
use crate::ids::QueueName;
use crate::workflow::admission::admission_policy::AdmissionPolicy;
use crate::workflow::admission::admission_policy::AdmissionQuery;
use crate::workflow::admission::admission_policy::AdmissionVerdict;
use crate::workflow::admission::admission_policy::MAX_FORECAST_AGE;
use crate::workflow::admission::admission_policy::MAX_RETRY;
use crate::workflow::admission::admission_policy::MIN_RETRY;
use crate::workflow::admission::admission_policy::RefusalReason;
use crate::workflow::admission::admission_policy::whole_seconds;
use crate::workflow::admission::backlog_forecast::BacklogForecast;
use crate::workflow::admission::backlog_forecast::ClassBacklog;
use crate::workflow::admission::backlog_forecast::SizedWork;
use crate::workflow::admission::backlog_forecast::size_bucket;
use crate::workflow::admission::job_demand::ClassKey;
use crate::workflow::admission::job_demand::JobDemand;
use crate::workflow::admission::return_queue::CountedPlaces;
use crate::workflow::admission::return_queue::ReturnQueue;
use crate::workflow::admission::work_rate::RateSample;
use crate::workflow::admission::work_rate::WorkRate;
use crate::workflow::admission::work_ratio::WorkRatios;

/// Time for which an admitted job counts although its row has not been seen. Longer than a host
/// takes to store a job, unless the store is unavailable.
const UNSEEN_RETENTION: Duration = Duration::from_secs(4);

/// Time for which a job of which a submission may still be stored is not refused. The store has been
/// seen to carry out writes seconds after their callers had given up.
const UNSETTLED_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of such jobs. Beyond it the store is unavailable, and submissions fail anyway.
const MAX_UNSETTLED: usize = 4_096;

/// A host's question whether a job that it would refuse is admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The job.
    pub job: JobId,
    /// What it needs.
    pub demand: JobDemand,
}

/// Why and for how long a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time until its caller should return, in whole seconds.
    pub retry_after: Duration,
    /// When it would end, counted from now.
    pub expected_end: Duration,
    /// When it would have to end to be of value, counted from now.
    pub limit: Duration,
    /// Age of the forecast.
    pub forecast_age: Duration,
    /// Whether its caller has a place.
    pub has_place: bool,
}

/// How a refused caller has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnOutcome {
    /// It was admitted.
    Admitted,
    /// It returned before its time, and was refused.
    TooEarly,
    /// It returned in time, and was refused because the backlog had grown.
    RefusedAgain,
}

impl ReturnOutcome {
    /// Label in logs and metrics.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_control::ReturnOutcome;
    ///
    /// assert_eq!(ReturnOutcome::TooEarly.as_str(), "too_early");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            ReturnOutcome::Admitted => "admitted",
            ReturnOutcome::TooEarly => "too_early",
            ReturnOutcome::RefusedAgain => "refused_again",
        }
    }
}

/// The planner's answer to an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionResponse {
    /// The job is admitted, or is known already.
    Admitted {
        /// Time since its caller was first refused, if it held a place.
        waited: Option<Duration>,
    },
    /// The job is refused.
    Refused(AdmissionRefusal, Option<ReturnOutcome>),
    /// The process is not the planner, or has no forecast that is recent enough. The host decides
    /// by itself.
    Unknown,
}

/// A job that was admitted here and whose row has not been seen yet.
#[derive(Clone, Debug)]
struct UnseenJob {
    demand: JobDemand,
    admitted_at: Instant,
}

/// Priority, size bucket, and whether the jobs are late.
type SizeKey = (u32, u8, bool);

/// What the planner measures for a forecast.
#[derive(Clone, Debug, Default)]
pub(crate) struct BacklogSample {
    /// Usage and capacity by class.
    pub(crate) rates: BTreeMap<ClassKey, RateSample>,
    /// Open work by class and size.
    pub(crate) open: BTreeMap<ClassKey, BTreeMap<SizeKey, u64>>,
}

/// Forecast, places and learned ratios of the planner.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    policy: Option<AdmissionPolicy>,
    forecast: BacklogForecast,
    computed_at: Option<Instant>,
    rates: BTreeMap<ClassKey, WorkRate>,
    pub(crate) ratios: WorkRatios,
    returns: ReturnQueue,
    unseen: BTreeMap<JobId, UnseenJob>,
    /// Jobs of which a submission may still be stored, since when.
    unsettled: BTreeMap<JobId, Instant>,
    expired: Vec<QueueName>,
    had_places: bool,
}

impl AdmissionControl {
    /// The newest forecast; `None` before the first one.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_control::AdmissionControl;
    ///
    /// assert!(AdmissionControl::default().forecast().is_none());
    /// ```
    pub fn forecast(&self) -> Option<&BacklogForecast> {
        self.computed_at.map(|_| &self.forecast)
    }

    /// Number of callers that have a place.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_control::AdmissionControl;
    ///
    /// assert_eq!(AdmissionControl::default().places(), 0);
    /// ```
    pub fn places(&self) -> usize {
        self.returns.len()
    }

    /// Returns whether there were places at the previous call.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_control::AdmissionControl;
    ///
    /// assert!(!AdmissionControl::default().note_places());
    /// ```
    pub fn note_places(&mut self) -> bool {
        std::mem::replace(&mut self.had_places, !self.returns.is_empty())
    }

    /// Returns the queues of the callers that have not returned in time since the last call, one
    /// for each.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_control::AdmissionControl;
    ///
    /// assert!(AdmissionControl::default().take_expired().is_empty());
    /// ```
    pub fn take_expired(&mut self) -> Vec<QueueName> {
        std::mem::take(&mut self.expired)
    }

    /// Records that a submission of a job may still be stored. The job is admitted from then on,
    /// since a refusal might not be true.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::admission_control::AdmissionControl;
    ///
    /// AdmissionControl::default().note_unsettled("a", Instant::now());
    /// ```
    pub fn note_unsettled(&mut self, job: &str, now: Instant) {
        if self.unsettled.len() < MAX_UNSETTLED {
            self.unsettled.insert(job.to_string(), now);
        }
    }

    /// Continues rates and ratios of an earlier planner. Has no effect after the first forecast.
    pub(crate) fn inherit(&mut self, published: &BacklogForecast) {
        if self.computed_at.is_some() {
            return;
        }
        for class in &published.classes {
            let key = (class.service.clone(), class.class);
            self.rates.insert(key, WorkRate::inherited(class.rate));
        }
        self.ratios.inherit(&published.ratios);
        self.forecast.number = published.number;
    }

    /// Computes the next forecast. `is_known` tells whether a job's row has been seen.
    pub(crate) fn update(
        &mut self,
        policy: AdmissionPolicy,
        sample: BacklogSample,
        now: Instant,
        is_known: impl Fn(&str) -> bool,
    ) {
        self.policy = Some(policy);
        self.expired.extend(self.returns.expire(now, &is_known));
        self.unseen.retain(|job, unseen| {
            !is_known(job) && now.saturating_duration_since(unseen.admitted_at) < UNSEEN_RETENTION
        });
        self.unsettled.retain(|job, since| {
            !is_known(job) && now.saturating_duration_since(*since) < UNSETTLED_RETENTION
        });
        let mut promised = self.returns.promised(now);
        let mut open = sample.open;
        let mut spare = BTreeSet::new();
        for (key, rate) in sample.rates {
            if !rate.is_saturated {
                spare.insert(key.clone());
            }
            self.rates.entry(key).or_default().record(rate, now);
        }
        let mut classes = Vec::with_capacity(self.rates.len());
        // A class whose workers have not reported yet keeps the rate that it had.
        for (key, average) in &self.rates {
            let work = open.remove(key).unwrap_or_default().into_iter();
            let open = work.map(|((priority, bucket, is_late), core_ms)| SizedWork {
                is_late,
                priority,
                bucket,
                core_ms,
            });
            // While few workers have reported, their capacity is not the rate of the class.
            let is_known = average.is_known(now);
            classes.push(ClassBacklog {
                rate: if is_known { average.millicores() } else { 0 },
                late_rate: if is_known { average.late_millicores() } else { 0 },
                has_spare_capacity: spare.contains(key),
                open: open.collect(),
                promised: promised.remove(key).unwrap_or_default(),
                service: key.0.clone(),
                class: key.1,
            });
        }
        let ratios = self.ratios.percentages();
        self.forecast = BacklogForecast { number: self.forecast.number + 1, classes, ratios };
        self.computed_at = Some(now);
    }

    /// Answers a host that would refuse a job. `is_known` tells whether its row has been seen.
    pub(crate) fn answer(
        &mut self,
        request: &AdmissionRequest,
        now: Instant,
        is_known: bool,
    ) -> AdmissionResponse {
        let is_known = is_known || self.unseen.contains_key(&request.job);
        if is_known || self.unsettled.contains_key(&request.job) {
            let waited = self.remove_place(&request.job, now);
            return AdmissionResponse::Admitted { waited };
        }
        let Some((policy, computed_at)) = self.policy.zip(self.computed_at) else {
            return AdmissionResponse::Unknown;
        };
        let forecast_age = now.saturating_duration_since(computed_at);
        if forecast_age > MAX_FORECAST_AGE {
            return AdmissionResponse::Unknown;
        }
        let demand = &request.demand;
        let place = self.returns.place(&request.job).map(|place| (place.refused_at, place.due_at));
        let unseen_core_ms = self.unseen_before(demand);
        let due = CountedPlaces::DueAt(now);
        let due_core_ms = self.returns.promised_before(&request.job, demand, due);
        let extra_core_ms = unseen_core_ms + due_core_ms;
        let open = self.without_promises(demand);
        let since_refused = place.map(|(refused_at, _)| now.saturating_duration_since(refused_at));
        let query = AdmissionQuery {
            demand,
            forecast: Some((&open, forecast_age)),
            extra_core_ms,
            since_refused,
        };
        let AdmissionVerdict::Refuse { reason, .. } = policy.decide(&query) else {
            self.remove_place(&request.job, now);
            let unseen = UnseenJob { demand: demand.clone(), admitted_at: now };
            self.unseen.insert(request.job.clone(), unseen);
            return AdmissionResponse::Admitted { waited: since_refused };
        };
        let expected_end = open.expected_end(demand, extra_core_ms);
        let limit = policy.limit(demand);
        let all_core_ms = self.returns.promised_before(&request.job, demand, CountedPlaces::All);
        let wait = open.time_to_admission(demand, unseen_core_ms + all_core_ms, limit);
        let retry_after = whole_seconds(wait);
        let (retry_after, has_place, outcome) = match place {
            Some((_, due_at)) if now < due_at => {
                let rest = whole_seconds(due_at.saturating_duration_since(now));
                (rest, true, Some(ReturnOutcome::TooEarly))
            }
            Some((refused_at, _)) => {
                let last = (refused_at + MAX_RETRY).saturating_duration_since(now);
                let retry_after = retry_after.min(whole_seconds(last));
                self.returns.reserve(&request.job, demand, retry_after, now);
                (retry_after, true, Some(ReturnOutcome::RefusedAgain))
            }
            None if retry_after <= MAX_RETRY => {
                let has_place = self.returns.reserve(&request.job, demand, retry_after, now);
                (retry_after, has_place, None)
            }
            None => (MAX_RETRY, false, None),
        };
        let retry_after = retry_after.clamp(MIN_RETRY, MAX_RETRY);
        let refusal =
            AdmissionRefusal { reason, retry_after, expected_end, limit, forecast_age, has_place };
        AdmissionResponse::Refused(refusal, outcome)
    }

    /// Removes the place of a job, and returns the time since its caller was first refused.
    fn remove_place(&mut self, job: &str, now: Instant) -> Option<Duration> {
        let place = self.returns.remove(job)?;
        Some(now.saturating_duration_since(place.refused_at))
    }

    /// Work before a job that was admitted and that the class's open jobs do not contain yet.
    fn unseen_before(&self, demand: &JobDemand) -> u64 {
        let same_class =
            self.unseen.values().map(|unseen| &unseen.demand).filter(|unseen| {
                (&unseen.service, unseen.class) == (&demand.service, demand.class)
            });
        let before = same_class.map(|unseen| {
            let (priority, core_ms) = (unseen.priority, unseen.core_ms);
            let bucket = size_bucket(core_ms);
            let work = SizedWork { priority, bucket, is_late: false, core_ms };
            work.ahead_of(demand.priority, demand.core_ms)
        });
        before.sum()
    }

    /// The forecast for the class of a job, without the promised work, which depends on the job's
    /// own place.
    fn without_promises(&self, demand: &JobDemand) -> BacklogForecast {
        let class = self.forecast.class(&demand.service, demand.class).cloned();
        let class = class.map(|class| ClassBacklog { promised: Vec::new(), ..class });
        BacklogForecast { classes: class.into_iter().collect(), ..BacklogForecast::default() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workflow::admission::admission_policy::tests::POLICY;
    use crate::workflow::admission::admission_policy::tests::demand;
    use crate::workflow::admission::admission_policy::tests::forecast;
    use crate::workflow::admission::job_demand::WorkClass;

    const RATE: f64 = 10_000.0;

    /// A planner's control with a backlog of the same class, which its workers serve at 10 cores.
    struct LoadedControl {
        control: AdmissionControl,
        now: Instant,
    }

    impl LoadedControl {
        fn new(backlog_ms: u64) -> LoadedControl {
            let mut loaded =
                LoadedControl { control: AdmissionControl::default(), now: Instant::now() };
            loaded.control.inherit(&forecast(0, 0));
            loaded.update(backlog_ms, &[]);
            loaded
        }

        /// Passes a second, after which the backlog takes this long.
        fn update(&mut self, backlog_ms: u64, known: &[&str]) {
            self.now += Duration::from_secs(1);
            let key = ("s".to_string(), WorkClass::BestEffort);
            let rate =
                RateSample { done: RATE, done_on_time: RATE, available: RATE, is_saturated: true };
            let work = BTreeMap::from([((2, 1, false), backlog_ms * 10)]);
            let sample = BacklogSample {
                rates: BTreeMap::from([(key.clone(), rate)]),
                open: BTreeMap::from([(key, work)]),
            };
            self.control.update(POLICY, sample, self.now, |job| known.contains(&job));
        }

        fn ask(&mut self, job: &str, queue: &str) -> AdmissionResponse {
            let request = AdmissionRequest { job: job.to_string(), demand: demand(queue) };
            self.control.answer(&request, self.now, false)
        }

        fn retry_of(&mut self, job: &str) -> Option<u64> {
            match self.ask(job, "q") {
                AdmissionResponse::Refused(refusal, _) => Some(refusal.retry_after.as_secs()),
                _ => None,
            }
        }
    }

    /// Guards against callers that are all asked to return at the same time, and against a second
    /// answer for the same id that is worse than the first.
    #[test]
    fn refused_callers_get_successive_times_and_keep_them() {
        let mut loaded = LoadedControl::new(10_000);
        assert_eq!(loaded.retry_of("a"), Some(2));
        assert_eq!(loaded.retry_of("b"), Some(3));
        assert_eq!(loaded.retry_of("c"), Some(4));
        assert_eq!(loaded.retry_of("b"), Some(3), "another host asks for the same job");
        loaded.update(9_000, &[]);
        assert_eq!(loaded.retry_of("c"), Some(3), "the remaining time");
    }

    /// Guards against newcomers that take the headroom of a caller whose time has come.
    #[test]
    fn a_caller_that_returns_in_time_is_admitted_before_newcomers() {
        let mut loaded = LoadedControl::new(10_000);
        assert_eq!(loaded.retry_of("a"), Some(2));
        loaded.update(9_000, &[]);
        loaded.update(8_000, &[]);
        assert!(loaded.retry_of("new").is_some());
        let waited = Some(Duration::from_secs(2));
        assert_eq!(loaded.ask("a", "q"), AdmissionResponse::Admitted { waited });
        assert!(loaded.retry_of("late").is_some(), "the work of `a` counts before its row is seen");
        assert_eq!(loaded.ask("a", "q"), AdmissionResponse::Admitted { waited: None });
    }

    /// Guards against a caller that is asked to return again and again while the backlog grows.
    #[test]
    fn a_caller_that_returns_as_told_is_admitted_within_the_longest_time() {
        let mut loaded = LoadedControl::new(10_000);
        let mut waited = 0;
        while let Some(seconds) = loaded.retry_of("a") {
            assert!(waited < 30, "{waited}");
            waited += seconds;
            (0..seconds).for_each(|_| loaded.update(60_000, &[]));
        }
        assert!((29..=31).contains(&waited), "{waited}");
    }

    /// Guards against promises beyond what is done within the longest time.
    #[test]
    fn a_hopeless_job_gets_the_longest_time_and_no_place() {
        let mut loaded = LoadedControl::new(60_000);
        let AdmissionResponse::Refused(refusal, None) = loaded.ask("a", "q") else {
            panic!("the job is refused");
        };
        assert_eq!((refusal.retry_after, refusal.has_place), (MAX_RETRY, false));
        assert_eq!(loaded.control.places(), 0);
    }

    /// Guards against callers that are all let through because all of them have a place.
    #[test]
    fn callers_that_all_return_in_the_same_second_are_admitted_as_far_as_there_is_headroom() {
        let mut loaded = LoadedControl::new(9_000);
        let jobs: Vec<String> = (0..20).map(|number| format!("j{number:02}")).collect();
        jobs.iter().for_each(|job| assert!(loaded.retry_of(job).is_some()));
        (0..4).for_each(|second| loaded.update(8_000 - second * 1_000, &[]));
        let admitted = jobs.iter().rev().filter(|job| loaded.retry_of(job).is_none()).count();
        assert!(
            (2..=6).contains(&admitted),
            "4 s of headroom for jobs of a second each: {admitted}"
        );
        assert!(loaded.retry_of(&jobs[0]).is_none(), "the first refused is among them");
    }

    /// Guards against a refusal of a job whose earlier submission is carried out later by the store.
    #[test]
    fn a_job_that_may_be_stored_is_not_refused() {
        let mut loaded = LoadedControl::new(10_000);
        loaded.control.note_unsettled("a", loaded.now);
        assert_eq!(loaded.retry_of("a"), None);
        (0..29).for_each(|_| loaded.update(10_000, &[]));
        assert_eq!(loaded.retry_of("a"), None);
        loaded.update(10_000, &[]);
        assert!(loaded.retry_of("a").is_some(), "a new submission long after the first one");
    }

    /// Guards against a successor that refuses from nothing, or forgets what work costs.
    #[test]
    fn a_successor_knows_rates_but_no_places() {
        let mut loaded = LoadedControl::new(10_000);
        assert!(loaded.retry_of("a").is_some());
        let mut successor = AdmissionControl::default();
        let request = AdmissionRequest { job: "a".to_string(), demand: demand("q") };
        assert_eq!(successor.answer(&request, loaded.now, false), AdmissionResponse::Unknown);
        successor.inherit(loaded.control.forecast().unwrap());
        loaded.control = successor;
        loaded.update(2_000, &[]);
        assert_eq!(loaded.ask("a", "q"), AdmissionResponse::Admitted { waited: None });
        assert_eq!(loaded.control.forecast().unwrap().number, 2);
    }

    /// Guards against refusals by a planner whose forecast no longer follows its state.
    #[test]
    fn a_planner_without_a_recent_forecast_does_not_decide() {
        let mut loaded = LoadedControl::new(10_000);
        loaded.now += Duration::from_secs(5);
        assert_eq!(loaded.ask("a", "q"), AdmissionResponse::Unknown);
    }

    /// Guards against refusals by the first planner of a service, which has read the whole backlog
    /// while only a few workers have reported.
    #[test]
    fn nothing_is_refused_while_few_workers_are_known() {
        let mut loaded =
            LoadedControl { control: AdmissionControl::default(), now: Instant::now() };
        (0..4).for_each(|_| loaded.update(60_000, &[]));
        assert_eq!(loaded.ask("a", "q"), AdmissionResponse::Admitted { waited: None });
        loaded.update(60_000, &[]);
        assert!(loaded.retry_of("b").is_some(), "all workers have reported");
    }

    /// Guards against open work that delays new jobs although no task waits, and against a class
    /// without workers that is taken for one with spare capacity.
    #[test]
    fn open_work_counts_unless_workers_report_spare_capacity() {
        let mut loaded = LoadedControl::new(60_000);
        let key = ("s".to_string(), WorkClass::BestEffort);
        let open = BTreeMap::from([(key.clone(), BTreeMap::from([((2, 1, false), 600_000)]))]);
        let idle =
            RateSample { done: 100.0, done_on_time: 100.0, available: RATE, is_saturated: false };
        let rates = BTreeMap::from([(key, idle)]);
        let spare = BacklogSample { rates, open: open.clone() };
        loaded.control.update(POLICY, spare, loaded.now, |_| false);
        assert_eq!(loaded.ask("a", "q"), AdmissionResponse::Admitted { waited: None });
        let no_workers = BacklogSample { rates: BTreeMap::new(), open };
        loaded.control.update(POLICY, no_workers, loaded.now, |_| false);
        assert!(loaded.retry_of("b").is_some());
    }
}
