//! Announcements of endpoints to the agent on their host, and the agent's table of these endpoints.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::request::concurrency_limit::ConcurrencyLimit;
use crate::request::outcome::NotRunReason;
use crate::request::pool_endpoint::EndpointLoad;
use crate::request::pool_endpoint::EndpointReport;

/// How long an endpoint is still reported as leaving after its announcement has expired, so that
/// the report reaches every entry.
const EXPIRED_REPORT_TIME: Duration = Duration::from_secs(10);

/// Announcement that an endpoint sends to its agent and renews before it expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointAnnouncement {
    /// Name of the endpoint, unique on its host.
    pub endpoint: EndpointId,
    /// Service that the endpoint serves.
    pub service: String,
    /// IP address and port on which the endpoint accepts requests.
    pub address: String,
    /// Number of requests that the endpoint can run concurrently.
    pub slots: u32,
    /// Maximum number of connections that the endpoint accepts.
    pub connections: u32,
    /// Time until the announcement expires unless it is renewed, in milliseconds.
    pub ttl_millis: u64,
}

#[derive(Clone, Debug)]
struct AnnouncedEndpoint {
    announcement: EndpointAnnouncement,
    expires_at: Instant,
    leaving: bool,
    in_flight: u32,
    /// Number of requests sent to the endpoint since its first announcement.
    dispatched: u64,
    limit: ConcurrencyLimit,
    /// Whether the concurrency limit applies, according to the service's settings.
    is_adaptive: bool,
}

impl AnnouncedEndpoint {
    /// Returns the number of requests that may currently be in flight.
    fn slots(&self) -> u32 {
        let announced = usable_slots(&self.announcement);
        if self.is_adaptive { self.limit.limit().min(announced) } else { announced }
    }
}

/// Returns the number of slots that can be in use at once: each request needs a slot and a
/// connection.
fn usable_slots(announcement: &EndpointAnnouncement) -> u32 {
    announcement.slots.min(announcement.connections)
}

/// Endpoint to which a request is dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// IP address and port of the endpoint.
    pub address: String,
    /// Requests in flight at the endpoint, including this one.
    pub in_flight: u32,
}

/// Use of a slot by one dispatched request, which the concurrency limit learns from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotUse {
    /// Requests in flight at the endpoint when this one started, including this one.
    pub in_flight: u32,
    /// Response time, if the response was a good one.
    pub response_time: Option<Duration>,
}

/// Reply to an endpoint that leaves. Dispatched requests may still be in transit: the endpoint has
/// received all of them once it has started as many as were dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveReceipt {
    /// Number of requests that the agent has dispatched to the endpoint since its first
    /// announcement.
    pub dispatched: u64,
}

/// Endpoints that have announced themselves to one agent, with their slots in use.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, AnnouncedEndpoint>,
}

impl EndpointTable {
    /// Records an announcement or its renewal. After a leave, announcements are ignored until the
    /// last one has expired, because a delayed renewal from before the leave must not undo it.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::connection::announcement::{EndpointAnnouncement, EndpointTable};
    /// let mut table = EndpointTable::default();
    /// let announcement = EndpointAnnouncement { endpoint: "r1".into(), service: "spots".into(),
    ///     address: "127.0.0.1:9000".into(), slots: 8, connections: 64, ttl_millis: 3_000 };
    /// table.announce(announcement, Instant::now());
    /// assert_eq!(table.reports(Instant::now()).len(), 1);
    /// ```
    pub fn announce(&mut self, announcement: EndpointAnnouncement, now: Instant) {
        let expires_at = now + Duration::from_millis(announcement.ttl_millis);
        let known = self.endpoints.get(&announcement.endpoint);
        if known.is_some_and(|endpoint| endpoint.leaving && now < endpoint.expires_at) {
            return;
        }
        let slots = usable_slots(&announcement);
        match self.endpoints.get_mut(&announcement.endpoint) {
            Some(known) => {
                known.limit.set_slots(slots);
                known.expires_at = expires_at;
                known.leaving = false;
                known.announcement = announcement;
            }
            None => {
                let endpoint = AnnouncedEndpoint {
                    expires_at,
                    leaving: false,
                    in_flight: 0,
                    dispatched: 0,
                    limit: ConcurrencyLimit::new(slots, now),
                    is_adaptive: false,
                    announcement,
                };
                self.endpoints.insert(endpoint.announcement.endpoint.clone(), endpoint);
            }
        }
    }

    /// Marks an endpoint as leaving, so that no more requests are dispatched to it. Returns the
    /// final number of dispatched requests, or `None` if the endpoint is not known.
    ///
    /// ```
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// assert_eq!(EndpointTable::default().leave("r1"), None);
    /// ```
    pub fn leave(&mut self, endpoint: &str) -> Option<LeaveReceipt> {
        let known = self.endpoints.get_mut(endpoint)?;
        known.leaving = true;
        Some(LeaveReceipt { dispatched: known.dispatched })
    }

    /// Takes a slot of an endpoint for a request. `is_adaptive` tells whether the learned
    /// concurrency limit bounds the number of slots.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request must not be sent to the endpoint.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// # use greengagearch::request::outcome::NotRunReason;
    /// let taken = EndpointTable::default().take_slot("r1", true, Instant::now());
    /// assert_eq!(taken, Err(NotRunReason::EndpointLeaving));
    /// ```
    pub fn take_slot(
        &mut self,
        endpoint: &str,
        is_adaptive: bool,
        now: Instant,
    ) -> Result<EndpointTarget, NotRunReason> {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return Err(NotRunReason::EndpointLeaving);
        };
        if known.leaving || now >= known.expires_at {
            return Err(NotRunReason::EndpointLeaving);
        }
        known.is_adaptive = is_adaptive;
        if known.in_flight >= known.slots() {
            return Err(NotRunReason::SlotsFull);
        }
        known.in_flight += 1;
        known.dispatched += 1;
        Ok(EndpointTarget {
            address: known.announcement.address.clone(),
            in_flight: known.in_flight,
        })
    }

    /// Releases the slot of a request that has ended.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::connection::announcement::{EndpointTable, SlotUse};
    /// let ended = SlotUse { in_flight: 1, response_time: None };
    /// EndpointTable::default().release_slot("r1", ended, Instant::now());
    /// ```
    pub fn release_slot(&mut self, endpoint: &str, ended: SlotUse, now: Instant) {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if let Some(time) = ended.response_time.filter(|_| known.is_adaptive) {
            // Mean of the requests in flight at the start and at the end of this one, rounded up.
            let level = (ended.in_flight + known.in_flight).div_ceil(2);
            known.limit.on_response(level, time, now);
        }
        known.in_flight = known.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests in flight at all endpoints.
    ///
    /// ```
    /// assert_eq!(greengagearch::connection::announcement::EndpointTable::default().in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> u32 {
        self.endpoints.values().map(|endpoint| endpoint.in_flight).sum()
    }

    /// Returns the load of an endpoint.
    ///
    /// ```
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// assert_eq!(EndpointTable::default().load_of("r1"), None);
    /// ```
    pub fn load_of(&self, endpoint: &str) -> Option<EndpointLoad> {
        let known = self.endpoints.get(endpoint)?;
        Some(EndpointLoad { slots: known.slots(), in_flight: known.in_flight })
    }

    /// Returns the reports of all endpoints, for the agent's heartbeat. An endpoint whose
    /// announcement has expired is reported as leaving. It is removed after a further
    /// `EXPIRED_REPORT_TIME`, once it has no request in flight.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// assert!(EndpointTable::default().reports(Instant::now()).is_empty());
    /// ```
    pub fn reports(&mut self, now: Instant) -> Vec<EndpointReport> {
        self.endpoints.retain(|_, endpoint| {
            endpoint.in_flight > 0 || now < endpoint.expires_at + EXPIRED_REPORT_TIME
        });
        let reports = self.endpoints.values().map(|endpoint| EndpointReport {
            endpoint: endpoint.announcement.endpoint.clone(),
            service: endpoint.announcement.service.clone(),
            slots: endpoint.slots(),
            in_flight: endpoint.in_flight,
            leaving: endpoint.leaving || now >= endpoint.expires_at,
        });
        reports.collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn announcement() -> EndpointAnnouncement {
        EndpointAnnouncement {
            endpoint: "r1".to_string(),
            service: "s".to_string(),
            address: "127.0.0.1:1".to_string(),
            slots: 1,
            connections: 4,
            ttl_millis: 1_000,
        }
    }

    #[test]
    fn a_renewal_does_not_release_slots_in_use() {
        let now = Instant::now();
        let mut table = EndpointTable::default();
        table.announce(announcement(), now);
        table.take_slot("r1", false, now).unwrap();
        table.announce(announcement(), now);
        assert_eq!(table.take_slot("r1", false, now), Err(NotRunReason::SlotsFull));
    }

    #[test]
    fn a_late_renewal_does_not_undo_a_leave() {
        let now = Instant::now();
        let mut table = EndpointTable::default();
        table.announce(announcement(), now);
        table.leave("r1");
        table.announce(announcement(), now);
        assert_eq!(table.take_slot("r1", false, now), Err(NotRunReason::EndpointLeaving));
        let later = now + Duration::from_secs(1);
        table.announce(announcement(), later);
        assert!(table.take_slot("r1", false, later).is_ok());
    }

    #[test]
    fn an_expired_endpoint_gets_no_request_and_stays_until_its_last_one_ends() {
        let now = Instant::now();
        let mut table = EndpointTable::default();
        table.announce(announcement(), now);
        table.take_slot("r1", false, now).unwrap();
        let later = now + Duration::from_secs(60);
        assert!(table.reports(later)[0].leaving);
        assert_eq!(table.take_slot("r1", false, later), Err(NotRunReason::EndpointLeaving));
        table.release_slot("r1", SlotUse { in_flight: 1, response_time: None }, later);
        assert!(table.reports(later).is_empty());
    }

    #[test]
    fn slots_are_bounded_by_connections_and_by_the_learned_limit() {
        let start = Instant::now();
        let mut table = EndpointTable::default();
        table.announce(EndpointAnnouncement { slots: 8, ..announcement() }, start);
        assert_eq!(table.load_of("r1").unwrap().slots, 4, "bounded by the number of connections");
        let announcement = EndpointAnnouncement {
            slots: 8,
            connections: 64,
            ttl_millis: 60_000,
            ..announcement()
        };
        table.announce(announcement, start);
        // Simulates two cores: with more than two requests in flight, response times grow in
        // proportion.
        for step in 0..4_000_u64 {
            let now = start + Duration::from_millis(step * 10);
            let attempts = 1 + step % 8;
            let taken = (0..attempts).filter(|_| table.take_slot("r1", true, now).is_ok()).count();
            for in_flight in (1..=taken).rev() {
                let time = Duration::from_millis(20).mul_f64((in_flight as f64 / 2.0).max(1.0));
                let ended = SlotUse { in_flight: in_flight as u32, response_time: Some(time) };
                table.release_slot("r1", ended, now);
            }
        }
        let slots = table.load_of("r1").unwrap().slots;
        assert!(slots <= 4, "{slots}");
        assert_eq!(table.reports(start)[0].slots, slots);
        assert!(table.take_slot("r1", false, start).is_ok());
        assert_eq!(
            table.load_of("r1").unwrap().slots,
            8,
            "all announced slots without the adaptive limit"
        );
    }
}
