//! Admission control at a host: decides from the published forecast, and asks the planner before it
//! refuses.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use log::Level;

use crate::ids::PlannerEpoch;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::planner_client::PlannerClient;
use crate::process::planning::rows::HeartbeatRow;
use crate::process::planning::shared::PlannerShared;
use crate::workflow::admission::admission_control::AdmissionRefusal;
use crate::workflow::admission::admission_control::AdmissionRequest;
use crate::workflow::admission::admission_control::AdmissionResponse;
use crate::workflow::admission::admission_control::ReturnOutcome;
use crate::workflow::admission::admission_ledger::AdmissionLedger;
use crate::workflow::admission::admission_ledger::ForecastView;
use crate::workflow::admission::admission_policy::AdmissionPolicy;
use crate::workflow::admission::admission_policy::AdmissionVerdict;
use crate::workflow::admission::admission_policy::MAX_FORECAST_AGE;
use crate::workflow::admission::admission_policy::MAX_RETRY;
use crate::workflow::admission::backlog_forecast::BacklogForecast;
use crate::workflow::admission::job_demand::JobDemand;
use crate::workflow::spec::WorkflowSpec;

/// A forecast that this process has received with a heartbeat.
#[derive(Clone, Debug)]
pub struct PublishedForecast {
    /// The forecast.
    pub forecast: Arc<BacklogForecast>,
    /// Epoch of the planner that computed it.
    pub epoch: PlannerEpoch,
    /// When it was first received; `None` for the first forecast of this process, which the store may
    /// have kept since a planner that ended long ago.
    pub received_at: Option<Instant>,
}

impl PublishedForecast {
    /// Takes the forecast out of a heartbeat. One that was received before keeps its age.
    ///
    /// ```
    /// use greengagearch::process::planning::host_admission::PublishedForecast;
    /// use greengagearch::process::planning::rows::HeartbeatRow;
    ///
    /// assert!(PublishedForecast::received(None, &mut HeartbeatRow::default()).is_none());
    /// ```
    pub fn received(
        previous: Option<PublishedForecast>,
        heartbeat: &mut HeartbeatRow,
    ) -> Option<PublishedForecast> {
        let (forecast, epoch) = (heartbeat.admission.take()?, heartbeat.epoch);
        let received_at = match previous {
            Some(previous)
                if (previous.epoch, previous.forecast.number) == (epoch, forecast.number) =>
            {
                return Some(previous);
            }
            Some(_) => Some(clock::now()),
            None => None,
        };
        Some(PublishedForecast { forecast: Arc::new(forecast), epoch, received_at })
    }
}

/// How current the forecast of a host is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ViewState {
    /// There was never one.
    Unknown,
    /// Jobs are admitted by it.
    Current,
    /// It is too old; jobs are admitted at the last known rate.
    Stale,
}

#[derive(Debug)]
struct HostState {
    ledger: AdmissionLedger,
    view: ViewState,
}

/// Admission control at a host.
pub(super) struct HostAdmission {
    shared: Arc<PlannerShared>,
    state: Mutex<HostState>,
}

impl HostAdmission {
    /// Creates it; it accepts everything until a forecast is received.
    pub(super) fn open(shared: Arc<PlannerShared>) -> HostAdmission {
        let state = HostState { ledger: AdmissionLedger::default(), view: ViewState::Unknown };
        HostAdmission { shared, state: Mutex::new(state) }
    }

    /// Decides on a submission; `None` admits it.
    pub(super) async fn decide(
        &self,
        planner: &PlannerClient,
        job: &str,
        spec: &WorkflowSpec,
    ) -> Option<AdmissionRefusal> {
        let policy = self.shared.settings.admission?;
        let published = self.shared.view().forecast.clone();
        let owned_ratio = owned_ratio(&self.shared, &spec.policy.queue);
        let published_ratio =
            || published.as_ref().map_or(1.0, |view| view.forecast.ratio(&spec.policy.queue));
        let demand = JobDemand::of(spec, owned_ratio.unwrap_or_else(published_ratio))?;
        let request = AdmissionRequest { job: job.to_string(), demand };
        if owned_ratio.is_some() {
            match answer_request(&self.shared, &request) {
                AdmissionResponse::Admitted { .. } => return None,
                AdmissionResponse::Refused(refusal, _) => return Some(refusal),
                AdmissionResponse::Unknown => {}
            }
        }
        let own = self.decide_alone(policy, published.as_ref(), &request.demand)?;
        if owned_ratio.is_some() {
            return Some(own);
        }
        let demand = request.demand.clone();
        match planner.request_admission(request).await {
            AdmissionResponse::Admitted { .. } => {
                self.state().ledger.charge(&demand);
                None
            }
            AdmissionResponse::Refused(refusal, _) => Some(refusal),
            AdmissionResponse::Unknown => Some(own),
        }
    }

    /// Decides from the published forecast and the ledger alone.
    fn decide_alone(
        &self,
        policy: AdmissionPolicy,
        published: Option<&PublishedForecast>,
        demand: &JobDemand,
    ) -> Option<AdmissionRefusal> {
        let now = clock::now();
        let hosts = self.shared.peers().len() + 1;
        let view = published.and_then(|published| {
            Some(ForecastView {
                forecast: &published.forecast,
                epoch: published.epoch,
                age: now.saturating_duration_since(published.received_at?),
                hosts,
            })
        });
        let verdict = {
            let mut state = self.state();
            state.note_view(view.as_ref());
            state.ledger.decide(policy, view, demand, now)
        };
        let (AdmissionVerdict::Refuse { reason, retry_after }, Some(view)) = (verdict, view) else {
            return None;
        };
        Some(AdmissionRefusal {
            reason,
            retry_after: retry_after.min(MAX_RETRY),
            expected_end: view.forecast.expected_end(demand, 0),
            limit: policy.limit(demand),
            forecast_age: view.age,
            has_place: false,
        })
    }

    /// Logs and counts a refusal.
    pub(super) fn record_refusal(&self, job: &str, queue: &str, refusal: &AdmissionRefusal) {
        let reason = refusal.reason.as_str();
        self.shared.metrics.admission.refusals.with_label_values(&[queue, reason]).inc();
        log_event(
            Level::Info,
            "job_refused",
            &[
                ("job", &job),
                ("queue", &queue),
                ("reason", &reason),
                ("expected_end_ms", &refusal.expected_end.as_millis()),
                ("limit_ms", &refusal.limit.as_millis()),
                ("forecast_age_ms", &refusal.forecast_age.as_millis()),
                ("retry_after_s", &refusal.retry_after.as_secs()),
                ("place", &refusal.has_place),
            ],
        );
    }

    fn state(&self) -> MutexGuard<'_, HostState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HostState {
    /// Logs when a forecast is received for the first time, becomes too old, or is current again.
    fn note_view(&mut self, view: Option<&ForecastView<'_>>) {
        let state = match view {
            None => ViewState::Unknown,
            Some(view) if view.age > MAX_FORECAST_AGE => ViewState::Stale,
            Some(_) => ViewState::Current,
        };
        if std::mem::replace(&mut self.view, state) == state {
            return;
        }
        let (epoch, number) = view.map_or((0, 0), |view| (view.epoch, view.forecast.number));
        let (age, hosts) = view.map_or((Duration::ZERO, 0), |view| (view.age, view.hosts));
        log_event(
            Level::Info,
            "admission_view",
            &[
                ("state", &format!("{state:?}").to_lowercase()),
                ("epoch", &epoch),
                ("number", &number),
                ("age_ms", &age.as_millis()),
                ("hosts", &hosts),
            ],
        );
    }
}

/// The ratio of actual to declared work by which the planner of this process counts; `None` if this
/// process is not the planner.
fn owned_ratio(shared: &PlannerShared, queue: &str) -> Option<f64> {
    let owned = shared.owned();
    let forecast = owned.as_ref()?.planner.admission().forecast();
    Some(forecast.map_or(1.0, |forecast| forecast.ratio(queue)))
}

/// Records as the planner that a submission of a job may still be stored. Returns whether this
/// process is the planner.
pub(super) fn note_unsettled(shared: &PlannerShared, job: &str) -> bool {
    let mut owned = shared.owned();
    let Some(owned) = owned.as_mut() else {
        return false;
    };
    owned.planner.admission_mut().note_unsettled(job, clock::now());
    true
}

/// Answers a request for admission as the planner, and logs and counts the return of a caller.
pub(super) fn answer_request(
    shared: &PlannerShared,
    request: &AdmissionRequest,
) -> AdmissionResponse {
    let response = {
        let mut owned = shared.owned();
        let Some(owned) = owned.as_mut() else {
            return AdmissionResponse::Unknown;
        };
        owned.planner.set_time(clock::now(), shared.clock.wall_millis());
        owned.planner.request_admission(request)
    };
    let (outcome, waited) = match response {
        AdmissionResponse::Admitted { waited: Some(waited) } => (ReturnOutcome::Admitted, waited),
        AdmissionResponse::Refused(_, Some(outcome)) => (outcome, Duration::ZERO),
        _ => return response,
    };
    let queue = request.demand.queue.as_str();
    shared.metrics.admission.returns.with_label_values(&[queue, outcome.as_str()]).inc();
    log_event(
        Level::Info,
        "job_returned",
        &[
            ("job", &request.job),
            ("queue", &queue),
            ("outcome", &outcome.as_str()),
            ("waited_ms", &waited.as_millis()),
        ],
    );
    response
}

/// Computes the planner's next forecast, to publish it with a heartbeat. `None` if admission control
/// is disabled. Logs when callers get places, and when there are none left.
pub(super) fn next_forecast(
    shared: &PlannerShared,
    epoch: PlannerEpoch,
) -> Option<BacklogForecast> {
    let policy = shared.settings.admission?;
    let inherited = shared.view().forecast.clone();
    let (forecast, expired, places, had_places) = {
        let mut owned = shared.owned();
        let planner = &mut owned.as_mut()?.planner;
        planner.set_time(clock::now(), shared.clock.wall_millis());
        planner.update_admission(policy, inherited.as_ref().map(|view| view.forecast.as_ref()));
        let expired = planner.admission_mut().take_expired();
        let had_places = planner.admission_mut().note_places();
        let admission = planner.admission();
        (admission.forecast().cloned()?, expired, admission.places(), had_places)
    };
    let metrics = &shared.metrics.admission;
    for queue in expired {
        metrics.returns.with_label_values(&[queue.as_str(), "expired"]).inc();
    }
    metrics.set_backlog(&forecast);
    if had_places != (places > 0) {
        let state = if places > 0 { "refusing" } else { "accepting" };
        for class in &forecast.classes {
            log_event(
                Level::Info,
                "admission_view",
                &[
                    ("state", &state),
                    ("service", &class.service),
                    ("class", &class.class),
                    ("backlog_core_ms", &class.open_core_ms()),
                    ("rate", &class.rate),
                    ("places", &places),
                    ("number", &forecast.number),
                    ("epoch", &epoch),
                ],
            );
        }
    }
    Some(forecast)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a process that starts after a long outage and refuses from the forecast of a
    /// planner that ended before.
    #[test]
    fn the_first_forecast_of_a_process_has_no_known_age() {
        let heartbeat = |number| {
            let forecast = BacklogForecast { number, ..BacklogForecast::default() };
            HeartbeatRow { epoch: 1, admission: Some(forecast), ..HeartbeatRow::default() }
        };
        let first = PublishedForecast::received(None, &mut heartbeat(7)).unwrap();
        assert_eq!(first.received_at, None);
        let repeated = PublishedForecast::received(Some(first), &mut heartbeat(7)).unwrap();
        assert_eq!(repeated.received_at, None);
        let next = PublishedForecast::received(Some(repeated), &mut heartbeat(8)).unwrap();
        assert!(next.received_at.is_some());
    }
}
