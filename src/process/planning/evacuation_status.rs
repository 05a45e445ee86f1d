//! The evacuations in force as any planner process tells operators.
//!
//! The process that owns planning answers from its planner, the others from the owner's heartbeat.
//! Either state may be out of date, so that the answer has its age: the time since the store last
//! confirmed the ownership, or the age of the heartbeat.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainName;
use crate::ids::PlannerEpoch;
use crate::process::clock;
use crate::process::planning::shared::PlannerShared;
use crate::workflow::evacuation_summary::DomainEvacuation;
use crate::workflow::evacuation_summary::EvacuationSummary;
use crate::workflow::evacuation_summary::PowerHindrance;

/// Where an answer comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatusSource {
    /// The planner itself.
    Planner,
    /// The planner's heartbeat, as this process last read it.
    Heartbeat,
}

impl StatusSource {
    /// Returns its name in responses.
    ///
    /// ```
    /// use greengagearch::process::planning::evacuation_status::StatusSource;
    ///
    /// assert_eq!(StatusSource::Heartbeat.as_str(), "heartbeat");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            StatusSource::Planner => "planner",
            StatusSource::Heartbeat => "heartbeat",
        }
    }
}

/// Response to a query of the evacuations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// Where it comes from.
    pub source: StatusSource,
    /// Epoch of the planner.
    pub epoch: PlannerEpoch,
    /// Age of the state in milliseconds. Between hosts it is as accurate as their clocks.
    pub age_ms: u64,
    /// Whether the planner had recently read the requests of operators.
    pub requests_read: bool,
    /// Runs on workers whose failure domain the planner does not know yet.
    pub unlocated_runs: u64,
    /// The evacuated domains, by name.
    pub domains: Vec<DomainStatus>,
}

/// State of one evacuated domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The domain.
    pub domain: DomainName,
    /// For how long it has been evacuated, in milliseconds.
    pub evacuated_ms: u64,
    /// Request, workers and runs.
    #[serde(flatten)]
    pub evacuation: DomainEvacuation,
    /// Whether power can be cut without loss of work.
    pub can_cut_power: bool,
    /// Why not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hindrance: Option<PowerHindrance>,
}

impl EvacuationStatus {
    /// Creates the response for a summary of this age.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::process::planning::evacuation_status::EvacuationStatus;
    /// use greengagearch::process::planning::evacuation_status::StatusSource;
    /// use greengagearch::workflow::evacuation_summary::DomainEvacuation;
    /// use greengagearch::workflow::evacuation_summary::EvacuationSummary;
    ///
    /// let mut summary = EvacuationSummary { requests_read: true, ..Default::default() };
    /// summary.domains.insert("a".into(), DomainEvacuation { workers: 8, ..Default::default() });
    /// let age = Duration::from_millis(400);
    /// let status = EvacuationStatus::new(StatusSource::Heartbeat, 3, age, &summary);
    /// assert_eq!((status.age_ms, status.domains[0].can_cut_power), (400, true));
    /// ```
    pub fn new(
        source: StatusSource,
        epoch: PlannerEpoch,
        age: Duration,
        summary: &EvacuationSummary,
    ) -> EvacuationStatus {
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let domains = summary.domains.iter().map(|(domain, evacuation)| {
            let hindrance = summary.power_hindrance(evacuation, age);
            let at_summary = summary.at_ms.saturating_sub(evacuation.since_ms);
            DomainStatus {
                domain: domain.clone(),
                evacuated_ms: at_summary.saturating_add(age_ms),
                evacuation: *evacuation,
                can_cut_power: hindrance.is_none(),
                hindrance,
            }
        });
        EvacuationStatus {
            source,
            epoch,
            age_ms,
            requests_read: summary.requests_read,
            unlocated_runs: summary.unlocated_runs,
            domains: domains.collect(),
        }
    }
}

/// Returns the evacuations as this process knows them; `None` while no planner has published any
/// state.
pub fn evacuation_status(shared: &PlannerShared) -> Option<EvacuationStatus> {
    let wall_ms = shared.clock.wall_millis();
    let epoch = shared.view().owner.as_ref().map_or(0, |owner| owner.epoch);
    if let Some(owned) = shared.owned().as_mut() {
        owned.planner.set_time(clock::now(), wall_ms);
        let age = clock::elapsed(owned.confirmed_at);
        let summary = owned.planner.evacuation_summary();
        return Some(EvacuationStatus::new(StatusSource::Planner, epoch, age, &summary));
    }
    let view = shared.view();
    let (summary, received_at) = (&view.heartbeat.evacuations, view.heartbeat_at?);
    if summary.at_ms == 0 {
        return None;
    }
    // A heartbeat that was old when it arrived shows its age by the wall clock; the time since it
    // arrived counts if the writer's clock is ahead of this one.
    let by_clock = Duration::from_millis(wall_ms.saturating_sub(summary.at_ms));
    let age = by_clock.max(clock::elapsed(received_at));
    let epoch = view.heartbeat.epoch;
    Some(EvacuationStatus::new(StatusSource::Heartbeat, epoch, age, summary))
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;
    use crate::platform::store_client::StoreClient;
    use crate::process::planning::rows::HeartbeatRow;
    use crate::process::planning::settings::PlannerSettings;

    const SETTINGS: &str = "[planner]\nid = p\ndomain = d\ncaller-listen = 127.0.0.1:0\n\
        ready-listen = 127.0.0.1:0\ninternal-listen = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n";

    fn process() -> PlannerShared {
        let settings = PlannerSettings::parse("planner.ini", SETTINGS).unwrap();
        let store = StoreClient::open(&settings.store);
        PlannerShared::new(settings, Arc::new(store), None)
    }

    fn receive(shared: &PlannerShared, at_ms: u64) -> Option<EvacuationStatus> {
        let evacuations = EvacuationSummary { at_ms, ..EvacuationSummary::default() };
        let mut view = shared.view();
        view.heartbeat = HeartbeatRow { epoch: 4, evacuations, ..HeartbeatRow::default() };
        view.heartbeat_at = Some(clock::now());
        drop(view);
        evacuation_status(shared)
    }

    /// Guards against an answer that nothing is evacuated from a process that does not know.
    #[test]
    fn a_process_without_a_heartbeat_knows_nothing() {
        let shared = process();
        assert_eq!(evacuation_status(&shared), None);
        assert_eq!(receive(&shared, 0), None, "the heartbeat of an earlier version");
    }

    /// Guards against a heartbeat of a planner that is long gone and taken for fresh by a process that has just
    /// read it, and against an age that underflows.
    #[test]
    fn the_age_counts_from_when_the_heartbeat_was_written() {
        let shared = process();
        let wall_ms = shared.clock.wall_millis();
        let status = receive(&shared, wall_ms - 60_000).unwrap();
        assert_eq!((status.source, status.epoch), (StatusSource::Heartbeat, 4));
        assert!((60_000..120_000).contains(&status.age_ms), "{status:?}");
        let status = receive(&shared, wall_ms + 3_600_000).unwrap();
        assert!(status.age_ms < 30_000, "{status:?}");
    }
}
