//! The pools of all services, with those who wait for a slot.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::ids::DomainName;
use crate::ids::ServiceName;
use crate::process::clock;
use crate::process::entry::shared::EntryShared;
use crate::request::deadline_queue::QueuedRequest;
use crate::request::deadline_queue::TicketNumber;
use crate::request::pool_endpoint::AgentLocation;
use crate::request::pool_endpoint::EndpointKey;
use crate::request::pool_endpoint::EndpointLoad;
use crate::request::pool_endpoint::EndpointReport;
use crate::request::pool_endpoint::EndpointStatus;
use crate::request::pool_endpoint::SlotResult;
use crate::request::service_pool::ServicePool;
use crate::request::service_pool::SlotDecision;
use crate::request::service_pool::TicketResult;
use crate::version::document::ServiceDocument;

/// Time between two looks at queues whose slots may be freed by other entries' requests.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two looks for silent agents and old ids.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeats of an agent that may be lost before its endpoints are dropped.
const BEATS_TO_FORGET: u32 = 3;
/// Share of retries of a service without a document of its own in force yet.
const DEFAULT_RETRY_SHARE: f64 = 0.1;

#[derive(Debug, Default)]
struct PoolState {
    pools: HashMap<ServiceName, ServicePool>,
    waiting: HashMap<TicketNumber, oneshot::Sender<SlotDecision>>,
    last_ticket: TicketNumber,
}

impl PoolState {
    fn deliver(&mut self, service: &str, results: Vec<TicketResult>) {
        for result in results {
            let sender = self.waiting.remove(&result.ticket);
            let undelivered = match sender {
                Some(sender) => sender.send(result.decision).err(),
                None => Some(result.decision),
            };
            // Whoever waited has gone; a slot granted to it goes back.
            if let Some(SlotDecision::Granted(key)) = undelivered
                && let Some(pool) = self.pools.get_mut(service)
            {
                pool.release(&key, SlotResult::Neutral, clock::now());
            }
        }
    }
}

/// Pools by service.
#[derive(Debug)]
pub struct PoolSet {
    /// Told when somebody begins to wait.
    pub queued: Notify,
    domain: DomainName,
    state: Mutex<PoolState>,
}

impl PoolSet {
    /// No pools yet, for an entry in `domain`.
    ///
    /// ```
    /// greengagearch::process::entry::pool_set::PoolSet::new("wien-a".into());
    /// ```
    pub fn new(domain: DomainName) -> PoolSet {
        PoolSet { queued: Notify::new(), domain, state: Mutex::default() }
    }

    /// Waits for a slot of the document's service.
    pub async fn take_slot(
        &self,
        document: &ServiceDocument,
        deadline: Instant,
        caller: &str,
        avoid: Option<EndpointKey>,
    ) -> SlotDecision {
        let receiver = match self.ask(document, deadline, caller, avoid) {
            Ok(decision) => return decision,
            Err(receiver) => receiver,
        };
        receiver.await.unwrap_or(SlotDecision::Refused {
            reason: crate::request::outcome::NotRunReason::DeadlinePassed,
            retry_after: Duration::ZERO,
        })
    }

    /// Gives a slot back, takes in what the answer says of its endpoint, and passes freed slots on.
    pub fn release(
        &self,
        service: &str,
        key: &EndpointKey,
        result: SlotResult,
        load: Option<EndpointLoad>,
    ) {
        let now = clock::now();
        let mut state = self.lock();
        let Some(pool) = state.pools.get_mut(service) else {
            return;
        };
        pool.release(key, result, now);
        if let Some(load) = load {
            pool.on_load(key, load, now);
        }
        let results = pool.poll(now, &mut rand::rng());
        state.deliver(service, results);
    }

    /// Takes one retry out of the service's budget, if there is one left.
    pub fn try_retry(&self, service: &str) -> bool {
        let mut state = self.lock();
        state.pools.get_mut(service).is_some_and(|pool| pool.retry_budget.try_take())
    }

    /// Takes in an agent's report of its endpoints.
    pub fn on_report(&self, place: &AgentLocation, reports: &[EndpointReport]) {
        let now = clock::now();
        let mut state = self.lock();
        for report in reports {
            if !state.pools.contains_key(&report.service) {
                let pool = self.new_pool();
                state.pools.insert(report.service.clone(), pool);
            }
        }
        for (service, pool) in &mut state.pools {
            let of_service = reports.iter().filter(|report| report.service == *service);
            let of_service: Vec<EndpointReport> = of_service.cloned().collect();
            pool.on_report(place, &of_service, now);
        }
    }

    /// The endpoints of all services as operators see them.
    pub fn endpoint_statuses(&self) -> Vec<EndpointStatus> {
        let now = clock::now();
        let state = self.lock();
        let mut services: Vec<(&ServiceName, &ServicePool)> = state.pools.iter().collect();
        services.sort_by_key(|(service, _)| *service);
        services.iter().flat_map(|(service, pool)| pool.statuses(service, now)).collect()
    }

    /// Drops the endpoints of a worker whose agent is silent.
    pub fn remove_worker(&self, worker: &str) {
        for pool in self.lock().pools.values_mut() {
            pool.remove_worker(worker);
        }
    }

    /// Passes on slots that other entries freed and refuses what is too late; gives whether anybody
    /// still waits.
    pub fn poll(&self) -> bool {
        let now = clock::now();
        let mut state = self.lock();
        let busy = state.pools.iter().filter(|(_, pool)| pool.queue_len() > 0);
        let busy: Vec<ServiceName> = busy.map(|(service, _)| service.clone()).collect();
        for service in busy {
            if let Some(pool) = state.pools.get_mut(&service) {
                let results = pool.poll(now, &mut rand::rng());
                state.deliver(&service, results);
            }
        }
        state.pools.values().any(|pool| pool.queue_len() > 0)
    }

    fn ask(
        &self,
        document: &ServiceDocument,
        deadline: Instant,
        caller: &str,
        avoid: Option<EndpointKey>,
    ) -> Result<SlotDecision, oneshot::Receiver<SlotDecision>> {
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let pool = state.pools.entry(document.name.clone()).or_insert_with(|| self.new_pool());
        pool.set_rules(document.requests.routing, document.requests.retry_share);
        if avoid.is_none() {
            pool.retry_budget.on_request();
        }
        let request = QueuedRequest { ticket, deadline, caller: caller.to_string(), avoid };
        let (decision, displaced) = pool.request_slot(request, clock::now(), &mut rand::rng());
        let mut waiting = None;
        if decision == SlotDecision::Queued {
            let (sender, receiver) = oneshot::channel();
            state.waiting.insert(ticket, sender);
            self.queued.notify_one();
            waiting = Some(receiver);
        }
        state.deliver(&document.name, displaced.into_iter().collect());
        waiting.map_or(Ok(decision), Err)
    }

    fn new_pool(&self) -> ServicePool {
        ServicePool::new(Default::default(), self.domain.clone(), DEFAULT_RETRY_SHARE)
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Polls the queues and drops endpoints of silent agents until the process ends.
pub fn spawn_upkeep(shared: Arc<EntryShared>) {
    tokio::spawn(async move {
        let mut next_upkeep = clock::now();
        loop {
            // Without anybody waiting there is nothing to poll for.
            let pause = if shared.pools.poll() { POLL_INTERVAL } else { UPKEEP_INTERVAL };
            let _ = timeout(pause, shared.pools.queued.notified()).await;
            let now = clock::now();
            if now >= next_upkeep {
                next_upkeep = now + UPKEEP_INTERVAL;
                forget_silent_agents(&shared);
                shared.remove_expired();
            }
        }
    });
}

fn forget_silent_agents(shared: &EntryShared) {
    let limit = shared.view().map().timing.agent_beat() * BEATS_TO_FORGET;
    let now = clock::now();
    let silent: Vec<String> = {
        let agents = shared.agents();
        let silent =
            agents.values().filter(|agent| now.saturating_duration_since(agent.heard) > limit);
        silent.map(|agent| agent.place.worker.clone()).collect()
    };
    for worker in silent {
        shared.pools.remove_worker(&worker);
    }
}
