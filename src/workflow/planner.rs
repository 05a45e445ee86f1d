//! The planner: keeps all jobs and workers, and decides what starts and stops where.
//!
//! Events come in through the `on_` functions; [`Planner::plan`] assigns tasks. What has to be stored
//! first is taken out with [`Planner::take_batch`], and only after [`Planner::on_committed`] do the starts
//! of the batch become orders. So whatever runs is known to the store, and no end is forgotten by a
//! worker before the store holds it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::StartOrder;
use crate::connection::node_protocol::TaskTraits;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::process::suspicion::WorkerSuspicion;
use crate::workflow::advice_book::AdviceBook;
use crate::workflow::advice_book::AdviceQuestion;
use crate::workflow::changed_jobs::ChangedJobs;
use crate::workflow::disturbance::DisturbanceModel;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner_batch::PlanBatch;
use crate::workflow::planner_consolidation::ConsolidationState;
use crate::workflow::planner_jobs::EndedJob;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::progress::RunEnd;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_suspicion::TaskSuspicion;
use crate::workflow::worker_inventory::RunKey;
use crate::workflow::worker_inventory::WorkerInventory;

/// An order and the life of the runner that it is for.
pub type AddressedOrder = (InstanceId, NodeOrder);

/// What the planner knows and has decided.
#[derive(Clone, Debug)]
pub struct Planner {
    /// The time at which the planner decides.
    pub(crate) now: Instant,
    /// The same on the wall clock, in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    pub(crate) last_order: u64,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) ended: BTreeMap<JobId, EndedJob>,
    pub(crate) inventory: WorkerInventory,
    pub(crate) suspicion: WorkerSuspicion,
    pub(crate) task_suspicion: TaskSuspicion,
    pub(crate) disturbance: DisturbanceModel,
    pub(crate) advice: AdviceBook,
    pub(crate) questions: Vec<AdviceQuestion>,
    pub(crate) dirty: ChangedJobs,
    pub(crate) held_starts: BTreeMap<JobId, Vec<(InstanceId, RunKey)>>,
    pub(crate) held_acks: BTreeMap<InstanceId, u64>,
    pub(crate) outbox: Vec<AddressedOrder>,
    pub(crate) decisions: Vec<PlanDecision>,
    pub(crate) consolidation: ConsolidationState,
    pub(crate) stored_ends: BTreeMap<InstanceId, u64>,
    /// When leases that earlier planners granted have surely expired.
    pub(crate) inherited_lease_end: Instant,
}

impl Planner {
    /// A planner that has taken over; leases of planners before it last until `inherited_lease_end` at most.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.pending().is_empty());
    /// ```
    pub fn new(inherited_lease_end: Instant) -> Planner {
        Planner {
            now: inherited_lease_end,
            wall_ms: 0,
            last_order: 0,
            jobs: BTreeMap::new(),
            ended: BTreeMap::new(),
            inventory: WorkerInventory::default(),
            suspicion: WorkerSuspicion::default(),
            task_suspicion: TaskSuspicion::default(),
            disturbance: DisturbanceModel::default(),
            advice: AdviceBook::default(),
            questions: Vec::new(),
            dirty: ChangedJobs::default(),
            held_starts: BTreeMap::new(),
            held_acks: BTreeMap::new(),
            outbox: Vec::new(),
            decisions: Vec::new(),
            consolidation: ConsolidationState::default(),
            stored_ends: BTreeMap::new(),
            inherited_lease_end,
        }
    }

    /// Sets the time at which the planner decides next.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// greengagearch::workflow::planner::Planner::new(now).set_time(now, 0);
    /// ```
    pub fn set_time(&mut self, now: Instant, wall_ms: u64) {
        self.now = now;
        self.wall_ms = wall_ms;
    }

    /// Takes note of an extension of the leases on a worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.on_grant("i-1", Instant::now());
    /// ```
    pub fn on_grant(&mut self, instance: &str, surely_expired: Instant) {
        let worker = self.inventory.entry(instance, self.inherited_lease_end);
        worker.lease_end = worker.lease_end.max(surely_expired);
    }

    /// Opens occurrences that are due, gives up what silent workers had, and moves tasks that are held up.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.on_tick();
    /// ```
    pub fn on_tick(&mut self) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        for instance in self.inventory.expired(now) {
            self.lose(&instance);
        }
        self.move_held_up();
        self.evacuate();
        self.consolidate();
        for entry in self.jobs.values_mut() {
            entry.outlook = None;
            let spec = &entry.spec;
            while entry.next_occurrence < spec.times
                && spec.due_ms(entry.next_occurrence) <= wall_ms
            {
                let counts: Vec<u32> = spec.steps.iter().map(|step| step.count).collect();
                entry.progress.open_occurrence(entry.next_occurrence, &counts);
                entry.next_occurrence += 1;
            }
        }
    }

    /// What was decided since the last call, for the log.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_decisions().is_empty());
    /// ```
    pub fn take_decisions(&mut self) -> Vec<PlanDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Questions that the advice service has to be asked; each needs an answer.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_questions().is_empty());
    /// ```
    pub fn take_questions(&mut self) -> Vec<AdviceQuestion> {
        std::mem::take(&mut self.questions)
    }

    /// Takes in an answer of the advice service, see [`AdviceBook::on_answer`].
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let now = Instant::now();
    /// greengagearch::workflow::planner::Planner::new(now).on_advice(None, now);
    /// ```
    pub fn on_advice(
        &mut self,
        answer: Option<(Vec<(InstanceId, String)>, Duration)>,
        asked_at: Instant,
    ) {
        self.advice.on_answer(answer, asked_at);
    }

    /// Orders that may leave now.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_orders().is_empty());
    /// ```
    pub fn take_orders(&mut self) -> Vec<AddressedOrder> {
        std::mem::take(&mut self.outbox)
    }

    /// Number of the last end of a worker that is stored, so that the worker may forget it.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.last_acked_end("i-1"), 0);
    /// ```
    pub fn last_acked_end(&self, instance: &str) -> u64 {
        self.stored_ends.get(instance).copied().unwrap_or(0)
    }

    /// Numbers an order for a worker and remembers which run it starts.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.assign_order_number("i-1", &[]), None);
    /// ```
    pub fn assign_order_number(&mut self, instance: &str, orders: &[NodeOrder]) -> Option<u64> {
        let worker = self.inventory.get_mut(instance)?;
        // Numbers rise over all workers: an agent counts them over the lives of its runner.
        self.last_order += 1;
        let number = self.last_order;
        for order in orders {
            if let NodeOrder::Start(start) = order {
                let key = (start.traits.task.clone(), start.run);
                if let Some(run) = worker.assigned.get_mut(&key) {
                    run.order = Some(number);
                }
            }
        }
        Some(number)
    }

    /// Takes a run off its worker and its job.
    pub(crate) fn end_run(&mut self, instance: &str, key: &RunKey, end: RunEnd, checkpoint: &str) {
        let released = self.inventory.release(instance, key, self.now);
        if let Some(run) = &released {
            let ran = self.now.saturating_duration_since(run.since);
            self.decisions.push(PlanDecision::RunEnded {
                task: key.0.clone(),
                run: key.1,
                worker: instance.to_string(),
                end,
                ran_ms: u64::try_from(ran.as_millis()).unwrap_or(u64::MAX),
            });
        }
        let seen = released.and_then(|run| run.seen).map(|seen| seen.checkpoint);
        let known = seen.unwrap_or_default();
        let checkpoint = if checkpoint.is_empty() { known.as_str() } else { checkpoint };
        let Some(entry) = self.jobs.get_mut(&key.0.job) else {
            return;
        };
        let step = entry.step(&key.0).cloned().unwrap_or_default();
        entry.last_run_ms = self.wall_ms;
        entry.outlook = None;
        if !entry.progress.on_end(&key.0, key.1, end, checkpoint, &step) {
            return;
        }
        self.dirty.insert(key.0.job.clone());
        let has_copies =
            || entry.progress.task(&key.0).is_some_and(|task| !task.attempts.is_empty());
        let stops_copies = step.speculative || step.gang || (!step.long_running && has_copies());
        if end == RunEnd::Done && stops_copies {
            self.stop_copies(&key.0, step.gang);
        }
        self.settle(&key.0.job);
    }

    /// Orders a run to stop; a run whose start has not left yet is just taken back.
    pub(crate) fn stop_run(&mut self, instance: &str, key: RunKey) {
        let Some(worker) = self.inventory.get_mut(instance) else {
            return;
        };
        let Some(run) = worker.assigned.get_mut(&key) else {
            return;
        };
        if run.order.is_some() {
            if !std::mem::replace(&mut run.stopping, true) {
                self.outbox.push((instance.to_string(), NodeOrder::Stop(key.0, key.1)));
            }
            return;
        }
        self.inventory.release(instance, &key, self.now);
        if let Some(entry) = self.jobs.get_mut(&key.0.job)
            && let Some(task) = entry.progress.task_mut(&key.0)
        {
            task.attempts.retain(|attempt| attempt.run != key.1);
            self.dirty.insert(key.0.job);
        }
    }

    pub(crate) fn traits(&self, name: &TaskName) -> Option<TaskTraits> {
        let step = self.jobs.get(&name.job)?.step(name)?;
        Some(TaskTraits {
            task: name.clone(),
            image: step.image.clone(),
            target_ms: step.target_ms,
            fills: step.fills,
            room: step.counted_room(),
            effects: if step.fills { self.disturbance.effects(&step.image) } else { Vec::new() },
            idle_tail_ms: self.disturbance.idle_tail_of(&step.image).round() as u32,
        })
    }

    /// The order that starts a run.
    pub(crate) fn start_order(&self, instance: &str, key: &RunKey) -> Option<StartOrder> {
        let entry = self.jobs.get(&key.0.job)?;
        let task = entry.progress.task(&key.0)?;
        Some(StartOrder {
            run: key.1,
            payload: entry.spec.payload.clone(),
            checkpoint: task.checkpoint.clone(),
            ticket: self.advice.ticket(&key.0.step_key(), instance, self.now).map(str::to_string),
            traits: self.traits(&key.0)?,
            is_repeat: false,
        })
    }

    /// Gives up everything on a life of a runner that has surely ended.
    pub(crate) fn lose(&mut self, instance: &str) {
        self.lose_settled(instance, &[]);
    }

    /// The same but for runs that the next life of the runner may have begun, or may yet: those keep their place until that life has
    /// shown what it runs, or the leases have expired.
    pub(crate) fn lose_settled(&mut self, instance: &str, unsettled: &[RunKey]) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let keys = worker.assigned.keys().cloned();
        let (kept, lost): (Vec<RunKey>, Vec<RunKey>) =
            keys.partition(|key| unsettled.contains(key));
        if !worker.is_over || !lost.is_empty() {
            let worker = instance.to_string();
            self.decisions.push(PlanDecision::WorkerLost { worker, runs: lost.len() });
        }
        let given_up = self.on_unexplained_loss(instance);
        for key in lost {
            self.end_run(instance, &key, RunEnd::Lost, "");
        }
        if kept.is_empty() {
            self.inventory.forget(instance);
        } else if let Some(worker) = self.inventory.get_mut(instance) {
            worker.is_over = true;
            worker.status = None;
            worker.last_contact = None;
        }
        self.held_acks.remove(instance);
        self.stored_ends.remove(instance);
        if let Some(task) = given_up {
            self.give_up(task, instance);
        }
    }

    /// The batch that has to be stored next, if there is anything.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_batch().is_none());
    /// ```
    pub fn take_batch(&mut self) -> Option<PlanBatch> {
        PlanBatch::take(self)
    }
}
