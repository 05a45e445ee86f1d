//! Queue of requests that wait for an endpoint slot, ordered by earliest deadline.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Instant;

use crate::request::pool_endpoint::EndpointKey;

/// Identifier of a waiting request, unique within the process.
pub type TicketNumber = u64;

/// A request that waits for an endpoint slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifier of the request in the queue.
    pub ticket: TicketNumber,
    /// Time by which the caller needs the response.
    pub deadline: Instant,
    /// Caller that sent the request.
    pub caller: String,
    /// Endpoint of the previous attempt, avoided when another one is open.
    pub avoid: Option<EndpointKey>,
}

/// Waiting requests in order of their deadlines, counted by caller.
#[derive(Debug, Default)]
pub struct DeadlineQueue {
    requests: BTreeMap<(Instant, TicketNumber), QueuedRequest>,
    by_caller: HashMap<String, usize>,
}

impl DeadlineQueue {
    /// Adds a request to the queue.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    /// use greengagearch::request::deadline_queue::QueuedRequest;
    ///
    /// let mut queue = DeadlineQueue::default();
    /// let deadline = Instant::now();
    /// queue.push(QueuedRequest { ticket: 1, deadline, caller: "desk".into(), avoid: None });
    /// assert_eq!(queue.pop().unwrap().ticket, 1);
    /// ```
    pub fn push(&mut self, request: QueuedRequest) {
        *self.by_caller.entry(request.caller.clone()).or_default() += 1;
        self.requests.insert((request.deadline, request.ticket), request);
    }

    /// Removes and returns the request with the earliest deadline.
    ///
    /// ```
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert!(DeadlineQueue::default().pop().is_none());
    /// ```
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (_, request) = self.requests.pop_first()?;
        self.decrement_caller(&request.caller);
        Some(request)
    }

    /// Removes and returns all requests whose deadline is before `min_deadline`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert!(DeadlineQueue::default().drain_before(Instant::now()).is_empty());
    /// ```
    pub fn drain_before(&mut self, min_deadline: Instant) -> Vec<QueuedRequest> {
        let mut drained = Vec::new();
        while self.requests.first_key_value().is_some_and(|((end, _), _)| *end < min_deadline) {
            drained.extend(self.pop());
        }
        drained
    }

    /// Removes a request whose caller has disconnected. Returns whether it was queued.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert!(!DeadlineQueue::default().remove(Instant::now(), 1));
    /// ```
    pub fn remove(&mut self, deadline: Instant, ticket: TicketNumber) -> bool {
        let Some(request) = self.requests.remove(&(deadline, ticket)) else {
            return false;
        };
        self.decrement_caller(&request.caller);
        true
    }

    /// Number of requests that are served before a new one with this deadline.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert_eq!(DeadlineQueue::default().len_before(Instant::now()), 0);
    /// ```
    pub fn len_before(&self, deadline: Instant) -> usize {
        self.requests.range(..(deadline, TicketNumber::MAX)).count()
    }

    /// Frees the place of a request for another caller. Among the requests of the caller with the
    /// most waiting requests, removes and returns the one with the latest deadline up to
    /// `deadline`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert!(DeadlineQueue::default().displace(Instant::now()).is_none());
    /// ```
    pub fn displace(&mut self, deadline: Instant) -> Option<QueuedRequest> {
        let (busiest, _) = self.by_caller.iter().max_by_key(|(_, count)| **count)?;
        let ahead = self.requests.range(..(deadline, TicketNumber::MAX)).rev();
        let mut of_busiest = ahead.filter(|(_, request)| request.caller == *busiest);
        let key = *of_busiest.next()?.0;
        let request = self.requests.remove(&key)?;
        self.decrement_caller(&request.caller);
        Some(request)
    }

    /// Number of waiting requests of one caller.
    ///
    /// ```
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert_eq!(DeadlineQueue::default().caller_len("desk"), 0);
    /// ```
    pub fn caller_len(&self, caller: &str) -> usize {
        self.by_caller.get(caller).copied().unwrap_or(0)
    }

    /// Number of callers with a waiting request.
    ///
    /// ```
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert_eq!(DeadlineQueue::default().caller_count(), 0);
    /// ```
    pub fn caller_count(&self) -> usize {
        self.by_caller.len()
    }

    /// Number of waiting requests.
    ///
    /// ```
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert_eq!(DeadlineQueue::default().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is waiting.
    ///
    /// ```
    /// use greengagearch::request::deadline_queue::DeadlineQueue;
    ///
    /// assert!(DeadlineQueue::default().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    fn decrement_caller(&mut self, caller: &str) {
        if let Some(count) = self.by_caller.get_mut(caller) {
            *count -= 1;
            if *count == 0 {
                self.by_caller.remove(caller);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn request(ticket: TicketNumber, deadline: Instant) -> QueuedRequest {
        QueuedRequest { ticket, deadline, caller: "desk".to_string(), avoid: None }
    }

    #[test]
    fn requests_are_popped_by_earliest_deadline() {
        let now = Instant::now();
        let mut queue = DeadlineQueue::default();
        queue.push(request(1, now + Duration::from_secs(2)));
        queue.push(request(2, now + Duration::from_secs(1)));
        assert_eq!(queue.len_before(now + Duration::from_secs(1)), 1);
        assert_eq!(queue.pop().unwrap().ticket, 2);
        assert_eq!(queue.caller_len("desk"), 1);
    }

    #[test]
    fn a_caller_without_requests_is_not_counted() {
        let now = Instant::now();
        let mut queue = DeadlineQueue::default();
        queue.push(request(1, now));
        assert!(queue.remove(now, 1));
        assert!(!queue.remove(now, 1));
        assert_eq!(queue.caller_count(), 0);
    }
}
