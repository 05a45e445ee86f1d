//! Places of refused callers.
//!
//! Without places, refused callers would compete anew with each return, and one that polls more
//! often than the others would be accepted first. The queue orders them by start-time fair queueing
//! (Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996): first refused, first admitted within a
//! queue, and queues by their weights.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::JobId;
use crate::ids::QueueName;
use crate::workflow::admission::backlog_forecast::SizedWork;
use crate::workflow::admission::job_demand::ClassKey;
use crate::workflow::admission::job_demand::JobDemand;

/// Maximum number of places, at 250 bytes each.
const MAX_PLACES: usize = 1_024;
/// Time after the promised return after which a place expires. It covers a client that repeats a
/// call whose response was lost. Callers who never return would waste their headroom for longer.
const RETURN_GRACE: Duration = Duration::from_secs(2);

/// The place of a refused caller.
#[derive(Clone, Debug, PartialEq)]
pub struct ReturnPlace {
    /// What its job needs.
    pub demand: JobDemand,
    /// When it was first refused.
    pub refused_at: Instant,
    /// When it was asked to return.
    pub due_at: Instant,
    /// Virtual time at which its queue's share of the work before it is done, and a sequence number
    /// that orders equal times.
    rank: (f64, u64),
}

/// Which places count before a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CountedPlaces {
    /// Those that are due at this time, for whom headroom is kept.
    DueAt(Instant),
    /// All, for an estimate of when there is headroom for the job.
    All,
}

impl CountedPlaces {
    fn contains(self, place: &ReturnPlace) -> bool {
        match self {
            CountedPlaces::DueAt(now) => place.is_due(now),
            CountedPlaces::All => true,
        }
    }
}

/// Places of refused callers, bounded in number and by queue.
#[derive(Clone, Debug, Default)]
pub struct ReturnQueue {
    places: BTreeMap<JobId, ReturnPlace>,
    /// Weights that differ from 1.
    weights: BTreeMap<QueueName, f64>,
    /// Virtual time at which the last place of each queue is done; only of queues with places.
    last_ranks: BTreeMap<QueueName, f64>,
    virtual_time: f64,
    last_sequence: u64,
}

impl ReturnQueue {
    /// Sets the weights of queues; all others have weight 1.
    ///
    /// ```
    /// use greengagearch::workflow::admission::return_queue::ReturnQueue;
    ///
    /// ReturnQueue::default().set_weights(Default::default());
    /// ```
    pub fn set_weights(&mut self, weights: BTreeMap<QueueName, f64>) {
        self.weights = weights.into_iter().filter(|(_, weight)| *weight > 0.0).collect();
    }

    /// The place of a job.
    ///
    /// ```
    /// use greengagearch::workflow::admission::return_queue::ReturnQueue;
    ///
    /// assert!(ReturnQueue::default().place("a").is_none());
    /// ```
    pub fn place(&self, job: &str) -> Option<&ReturnPlace> {
        self.places.get(job)
    }

    /// Number of places.
    ///
    /// ```
    /// assert_eq!(greengagearch::workflow::admission::return_queue::ReturnQueue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether there is no place.
    ///
    /// ```
    /// assert!(greengagearch::workflow::admission::return_queue::ReturnQueue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Work in core-milliseconds that is promised to others before a job: to those who were refused
    /// before it, or to all if it has no place. `counted` selects which places count.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::job_demand::*;
    /// use greengagearch::workflow::admission::return_queue::CountedPlaces;
    /// use greengagearch::workflow::admission::return_queue::ReturnQueue;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 0, core_ms: 10, critical_path_ms: 500, objective_ms: 1_000 };
    /// let queue = ReturnQueue::default();
    /// assert_eq!(queue.promised_before("a", &demand, CountedPlaces::All), 0);
    /// ```
    pub fn promised_before(&self, job: &str, demand: &JobDemand, counted: CountedPlaces) -> u64 {
        let own_rank = self.places.get(job).map(|place| place.rank);
        let competing = self.places.iter().filter(|(other, place)| {
            let of = &place.demand;
            *other != job
                && (&of.service, of.class) == (&demand.service, demand.class)
                && of.priority <= demand.priority
                && own_rank.is_none_or(|rank| place.rank < rank)
                && counted.contains(place)
        });
        competing.map(|(_, place)| place.demand.core_ms).sum()
    }

    /// Work of the places that are due, by class, to publish it. It is in the smallest bucket, since
    /// it precedes all jobs without a place.
    pub(crate) fn promised(&self, now: Instant) -> BTreeMap<ClassKey, Vec<SizedWork>> {
        let mut promised: BTreeMap<_, Vec<SizedWork>> = BTreeMap::new();
        for place in self.places.values().filter(|place| place.is_due(now)) {
            let key = (place.demand.service.clone(), place.demand.class);
            let (priority, core_ms) = (place.demand.priority, place.demand.core_ms);
            let of_class = promised.entry(key).or_default();
            match of_class.iter_mut().find(|known| known.priority == priority) {
                Some(known) => known.core_ms += core_ms,
                None => of_class.push(SizedWork { priority, bucket: 0, is_late: false, core_ms }),
            }
        }
        promised
    }

    /// Gives a place to a job that is refused, or renews the time of its return. Returns whether it
    /// has a place.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::job_demand::*;
    /// use greengagearch::workflow::admission::return_queue::ReturnQueue;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 0, core_ms: 10, critical_path_ms: 500, objective_ms: 1_000 };
    /// let mut queue = ReturnQueue::default();
    /// assert!(queue.reserve("a", &demand, Duration::from_secs(2), Instant::now()));
    /// ```
    pub fn reserve(
        &mut self,
        job: &str,
        demand: &JobDemand,
        retry_after: Duration,
        now: Instant,
    ) -> bool {
        let due_at = now + retry_after;
        if let Some(place) = self.places.get_mut(job) {
            place.due_at = due_at;
            return true;
        }
        if self.places.len() >= MAX_PLACES
            || self.places_of(&demand.queue) >= self.max_places_of(&demand.queue)
        {
            return false;
        }
        let weight = self.weights.get(&demand.queue).copied().unwrap_or(1.0);
        let last_rank = self.last_ranks.entry(demand.queue.clone()).or_insert(self.virtual_time);
        let start = last_rank.max(self.virtual_time);
        *last_rank = start + demand.core_ms as f64 / weight;
        self.last_sequence += 1;
        let rank = (start, self.last_sequence);
        let place = ReturnPlace { demand: demand.clone(), refused_at: now, due_at, rank };
        self.places.insert(job.to_string(), place);
        true
    }

    /// Removes the place of a job, which is admitted or has ended.
    ///
    /// ```
    /// assert!(greengagearch::workflow::admission::return_queue::ReturnQueue::default().remove("a").is_none());
    /// ```
    pub fn remove(&mut self, job: &str) -> Option<ReturnPlace> {
        let place = self.places.remove(job)?;
        self.virtual_time = self.virtual_time.max(place.rank.0);
        if self.places_of(&place.demand.queue) == 0 {
            self.last_ranks.remove(&place.demand.queue);
        }
        Some(place)
    }

    /// Removes the places whose callers have not returned in time, and those of jobs that
    /// `is_known` selects. Returns the queues of the former.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::return_queue::ReturnQueue;
    ///
    /// assert!(ReturnQueue::default().expire(Instant::now(), |_| false).is_empty());
    /// ```
    pub fn expire(&mut self, now: Instant, is_known: impl Fn(&str) -> bool) -> Vec<QueueName> {
        let known: Vec<JobId> = self.places.keys().filter(|job| is_known(job)).cloned().collect();
        for job in known {
            self.remove(&job);
        }
        let is_expired = |place: &ReturnPlace| now > place.due_at + RETURN_GRACE;
        let expired = self.places.iter().filter(|(_, place)| is_expired(place));
        let expired: Vec<JobId> = expired.map(|(job, _)| job.clone()).collect();
        let removed = expired.iter().filter_map(|job| self.remove(job));
        removed.map(|place| place.demand.queue).collect()
    }

    fn places_of(&self, queue: &str) -> usize {
        self.places.values().filter(|place| place.demand.queue == queue).count()
    }

    /// Share of the places that a queue gets: by the weights of the queues that have places, with
    /// one more of weight 1, so that a single queue leaves some for the next one.
    fn max_places_of(&self, queue: &str) -> usize {
        let weight = |queue: &str| self.weights.get(queue).copied().unwrap_or(1.0);
        let others = self.last_ranks.keys().filter(|other| *other != queue);
        let total = others.map(|other| weight(other)).sum::<f64>() + weight(queue) + 1.0;
        ((MAX_PLACES as f64 * weight(queue) / total) as usize).max(1)
    }
}

impl ReturnPlace {
    /// Whether the promised time of its return has come.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::admission::job_demand::*;
    /// use greengagearch::workflow::admission::return_queue::ReturnQueue;
    ///
    /// let demand = JobDemand { service: "s".into(), queue: "q".into(), class: WorkClass::Reserved,
    ///     priority: 0, core_ms: 10, critical_path_ms: 500, objective_ms: 1_000 };
    /// let (mut queue, now) = (ReturnQueue::default(), Instant::now());
    /// queue.reserve("a", &demand, Duration::from_secs(2), now);
    /// assert!(!queue.place("a").unwrap().is_due(now));
    /// ```
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.due_at
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::workflow::admission::admission_policy::tests::demand;
    use crate::workflow::admission::job_demand::WorkClass;

    const RETRY: Duration = Duration::from_secs(2);

    fn reserve(queue: &mut ReturnQueue, job: &str, of: &str, now: Instant) -> bool {
        queue.reserve(job, &demand(of), RETRY, now)
    }

    /// Guards against a caller that gains from returning early or often.
    #[test]
    fn a_renewed_place_keeps_its_rank() {
        let (mut queue, now) = (ReturnQueue::default(), Instant::now());
        assert!(reserve(&mut queue, "a", "q", now));
        assert!(reserve(&mut queue, "b", "q", now));
        assert!(reserve(&mut queue, "a", "q", now + RETRY));
        assert_eq!(queue.promised_before("a", &demand("q"), CountedPlaces::All), 0);
        assert_eq!(queue.promised_before("b", &demand("q"), CountedPlaces::All), 10_000);
        assert_eq!(queue.place("a").unwrap().refused_at, now);
    }

    /// Guards against a queue that fills all places, and one that comes first because it has many.
    #[test]
    fn a_flood_gets_its_share_of_places_and_of_the_order() {
        let (mut queue, now) = (ReturnQueue::default(), Instant::now());
        let given =
            (0..5_000).filter(|n| reserve(&mut queue, &format!("f{n}"), "flood", now)).count();
        assert_eq!(given, MAX_PLACES / 2);
        assert!(reserve(&mut queue, "other", "q", now));
        assert!(queue.promised_before("other", &demand("q"), CountedPlaces::All) <= 10_000);
        queue.set_weights(BTreeMap::from([("heavy".to_string(), 4.0)]));
        (0..3).for_each(|n| assert!(reserve(&mut queue, &format!("h{n}"), "heavy", now)));
        assert!(queue.promised_before("h2", &demand("heavy"), CountedPlaces::All) <= 4 * 10_000);
    }

    /// Guards against headroom that stays reserved for callers that never return.
    #[test]
    fn places_expire_after_the_grace_and_with_their_job() {
        let (mut queue, now) = (ReturnQueue::default(), Instant::now());
        reserve(&mut queue, "a", "q", now);
        reserve(&mut queue, "b", "q", now);
        assert!(queue.expire(now + RETRY, |job| job == "b").is_empty());
        assert_eq!(queue.len(), 1);
        assert!(queue.expire(now + RETRY + RETURN_GRACE, |_| false).is_empty());
        let late = now + RETRY + RETURN_GRACE + Duration::from_millis(1);
        assert_eq!(queue.expire(late, |_| false), ["q"]);
        assert!(queue.is_empty() && queue.last_ranks.is_empty());
    }

    /// Guards against newcomers that use the headroom of places that are due.
    #[test]
    fn due_places_precede_jobs_without_a_place_whatever_their_size() {
        let (mut queue, now) = (ReturnQueue::default(), Instant::now());
        reserve(&mut queue, "a", "q", now);
        let small = JobDemand { core_ms: 600, ..demand("q") };
        let before = |at| queue.promised_before("new", &small, CountedPlaces::DueAt(at));
        assert_eq!((before(now), before(now + RETRY)), (0, 10_000));
        assert!(queue.promised(now).is_empty());
        let published = queue.promised(now + RETRY);
        assert_eq!(published[&("s".to_string(), WorkClass::BestEffort)][0].core_ms, 10_000);
    }
}
