//! When a queue reclaims resources that it has lent.
//!
//! Most capacity returns by itself as tasks end, and the order of jobs gives it to the queue that is
//! owed the most. Runs are preempted only for a queue that has waited in vain for some time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::QueueName;
use crate::ids::ServiceName;
use crate::workflow::fair_share::reclaim_choice::ReclaimChoice;
use crate::workflow::fair_share::share_ledger::ShareLedger;
use crate::workflow::task_name::TaskName;

/// Time for which a queue with ready tasks has to be below its entitlement before it reclaims. Most
/// tasks take about a second, so that borrowed capacity mostly returns within it.
const RECLAIM_AFTER: Duration = Duration::from_millis(1_000);
/// Part of its entitlement by which a queue has to be below it. One step of the order of jobs.
const MIN_DEFICIT: f64 = 0.1;
/// Time over which the amount of preempted work is bounded.
const RECLAIM_PERIOD: Duration = Duration::from_millis(1_000);
/// Share of a service's capacity that is reclaimed within one period. A lender that is owed half of
/// it has that back in two to three seconds, about the objective of a short job, and three quarters
/// of the work goes on meanwhile.
const MAX_SHARE_PER_PERIOD: f64 = 0.25;
/// Time for which a task that was preempted is not preempted for the same reason again: longer
/// than most tasks take.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a queue for which nothing could be preempted is considered again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time for which a claim that was met counts as usage until its task starts: covers the stops, the
/// report of their ends and the start.
pub(crate) const CLAIM_LIFETIME: Duration = Duration::from_millis(2_500);
/// Tolerance in comparisons of shares, which are sums of fractions.
pub(crate) const SHARE_TOLERANCE: f64 = 1e-9;

/// Claim of a queue that has been below its entitlement for too long.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareClaim {
    /// Service on whose workers it waits.
    pub service: ServiceName,
    /// Queue that is owed resources.
    pub queue: QueueName,
    /// Priority of the queue.
    pub priority: u32,
    /// Share of the capacity that it uses.
    pub share: f64,
    /// Share that it is entitled to.
    pub entitlement: f64,
    /// How long it has been below its entitlement with ready tasks.
    pub waited: Duration,
}

/// Since when a queue has been below its entitlement.
#[derive(Clone, Copy, Debug)]
struct ClaimWait {
    since: Instant,
    retry_at: Instant,
}

/// A claim for which runs are being preempted and whose task has not started yet.
#[derive(Clone, Debug)]
struct MetClaim {
    task: TaskName,
    service: ServiceName,
    queue: QueueName,
    share: f64,
    until: Instant,
}

/// Claims of all queues, and what was preempted recently.
#[derive(Clone, Debug, Default)]
pub struct ReclaimPolicy {
    waits: BTreeMap<(ServiceName, QueueName), ClaimWait>,
    met: Vec<MetClaim>,
    preempted: HashMap<TaskName, Instant>,
    reclaimed: Vec<(Instant, ServiceName, f64)>,
}

impl ReclaimPolicy {
    /// Records which queues are below their entitlement at `now`. `is_running` tells whether a task
    /// has a run.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::fair_share::reclaim_policy::ReclaimPolicy;
    /// use greengagearch::workflow::fair_share::share_ledger::ShareLedger;
    ///
    /// let (mut policy, now) = (ReclaimPolicy::default(), Instant::now());
    /// policy.update(&ShareLedger::default(), |_| false, now);
    /// assert!(policy.due_claims(&ShareLedger::default(), now).is_empty());
    /// ```
    pub fn update(
        &mut self,
        ledger: &ShareLedger,
        is_running: impl Fn(&TaskName) -> bool,
        now: Instant,
    ) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.met.retain(|claim| now < claim.until && !is_running(&claim.task));
        self.preempted.retain(|_, at| age(*at) < MIN_REPEAT_INTERVAL);
        self.reclaimed.retain(|(at, _, _)| age(*at) < RECLAIM_PERIOD);
        let mut waits = BTreeMap::new();
        for (service, shares) in &ledger.services {
            for (queue, share) in &shares.queues {
                let used = share.share + self.met_share(service, queue);
                let is_below = used < share.entitlement * (1.0 - MIN_DEFICIT);
                if is_below && share.demand.waiting_tasks > 0 {
                    let key = (service.clone(), queue.clone());
                    let new = ClaimWait { since: now, retry_at: now };
                    waits.insert(key.clone(), self.waits.get(&key).copied().unwrap_or(new));
                }
            }
        }
        self.waits = waits;
    }

    /// Returns the claims that are due, the one with the least part of its entitlement first.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::fair_share::reclaim_policy::ReclaimPolicy;
    /// use greengagearch::workflow::fair_share::share_ledger::ShareLedger;
    ///
    /// let claims = ReclaimPolicy::default().due_claims(&ShareLedger::default(), Instant::now());
    /// assert!(claims.is_empty());
    /// ```
    pub fn due_claims(&self, ledger: &ShareLedger, now: Instant) -> Vec<ShareClaim> {
        let mut claims = Vec::new();
        for ((service, queue), wait) in &self.waits {
            let waited = now.saturating_duration_since(wait.since);
            if waited < RECLAIM_AFTER || now < wait.retry_at {
                continue;
            }
            claims.extend(ledger.queue(service, queue).map(|share| ShareClaim {
                service: service.clone(),
                queue: queue.clone(),
                priority: share.demand.priority,
                share: share.share,
                entitlement: share.entitlement,
                waited,
            }));
        }
        let met_part = |claim: &ShareClaim| claim.share / claim.entitlement;
        claims.sort_by(|a, b| met_part(a).total_cmp(&met_part(b)));
        claims
    }

    /// Share of a service's capacity that may still be reclaimed in this period. Without any
    /// reclaim in the period one is allowed, however large it is.
    pub(crate) fn budget(&self, service: &str) -> f64 {
        let reclaimed = self.reclaimed.iter().filter(|(_, other, _)| other == service);
        let shares: Vec<f64> = reclaimed.map(|(_, _, share)| *share).collect();
        if shares.is_empty() {
            return f64::INFINITY;
        }
        (MAX_SHARE_PER_PERIOD - shares.iter().sum::<f64>()).max(0.0)
    }

    /// Whether a run that uses `share` may be preempted: its queue uses that much beyond its
    /// entitlement, and its task was not preempted shortly before.
    pub(crate) fn is_reclaimable(&self, task: &TaskName, share: f64, excess: f64) -> bool {
        share <= excess + SHARE_TOLERANCE && !self.preempted.contains_key(task)
    }

    /// Records that runs are preempted for a task of a claim, which requests a share of the
    /// capacity.
    pub(crate) fn on_reclaimed(
        &mut self,
        claim: &ShareClaim,
        (task, requested_share): (&TaskName, f64),
        choice: &ReclaimChoice,
        now: Instant,
    ) {
        for (key, _) in &choice.runs {
            self.preempted.insert(key.0.clone(), now);
        }
        self.reclaimed.push((now, claim.service.clone(), choice.share));
        self.met.push(MetClaim {
            task: task.clone(),
            service: claim.service.clone(),
            queue: claim.queue.clone(),
            share: requested_share,
            until: now + CLAIM_LIFETIME,
        });
    }

    /// Records that nothing could be preempted for a claim.
    pub(crate) fn on_unmet(&mut self, claim: &ShareClaim, now: Instant) {
        let key = (claim.service.clone(), claim.queue.clone());
        if let Some(wait) = self.waits.get_mut(&key) {
            wait.retry_at = now + RETRY_DELAY;
        }
    }

    fn met_share(&self, service: &str, queue: &str) -> f64 {
        let of_queue =
            self.met.iter().filter(|claim| claim.service == service && claim.queue == queue);
        of_queue.map(|claim| claim.share).sum()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workflow::fair_share::reclaim_choice::ReclaimCandidate;
    use crate::workflow::fair_share::reclaim_choice::ReclaimRequest;
    use crate::workflow::fair_share::share_ledger::QueueDemand;
    use crate::workflow::fair_share::share_settings::ShareSettings;
    use crate::workflow::spec::ResourceVector;

    fn amount(millicores: u64, accelerators: u64) -> ResourceVector {
        ResourceVector { millicores, memory_mib: 0, accelerators }
    }

    fn candidate(task: &str, share: f64, loss: u64) -> ReclaimCandidate {
        ReclaimCandidate {
            key: (task.parse().unwrap(), 1),
            queue: "borrower".to_string(),
            frees: amount(1_000, 0),
            share,
            checkpoints: true,
            loss,
            interruptible: None,
        }
    }

    fn request(requested: ResourceVector, excess: f64) -> ReclaimRequest<'static> {
        let excesses = Box::leak(Box::new(BTreeMap::from([("borrower".to_string(), excess)])));
        ReclaimRequest { free: amount(0, 0), requested, excesses, budget: f64::INFINITY }
    }

    fn tasks(choice: Option<ReclaimChoice>) -> Vec<String> {
        choice.into_iter().flat_map(|one| one.runs).map(|(key, _)| key.0.to_string()).collect()
    }

    fn ledger(used: u64, waiting: u64) -> ShareLedger {
        let demand = |used, waiting| QueueDemand {
            priority: 0,
            usage: amount(used, 0),
            waiting: amount(waiting, 0),
            waiting_tasks: usize::from(waiting > 0),
        };
        let demands = [
            ("a".to_string(), demand(1_000 - used, 900)),
            ("b".to_string(), demand(used, waiting)),
        ];
        ShareLedger::of(
            &ShareSettings::default(),
            BTreeMap::from([("s".to_string(), amount(1_000, 0))]),
            BTreeMap::from([("s".to_string(), BTreeMap::from(demands))]),
        )
    }

    /// Guards against work that is lost although a run with a checkpoint would have done.
    #[test]
    fn the_run_that_loses_the_least_is_preempted_and_those_with_checkpoints_first() {
        let policy = ReclaimPolicy::default();
        let unsaved = ReclaimCandidate { checkpoints: false, ..candidate("a.0.0.0", 0.1, 1) };
        let candidates =
            vec![unsaved, candidate("a.0.0.1", 0.1, 90), candidate("a.0.0.2", 0.1, 50)];
        let choice = policy.select(&request(amount(1_000, 0), 0.5), candidates);
        assert_eq!(tasks(choice), ["a.0.0.2"]);
    }

    /// Guards against a lender that takes more than was borrowed, which would be reclaimed in turn.
    #[test]
    fn a_borrower_keeps_its_entitlement() {
        let policy = ReclaimPolicy::default();
        let candidates = vec![candidate("a.0.0.0", 0.2, 1), candidate("a.0.0.1", 0.2, 2)];
        assert_eq!(policy.select(&request(amount(2_000, 0), 0.3), candidates.clone()), None);
        assert_eq!(tasks(policy.select(&request(amount(2_000, 0), 0.4), candidates)).len(), 2);
    }

    /// Guards against preempting runs that free none of the scarce resource.
    #[test]
    fn only_runs_with_the_missing_resource_are_preempted() {
        let policy = ReclaimPolicy::default();
        let holder = ReclaimCandidate { frees: amount(0, 1), ..candidate("a.0.0.7", 0.1, 900) };
        let candidates = vec![candidate("a.0.0.0", 0.1, 1), holder];
        let accelerator = ReclaimRequest { free: amount(5_000, 0), ..request(amount(500, 1), 0.5) };
        assert_eq!(tasks(policy.select(&accelerator, candidates)), ["a.0.0.7"]);
    }

    /// Guards against a long-running job that loses more tasks than it tolerates.
    #[test]
    fn long_running_tasks_are_preempted_within_their_limit() {
        let policy = ReclaimPolicy::default();
        let lasting = |task: &str, allowed| ReclaimCandidate {
            interruptible: Some((("a".to_string(), 0, 0), allowed)),
            ..candidate(task, 0.1, 1)
        };
        let pair = |allowed| vec![lasting("a.0.0.0", allowed), lasting("a.0.0.1", allowed)];
        assert_eq!(policy.select(&request(amount(2_000, 0), 0.5), pair(1)), None);
        assert_eq!(policy.select(&request(amount(1_000, 0), 0.5), pair(0)), None);
        assert_eq!(tasks(policy.select(&request(amount(1_000, 0), 0.5), pair(1))), ["a.0.0.0"]);
    }

    /// Guards against a task that is preempted again and again, and against interrupting much at
    /// once.
    #[test]
    fn reclaims_are_bounded_per_period_and_not_repeated_for_a_task() {
        let (mut policy, now) = (ReclaimPolicy::default(), Instant::now());
        let ledger = ledger(0, 900);
        policy.update(&ledger, |_| false, now);
        assert!(policy.due_claims(&ledger, now + RECLAIM_AFTER / 2).is_empty());
        let claim = policy.due_claims(&ledger, now + RECLAIM_AFTER).remove(0);
        assert_eq!((claim.queue.as_str(), claim.entitlement), ("b", 0.5));
        let wanted = request(amount(1_000, 0), 0.5);
        let choice = policy.select(&wanted, vec![candidate("a.0.0.0", 0.2, 1)]).unwrap();
        policy.on_reclaimed(&claim, (&"x.0.0.0".parse().unwrap(), 0.2), &choice, now);
        let wanted = ReclaimRequest { budget: policy.budget("s"), ..wanted };
        assert_eq!(policy.select(&wanted, vec![candidate("a.0.0.0", 0.01, 1)]), None);
        assert_eq!(policy.select(&wanted, vec![candidate("a.0.0.1", 0.08, 1)]), None);
        assert!(policy.select(&wanted, vec![candidate("a.0.0.1", 0.01, 1)]).is_some());
        policy.update(&ledger, |_| false, now + MIN_REPEAT_INTERVAL);
        assert_eq!(policy.budget("s"), f64::INFINITY);
        assert!(policy.select(&wanted, vec![candidate("a.0.0.0", 0.01, 1)]).is_some());
    }

    /// Guards against claims for a queue that requests nothing, and against a claim that outlives
    /// its cause.
    #[test]
    fn a_queue_without_ready_tasks_or_deficit_claims_nothing() {
        let (mut policy, now) = (ReclaimPolicy::default(), Instant::now());
        for (used, waiting) in [(0, 0), (480, 300)] {
            policy.update(&ledger(0, 900), |_| false, now);
            let ledger = ledger(used, waiting);
            policy.update(&ledger, |_| false, now);
            assert!(policy.due_claims(&ledger, now + RECLAIM_AFTER).is_empty());
        }
    }
}
