//! State of the planner, which tracks all jobs and workers and decides which tasks start and stop
//! where.
//!
//! Serving tasks have a tail-latency target; best-effort tasks use the processor time that other
//! tasks leave free. Events arrive through the `on_*` methods, and [`Planner::plan`] assigns tasks
//! to workers. Rows to be stored are taken with [`Planner::take_batch`]; the start orders of a
//! batch are released only by [`Planner::on_committed`]. The store therefore knows each run before
//! it starts, and a worker may discard the end of a run only after the store holds it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::connection::node_protocol::NodeOrder;
use crate::connection::node_protocol::OrderLease;
use crate::connection::node_protocol::StartOrder;
use crate::ids::InstanceId;
use crate::ids::JobId;
use crate::process::suspicion::WorkerSuspicion;
use crate::workflow::admission::admission_control::AdmissionControl;
use crate::workflow::advice_cache::AdviceCache;
use crate::workflow::advice_cache::AdviceQuery;
use crate::workflow::assigned_run::OrderDelivery;
use crate::workflow::changed_jobs::ChangedJobs;
use crate::workflow::job_knowledge::JobKnowledge;
use crate::workflow::job_precedence::JobPrecedence;
use crate::workflow::pair_interference::PairInterferenceModel;
use crate::workflow::plan_decision::EndCause;
use crate::workflow::plan_decision::LossReason;
use crate::workflow::plan_decision::PlanDecision;
use crate::workflow::planner_consolidation::ConsolidationState;
use crate::workflow::planner_evacuation::KnownEvacuations;
use crate::workflow::planner_jobs::EndedJob;
use crate::workflow::planner_jobs::JobEntry;
use crate::workflow::planner_rounds::PlanRound;
use crate::workflow::planner_shares::FairShareState;
use crate::workflow::progress::RunEnd;
use crate::workflow::report_interval::MIN_REPORT_INTERVAL;
use crate::workflow::report_interval::report_interval;
use crate::workflow::start_doubts::StartDoubts;
use crate::workflow::task_name::TaskName;
use crate::workflow::task_suspicion::TaskSuspicion;
use crate::workflow::worker_inventory::RunKey;
use crate::workflow::worker_inventory::WorkerInventory;
use crate::workflow::worker_speed::FleetSpeed;

/// An order and the runner instance that it is addressed to.
pub type AddressedOrder = (InstanceId, NodeOrder);

/// All jobs and workers, and the orders, decisions and queries that wait to be taken.
#[derive(Clone, Debug)]
pub struct Planner {
    /// Current time, set by [`Planner::set_time`].
    pub(crate) now: Instant,
    /// Wall-clock time at `now`, in milliseconds since the Unix epoch.
    pub(crate) wall_ms: u64,
    pub(crate) last_order_number: u64,
    pub(crate) jobs: BTreeMap<JobId, JobEntry>,
    pub(crate) ended_jobs: BTreeMap<JobId, EndedJob>,
    pub(crate) inventory: WorkerInventory,
    /// Tasks of which a worker showed an unknown run when the current planning round began.
    pub(crate) unknown_tasks: HashSet<TaskName>,
    pub(crate) suspicion: WorkerSuspicion,
    pub(crate) task_suspicion: TaskSuspicion,
    pub(crate) start_doubts: StartDoubts,
    pub(crate) interference: PairInterferenceModel,
    pub(crate) advice: AdviceCache,
    pub(crate) advice_queries: Vec<AdviceQuery>,
    pub(crate) changed_jobs: ChangedJobs,
    pub(crate) pending_starts: BTreeMap<JobId, Vec<(InstanceId, RunKey)>>,
    pub(crate) pending_acks: BTreeMap<InstanceId, u64>,
    pub(crate) outbox: Vec<AddressedOrder>,
    pub(crate) decisions: Vec<PlanDecision>,
    pub(crate) consolidation: ConsolidationState,
    pub(crate) acked_ends: BTreeMap<InstanceId, u64>,
    pub(crate) evacuations: KnownEvacuations,
    /// What is known of jobs; `None` if starts after a cancel are not limited.
    pub(crate) job_knowledge: Option<JobKnowledge>,
    /// Jobs whose rows have to be confirmed before starts of them that are queued are sent.
    pub(crate) unconfirmed_jobs: BTreeSet<JobId>,
    pub(crate) precedence: JobPrecedence,
    pub(crate) admission: AdmissionControl,
    pub(crate) fair_share: FairShareState,
    /// Learned speeds of the workers; `None` if they are not learned.
    pub(crate) speeds: Option<FleetSpeed>,
    /// Time between two reports of an agent without events.
    pub(crate) report_interval: Duration,
    /// The planning round that is not complete yet.
    pub(crate) round: Option<PlanRound>,
    /// Time by which all leases granted by earlier planners have expired.
    pub(crate) inherited_lease_end: Instant,
}

impl Planner {
    /// Creates a planner that takes over from an earlier one, whose leases have expired by
    /// `inherited_lease_end`.
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
            last_order_number: 0,
            jobs: BTreeMap::new(),
            ended_jobs: BTreeMap::new(),
            inventory: WorkerInventory::default(),
            unknown_tasks: HashSet::new(),
            suspicion: WorkerSuspicion::default(),
            task_suspicion: TaskSuspicion::default(),
            start_doubts: StartDoubts::default(),
            interference: PairInterferenceModel::default(),
            advice: AdviceCache::default(),
            advice_queries: Vec::new(),
            changed_jobs: ChangedJobs::default(),
            pending_starts: BTreeMap::new(),
            pending_acks: BTreeMap::new(),
            outbox: Vec::new(),
            decisions: Vec::new(),
            consolidation: ConsolidationState::default(),
            acked_ends: BTreeMap::new(),
            evacuations: KnownEvacuations::default(),
            job_knowledge: None,
            unconfirmed_jobs: BTreeSet::new(),
            precedence: JobPrecedence::default(),
            admission: AdmissionControl::default(),
            fair_share: FairShareState::default(),
            speeds: None,
            report_interval: MIN_REPORT_INTERVAL,
            round: None,
            inherited_lease_end,
        }
    }

    /// Sets the current time and the wall-clock time that the next calls use.
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

    /// Records that the leases on a worker were extended by `granted`, which ends at `granted_until`
    /// on the planner's clock, and may last until `expired_by`. Starts that are ordered from now on
    /// are valid until the end of `granted`.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::connection::node_protocol::OrderLease;
    ///
    /// let now = Instant::now();
    /// let mut planner = greengagearch::workflow::planner::Planner::new(now);
    /// planner.on_grant("i-1", now, (OrderLease::default(), now));
    /// ```
    pub fn on_grant(
        &mut self,
        instance: &str,
        expired_by: Instant,
        (granted, granted_until): (OrderLease, Instant),
    ) {
        let worker = self.inventory.entry(instance, self.inherited_lease_end);
        worker.lease_end = worker.lease_end.max(expired_by);
        worker.granted = granted;
        worker.granted_until = granted_until;
    }

    /// Opens the occurrences that are due, gives up the runs of silent workers, and moves tasks
    /// that are throttled, on draining or slow workers, in evacuated domains, or to be consolidated.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// planner.on_tick();
    /// ```
    pub fn on_tick(&mut self) {
        let (now, wall_ms) = (self.now, self.wall_ms);
        let reporting = self.inventory.iter().filter(|(_, worker)| !worker.is_silent(now));
        self.report_interval = report_interval(reporting.count());
        for instance in self.inventory.expired(now) {
            self.give_up_settled_runs(&instance, &[], LossReason::LeasesExpired);
        }
        self.record_best_effort_usage();
        self.move_throttled();
        self.leave_draining();
        self.leave_evacuated();
        self.leave_slow_workers();
        self.consolidate();
        self.reclaim_shares();
        for entry in self.jobs.values_mut() {
            entry.remaining_work = None;
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

    /// Returns the time between two reports of an agent without events.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    ///
    /// let planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.report_interval(), Duration::from_millis(400));
    /// ```
    pub fn report_interval(&self) -> Duration {
        self.report_interval
    }

    /// Returns the decisions made since the last call, for the log.
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

    /// Returns the queries for the advice service; each has to be answered by
    /// [`Planner::on_advice`].
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert!(planner.take_advice_queries().is_empty());
    /// ```
    pub fn take_advice_queries(&mut self) -> Vec<AdviceQuery> {
        std::mem::take(&mut self.advice_queries)
    }

    /// Records a response of the advice service, see [`AdviceCache::on_answer`].
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

    /// Assigns the next number to an order message for a worker and records it with the runs that
    /// the message starts, or stops before their start was sent. Returns `None` for an unknown
    /// worker.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut planner = greengagearch::workflow::planner::Planner::new(Instant::now());
    /// assert_eq!(planner.assign_order_number("i-1", &[]), None);
    /// ```
    pub fn assign_order_number(&mut self, instance: &str, orders: &[NodeOrder]) -> Option<u64> {
        let worker = self.inventory.get_mut(instance)?;
        // The numbers rise over all workers, since an agent compares them across the instances of
        // its runner.
        self.last_order_number += 1;
        let number = self.last_order_number;
        for order in orders {
            let (key, is_start) = match order {
                NodeOrder::Start(start) => ((start.traits.task.clone(), start.run), true),
                NodeOrder::Stop(task, run) => ((task.clone(), *run), false),
                NodeOrder::Describe(_) => continue,
            };
            if let Some(run) = worker.assigned.get_mut(&key)
                && (is_start || run.delivery == OrderDelivery::Queued)
            {
                run.delivery = OrderDelivery::Sent(number);
            }
        }
        Some(number)
    }

    /// Orders a run to stop. A run whose start order has not been sent is withdrawn instead.
    pub(crate) fn stop_run(&mut self, instance: &str, key: RunKey) {
        let Some(worker) = self.inventory.get_mut(instance) else {
            return;
        };
        let Some(run) = worker.assigned.get_mut(&key) else {
            return;
        };
        if run.delivery != OrderDelivery::Uncommitted {
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
            self.changed_jobs.insert(key.0.job);
        }
    }

    /// Builds the order that starts a run. Its lease is set when it is sent.
    pub(crate) fn start_order(&self, instance: &str, key: &RunKey) -> Option<StartOrder> {
        let entry = self.jobs.get(&key.0.job)?;
        let step = entry.step(&key.0)?;
        Some(StartOrder {
            run: key.1,
            payload: entry.spec.payload.clone(),
            checkpoint: entry.progress.checkpoint(&key.0, step)?.to_string(),
            ticket: self.advice.ticket(&key.0.step_key(), instance, self.now).map(str::to_string),
            lease: OrderLease::default(),
            traits: self.task_traits(&key.0)?,
            is_repeat: false,
        })
    }

    /// Gives up the runs of a lost runner instance except the `unsettled` ones, which the
    /// successor instance may have started or may still start, and the retained ones. Those stay
    /// assigned until the successor reports its runs or the leases expire.
    pub(crate) fn give_up_settled_runs(
        &mut self,
        instance: &str,
        unsettled: &[RunKey],
        reason: LossReason,
    ) {
        let Some(worker) = self.inventory.get(instance) else {
            return;
        };
        let is_retained = |key: &RunKey| match reason {
            LossReason::InstanceEnded => unsettled.contains(key) || self.is_retained(key),
            LossReason::LeasesExpired => self.is_retained(key) || self.may_be_active(key),
        };
        let (retained, lost): (Vec<RunKey>, Vec<RunKey>) =
            worker.assigned.keys().cloned().partition(is_retained);
        if !worker.has_ended || !lost.is_empty() {
            let silence = worker.last_contact.map(|at| self.now.saturating_duration_since(at));
            self.decisions.push(PlanDecision::WorkerLost {
                worker: instance.to_string(),
                runs: lost.len(),
                reason,
                silent_ms: silence.map(|span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX)),
            });
        }
        let given_up = self.on_unexplained_loss(instance);
        for key in lost {
            self.end_run(instance, &key, (RunEnd::Lost, EndCause::WorkerLost(reason)), "");
        }
        if retained.is_empty() {
            self.inventory.remove(instance);
        } else if let Some(worker) = self.inventory.get_mut(instance) {
            worker.has_ended = true;
            worker.status = None;
            worker.last_contact = None;
        }
        self.pending_acks.remove(instance);
        self.acked_ends.remove(instance);
        if let Some(task) = given_up {
            self.give_up_task(task, instance);
        }
    }
}
