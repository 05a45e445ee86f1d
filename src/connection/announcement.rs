//! Endpoints as they announce themselves to the agent on their host.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::EndpointId;
use crate::request::outcome::NotRunReason;
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
}

/// Where a dispatch goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// IP address and port.
    pub address: String,
    /// Connections it accepts at most.
    pub connections: u32,
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
        let in_flight = known.map_or(0, |endpoint| endpoint.in_flight);
        let endpoint = AnnouncedEndpoint { lapses_at, leaving: false, in_flight, announcement };
        self.endpoints.insert(endpoint.announcement.endpoint.clone(), endpoint);
    }

    /// Marks an endpoint as leaving. Gives whether it was known.
    ///
    /// ```
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// assert!(!EndpointTable::default().leave("r1"));
    /// ```
    pub fn leave(&mut self, endpoint: &str) -> bool {
        let known = self.endpoints.get_mut(endpoint);
        known.map(|endpoint| endpoint.leaving = true).is_some()
    }

    /// Takes a slot for a dispatch.
    ///
    /// # Errors
    ///
    /// Why the dispatch must not go to the endpoint.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// # use greengagearch::request::outcome::NotRunReason;
    /// let taken = EndpointTable::default().take_slot("r1", Instant::now());
    /// assert_eq!(taken, Err(NotRunReason::EndpointLeaving));
    /// ```
    pub fn take_slot(
        &mut self,
        endpoint: &str,
        now: Instant,
    ) -> Result<EndpointTarget, NotRunReason> {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return Err(NotRunReason::EndpointLeaving);
        };
        if known.leaving || now >= known.lapses_at {
            return Err(NotRunReason::EndpointLeaving);
        }
        if known.in_flight >= known.announcement.slots {
            return Err(NotRunReason::SlotsFull);
        }
        known.in_flight += 1;
        Ok(EndpointTarget {
            address: known.announcement.address.clone(),
            connections: known.announcement.connections,
        })
    }

    /// Gives a slot back.
    ///
    /// ```
    /// greengagearch::connection::announcement::EndpointTable::default().release_slot("r1");
    /// ```
    pub fn release_slot(&mut self, endpoint: &str) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Requests in flight at all endpoints.
    ///
    /// ```
    /// assert_eq!(greengagearch::connection::announcement::EndpointTable::default().in_flight(), 0);
    /// ```
    pub fn in_flight(&self) -> u32 {
        self.endpoints.values().map(|endpoint| endpoint.in_flight).sum()
    }

    /// Requests in flight at one endpoint.
    ///
    /// ```
    /// # use greengagearch::connection::announcement::EndpointTable;
    /// assert_eq!(EndpointTable::default().in_flight_at("r1"), 0);
    /// ```
    pub fn in_flight_at(&self, endpoint: &str) -> u32 {
        self.endpoints.get(endpoint).map_or(0, |endpoint| endpoint.in_flight)
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
            slots: endpoint.announcement.slots,
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
        table.take_slot("r1", now).unwrap();
        table.announce(announcement(), now);
        assert_eq!(table.take_slot("r1", now), Err(NotRunReason::SlotsFull));
    }

    #[test]
    fn a_late_renewal_does_not_undo_a_leave() {
        let now = Instant::now();
        let mut table = EndpointTable::default();
        table.announce(announcement(), now);
        table.leave("r1");
        table.announce(announcement(), now);
        assert_eq!(table.take_slot("r1", now), Err(NotRunReason::EndpointLeaving));
        let later = now + Duration::from_secs(1);
        table.announce(announcement(), later);
        assert!(table.take_slot("r1", later).is_ok());
    }

    #[test]
    fn a_lapsed_endpoint_gets_nothing_and_keeps_its_request() {
        let now = Instant::now();
        let mut table = EndpointTable::default();
        table.announce(announcement(), now);
        table.take_slot("r1", now).unwrap();
        let later = now + Duration::from_secs(60);
        assert!(table.reports(later)[0].leaving);
        assert_eq!(table.take_slot("r1", later), Err(NotRunReason::EndpointLeaving));
        table.release_slot("r1");
        assert!(table.reports(later).is_empty());
    }
}
