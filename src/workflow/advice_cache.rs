//! Cached answers of the advice service: on which workers a step may run, and with which ticket.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::ids::JobId;

/// Limits the response time of a query, which grows with each worker in it.
const MAX_WORKERS_PER_QUERY: usize = 30;
/// A ticket that expires sooner is not used, because it might expire on its way to the runner.
const MIN_REMAINING_VALIDITY: Duration = Duration::from_millis(400);

/// Identifies a step by its job, occurrence and step number.
pub type StepKey = (JobId, u32, u32);

/// A query to the advice service: on which of these workers may the step run?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceQuery {
    /// The step to be placed.
    pub step: StepKey,
    /// The candidate workers.
    pub workers: Vec<InstanceId>,
}

#[derive(Clone, Debug)]
struct CachedTicket {
    text: String,
    valid_until: Instant,
}

/// Answers of the advice service. Whether a step may run on a worker never changes, but the ticket
/// that permits it expires.
#[derive(Clone, Debug, Default)]
pub struct AdviceCache {
    tickets: BTreeMap<StepKey, BTreeMap<InstanceId, CachedTicket>>,
    denied: BTreeMap<StepKey, BTreeSet<InstanceId>>,
    pending: Option<AdviceQuery>,
}

impl AdviceCache {
    /// The ticket with which a step may start on a worker, unless it has expired or is about to.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let cache = greengagearch::workflow::advice_cache::AdviceCache::default();
    /// assert_eq!(cache.ticket(&("a".into(), 0, 0), "i-1", Instant::now()), None);
    /// ```
    pub fn ticket(&self, step: &StepKey, worker: &str, now: Instant) -> Option<&str> {
        let ticket = self.tickets.get(step)?.get(worker)?;
        (now + MIN_REMAINING_VALIDITY < ticket.valid_until).then_some(ticket.text.as_str())
    }

    /// The next query for a step: the workers for which there is neither a valid ticket nor a
    /// denial. `None` while another query is pending or if no such worker is left. The caller has
    /// to send the query and to pass the answer to [`AdviceCache::on_answer`].
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut cache = greengagearch::workflow::advice_cache::AdviceCache::default();
    /// let step = ("a".to_string(), 0, 0);
    /// let query = cache.next_query(&step, vec!["i-1".to_string()], Instant::now()).unwrap();
    /// assert_eq!(query.workers.len(), 1);
    /// ```
    pub fn next_query(
        &mut self,
        step: &StepKey,
        workers: Vec<InstanceId>,
        now: Instant,
    ) -> Option<AdviceQuery> {
        if self.pending.is_some() {
            return None;
        }
        let denied = self.denied.get(step);
        let needs_query = |worker: &InstanceId| {
            !denied.is_some_and(|denied| denied.contains(worker))
                && self.ticket(step, worker, now).is_none()
        };
        let workers: Vec<InstanceId> =
            workers.into_iter().filter(needs_query).take(MAX_WORKERS_PER_QUERY).collect();
        if workers.is_empty() {
            return None;
        }
        let query = AdviceQuery { step: step.clone(), workers };
        self.pending = Some(query.clone());
        Some(query)
    }

    /// Records the answer to the pending query, which was sent at `sent_at`. `None` means that the
    /// service did not answer. Workers of the query that the answer leaves out are denied.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut cache = greengagearch::workflow::advice_cache::AdviceCache::default();
    /// let step = ("a".to_string(), 0, 0);
    /// cache.next_query(&step, vec!["i-1".to_string()], now);
    /// let allowed = vec![("i-1".to_string(), "t".to_string())];
    /// cache.on_answer(Some((allowed, Duration::from_secs(3))), now);
    /// assert_eq!(cache.ticket(&step, "i-1", now), Some("t"));
    /// ```
    pub fn on_answer(
        &mut self,
        answer: Option<(Vec<(InstanceId, String)>, Duration)>,
        sent_at: Instant,
    ) {
        let (Some(query), Some((allowed, validity))) = (self.pending.take(), answer) else {
            return;
        };
        let mut denied: BTreeSet<InstanceId> = query.workers.into_iter().collect();
        let tickets = self.tickets.entry(query.step.clone()).or_default();
        for (worker, text) in allowed {
            denied.remove(&worker);
            tickets.insert(worker, CachedTicket { text, valid_until: sent_at + validity });
        }
        self.denied.entry(query.step).or_default().extend(denied);
    }

    /// Removes all entries of a job that has ended.
    ///
    /// ```
    /// greengagearch::workflow::advice_cache::AdviceCache::default().forget_job("a");
    /// ```
    pub fn forget_job(&mut self, job: &str) {
        self.tickets.retain(|step, _| step.0 != job);
        self.denied.retain(|step, _| step.0 != job);
    }

    /// Removes a ticket that a runner has rejected.
    ///
    /// ```
    /// let mut cache = greengagearch::workflow::advice_cache::AdviceCache::default();
    /// cache.drop_ticket(&("a".into(), 0, 0), "i-1");
    /// ```
    pub fn drop_ticket(&mut self, step: &StepKey, worker: &str) {
        if let Some(tickets) = self.tickets.get_mut(step) {
            tickets.remove(worker);
        }
    }
}
