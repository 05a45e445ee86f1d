//! State of an endpoint in the service pool of an entry.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainName;
use crate::ids::EndpointId;
use crate::ids::IncarnationId;
use crate::ids::ServiceName;
use crate::ids::WorkerId;
use crate::request::ejection::EndpointHealth;

/// Weight of the newest sample in the moving average of response times.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time for which the reported number of other entries' requests at an endpoint stays valid.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(100);
/// Shortest time for which an endpoint counts as full after it refused a request for lack of slots.
const MIN_FULL_TIME: Duration = Duration::from_millis(2);

/// Identifies an endpoint as announced by one run of its agent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey {
    /// The worker on which it runs.
    pub worker: WorkerId,
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the worker's agent that announced it.
    pub incarnation: IncarnationId,
}

/// Report of an agent on one of its endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Name of the service it serves.
    pub service: String,
    /// Requests it can run concurrently.
    pub slots: u32,
    /// Requests in flight, from all entries.
    pub in_flight: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
}

/// Load of an endpoint, as reported with each response of its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests it may currently run concurrently.
    pub slots: u32,
    /// Requests in flight, from all entries.
    pub in_flight: u32,
}

/// Identity and location of an agent that announces endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentLocation {
    /// Worker of the agent.
    pub worker: WorkerId,
    /// Incarnation of the worker's agent.
    pub incarnation: IncarnationId,
    /// Failure domain of the worker.
    pub domain: DomainName,
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts requests.
    Open,
    /// It failed repeatedly and receives no requests but a single probe after each ejection period.
    Ejected,
    /// It is leaving, or its announcement has expired.
    Leaving,
}

/// Status of an endpoint, as reported to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the service it serves.
    pub service: ServiceName,
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Requests it may currently run concurrently.
    pub slots: u32,
    /// Requests in flight, as far as this entry knows.
    pub in_flight: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
}

/// Result of a request at an endpoint, as it affects the endpoint's slots and health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotResult {
    /// A successful response after this time.
    Success(Duration),
    /// An error or a lost response.
    Failure,
    /// All slots were in use by other requests.
    Full,
    /// The endpoint is leaving.
    Leaving,
    /// A result that says nothing about the endpoint's health.
    Neutral,
}

/// Slots, load and health of an endpoint.
#[derive(Clone, Debug)]
pub struct PoolEndpoint {
    domain: DomainName,
    slots: u32,
    own_in_flight: u32,
    /// Requests in flight from other entries, as last reported.
    other_in_flight: u32,
    other_valid_until: Instant,
    leaving: bool,
    health: EndpointHealth,
    mean_seconds: f64,
}

impl PoolEndpoint {
    /// Creates an endpoint without a report; its response time is assumed to be `mean_seconds`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::pool_endpoint::PoolEndpoint;
    ///
    /// let now = Instant::now();
    /// assert!(!PoolEndpoint::new("wien-a".into(), 0.005, now).is_open(now));
    /// ```
    pub fn new(domain: DomainName, mean_seconds: f64, now: Instant) -> PoolEndpoint {
        PoolEndpoint {
            domain,
            slots: 0,
            own_in_flight: 0,
            other_in_flight: 0,
            other_valid_until: now,
            leaving: false,
            health: EndpointHealth::default(),
            mean_seconds,
        }
    }

    /// Failure domain of its worker.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests it may run concurrently, as last reported.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether it accepts new requests.
    pub fn state(&self) -> EndpointState {
        if self.leaving {
            EndpointState::Leaving
        } else if self.is_ejected() {
            EndpointState::Ejected
        } else {
            EndpointState::Open
        }
    }

    /// Whether it is ejected or being probed.
    pub fn is_ejected(&self) -> bool {
        self.health.is_ejected()
    }

    /// Whether a request may be sent to it at `now`.
    pub fn is_open(&self, now: Instant) -> bool {
        self.in_use(now) < self.usable_slots(now)
    }

    /// Number of its slots; zero while it is leaving or ejected.
    pub fn usable_slots(&self, now: Instant) -> u32 {
        if self.leaving || !self.health.is_open(now) { 0 } else { self.slots }
    }

    /// Expected work in seconds: the requests in flight and a new one, times the mean response
    /// time.
    pub fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_use(now) + 1) * self.mean_seconds
    }

    /// Records a report of its agent.
    pub fn on_report(&mut self, report: &EndpointReport, now: Instant) {
        self.leaving = report.leaving;
        self.on_load(EndpointLoad { slots: report.slots, in_flight: report.in_flight }, now);
    }

    /// Records the load that its agent reported with a response.
    pub fn on_load(&mut self, load: EndpointLoad, now: Instant) {
        self.slots = load.slots;
        self.other_in_flight = load.in_flight.saturating_sub(self.own_in_flight);
        self.other_valid_until = now + LOAD_REPORT_TTL;
    }

    /// Occupies a slot for a request that is sent.
    pub fn on_sent(&mut self) {
        self.own_in_flight += 1;
        self.health.on_sent();
    }

    /// Releases the slot of a request; `pool_mean` is the mean response time of all endpoints of
    /// the service, and `may_eject` allows the endpoint to be ejected after a failure.
    pub fn on_result(
        &mut self,
        result: SlotResult,
        pool_mean: Duration,
        may_eject: bool,
        now: Instant,
    ) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        match result {
            SlotResult::Success(time) => {
                self.mean_seconds = moving_average(self.mean_seconds, time);
                self.health.on_success();
            }
            SlotResult::Failure => self.health.on_failure(now, may_eject),
            SlotResult::Full => {
                let full_time = pool_mean / self.slots.max(1);
                self.other_in_flight = self.slots.saturating_sub(self.own_in_flight);
                self.other_valid_until = now + full_time.max(MIN_FULL_TIME);
                self.health.on_neutral();
            }
            SlotResult::Leaving => self.leaving = true,
            SlotResult::Neutral => self.health.on_neutral(),
        }
    }

    /// Requests in flight from this entry and, as far as known, from other entries.
    pub fn in_use(&self, now: Instant) -> u32 {
        let other_in_flight = if now < self.other_valid_until { self.other_in_flight } else { 0 };
        self.own_in_flight + other_in_flight
    }
}

/// Exponentially weighted moving average `mean`, in seconds, after a new sample.
///
/// ```
/// use std::time::Duration;
///
/// use greengagearch::request::pool_endpoint::moving_average;
///
/// assert_eq!(moving_average(1.0, Duration::from_secs(2)), 1.1);
/// ```
pub fn moving_average(mean: f64, sample: Duration) -> f64 {
    mean + SAMPLE_WEIGHT * (sample.as_secs_f64() - mean)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(in_flight: u32) -> EndpointReport {
        EndpointReport {
            endpoint: "r".to_string(),
            service: "s".to_string(),
            slots: 2,
            in_flight,
            leaving: false,
        }
    }

    #[test]
    fn reported_requests_of_other_entries_expire() {
        let now = Instant::now();
        let mut endpoint = PoolEndpoint::new("a".to_string(), 0.005, now);
        endpoint.on_report(&report(2), now);
        assert!(!endpoint.is_open(now));
        assert!(endpoint.is_open(now + LOAD_REPORT_TTL));
    }

    #[test]
    fn an_endpoint_counts_as_full_shortly_after_it_refused() {
        let now = Instant::now();
        let mut endpoint = PoolEndpoint::new("a".to_string(), 0.005, now);
        endpoint.on_report(&report(0), now);
        endpoint.on_sent();
        endpoint.on_result(SlotResult::Full, Duration::from_millis(10), true, now);
        assert!(!endpoint.is_open(now));
        assert!(endpoint.is_open(now + Duration::from_millis(5)));
    }
}
