//! Summary of the evacuations in force, for operators: what still runs in each failure domain.
//!
//! The planner publishes it with its heartbeat, so it consists of counts only.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainName;
use crate::ids::RowVersion;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::worker_entry::WorkerEntry;

/// Maximum age of a summary by which power may be cut. It covers several heartbeats and a takeover
/// of planning; in an older summary the evacuation may have been taken back since.
pub const MAX_SUMMARY_AGE: Duration = Duration::from_secs(3);

/// When a request to evacuate a failure domain was first seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationStart {
    /// Version of the request.
    pub version: RowVersion,
    /// When a planner first read it, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// Numbers of runs by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// Runs of serving tasks.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub serving: u64,
    /// Runs of other tasks that run until their jobs are cancelled.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub long_running: u64,
    /// Runs of best-effort tasks.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub best_effort: u64,
    /// All other runs.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub batch: u64,
    /// Runs that workers show although they are not assigned to them. They are ordered to stop, and
    /// run until then.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unassigned: u64,
}

/// State of the evacuation of one failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainEvacuation {
    /// Version of the request.
    pub version: RowVersion,
    /// When a planner first read the request, in milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// Workers in the domain.
    pub workers: u64,
    /// Of these, workers whose agents have not reported recently. Their runs count until their
    /// leases have expired.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub silent_workers: u64,
    /// Of the workers, those that have reported run ends which are not stored yet.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unstored_workers: u64,
    /// Runs assigned to the workers or shown by them, including those that were ordered to stop.
    #[serde(flatten)]
    pub runs: RunCounts,
}

/// The evacuations in force and what still runs in their domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSummary {
    /// Wall-clock time of the summary in milliseconds since the Unix epoch; zero if no planner has
    /// made one.
    #[serde(default)]
    pub at_ms: u64,
    /// Whether the planner has recently read the requests of operators. If not, it starts nothing
    /// anywhere, and the domains are those that were requested before.
    #[serde(default)]
    pub requests_read: bool,
    /// Runs on workers whose failure domain is unknown, since they have not reported to this
    /// planner: each may be in any domain.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub unlocated_runs: u64,
    /// The evacuated domains.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub domains: BTreeMap<DomainName, DomainEvacuation>,
}

/// Why the power of an evacuated domain must not be cut yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PowerHindrance {
    /// The summary is older than [`MAX_SUMMARY_AGE`].
    SummaryOld,
    /// The planner has not read the requests recently, so they may have been taken back.
    RequestsNotRead,
    /// No worker of the domain is known: the name may be misspelled, or the workers may not have
    /// reported to a new planner yet.
    NoWorkers,
    /// Runs are left in the domain.
    RunsLeft,
    /// Runs on workers that have not reported may be in the domain.
    RunsUnlocated,
    /// Ends of runs in the domain are not stored yet. If the planner were lost as well, the tasks
    /// would run again.
    EndsUnstored,
}

impl PowerHindrance {
    /// Returns its name in responses.
    ///
    /// ```
    /// use greengagearch::workflow::evacuation_summary::PowerHindrance;
    ///
    /// assert_eq!(PowerHindrance::RunsLeft.as_str(), "runs_left");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            PowerHindrance::SummaryOld => "summary_old",
            PowerHindrance::RequestsNotRead => "requests_not_read",
            PowerHindrance::NoWorkers => "no_workers",
            PowerHindrance::RunsLeft => "runs_left",
            PowerHindrance::RunsUnlocated => "runs_unlocated",
            PowerHindrance::EndsUnstored => "ends_unstored",
        }
    }
}

impl RunCounts {
    /// Returns the number of runs of all kinds.
    ///
    /// ```
    /// use greengagearch::workflow::evacuation_summary::RunCounts;
    ///
    /// assert_eq!(RunCounts { serving: 2, batch: 3, ..RunCounts::default() }.total(), 5);
    /// ```
    pub fn total(&self) -> u64 {
        self.serving + self.long_running + self.best_effort + self.batch + self.unassigned
    }

    fn add(&mut self, run: &AssignedRun) {
        let count = match run {
            run if run.target_ms > 0 => &mut self.serving,
            run if run.long_running => &mut self.long_running,
            run if run.best_effort => &mut self.best_effort,
            _ => &mut self.batch,
        };
        *count += 1;
    }
}

impl DomainEvacuation {
    fn add(&mut self, worker: &WorkerEntry, acked_end: u64, now: Instant) {
        self.workers += 1;
        self.unstored_workers += u64::from(worker.reported_end > acked_end);
        self.silent_workers += u64::from(worker.is_silent(now));
        worker.assigned.values().for_each(|run| self.runs.add(run));
        self.runs.unassigned += worker.unknown_runs.len() as u64;
    }
}

impl EvacuationSummary {
    /// Counts the workers and runs of the evacuated domains. With each worker comes the number of
    /// its last run end that is stored.
    pub(crate) fn count<'a>(
        starts: &BTreeMap<DomainName, EvacuationStart>,
        workers: impl Iterator<Item = (&'a WorkerEntry, u64)>,
        now: Instant,
    ) -> EvacuationSummary {
        let open = |(domain, start): (&DomainName, &EvacuationStart)| {
            let EvacuationStart { version, since_ms } = *start;
            (domain.clone(), DomainEvacuation { version, since_ms, ..DomainEvacuation::default() })
        };
        let mut domains: BTreeMap<DomainName, DomainEvacuation> = starts.iter().map(open).collect();
        let mut unlocated_runs = 0;
        for (worker, acked_end) in workers {
            match &worker.status {
                None => unlocated_runs += worker.assigned.len() as u64,
                Some(status) => {
                    if let Some(domain) = domains.get_mut(&status.domain) {
                        domain.add(worker, acked_end, now);
                    }
                }
            }
        }
        EvacuationSummary { unlocated_runs, domains, ..EvacuationSummary::default() }
    }

    /// Returns why the power of an evacuated domain must not be cut yet, given the age of the
    /// summary; `None` if cutting it loses no work.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::workflow::evacuation_summary::DomainEvacuation;
    /// use greengagearch::workflow::evacuation_summary::EvacuationSummary;
    /// use greengagearch::workflow::evacuation_summary::PowerHindrance;
    ///
    /// let empty = DomainEvacuation { workers: 8, ..DomainEvacuation::default() };
    /// let summary = EvacuationSummary { requests_read: true, ..EvacuationSummary::default() };
    /// assert_eq!(summary.power_hindrance(&empty, Duration::ZERO), None);
    /// let age = Duration::from_secs(60);
    /// assert_eq!(summary.power_hindrance(&empty, age), Some(PowerHindrance::SummaryOld));
    /// ```
    pub fn power_hindrance(
        &self,
        domain: &DomainEvacuation,
        age: Duration,
    ) -> Option<PowerHindrance> {
        if age > MAX_SUMMARY_AGE {
            Some(PowerHindrance::SummaryOld)
        } else if !self.requests_read {
            Some(PowerHindrance::RequestsNotRead)
        } else if domain.workers == 0 {
            Some(PowerHindrance::NoWorkers)
        } else if domain.runs.total() > 0 {
            Some(PowerHindrance::RunsLeft)
        } else if self.unlocated_runs > 0 {
            Some(PowerHindrance::RunsUnlocated)
        } else if domain.unstored_workers > 0 {
            Some(PowerHindrance::EndsUnstored)
        } else {
            None
        }
    }
}

fn is_zero(count: &u64) -> bool {
    *count == 0
}

#[cfg(test)]
mod tests {
    use super::*;

    use crate::connection::node_protocol::RunnerStatus;
    use crate::workflow::report_interval::MIN_REPORT_INTERVAL;
    use crate::workflow::report_interval::silence_timeout;
    use crate::workflow::spec::ResourceVector;
    use crate::workflow::spec::StepSpec;
    use crate::workflow::worker_inventory::WorkerInventory;

    fn locate(inventory: &mut WorkerInventory, instance: &str, domain: &str, at: Instant) {
        let worker = inventory.entry(instance, at);
        worker.last_contact = Some(at);
        worker.status = Some(RunnerStatus {
            instance: instance.to_string(),
            service: "s".to_string(),
            domain: domain.to_string(),
            capacity: ResourceVector::default(),
            labels: Vec::new(),
            draining: false,
        });
    }

    fn assign(inventory: &mut WorkerInventory, instance: &str, task: &str, step: &StepSpec) {
        let now = Instant::now();
        inventory.assign(instance, (task.parse().unwrap(), 1), step, now, now);
    }

    fn starts(domains: &[&str]) -> BTreeMap<DomainName, EvacuationStart> {
        let start = EvacuationStart { version: 7, since_ms: 1_000 };
        domains.iter().map(|domain| (domain.to_string(), start)).collect()
    }

    fn summary_of(inventory: &WorkerInventory, now: Instant) -> EvacuationSummary {
        let workers = inventory.iter().map(|(_, worker)| (worker, 0));
        EvacuationSummary {
            requests_read: true,
            ..EvacuationSummary::count(&starts(&["a"]), workers, now)
        }
    }

    /// Guards against runs that are counted under two kinds, or in a domain that is not evacuated.
    #[test]
    fn each_run_of_the_domain_is_counted_under_one_kind() {
        let now = Instant::now();
        let mut inventory = WorkerInventory::default();
        locate(&mut inventory, "i-1", "a", now);
        locate(&mut inventory, "i-2", "b", now);
        let serving = StepSpec { target_ms: 50, long_running: true, ..StepSpec::default() };
        let lasting = StepSpec { long_running: true, ..StepSpec::default() };
        let best_effort = StepSpec { best_effort: true, ..StepSpec::default() };
        for (number, step) in
            [&serving, &lasting, &best_effort, &StepSpec::default()].into_iter().enumerate()
        {
            assign(&mut inventory, "i-1", &format!("j.0.{number}.0"), step);
            assign(&mut inventory, "i-2", &format!("k.0.{number}.0"), step);
        }
        let summary = summary_of(&inventory, now);
        let domain = summary.domains["a"];
        let runs =
            RunCounts { serving: 1, long_running: 1, best_effort: 1, batch: 1, unassigned: 0 };
        assert_eq!((domain.workers, domain.silent_workers, domain.runs), (1, 0, runs));
        assert_eq!((domain.version, domain.since_ms), (7, 1_000));
        assert_eq!(summary.domains.len(), 1);
    }

    /// Guards against power that is cut while a new planner does not know where runs are.
    #[test]
    fn a_run_on_a_worker_that_has_not_reported_keeps_the_power_on() {
        let now = Instant::now();
        let mut inventory = WorkerInventory::default();
        locate(&mut inventory, "i-1", "a", now);
        assign(&mut inventory, "i-2", "j.0.0.0", &StepSpec::default());
        let summary = summary_of(&inventory, now);
        let hindrance = summary.power_hindrance(&summary.domains["a"], Duration::ZERO);
        assert_eq!(hindrance, Some(PowerHindrance::RunsUnlocated));
        locate(&mut inventory, "i-2", "b", now);
        let summary = summary_of(&inventory, now);
        assert_eq!(summary.power_hindrance(&summary.domains["a"], Duration::ZERO), None);
        locate(&mut inventory, "i-2", "a", now);
        let summary = summary_of(&inventory, now);
        let hindrance = summary.power_hindrance(&summary.domains["a"], Duration::ZERO);
        assert_eq!(hindrance, Some(PowerHindrance::RunsLeft));
    }

    /// Guards against power that is cut by a summary that says nothing about the domain.
    #[test]
    fn an_unknown_domain_an_old_summary_and_unread_requests_keep_the_power_on() {
        let now = Instant::now();
        let mut inventory = WorkerInventory::default();
        let summary = summary_of(&inventory, now);
        let hindrance = summary.power_hindrance(&summary.domains["a"], Duration::ZERO);
        assert_eq!(hindrance, Some(PowerHindrance::NoWorkers));
        locate(&mut inventory, "i-1", "a", now);
        let mut summary = summary_of(&inventory, now);
        let domain = summary.domains["a"];
        assert_eq!(summary.power_hindrance(&domain, MAX_SUMMARY_AGE), None);
        let too_old = MAX_SUMMARY_AGE + Duration::from_millis(1);
        let hindrance = summary.power_hindrance(&domain, too_old);
        assert_eq!(hindrance, Some(PowerHindrance::SummaryOld));
        summary.requests_read = false;
        let hindrance = summary.power_hindrance(&domain, Duration::ZERO);
        assert_eq!(hindrance, Some(PowerHindrance::RequestsNotRead));
    }

    /// Guards against a worker that is taken for current although nothing is heard of it.
    #[test]
    fn a_worker_whose_agent_is_silent_is_counted_as_such() {
        let now = Instant::now();
        let mut inventory = WorkerInventory::default();
        locate(&mut inventory, "i-1", "a", now);
        let domain =
            summary_of(&inventory, now + silence_timeout(MIN_REPORT_INTERVAL)).domains["a"];
        assert_eq!((domain.workers, domain.silent_workers), (1, 1));
    }

    /// Guards against a heartbeat that grows with the fleet or that an older process cannot read.
    #[test]
    fn the_encoding_is_small_and_reads_what_is_missing_as_nothing() {
        let domain = DomainEvacuation {
            version: u64::MAX,
            since_ms: 1_800_000_000_000,
            workers: 870,
            silent_workers: 870,
            unstored_workers: 870,
            runs: RunCounts {
                serving: 999,
                long_running: 999,
                best_effort: 9_999,
                batch: 9_999,
                unassigned: 999,
            },
        };
        let summary = EvacuationSummary {
            at_ms: 1_800_000_000_000,
            requests_read: true,
            unlocated_runs: 20_000,
            domains: [("wien-a".to_string(), domain)].into_iter().collect(),
        };
        let text = serde_json::to_string(&summary).unwrap();
        assert!(text.len() < 300, "{} bytes: {text}", text.len());
        assert_eq!(serde_json::from_str::<EvacuationSummary>(&text).unwrap(), summary);
        let idle = EvacuationSummary { domains: BTreeMap::new(), unlocated_runs: 0, ..summary };
        let text = serde_json::to_string(&idle).unwrap();
        assert!(text.len() < 60, "{} bytes: {text}", text.len());
        let empty: EvacuationSummary = serde_json::from_str("{}").unwrap();
        assert_eq!(empty, EvacuationSummary::default());
    }
}
