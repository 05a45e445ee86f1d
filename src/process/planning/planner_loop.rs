//! The planner's loop, which runs while this process owns planning.
//!
//! It feeds reports, jobs and time to the [`Planner`], stores its decisions, and sends its orders
//! to node agents. It ends when the ownership is lost or the process stops.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::MissedTickBehavior;

use crate::external::row_store::StoredRow;
use crate::external::row_store::read_partitions;
use crate::ids::InstanceId;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::agent_links::AgentContact;
use crate::process::planning::agent_links::MAX_FIRST_CONTACTS;
use crate::process::planning::decision_log::record_decision;
use crate::process::planning::evacuation_watch::EvacuationRead;
use crate::process::planning::evacuation_watch::EvacuationWatch;
use crate::process::planning::handover::HandoverOutcome;
use crate::process::planning::handover::handover_outcome;
use crate::process::planning::job_rows::apply_job_rows;
use crate::process::planning::node_link::LinkEvent;
use crate::process::planning::node_link::NodeLink;
use crate::process::planning::ownership::ConfirmedOwnership;
use crate::process::planning::planner_writes::INTERFERENCE_PERIOD;
use crate::process::planning::planner_writes::WriteTask;
use crate::process::planning::planner_writes::write_result;
use crate::process::planning::rows::IMAGES_KEY;
use crate::process::planning::rows::JOB_TABLE;
use crate::process::planning::rows::JobLayout;
use crate::process::planning::rows::LEARNED_TABLE;
use crate::process::planning::rows::NODE_TABLE;
use crate::process::planning::rows::PARTITION;
use crate::process::planning::rows::PROGRESS_TABLE;
use crate::process::planning::rows::agent_partitions;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::job_records;
use crate::process::planning::shared::OwnedPlanner;
use crate::process::planning::shared::PlannerShared;
use crate::process::planning::table_feed::FeedRead;
use crate::process::planning::table_feed::TableFeed;
use crate::workflow::grant::predecessor_leases_expired_by;
use crate::workflow::learned_interference::LearnedInterference;
use crate::workflow::planner::Planner;
use crate::workflow::search_budget::SearchBudget;

/// Time between two ticks, at which the planner handles time-dependent work such as expired runner
/// instances, task moves and due jobs.
const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Minimum pause between two slices of placement searches, as a multiple of the duration of the last
/// one. With thousands of waiting tasks, reports arrive faster than searches end; without the pause,
/// heartbeats and orders would be delayed.
const PLAN_PAUSE_FACTOR: u32 = 3;
/// Delay before a failed read of a table at a takeover is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay before the planner may query the advice service again after a failed query.
const ADVICE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of events of links that are handled before the loop looks at its other inputs.
const MAX_EVENTS_PER_STEP: usize = 64;

/// The planner's loop and its state.
pub struct PlannerLoop {
    pub(super) shared: Arc<PlannerShared>,
    pub(super) ownership: ConfirmedOwnership,
    /// Links to node agents, by address.
    pub(super) links: BTreeMap<String, NodeLink>,
    /// Node agent of each runner instance.
    pub(super) agent_contacts: BTreeMap<InstanceId, AgentContact>,
    /// Runner instances that run at one agent but were reported by another, as its own or as ended,
    /// each with the address of the reporting agent. Each pair is logged once.
    pub(super) disputed_instances: BTreeSet<(InstanceId, String)>,
    /// Sender for the events of the links; each link has a clone.
    pub(super) event_sender: mpsc::UnboundedSender<LinkEvent>,
    /// Limits the number of agents that are contacted for the first time at once.
    pub(super) first_contacts: Arc<Semaphore>,
    /// Agents that were found at the takeover and have not been contacted yet; `None` until they
    /// are read.
    pub(super) uncontacted: Option<BTreeSet<String>>,
    /// The write in flight, if there is one.
    pub(super) write: Option<WriteTask>,
    /// The attempt to release the ownership through another process, if there is one.
    pub(super) handover: Option<JoinHandle<HandoverOutcome>>,
    /// Earliest time of the next such attempt.
    pub(super) handover_due: Instant,
    pub(super) heartbeat_due: Instant,
    pub(super) interference_due: Instant,
    /// Learned interference as last written.
    pub(super) written_interference: LearnedInterference,
    pub(super) load_log_due: Instant,
    /// Earliest time of the next placement search.
    next_plan_at: Instant,
    /// Number of searches until the loop looks at its inputs again.
    search_budget: SearchBudget,
    /// Whether anything has changed since the last placement search.
    has_changes: bool,
}

/// Result of a step of the loop. The error is the reason why planning ends.
pub(super) type StepResult = Result<(), String>;

impl PlannerLoop {
    /// Plans until the ownership is lost or the process stops. Returns the reason.
    pub async fn run(shared: Arc<PlannerShared>, ownership: ConfirmedOwnership) -> String {
        let (event_sender, events) = mpsc::unbounded_channel();
        let mut planner_loop = PlannerLoop {
            shared,
            ownership,
            links: BTreeMap::new(),
            agent_contacts: BTreeMap::new(),
            disputed_instances: BTreeSet::new(),
            event_sender,
            first_contacts: Arc::new(Semaphore::new(MAX_FIRST_CONTACTS)),
            uncontacted: None,
            write: None,
            handover: None,
            handover_due: clock::now(),
            heartbeat_due: clock::now(),
            interference_due: clock::now() + INTERFERENCE_PERIOD,
            written_interference: LearnedInterference::default(),
            load_log_due: clock::now(),
            next_plan_at: clock::now(),
            search_budget: SearchBudget::default(),
            has_changes: false,
        };
        match planner_loop.run_until_lost(events).await {
            Ok(()) => {
                planner_loop.release().await;
                "stopping".to_string()
            }
            Err(reason) => reason,
        }
    }

    async fn run_until_lost(
        &mut self,
        mut events: mpsc::UnboundedReceiver<LinkEvent>,
    ) -> StepResult {
        let jobs_after = self.load().await?;
        let layout = self.shared.settings.layout;
        let node_partitions = agent_partitions();
        let mut jobs = TableFeed::spawn(
            self.shared.clone(),
            JOB_TABLE,
            layout.partition_names(),
            Some(jobs_after),
        );
        let mut nodes = TableFeed::spawn(self.shared.clone(), NODE_TABLE, node_partitions, None);
        let mut evacuations = EvacuationWatch::spawn(self.shared.clone());
        let mut tick = tokio::time::interval(TICK_PERIOD);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !self.shared.is_stopping() {
            let shared = self.shared.clone();
            let pause = self.next_plan_at.saturating_duration_since(clock::now());
            tokio::select! {
                // Reports of hundreds of agents may always be waiting. The result of a write comes
                // first, since the next heartbeat waits for it.
                biased;
                result = write_result(&mut self.write) => self.on_write_result(result)?,
                outcome = handover_outcome(&mut self.handover) => self.on_handover(outcome)?,
                _ = tick.tick() => self.on_tick(),
                read = evacuations.next() => self.on_evacuations(read),
                read = jobs.next() => self.on_jobs(&read),
                read = nodes.next() => self.on_nodes(&read.rows),
                Some(first) = events.recv() => {
                    self.on_link_event(first)?;
                    for _ in 1..MAX_EVENTS_PER_STEP {
                        let Ok(more) = events.try_recv() else {
                            break;
                        };
                        self.on_link_event(more)?;
                    }
                }
                () = shared.wake.notified() => {}
                () = tokio::time::sleep(pause), if self.has_changes => {}
            }
            self.plan();
        }
        Ok(())
    }

    /// Loads all jobs, their progress and the learned interference. Returns the version after which
    /// changes of jobs have to be read from the feed.
    async fn load(&mut self) -> Result<RowVersion, String> {
        let answered_at = self.ownership.answered_at;
        let leases_expired_by = if self.ownership.has_predecessor {
            predecessor_leases_expired_by(answered_at)
        } else {
            answered_at
        };
        let mut planner = Planner::new(leases_expired_by);
        let read_at = clock::now();
        planner.set_share_settings(self.shared.settings.shares.clone());
        planner.learn_speed(self.shared.settings.learn_speed);
        planner.set_cancel_limit(self.shared.settings.cancel_limit, read_at);
        // Nothing starts before the requests of operators have been read.
        planner.restore_evacuations(&self.shared.view().heartbeat.evacuations, answered_at);
        let layout = self.shared.settings.layout;
        let (jobs, version) = self.read_table(JOB_TABLE, &layout.partition_names()).await?;
        let partitions = [PARTITION.to_string()];
        let (progress, _) = self.read_table(PROGRESS_TABLE, &partitions).await?;
        let (learned, _) = self.read_table(LEARNED_TABLE, &partitions).await?;
        self.warn_about_other_layout(layout).await?;
        for (job, version, record) in job_records(&jobs) {
            planner.on_record(&job, version, record);
        }
        planner.set_time(clock::now(), self.shared.clock.wall_millis());
        if let Some(row) = learned.iter().find(|row| row.name.key == IMAGES_KEY) {
            planner.restore_learned(decode(row).unwrap_or_default());
        }
        for row in &progress {
            if let Some(known) = decode(row) {
                planner.on_progress(&row.name.key, row.version, known);
            }
        }
        log_event(
            Level::Info,
            "jobs_loaded",
            &[("jobs", &jobs.len()), ("in_progress", &progress.len()), ("version", &version)],
        );
        *self.shared.owned() = Some(OwnedPlanner { planner, confirmed_at: self.ownership.sent_at });
        Ok(version)
    }

    /// Logs an error if the default partition contains job rows although the layout uses other
    /// partitions. Such jobs were submitted before the setting was changed and are not planned.
    async fn warn_about_other_layout(&self, layout: JobLayout) -> StepResult {
        if layout == JobLayout::default() {
            return Ok(());
        }
        let (unplanned, _) =
            self.read_table(JOB_TABLE, &JobLayout::default().partition_names()).await?;
        if !unplanned.is_empty() {
            log_event(Level::Error, "jobs_in_other_partition", &[("jobs", &unplanned.len())]);
        }
        Ok(())
    }

    async fn read_table(
        &self,
        table: &str,
        partitions: &[String],
    ) -> Result<(Vec<StoredRow>, RowVersion), String> {
        loop {
            match read_partitions(self.shared.store.as_ref(), table, partitions).await {
                Ok(read) => return Ok(read),
                Err(error) => {
                    log_event(Level::Warn, "load_failed", &[("table", &table), ("error", &error)]);
                }
            }
            if self.shared.is_stopping() {
                return Err("stopping".to_string());
            }
            tokio::time::sleep(LOAD_RETRY_DELAY).await;
        }
    }

    /// Sets the planner's time to the current one and calls `act` with it. Returns `None` if this
    /// process is not the owner.
    pub(super) fn with_planner<T>(&self, act: impl FnOnce(&mut Planner) -> T) -> Option<T> {
        let (now, wall_ms) = (clock::now(), self.shared.clock.wall_millis());
        let mut owned = self.shared.owned();
        let planner = &mut owned.as_mut()?.planner;
        planner.set_time(now, wall_ms);
        Some(act(planner))
    }

    fn on_jobs(&mut self, read: &FeedRead) {
        self.with_planner(|planner| {
            apply_job_rows(planner, &read.rows);
            planner.on_jobs_confirmed(read.confirmed_at);
        });
    }

    fn on_evacuations(&mut self, read: EvacuationRead) {
        self.with_planner(|planner| planner.on_evacuations(read.evacuations, read.valid_until));
    }

    fn on_tick(&mut self) {
        self.with_planner(Planner::on_tick);
        self.hand_over_if_rejected();
    }

    /// Plans unless the pause after the last search is not over, starts the next write, and sends
    /// orders and advice queries.
    fn plan(&mut self) {
        self.has_changes = true;
        let started = clock::now();
        if started >= self.next_plan_at {
            let searches = self.search_budget.searches();
            let slice = self.with_planner(|planner| planner.plan_slice(searches));
            let elapsed = clock::elapsed(started);
            self.has_changes = slice.is_some_and(|slice| !slice.is_complete);
            self.search_budget.on_slice(self.has_changes, elapsed);
            self.next_plan_at = clock::now() + elapsed * PLAN_PAUSE_FACTOR;
        }
        if self.write.is_none() {
            self.write = self.next_write();
        }
        self.send_orders();
        self.request_advice();
        let decisions = self.with_planner(Planner::take_decisions).unwrap_or_default();
        for decision in &decisions {
            record_decision(&self.shared.metrics, self.ownership.owner.epoch, decision);
        }
    }

    /// Sends the planner's queries to the advice service. Each response is passed to the planner
    /// and wakes the loop.
    fn request_advice(&self) {
        let queries = self.with_planner(Planner::take_advice_queries).unwrap_or_default();
        for query in queries {
            let shared = self.shared.clone();
            tokio::spawn(async move {
                let queried_at = clock::now();
                let response = match &shared.advice {
                    Some(service) => service.advise(&query).await,
                    None => None,
                };
                if response.is_none() {
                    let (job, _, step) = &query.step;
                    log_event(Level::Warn, "advice_failed", &[("job", job), ("step", step)]);
                    tokio::time::sleep(ADVICE_RETRY_DELAY).await;
                }
                if let Some(owned) = shared.owned().as_mut() {
                    owned.planner.on_advice(response, queried_at);
                }
                shared.wake.notify_one();
            });
        }
    }
}
