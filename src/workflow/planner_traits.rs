//! Traits of tasks, by which agents monitor runs and control their paces.

use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::ImageInterference;
use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::TaskTraits;
use crate::workflow::assigned_run::AssignedRun;
use crate::workflow::planner::Planner;
use crate::workflow::task_name::TaskName;
use crate::workflow::worker_inventory::RunKey;

/// Minimum time between two messages that update an agent on learned interference.
const MIN_TRAITS_INTERVAL: Duration = Duration::from_millis(500);
/// Change of an added load, in thousandths, that is sent to an agent: half of the agent's own
/// margin.
const MIN_SENT_CHANGE_PERMILLE: u32 = 30;

/// Returns whether the traits of a run differ enough from those sent before to be sent again.
fn has_changed(run: &AssignedRun, new: &TaskTraits) -> bool {
    let Some(sent) = &run.sent_traits else {
        return true;
    };
    let sent_effect = |serving: &str| sent.effects.iter().find(|effect| effect.serving == serving);
    let is_different = |effect: &ImageInterference| {
        sent_effect(&effect.serving).is_none_or(|old| {
            old.added_permille.abs_diff(effect.added_permille) >= MIN_SENT_CHANGE_PERMILLE
        })
    };
    sent.idle_tail_ms != new.idle_tail_ms
        || sent.yields != new.yields
        || new.effects.iter().any(is_different)
}

impl Planner {
    /// Returns the traits of a task of a known job.
    pub(crate) fn task_traits(&self, name: &TaskName) -> Option<TaskTraits> {
        let step = self.jobs.get(&name.job)?.step(name)?;
        Some(TaskTraits {
            task: name.clone(),
            image: step.image.clone(),
            target_ms: step.target_ms,
            best_effort: step.best_effort,
            resources: step.reserved_resources(),
            effects: if step.best_effort {
                self.interference.effects(&step.image)
            } else {
                Vec::new()
            },
            idle_tail_ms: self.interference.idle_tail_of_image(&step.image).round() as u32,
            yields: step.best_effort && self.precedence.yields(&name.job),
        })
    }

    /// Sends an agent the traits of all its runs, and repeats pending stop orders.
    pub(crate) fn send_all_traits(&mut self, instance: &str) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let reported = worker.assigned.iter().filter(|(_, run)| run.last_report.is_some());
        let traits: Vec<(RunKey, TaskTraits)> = reported
            .filter_map(|(key, _)| Some((key.clone(), self.task_traits(&key.0)?)))
            .collect();
        let stopping: Vec<RunKey> = worker
            .assigned
            .iter()
            .filter(|(_, run)| run.stopping)
            .map(|(key, _)| key.clone())
            .collect();
        self.send_traits(instance, traits);
        let stops = stopping.into_iter().map(|key| NodeOrder::Stop(key.0, key.1));
        self.outbox.extend(stops.map(|order| (instance.to_string(), order)));
        self.stop_obsolete_runs(instance);
    }

    /// Sends an agent the traits that have changed since they were sent last.
    pub(crate) fn send_changed_traits(&mut self, instance: &str) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let is_recent = |at: Instant| self.now.saturating_duration_since(at) < MIN_TRAITS_INTERVAL;
        if worker.traits_sent_at.is_some_and(is_recent) {
            return;
        }
        let reported = worker.assigned.iter().filter(|(_, run)| run.last_report.is_some());
        let relevant = reported.filter(|(_, run)| run.best_effort || run.target_ms > 0);
        let mut changed: Vec<(RunKey, TaskTraits)> = Vec::new();
        for (key, run) in relevant {
            if let Some(traits) = self.task_traits(&key.0).filter(|new| has_changed(run, new)) {
                changed.push((key.clone(), traits));
            }
        }
        if let Some(worker) = self.inventory.get_mut(instance) {
            worker.traits_sent_at = Some(self.now);
        }
        self.send_traits(instance, changed);
    }

    /// Sends traits of runs to an agent and records them.
    fn send_traits(&mut self, instance: &str, runs: Vec<(RunKey, TaskTraits)>) {
        let Some(worker) = self.inventory.get_mut(instance) else {
            return;
        };
        for (key, traits) in runs {
            if let Some(run) = worker.assigned.get_mut(&key) {
                run.sent_traits = Some(traits.clone());
            }
            self.outbox.push((instance.to_string(), NodeOrder::Describe(traits)));
        }
    }
}
