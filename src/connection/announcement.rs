//! Endpoints as they announce themselves to the agent on their host.

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

/// How long after its lapse a leaving endpoint is still reported, so that every entry hears of it.
const FAREWELL: Duration = Duration::from_secs(10);

/// What an endpoint sends to its agent, and repeats to stay announced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointAnnouncement {
    /// Name of the endpoint, unique on its host.
    pub endpoint: EndpointId,
    /// The service it serves.
    pub service: String,
    /// IP address and port on which it takes requests.
    pub address: String,
    /// Requests it can run at once.
    pub slots: u32,
    /// Connections it accepts at most.
    pub connections: u32,
    /// How long the announcement holds, in milliseconds.
    pub ttl_millis: u64,
}

#[derive(Clone, Debug)]
struct AnnouncedEndpoint {
    announcement: EndpointAnnouncement,
    lapses_at: Instant,
    leaving: bool,
    in_flight: u32,
    dispatched: u64,
    limit: ConcurrencyLimit,
    is_adaptive: bool,
}

impl AnnouncedEndpoint {
    /// Requests that may be in flight now: each takes a slot and a connection.
    fn slots(&self) -> u32 {
        let announced = slots_of(&self.announcement);
        if self.is_adaptive { self.limit.limit().min(announced) } else { announced }
    }
}

fn slots_of(announcement: &EndpointAnnouncement) -> u32 {
    announcement.slots.min(announcement.connections)
}

/// Where a dispatch goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// IP address and port.
    pub address: String,
    /// Requests in flight there, with this one.
    pub in_flight: u32,
}

/// How a dispatch used its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotUse {
    /// Requests in flight when it began, with this one.
    pub in_flight: u32,
    /// How long the answer took, if it was a good one.
    pub response_time: Option<Duration>,
}

/// Answer to an endpoint that leaves. Requests can still be on their way to it: it has had all of them
/// when it has begun as many as were dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveReceipt {
    /// Requests that the agent has dispatched to the endpoint since it first heard of it.
    pub dispatched: u64,
}

/// The endpoints of one agent, with their slots in use.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointId, AnnouncedEndpoint>,
}

impl EndpointTable {
    /// Takes in an announcement or its renewal. After a leave, announcements are ignored until the
    /// last one has lapsed: a renewal that was overtaken by the leave must not undo it.
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
        let lapses_at = now + Duration::from_millis(announcement.ttl_millis);
        let known = self.endpoints.get(&announcement.endpoint);
        if known.is_some_and(|endpoint| endpoint.leaving && now < endpoint.lapses_at) {
            return;
        }
        let slots = slots_of(&announcement);
        match self.endpoints.get_mut(&announcement.endpoint) {
            Some(known) => {
                known.limit.set_slots(slots);
                known.lapses_at = lapses_at;
                known.leaving = false;
                known.announcement = announcement;
            }
            None => {
                let endpoint = AnnouncedEndpoint {
                    lapses_at,
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

    /// Marks an endpoint as leaving. Gives what it has been sent, if it is known: nothing is added
    /// to that from here on.
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

    /// Takes a slot for a dispatch; `is_adaptive` says whether the service's slots are bounded by
    /// what was learned of the endpoint.
    ///
    /// # Errors
    ///
    /// Why the dispatch must not go to the endpoint.
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
        if known.leaving || now >= known.lapses_at {
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

    /// Gives a slot back.
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
            // Half-way between the requests beside it at its beginning and at its end.
            let level = (ended.in_flight + known.in_flight).div_ceil(2);
            known.limit.on_response(level, time, now);
        }
        known.in_flight = known.in_flight.saturating_sub(1);
    }

    /// Requests in flight at all endpoints.
    ///
    /// ```
    /// assert_eq!(greengagearch::connection::announcement::EndpointTable::default().in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> u32 {
        self.endpoints.values().map(|endpoint| endpoint.in_flight).sum()
    }

    /// What one endpoint runs and may run.
    ///
    /// ```
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// assert_eq!(EndpointTable::default().load_of("r1"), None);
    /// ```
    pub fn load_of(&self, endpoint: &str) -> Option<EndpointLoad> {
        let known = self.endpoints.get(endpoint)?;
        Some(EndpointLoad { slots: known.slots(), in_flight: known.in_flight })
    }

    /// What the heartbeat says of each endpoint. A lapsed one counts as leaving; it is forgotten
    /// when it has no request in flight and every entry had time to hear of it.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// assert!(EndpointTable::default().reports(Instant::now()).is_empty());
    /// ```
    pub fn reports(&mut self, now: Instant) -> Vec<EndpointReport> {
        self.endpoints
            .retain(|_, endpoint| endpoint.in_flight > 0 || now < endpoint.lapses_at + FAREWELL);
        let reports = self.endpoints.values().map(|endpoint| EndpointReport {
            endpoint: endpoint.announcement.endpoint.clone(),
            service: endpoint.announcement.service.clone(),
            slots: endpoint.slots(),
            in_flight: endpoint.in_flight,
            leaving: endpoint.leaving || now >= endpoint.lapses_at,
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
    fn a_renewal_keeps_the_slots_in_use() {
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
    fn a_lapsed_endpoint_gets_nothing_and_keeps_its_request() {
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
    fn slots_are_bounded_by_connections_and_by_what_was_learned() {
        let start = Instant::now();
        let mut table = EndpointTable::default();
        table.announce(EndpointAnnouncement { slots: 8, ..announcement() }, start);
        assert_eq!(table.load_of("r1").unwrap().slots, 4, "connections are fewer");
        let announcement = EndpointAnnouncement {
            slots: 8,
            connections: 64,
            ttl_millis: 60_000,
            ..announcement()
        };
        table.announce(announcement, start);
        // Two cores: beyond two in flight each further request only makes the others slower.
        for step in 0..4_000_u64 {
            let now = start + Duration::from_millis(step * 10);
            let wanted = 1 + step % 8;
            let taken = (0..wanted).filter(|_| table.take_slot("r1", true, now).is_ok()).count();
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
        assert_eq!(table.load_of("r1").unwrap().slots, 8, "without the guard all slots count");
    }
}
