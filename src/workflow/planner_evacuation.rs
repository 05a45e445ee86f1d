//! Evacuations: failure domains whose workers get no new runs until their operator takes the
//! request back.
//!
//! Runs that have started there run on to their end. Long-running tasks have none, so they move to
//! free resources of other domains, one task of a step at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::DomainName;
use crate::ids::InstanceId;
use crate::ids::ServiceName;
use crate::version::evacuation::EvacuationChange;
use crate::version::evacuation::EvacuationSet;
use crate::workflow::evacuation_summary::EvacuationStart;
use crate::workflow::evacuation_summary::EvacuationSummary;
use crate::workflow::plan_decision::MoveReason;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner::Planner;
use crate::workflow::worker_inventory::RunKey;

/// The evacuations that a planner knows, and how long it may rely on them.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownEvacuations {
    pub(crate) requested: EvacuationSet,
    /// Until when no other evacuation is missed for too long; `None` for a planner without
    /// operators.
    valid_until: Option<Instant>,
    /// Requested domains without any worker, each of which is logged once.
    unknown: BTreeSet<DomainName>,
    /// When each request was first seen. Until the first read of the requests these are the ones
    /// that an earlier planner has published.
    starts: BTreeMap<DomainName, EvacuationStart>,
}

impl KnownEvacuations {
    /// Records the start of new requests, and forgets those that are no longer in force.
    fn record_starts(&mut self, wall_ms: u64) {
        let requested = &self.requested;
        self.starts.retain(|domain, start| requested.version(domain) == Some(start.version));
        for (domain, version) in requested.iter() {
            let start = EvacuationStart { version, since_ms: wall_ms };
            self.starts.entry(domain.clone()).or_insert(start);
        }
    }
}

impl Planner {
    /// Records the evacuations in force. Starts are decided and ordered until `valid_until`; by
    /// then the requests have to be read again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut planner = greengagearch::workflow::planner::Planner::new(now);
    /// planner.on_evacuations(Default::default(), now + Duration::from_secs(2));
    /// ```
    pub fn on_evacuations(&mut self, requested: EvacuationSet, valid_until: Instant) {
        self.evacuations.valid_until = Some(valid_until);
        let changes = requested.changes_since(&self.evacuations.requested);
        if !changes.is_empty() {
            self.evacuations.requested = requested;
            self.mark_evacuated_workers();
            let decisions = changes.into_iter().map(|change| self.evacuation_decision(change));
            let decisions: Vec<PlanDecision> = decisions.collect();
            self.decisions.extend(decisions);
        }
        self.evacuations.record_starts(self.wall_ms);
        self.log_unknown_domains();
    }

    /// Holds back all starts until the requests have been read, and takes over from the summary
    /// that an earlier planner has published since when domains have been evacuated. Until the read
    /// the summary of this planner names the same domains.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::evacuation_summary::DomainEvacuation;
    /// use greengagearch::workflow::evacuation_summary::EvacuationSummary;
    ///
    /// let mut published = EvacuationSummary::default();
    /// published.domains.insert("wien-a".to_string(), DomainEvacuation::default());
    /// let now = Instant::now();
    /// let mut planner = greengagearch::workflow::planner::Planner::new(now);
    /// planner.restore_evacuations(&published, now);
    /// assert!(planner.evacuation_summary().domains.contains_key("wien-a"));
    /// ```
    pub fn restore_evacuations(&mut self, published: &EvacuationSummary, now: Instant) {
        self.on_evacuations(EvacuationSet::default(), now);
        for (domain, evacuation) in &published.domains {
            let start =
                EvacuationStart { version: evacuation.version, since_ms: evacuation.since_ms };
            self.evacuations.starts.insert(domain.clone(), start);
        }
    }

    /// Summarizes the evacuations in force and what still runs in their domains.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.evacuation_summary().domains.is_empty());
    /// ```
    pub fn evacuation_summary(&self) -> EvacuationSummary {
        let workers =
            self.inventory.iter().map(|(instance, worker)| (worker, self.last_acked_end(instance)));
        EvacuationSummary {
            at_ms: self.wall_ms,
            requests_read: self.may_start(),
            ..EvacuationSummary::count(&self.evacuations.starts, workers, self.now)
        }
    }

    /// Returns the services that no worker may run tasks for, because all of their failure domains
    /// are being evacuated.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.evacuated_services().is_empty());
    /// ```
    pub fn evacuated_services(&self) -> BTreeSet<ServiceName> {
        let mut services: BTreeMap<&ServiceName, bool> = BTreeMap::new();
        for (_, worker) in self.inventory.iter() {
            if let Some(status) = &worker.status {
                *services.entry(&status.service).or_insert(true) &= worker.is_evacuated;
            }
        }
        let evacuated = services.into_iter().filter(|(_, is_evacuated)| *is_evacuated);
        evacuated.map(|(service, _)| service.clone()).collect()
    }

    /// Whether the known evacuations are recent enough for starts.
    pub(crate) fn may_start(&self) -> bool {
        self.evacuations.valid_until.is_none_or(|until| self.now < until)
    }

    /// Stops a run whose start order was decided before the evacuation and has not been sent. An
    /// earlier planner may have sent it, so the worker has to confirm the stop. The members of a
    /// gang start together or not at all.
    pub(crate) fn withdraw_start(&mut self, instance: &str, key: &RunKey) {
        self.decisions.push(PlanDecision::StartWithdrawn {
            task: key.0.clone(),
            run: key.1,
            worker: instance.to_string(),
        });
        self.stop_run(instance, key.clone());
        let step = self.jobs.get(&key.0.job).and_then(|entry| entry.step(&key.0));
        if step.is_some_and(|step| step.gang) {
            self.stop_remaining_runs(&key.0, true);
        }
    }

    fn mark_evacuated_workers(&mut self) {
        let requested = &self.evacuations.requested;
        for worker in self.inventory.values_mut() {
            let domain = worker.status.as_ref().map(|status| status.domain.as_str());
            worker.is_evacuated = domain.is_some_and(|domain| requested.contains(domain));
        }
    }

    fn evacuation_decision(&self, change: EvacuationChange) -> PlanDecision {
        match change {
            EvacuationChange::Started { domain, version } => {
                let (workers, runs) = self.workers_and_runs(&domain);
                PlanDecision::EvacuationStarted { domain, version, workers, runs }
            }
            EvacuationChange::Ended { domain, version } => {
                let (_, runs) = self.workers_and_runs(&domain);
                PlanDecision::EvacuationEnded { domain, version, runs }
            }
        }
    }

    /// Numbers of workers in a failure domain and of runs assigned to them.
    fn workers_and_runs(&self, domain: &str) -> (usize, usize) {
        let workers = self.inventory.iter().map(|(_, worker)| worker);
        let inside = workers
            .filter(|worker| worker.status.as_ref().is_some_and(|status| status.domain == domain));
        inside.fold((0, 0), |(workers, runs), worker| (workers + 1, runs + worker.assigned.len()))
    }

    /// Logs requested domains in which there are no workers once any worker is known: the name may
    /// be misspelled.
    fn log_unknown_domains(&mut self) {
        let domains: BTreeSet<&DomainName> = self
            .inventory
            .iter()
            .filter_map(|(_, worker)| worker.status.as_ref().map(|status| &status.domain))
            .collect();
        if domains.is_empty() {
            return;
        }
        let requested = self.evacuations.requested.iter();
        let unknown: BTreeMap<DomainName, u64> = requested
            .filter(|(domain, _)| !domains.contains(domain))
            .map(|(domain, version)| (domain.clone(), version))
            .collect();
        for (domain, version) in &unknown {
            if !self.evacuations.unknown.contains(domain) {
                let (domain, version) = (domain.clone(), *version);
                self.decisions.push(PlanDecision::EvacuationUnknown { domain, version });
            }
        }
        self.evacuations.unknown = unknown.into_keys().collect();
    }

    /// Moves long-running tasks out of evacuated domains while all tasks of their steps work, those
    /// that serve first.
    pub(crate) fn leave_evacuated(&mut self) {
        if self.evacuations.requested.iter().next().is_none() {
            return;
        }
        let mut runs: Vec<(bool, InstanceId, RunKey)> = Vec::new();
        for (instance, worker) in self.inventory.iter().filter(|(_, worker)| worker.is_evacuated) {
            for (key, run) in &worker.assigned {
                if run.long_running && !run.stopping && self.is_step_working(&key.0) {
                    runs.push((run.target_ms == 0, instance.clone(), key.clone()));
                }
            }
        }
        runs.sort();
        // At most one task of a step, which is not working completely from then on.
        let mut steps = BTreeSet::new();
        runs.retain(|(_, _, key)| steps.insert(key.0.step_key()));
        let runs = runs.into_iter().map(|(_, instance, key)| (instance, key)).collect();
        self.move_runs(runs, MoveReason::Evacuated);
    }
}
