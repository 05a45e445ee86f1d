//! What a host has admitted since the newest forecast, and its decisions from published forecasts.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::PlannerEpoch;
use crate::workflow::admission::admission_policy::AdmissionPolicy;
use crate::workflow::admission::admission_policy::AdmissionQuery;
use crate::workflow::admission::admission_policy::AdmissionVerdict;
use crate::workflow::admission::admission_policy::MAX_FORECAST_AGE;
use crate::workflow::admission::admission_policy::MAX_RETRY;
use crate::workflow::admission::admission_policy::RefusalReason;
use crate::workflow::admission::admission_policy::whole_seconds;
use crate::workflow::admission::backlog_forecast::BacklogForecast;
use crate::workflow::admission::job_demand::ClassKey;
use crate::workflow::admission::job_demand::JobDemand;

/// Unused allowance of a host without a fresh forecast that is kept, as a time at its rate.
const MAX_SAVED_ALLOWANCE: Duration = Duration::from_secs(1);

/// A forecast as a host has received it.
#[derive(Clone, Copy, Debug)]
pub struct ForecastView<'a> {
    /// The forecast.
    pub forecast: &'a BacklogForecast,
    /// Epoch of the planner that computed it.
    pub epoch: PlannerEpoch,
    /// Time since the host received it.
    pub age: Duration,
    /// Number of hosts that accept jobs, at least 1.
    pub hosts: usize,
}

/// What this host may still accept of a class without a fresh forecast.
#[derive(Clone, Copy, Debug)]
struct StaleAllowance {
    core_ms: f64,
    updated_at: Instant,
}

/// What a host has admitted since the newest forecast.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLedger {
    /// Epoch and number of the forecast that `admitted` refers to.
    newest: (PlannerEpoch, u64),
    /// Admitted work in core-milliseconds.
    admitted: BTreeMap<ClassKey, u64>,
    allowances: BTreeMap<ClassKey, StaleAllowance>,
}

impl AdmissionLedger {
    /// Decides on a submission, and charges it if it is admitted. Without any forecast everything
    /// is admitted. With a fresh one, the host admits as if all hosts had admitted as much as it has
    /// since that forecast, which bounds what they admit together to one share each. With an old
    /// one, it admits its part of the rate at which work was last done.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::admission_ledger::AdmissionLedger;
    /// use greengagearch::workflow::admission::admission_policy::*;
    /// use greengagearch::workflow::admission::job_demand::*;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 0, core_ms: 10, critical_path_ms: 500, objective_ms: 1_000 };
    /// let (policy, now) = (AdmissionPolicy { worthless_after: 3.0 }, Instant::now());
    /// let mut ledger = AdmissionLedger::default();
    /// assert_eq!(ledger.decide(policy, None, &demand, now), AdmissionVerdict::Admit);
    /// ```
    pub fn decide(
        &mut self,
        policy: AdmissionPolicy,
        view: Option<ForecastView<'_>>,
        demand: &JobDemand,
        now: Instant,
    ) -> AdmissionVerdict {
        let Some(view) = view else {
            return AdmissionVerdict::Admit;
        };
        if view.age > MAX_FORECAST_AGE {
            return self.decide_stale(&view, demand, now);
        }
        self.allowances.clear();
        if self.newest != (view.epoch, view.forecast.number) {
            self.newest = (view.epoch, view.forecast.number);
            self.admitted.clear();
        }
        let key = (demand.service.clone(), demand.class);
        let hosts = u64::try_from(view.hosts.max(1)).unwrap_or(1);
        let admitted = self.admitted.entry(key).or_default();
        let verdict = policy.decide(&AdmissionQuery {
            demand,
            forecast: Some((view.forecast, view.age)),
            extra_core_ms: admitted.saturating_mul(hosts),
            since_refused: None,
        });
        if verdict == AdmissionVerdict::Admit {
            *admitted = admitted.saturating_add(demand.core_ms);
        }
        verdict
    }

    /// Charges a submission that the planner has admitted.
    ///
    /// ```
    /// use greengagearch::workflow::admission::admission_ledger::AdmissionLedger;
    /// use greengagearch::workflow::admission::job_demand::*;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 0, core_ms: 10, critical_path_ms: 500, objective_ms: 1_000 };
    /// AdmissionLedger::default().charge(&demand);
    /// ```
    pub fn charge(&mut self, demand: &JobDemand) {
        let key = (demand.service.clone(), demand.class);
        let admitted = self.admitted.entry(key).or_default();
        *admitted = admitted.saturating_add(demand.core_ms);
    }

    fn decide_stale(
        &mut self,
        view: &ForecastView<'_>,
        demand: &JobDemand,
        now: Instant,
    ) -> AdmissionVerdict {
        let rate = view.forecast.class(&demand.service, demand.class).map_or(0, |class| class.rate);
        if rate == 0 {
            return AdmissionVerdict::Admit;
        }
        let share = rate as f64 / view.hosts.max(1) as f64;
        let key = (demand.service.clone(), demand.class);
        let unused = StaleAllowance { core_ms: 0.0, updated_at: now };
        let allowance = self.allowances.entry(key).or_insert(unused);
        let since = now.saturating_duration_since(allowance.updated_at).as_secs_f64();
        let saved = share * MAX_SAVED_ALLOWANCE.as_secs_f64();
        allowance.core_ms = (allowance.core_ms + since * share).min(saved);
        allowance.updated_at = now;
        if allowance.core_ms >= 0.0 {
            // A larger debt would refuse callers for longer than the longest `Retry-After`.
            let max_debt = share * MAX_RETRY.as_secs_f64();
            allowance.core_ms = (allowance.core_ms - demand.core_ms as f64).max(-max_debt);
            return AdmissionVerdict::Admit;
        }
        let wait = Duration::from_secs_f64(-allowance.core_ms / share).min(MAX_RETRY);
        let retry_after = whole_seconds(wait);
        AdmissionVerdict::Refuse { reason: RefusalReason::StaleForecast, retry_after }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workflow::admission::admission_policy::tests::POLICY;
    use crate::workflow::admission::admission_policy::tests::demand;
    use crate::workflow::admission::admission_policy::tests::forecast;

    fn view(forecast: &BacklogForecast, age: Duration, hosts: usize) -> Option<ForecastView<'_>> {
        Some(ForecastView { forecast, epoch: 1, age, hosts })
    }

    fn admitted(
        ledger: &mut AdmissionLedger,
        view: Option<ForecastView<'_>>,
        tries: usize,
        now: Instant,
    ) -> usize {
        let decide =
            |_: &usize| ledger.decide(POLICY, view, &demand("q"), now) == AdmissionVerdict::Admit;
        (0..tries).filter(decide).count()
    }

    /// Guards against hosts that all use the whole headroom of one forecast. It is 40 core-seconds,
    /// which is four jobs.
    #[test]
    fn hosts_that_admit_at_the_same_time_exceed_the_headroom_by_one_share_each_at_most() {
        let (now, nearly_full) = (Instant::now(), forecast(7, 4_000));
        let mut ledgers = vec![AdmissionLedger::default(); 8];
        let view = view(&nearly_full, Duration::ZERO, 8);
        let total: usize = ledgers.iter_mut().map(|ledger| admitted(ledger, view, 20, now)).sum();
        assert_eq!(total, 8, "one job at each host");
        let mut alone = AdmissionLedger::default();
        let view = ForecastView { hosts: 1, ..view.unwrap() };
        assert_eq!(admitted(&mut alone, Some(view), 20, now), 5);
        let newer = forecast(8, 4_000);
        let view = ForecastView { forecast: &newer, ..view };
        assert_eq!(admitted(&mut alone, Some(view), 20, now), 5, "a new forecast has new headroom");
    }

    /// Guards against both refusing everything and accepting everything while the planner is away.
    #[test]
    fn an_old_forecast_admits_at_the_hosts_part_of_the_last_rate() {
        let (start, old) = (Instant::now(), forecast(7, 60_000));
        let mut ledger = AdmissionLedger::default();
        let mut total = 0;
        for second in 0..60 {
            let age = Duration::from_secs(5 + second);
            let now = start + Duration::from_secs(second);
            total += admitted(&mut ledger, view(&old, age, 2), 3, now);
        }
        // Two hosts share 10 cores; each job takes 10 core-seconds.
        assert!((29..=32).contains(&total), "{total}");
    }

    /// Guards against a single large job, or one with an absurd estimate, after which a host without a
    /// fresh forecast refuses a class for longer than it tells its callers.
    #[test]
    fn a_large_job_delays_others_for_the_longest_time_at_most() {
        let (start, old) = (Instant::now(), forecast(7, 60_000));
        let mut ledger = AdmissionLedger::default();
        let view = |age| view(&old, Duration::from_secs(age), 2);
        let huge = JobDemand { core_ms: u64::MAX, ..demand("q") };
        assert_eq!(ledger.decide(POLICY, view(5), &huge, start), AdmissionVerdict::Admit);
        assert_eq!(admitted(&mut ledger, view(5), 1, start), 0);
        assert_eq!(admitted(&mut ledger, view(35), 1, start + MAX_RETRY), 1);
    }

    /// Guards against refusals of a host that has never seen a forecast, or an idle one.
    #[test]
    fn without_a_forecast_and_on_an_idle_service_everything_is_admitted() {
        let (now, idle) = (Instant::now(), forecast(1, 0));
        let mut ledger = AdmissionLedger::default();
        assert_eq!(admitted(&mut ledger, None, 50, now), 50);
        assert!(admitted(&mut ledger, view(&idle, Duration::ZERO, 10), 1, now) == 1);
        let unknown = JobDemand { service: "new".to_string(), ..demand("q") };
        let old = view(&idle, Duration::from_secs(9), 10);
        assert_eq!(ledger.decide(POLICY, old, &unknown, now), AdmissionVerdict::Admit);
    }
}
