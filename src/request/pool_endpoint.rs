//! An endpoint as an entry's pool sees it.

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

/// Weight of the newest sample in the running mean of times.
const SAMPLE_WEIGHT: f64 = 0.1;
/// How long a report of other entries' requests at an endpoint is believed.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(100);
/// Shortest pause before an endpoint that refused for want of slots is tried again.
const MIN_FULL_TIME: Duration = Duration::from_millis(2);

/// Names one run of one endpoint's agent and the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointKey {
    /// The worker it is on.
    pub worker: WorkerId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of the worker's agent that announced it.
    pub incarnation: IncarnationId,
}

/// An endpoint as its agent reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service it serves.
    pub service: String,
    /// Requests it can run at once.
    pub slots: u32,
    /// Requests it runs now, of all entries.
    pub in_flight: u32,
    /// Whether it is leaving and gets no new requests.
    pub leaving: bool,
}

/// What an endpoint runs and may run, as its agent's answers say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests it may run at once at present.
    pub slots: u32,
    /// Requests it runs now, of all entries.
    pub in_flight: u32,
}

/// Places of one agent's endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentLocation {
    /// The worker.
    pub worker: WorkerId,
    /// The run of its agent.
    pub incarnation: IncarnationId,
    /// Where it stands.
    pub domain: DomainName,
}

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It does.
    Open,
    /// It failed repeatedly, and gets none or one to probe it.
    Ejected,
    /// It is leaving or its announcement lapsed.
    Leaving,
}

/// An endpoint as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The service it serves.
    pub service: ServiceName,
    /// Where it is announced.
    pub key: EndpointKey,
    /// Requests it may run at once at present.
    pub slots: u32,
    /// Requests it runs, as far as this entry knows.
    pub in_flight: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
}

/// How a request at an endpoint ended, as far as the pool cares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotResult {
    /// A good answer after this time.
    Success(Duration),
    /// An error or a lost answer.
    Failure,
    /// All slots were taken by others.
    Full,
    /// The endpoint is leaving.
    Leaving,
    /// Nothing that speaks for or against the endpoint.
    Neutral,
}

/// An endpoint with its slots and its health.
#[derive(Clone, Debug)]
pub struct PoolEndpoint {
    domain: DomainName,
    slots: u32,
    own_in_flight: u32,
    /// Requests of other entries, as far as they are known.
    other_in_flight: u32,
    other_valid_until: Instant,
    leaving: bool,
    health: EndpointHealth,
    mean_seconds: f64,
}

impl PoolEndpoint {
    /// An endpoint of which nothing was reported yet; it is assumed to take `mean_seconds`.
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

    /// Where it stands.
    pub fn domain(&self) -> &str {
        &self.domain
    }

    /// Whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Requests it may run at once, as last reported.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Whether it takes new requests.
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

    /// Its slots, when it is neither leaving nor ejected.
    pub fn usable_slots(&self, now: Instant) -> u32 {
        if self.leaving || !self.health.is_open(now) { 0 } else { self.slots }
    }

    /// Expected work ahead of a new request.
    pub fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_use(now) + 1) * self.mean_seconds
    }

    /// Takes in its agent's report.
    pub fn on_report(&mut self, report: &EndpointReport, now: Instant) {
        self.leaving = report.leaving;
        self.on_load(EndpointLoad { slots: report.slots, in_flight: report.in_flight }, now);
    }

    /// Takes in what an answer says of the endpoint.
    pub fn on_load(&mut self, load: EndpointLoad, now: Instant) {
        self.slots = load.slots;
        self.other_in_flight = load.in_flight.saturating_sub(self.own_in_flight);
        self.other_valid_until = now + LOAD_REPORT_TTL;
    }

    /// Takes a slot for a request.
    pub fn on_sent(&mut self) {
        self.own_in_flight += 1;
        self.health.on_sent();
    }

    /// Gives a slot back; `pool_mean` is the mean time over all endpoints of the service.
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

    /// Requests in flight, of this entry and, as far as they are known, of others.
    pub fn in_use(&self, now: Instant) -> u32 {
        let other_in_flight = if now < self.other_valid_until { self.other_in_flight } else { 0 };
        self.own_in_flight + other_in_flight
    }
}

/// The running mean of times with a new sample, in seconds.
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
    fn requests_of_other_entries_count_for_a_while() {
        let now = Instant::now();
        let mut endpoint = PoolEndpoint::new("a".to_string(), 0.005, now);
        endpoint.on_report(&report(2), now);
        assert!(!endpoint.is_open(now));
        assert!(endpoint.is_open(now + LOAD_REPORT_TTL));
    }

    #[test]
    fn a_refusal_for_want_of_slots_holds_requests_back_shortly() {
        let now = Instant::now();
        let mut endpoint = PoolEndpoint::new("a".to_string(), 0.005, now);
        endpoint.on_report(&report(0), now);
        endpoint.on_sent();
        endpoint.on_result(SlotResult::Full, Duration::from_millis(10), true, now);
        assert!(!endpoint.is_open(now));
        assert!(endpoint.is_open(now + Duration::from_millis(5)));
    }
}
