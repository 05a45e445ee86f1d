//! Pool of the endpoints of one service at an entry, with the requests that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use crate::ids::DomainName;
use crate::request::deadline_queue::DeadlineQueue;
use crate::request::deadline_queue::QueuedRequest;
use crate::request::deadline_queue::TicketNumber;
use crate::request::outcome::NotRunReason;
use crate::request::pool_endpoint::AgentLocation;
use crate::request::pool_endpoint::EndpointKey;
use crate::request::pool_endpoint::EndpointLoad;
use crate::request::pool_endpoint::EndpointReport;
use crate::request::pool_endpoint::EndpointState;
use crate::request::pool_endpoint::EndpointStatus;
use crate::request::pool_endpoint::PoolEndpoint;
use crate::request::pool_endpoint::SlotResult;
use crate::request::pool_endpoint::moving_average;
use crate::request::retry_budget::RetryBudget;
use crate::request::routing::RouteCandidate;
use crate::request::routing::RoutingPolicy;
use crate::request::routing::choose;

/// Mean response time that is assumed before the first response.
const INITIAL_MEAN_TIME: Duration = Duration::from_millis(5);
/// Factor on the expected wait in the queue before it is compared with the deadline: an estimate
/// that is right on average would make half of the responses late.
const WAIT_MARGIN: f64 = 1.05;
/// Factor on the mean response time before it is compared with the deadline: requests that take
/// longer than the mean would otherwise be late.
const RESPONSE_TIME_MARGIN: f64 = 1.25;
/// Share of the mean response time that must remain until the deadline for a waiting request to be
/// sent to an endpoint.
const MIN_TIME_LEFT: f64 = 0.9;
/// Smallest number of queued requests that counts as a caller's share, however short the queue.
const MIN_CALLER_SHARE: usize = 4;
/// Time after which a request may be retried that was refused because there is no usable endpoint.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Decision on a request for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request occupies a slot of this endpoint and is sent to it.
    Granted(EndpointKey),
    /// The request waits in the queue.
    Queued,
    /// The request is not run.
    Refused {
        /// Reason for the refusal.
        reason: NotRunReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Decision on a request that was waiting in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TicketResult {
    /// Identifier of the request in the queue.
    pub ticket: TicketNumber,
    /// Granted or refused.
    pub decision: SlotDecision,
}

/// Endpoints and request queue of one service.
#[derive(Debug)]
pub struct ServicePool {
    policy: RoutingPolicy,
    domain: DomainName,
    endpoints: BTreeMap<EndpointKey, PoolEndpoint>,
    queue: DeadlineQueue,
    mean_seconds: f64,
    /// Budget of retries after lost responses.
    pub retry_budget: RetryBudget,
}

impl ServicePool {
    /// Creates an empty pool for an entry in the failure domain `domain`.
    ///
    /// ```
    /// use greengagearch::request::routing::RoutingPolicy;
    /// use greengagearch::request::service_pool::ServicePool;
    ///
    /// let pool = ServicePool::new(RoutingPolicy::LocalFirst, "wien-a".into(), 0.1);
    /// assert_eq!(pool.queue_len(), 0);
    /// ```
    pub fn new(policy: RoutingPolicy, domain: DomainName, retry_share: f64) -> ServicePool {
        ServicePool {
            policy,
            domain,
            endpoints: BTreeMap::new(),
            queue: DeadlineQueue::default(),
            mean_seconds: INITIAL_MEAN_TIME.as_secs_f64(),
            retry_budget: RetryBudget::new(retry_share),
        }
    }

    /// Applies the routing policy and the retry share of a newer document.
    ///
    /// ```
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let mut pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// pool.set_rules(RoutingPolicy::LocalFirst, 0.2);
    /// ```
    pub fn set_rules(&mut self, policy: RoutingPolicy, retry_share: f64) {
        self.policy = policy;
        self.retry_budget.set_share(retry_share);
    }

    /// Number of waiting requests.
    ///
    /// ```
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// assert_eq!(pool.queue_len(), 0);
    /// ```
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Number of endpoints that are announced and not leaving.
    ///
    /// ```
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// assert_eq!(pool.endpoint_count(), 0);
    /// ```
    pub fn endpoint_count(&self) -> usize {
        self.endpoints.values().filter(|endpoint| !endpoint.is_leaving()).count()
    }

    /// Statuses of the endpoints for operators; `service` is the name of the service.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// assert!(pool.statuses("spots", Instant::now()).is_empty());
    /// ```
    pub fn statuses(&self, service: &str, now: Instant) -> Vec<EndpointStatus> {
        let all = self.endpoints.iter().map(|(key, endpoint)| EndpointStatus {
            service: service.to_string(),
            key: key.clone(),
            slots: endpoint.slots(),
            in_flight: endpoint.in_use(now),
            state: endpoint.state(),
        });
        all.collect()
    }

    /// Records an agent's report on its endpoints of this service. Endpoints of the worker that the
    /// report does not contain, or that an earlier run of the agent announced, are removed.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::pool_endpoint::{AgentLocation, EndpointReport};
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let mut pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// let location =
    ///     AgentLocation { worker: "w1".into(), incarnation: 1, domain: "wien-a".into() };
    /// let report = EndpointReport { endpoint: "r1".into(), service: "spots".into(), slots: 8,
    ///     in_flight: 0, leaving: false };
    /// pool.on_report(&location, &[report], Instant::now());
    /// assert_eq!(pool.endpoint_count(), 1);
    /// ```
    pub fn on_report(
        &mut self,
        location: &AgentLocation,
        reports: &[EndpointReport],
        now: Instant,
    ) {
        self.endpoints.retain(|key, _| {
            let is_reported = reports.iter().any(|report| report.endpoint == key.endpoint);
            key.worker != location.worker
                || (key.incarnation == location.incarnation && is_reported)
        });
        for report in reports {
            self.record_report(location, report, now);
        }
    }

    /// Removes all endpoints of a worker whose agent does not respond.
    ///
    /// ```
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::ServicePool;
    /// ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1).remove_worker("w1");
    /// ```
    pub fn remove_worker(&mut self, worker: &str) {
        self.endpoints.retain(|key, _| key.worker != worker);
    }

    /// Requests a slot. Also returns the refusal of a waiting request that was displaced, if any.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use greengagearch::request::deadline_queue::QueuedRequest;
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::{ServicePool, SlotDecision};
    /// let mut pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// let now = Instant::now();
    /// let deadline = now + Duration::from_secs(1);
    /// let request = QueuedRequest { ticket: 1, deadline, caller: "desk".into(), avoid: None };
    /// let (decision, displaced) = pool.request_slot(request, now, &mut rand::rng());
    /// assert!(matches!(decision, SlotDecision::Refused { .. }));
    /// assert!(displaced.is_none());
    /// ```
    pub fn request_slot<R: Rng>(
        &mut self,
        request: QueuedRequest,
        now: Instant,
        rng: &mut R,
    ) -> (SlotDecision, Option<TicketResult>) {
        if self.queue.is_empty()
            && let Some(key) = self.choose_endpoint(request.avoid.as_ref(), now, rng)
        {
            return (SlotDecision::Granted(key), None);
        }
        let slots = self.usable_slots(now);
        if slots == 0 {
            return (self.refuse_without_slots(), None);
        }
        self.enqueue(request, slots, now)
    }

    /// Releases the slot of a request and records the result of the request.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::pool_endpoint::{EndpointKey, SlotResult};
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let mut pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// let key = EndpointKey { worker: "w1".into(), endpoint: "r1".into(), incarnation: 1 };
    /// pool.release(&key, SlotResult::Failure, Instant::now());
    /// ```
    pub fn release(&mut self, key: &EndpointKey, result: SlotResult, now: Instant) {
        if let SlotResult::Success(time) = result {
            self.mean_seconds = moving_average(self.mean_seconds, time);
        }
        let ejected = self.endpoints.values().filter(|one| one.is_ejected()).count();
        let may_eject = (ejected + 1) * 2 <= self.endpoints.len();
        let mean_time = self.mean_time();
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.on_result(result, mean_time, may_eject, now);
        }
    }

    /// Records the load that an agent reported for an endpoint with a response.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::pool_endpoint::{EndpointKey, EndpointLoad};
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let mut pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// let key = EndpointKey { worker: "w1".into(), endpoint: "r1".into(), incarnation: 1 };
    /// pool.on_load(&key, EndpointLoad { slots: 8, in_flight: 3 }, Instant::now());
    /// ```
    pub fn on_load(&mut self, key: &EndpointKey, load: EndpointLoad, now: Instant) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.on_load(load, now);
        }
    }

    /// Grants free slots to waiting requests and refuses those that can no longer meet their
    /// deadline.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let mut pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// assert!(pool.poll(Instant::now(), &mut rand::rng()).is_empty());
    /// ```
    pub fn poll<R: Rng>(&mut self, now: Instant, rng: &mut R) -> Vec<TicketResult> {
        let min_deadline = now + self.mean_time().mul_f64(MIN_TIME_LEFT);
        let expired = self.queue.drain_before(min_deadline).into_iter();
        let mut results: Vec<TicketResult> =
            expired.map(|request| self.refuse_waiting(request.ticket, now)).collect();
        while !self.queue.is_empty() {
            let Some(key) = self.choose_endpoint(None, now, rng) else {
                break;
            };
            if let Some(request) = self.queue.pop() {
                let decision = SlotDecision::Granted(key);
                results.push(TicketResult { ticket: request.ticket, decision });
            }
        }
        results
    }

    /// Removes a waiting request whose caller has disconnected. Returns whether it was waiting.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let mut pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// assert!(!pool.cancel(Instant::now(), 1));
    /// ```
    pub fn cancel(&mut self, deadline: Instant, ticket: TicketNumber) -> bool {
        self.queue.remove(deadline, ticket)
    }

    /// Mean response time of the endpoints.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use greengagearch::request::routing::RoutingPolicy;
    /// # use greengagearch::request::service_pool::ServicePool;
    /// let pool = ServicePool::new(RoutingPolicy::Random, "wien-a".into(), 0.1);
    /// assert_eq!(pool.mean_time(), Duration::from_millis(5));
    /// ```
    pub fn mean_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds)
    }

    fn record_report(&mut self, location: &AgentLocation, report: &EndpointReport, now: Instant) {
        let key = EndpointKey {
            worker: location.worker.clone(),
            endpoint: report.endpoint.clone(),
            incarnation: location.incarnation,
        };
        let (domain, mean_seconds) = (&location.domain, self.mean_seconds);
        let new = || PoolEndpoint::new(domain.clone(), mean_seconds, now);
        self.endpoints.entry(key).or_insert_with(new).on_report(report, now);
    }

    fn enqueue(
        &mut self,
        request: QueuedRequest,
        slots: u32,
        now: Instant,
    ) -> (SlotDecision, Option<TicketResult>) {
        let per_request = self.mean_seconds / f64::from(slots);
        let ahead = self.queue.len_before(request.deadline);
        let wait = Duration::from_secs_f64(per_request * (ahead + 1) as f64);
        let left = request.deadline.saturating_duration_since(now);
        let required = wait.mul_f64(WAIT_MARGIN) + self.mean_time().mul_f64(RESPONSE_TIME_MARGIN);
        if required <= left {
            self.queue.push(request);
            return (SlotDecision::Queued, None);
        }
        let max_len = (left.as_secs_f64() / per_request) as usize;
        match self.displace_for(&request, max_len) {
            Some(displaced) => {
                self.queue.push(request);
                let decision = refused(NotRunReason::CallerShare, wait);
                let result = TicketResult { ticket: displaced.ticket, decision };
                (SlotDecision::Queued, Some(result))
            }
            None => (refused(NotRunReason::Overloaded, wait), None),
        }
    }

    /// Displaces a request of another caller if the caller of `request` has less than its share of
    /// a queue of at most `max_len` requests.
    fn displace_for(&mut self, request: &QueuedRequest, max_len: usize) -> Option<QueuedRequest> {
        let own = self.queue.caller_len(&request.caller);
        let others = self.queue.caller_count() - usize::from(own > 0);
        let share = (max_len / (others + 1)).max(MIN_CALLER_SHARE);
        if others == 0 || own >= share || max_len == 0 {
            return None;
        }
        let displaced = self.queue.displace(request.deadline)?;
        if displaced.caller == request.caller {
            self.queue.push(displaced);
            return None;
        }
        Some(displaced)
    }

    fn refuse_waiting(&self, ticket: TicketNumber, now: Instant) -> TicketResult {
        let decision = if self.usable_slots(now) == 0 {
            self.refuse_without_slots()
        } else {
            refused(NotRunReason::DeadlinePassed, self.mean_time())
        };
        TicketResult { ticket, decision }
    }

    fn refuse_without_slots(&self) -> SlotDecision {
        let is_ejected = |one: &PoolEndpoint| one.state() == EndpointState::Ejected;
        let reason = if self.endpoints.values().any(is_ejected) {
            NotRunReason::EndpointsEjected
        } else {
            NotRunReason::NoEndpoint
        };
        refused(reason, NO_ENDPOINT_RETRY_AFTER)
    }

    fn usable_slots(&self, now: Instant) -> u32 {
        self.endpoints.values().map(|one| one.usable_slots(now)).sum()
    }

    fn choose_endpoint<R: Rng>(
        &mut self,
        avoid: Option<&EndpointKey>,
        now: Instant,
        rng: &mut R,
    ) -> Option<EndpointKey> {
        let mut candidates = self.candidates(avoid, now);
        if candidates.is_empty() && avoid.is_some() {
            candidates = self.candidates(None, now);
        }
        let index = choose(self.policy, &candidates, rng)?;
        let (key, endpoint) = self.endpoints.iter_mut().nth(index)?;
        endpoint.on_sent();
        Some(key.clone())
    }

    fn candidates(&self, avoid: Option<&EndpointKey>, now: Instant) -> Vec<RouteCandidate> {
        let numbered = self.endpoints.iter().enumerate();
        let open = numbered.filter(|(_, (key, one))| one.is_open(now) && Some(*key) != avoid);
        open.map(|(index, (_, one))| RouteCandidate {
            index,
            is_local: one.domain() == self.domain,
            load: one.load(now),
        })
        .collect()
    }
}

fn refused(reason: NotRunReason, retry_after: Duration) -> SlotDecision {
    SlotDecision::Refused { reason, retry_after }
}
