//! What the advice service has said: on which workers a step may run, and with which ticket.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::ids::InstanceId;
use crate::ids::JobId;

/// Most workers that one query names: few enough that its answer, which takes time for each, is quick.
const MAX_WORKERS_PER_QUERY: usize = 30;
/// A ticket is not used with less than this left, so that it is still valid at the runner.
const MIN_REMAINING_VALIDITY: Duration = Duration::from_millis(400);

/// A step of one occurrence of a job.
pub type StepKey = (JobId, u32, u32);

/// A query to the advice service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceQuery {
    /// The step.
    pub step: StepKey,
    /// The workers it asks about.
    pub workers: Vec<InstanceId>,
}

#[derive(Clone, Debug)]
struct CachedTicket {
    text: String,
    valid_until: Instant,
}

/// Answers of the advice service. Whether a step may run on a worker never changes; its ticket expires.
#[derive(Clone, Debug, Default)]
pub struct AdviceCache {
    tickets: BTreeMap<StepKey, BTreeMap<InstanceId, CachedTicket>>,
    refused: BTreeMap<StepKey, BTreeSet<InstanceId>>,
    pending: Option<AdviceQuery>,
}

impl AdviceCache {
    /// The ticket with which a step may run on a worker now.
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

    /// The next query for a step, unless one is on its way: workers that are not known to be refused
    /// and have no valid ticket. The asker must send it and bring the answer.
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
        let refused = self.refused.get(step);
        let is_unknown = |worker: &InstanceId| {
            !refused.is_some_and(|refused| refused.contains(worker))
                && self.ticket(step, worker, now).is_none()
        };
        let workers: Vec<InstanceId> =
            workers.into_iter().filter(is_unknown).take(MAX_WORKERS_PER_QUERY).collect();
        if workers.is_empty() {
            return None;
        }
        let query = AdviceQuery { step: step.clone(), workers };
        self.pending = Some(query.clone());
        Some(query)
    }

    /// Takes in the answer to a query that was asked at `sent_at`; nothing when there was none.
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
        let mut refused: BTreeSet<InstanceId> = query.workers.into_iter().collect();
        let tickets = self.tickets.entry(query.step.clone()).or_default();
        for (worker, text) in allowed {
            refused.remove(&worker);
            tickets.insert(worker, CachedTicket { text, valid_until: sent_at + validity });
        }
        self.refused.entry(query.step).or_default().extend(refused);
    }

    /// Forgets a job that has ended.
    ///
    /// ```
    /// greengagearch::workflow::advice_cache::AdviceCache::default().forget_job("a");
    /// ```
    pub fn forget_job(&mut self, job: &str) {
        self.tickets.retain(|step, _| step.0 != job);
        self.refused.retain(|step, _| step.0 != job);
    }

    /// Drops a ticket that a runner did not take.
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
