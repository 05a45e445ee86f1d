//! The planner at work: takes news in, plans, stores, sends orders. Ends when the ownership is lost.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use log::Level;
use tokio::sync::mpsc;

use crate::connection::node_protocol::NodeOrder;
use crate::external::row_store::StoredRow;
use crate::external::row_store::read_partitions;
use crate::ids::InstanceId;
use crate::ids::RowVersion;
use crate::process::clock;
use crate::process::logging::log_event;
use crate::process::planning::decision_log::log_decision;
use crate::process::planning::node_link::LinkEvent;
use crate::process::planning::node_link::NodeLink;
use crate::process::planning::node_link::OrderBatch;
use crate::process::planning::ownership::OwnerProof;
use crate::process::planning::planner_writes::LEARNED_PERIOD;
use crate::process::planning::planner_writes::WriteTask;
use crate::process::planning::planner_writes::written;
use crate::process::planning::rows::HOST_PARTITION;
use crate::process::planning::rows::IMAGES_KEY;
use crate::process::planning::rows::JOB_TABLE;
use crate::process::planning::rows::JobLayout;
use crate::process::planning::rows::LEARNED_TABLE;
use crate::process::planning::rows::NODE_TABLE;
use crate::process::planning::rows::NodeRow;
use crate::process::planning::rows::PARTITION;
use crate::process::planning::rows::PROGRESS_TABLE;
use crate::process::planning::rows::decode;
use crate::process::planning::rows::job_records;
use crate::process::planning::shared::OwnedPlanner;
use crate::process::planning::shared::PlannerShared;
use crate::process::planning::table_feed::TableFeed;
use crate::workflow::grant::predecessor_leases_expired_by;
use crate::workflow::learned_interference::LearnedInterference;
use crate::workflow::planner::Planner;

/// Time between two looks at what is due by the clock.
const TICK: Duration = Duration::from_millis(100);
/// Rest between two searches for places, as a multiple of the time that one takes: with thousands of tasks
/// that wait, reports come faster than searches end, and pulses and orders have to go out in between.
const PLAN_REST: u32 = 3;
/// Pause before rows that could not be read at a takeover are read again.
const READ_PAUSE: Duration = Duration::from_millis(150);
/// Pause before the advice service is asked again after it did not answer.
const ADVICE_PAUSE: Duration = Duration::from_millis(300);
/// Disputed lives that are remembered, so that each is logged once; more at a time would be a writer gone wild.
const DISPUTES_KEPT: usize = 256;

/// The planner's loop and what it holds.
pub struct PlannerLoop {
    pub(super) shared: Arc<PlannerShared>,
    pub(super) proof: OwnerProof,
    links: BTreeMap<String, NodeLink>,
    agents: BTreeMap<InstanceId, String>,
    /// Lives that an agent called over though they are beside another one, and that agent; each is logged once.
    disputed: BTreeSet<(InstanceId, String)>,
    news: mpsc::UnboundedSender<LinkEvent>,
    pub(super) write: Option<WriteTask>,
    pub(super) pulse_due: Instant,
    pub(super) learned_due: Instant,
    pub(super) learned: LearnedInterference,
    pub(super) load_log_due: Instant,
    /// Before this the planner does not look for places again.
    plan_after: Instant,
    /// Whether something has happened since it did.
    has_news: bool,
}

/// How a step of the loop ended.
pub(super) type StepResult = Result<(), String>;

impl PlannerLoop {
    /// Plans until the ownership is lost or the process stops; gives the reason.
    pub async fn run(shared: Arc<PlannerShared>, proof: OwnerProof) -> String {
        let (news, received) = mpsc::unbounded_channel();
        let mut planning = PlannerLoop {
            shared,
            proof,
            links: BTreeMap::new(),
            agents: BTreeMap::new(),
            disputed: BTreeSet::new(),
            news,
            write: None,
            pulse_due: clock::now(),
            learned_due: clock::now() + LEARNED_PERIOD,
            learned: LearnedInterference::default(),
            load_log_due: clock::now(),
            plan_after: clock::now(),
            has_news: false,
        };
        match planning.work(received).await {
            Ok(()) => {
                planning.release().await;
                "stopping".to_string()
            }
            Err(reason) => reason,
        }
    }

    async fn work(&mut self, mut news: mpsc::UnboundedReceiver<LinkEvent>) -> StepResult {
        let jobs_after = self.load().await?;
        let layout = self.shared.settings.layout;
        let hosts = vec![HOST_PARTITION.to_string()];
        let mut jobs = TableFeed::spawn(
            self.shared.clone(),
            JOB_TABLE,
            layout.partition_names(),
            Some(jobs_after),
        );
        let mut nodes = TableFeed::spawn(self.shared.clone(), NODE_TABLE, hosts, None);
        let mut tick = tokio::time::interval(TICK);
        while !self.shared.is_stopping() {
            let shared = self.shared.clone();
            let rest = self.plan_after.saturating_duration_since(clock::now());
            tokio::select! {
                rows = jobs.next() => self.on_jobs(&rows),
                rows = nodes.next() => self.on_nodes(&rows),
                Some(first) = news.recv() => {
                    self.on_news(first)?;
                    while let Ok(more) = news.try_recv() {
                        self.on_news(more)?;
                    }
                }
                written = written(&mut self.write) => self.on_written(written)?,
                _ = tick.tick() => self.on_tick(),
                () = shared.wake.notified() => {}
                () = tokio::time::sleep(rest), if self.has_news => {}
            }
            self.plan();
        }
        Ok(())
    }

    /// Reads all jobs and their progress. Gives the version from which on changes of jobs are new.
    async fn load(&mut self) -> Result<RowVersion, String> {
        let answered = self.proof.answered;
        let expired = if self.proof.has_predecessor {
            predecessor_leases_expired_by(answered)
        } else {
            answered
        };
        let mut planner = Planner::new(expired);
        let layout = self.shared.settings.layout;
        let (jobs, version) = self.read_table(JOB_TABLE, &layout.partition_names()).await?;
        let own = [PARTITION.to_string()];
        let (progress, _) = self.read_table(PROGRESS_TABLE, &own).await?;
        let (learned, _) = self.read_table(LEARNED_TABLE, &own).await?;
        self.warn_of_other_layout(layout).await?;
        for (job, version, record) in job_records(&jobs) {
            planner.on_record(&job, version, record);
        }
        planner.set_time(clock::now(), self.shared.clock.wall_millis());
        if let Some(effects) = learned.iter().find(|row| row.name.key == IMAGES_KEY) {
            planner.restore_learned(decode(effects).unwrap_or_default());
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
        let proof = self.proof.sent;
        *self.shared.owned() = Some(OwnedPlanner { planner, proof });
        Ok(version)
    }

    /// Tells the operator of jobs' rows where this layout does not look for them: the setting was changed while there were jobs.
    async fn warn_of_other_layout(&self, layout: JobLayout) -> StepResult {
        if layout == JobLayout::default() {
            return Ok(());
        }
        let (left, _) = self.read_table(JOB_TABLE, &JobLayout::default().partition_names()).await?;
        if !left.is_empty() {
            log_event(Level::Error, "jobs_in_other_partition", &[("jobs", &left.len())]);
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
            tokio::time::sleep(READ_PAUSE).await;
        }
    }

    /// Lets the planner decide at the present time.
    pub(super) fn with_planner<T>(&self, act: impl FnOnce(&mut Planner) -> T) -> Option<T> {
        let (now, wall_ms) = (clock::now(), self.shared.clock.wall_millis());
        let mut owned = self.shared.owned();
        let planner = &mut owned.as_mut()?.planner;
        planner.set_time(now, wall_ms);
        Some(act(planner))
    }

    fn on_jobs(&mut self, rows: &[StoredRow]) {
        let records = job_records(rows);
        self.with_planner(|planner| {
            for (job, version, record) in records {
                planner.on_record(&job, version, record);
            }
        });
    }

    fn on_nodes(&mut self, rows: &[StoredRow]) {
        for row in rows {
            let Some(node) = decode::<NodeRow>(row) else {
                self.links.remove(&row.name.key);
                continue;
            };
            let (shared, news) = (self.shared.clone(), self.news.clone());
            let epoch = self.proof.owner.epoch;
            let address = node.address.clone();
            let link = || NodeLink::spawn(shared, epoch, node.address, news);
            self.links.entry(address).or_insert_with(link);
        }
    }

    fn on_news(&mut self, news: LinkEvent) -> StepResult {
        match news {
            LinkEvent::Report { address, mut report, is_new_link } => {
                report.former.retain(|life| self.may_end(&address, life));
                report.crashes.retain(|crash| report.former.contains(&crash.instance));
                if let Some(runner) = &report.runner {
                    self.agents.insert(runner.instance.clone(), address);
                }
                self.with_planner(|planner| planner.on_report(*report, is_new_link));
                Ok(())
            }
            LinkEvent::Replaced(newest) if newest.epoch > self.proof.owner.epoch => {
                Err(format!("an agent knows epoch {}", newest.epoch))
            }
            // An own link that was replaced by a newer one of its own.
            LinkEvent::Replaced(_) => Ok(()),
        }
    }

    /// Whether an agent may say that a life is over: not when the life is known to be beside another agent. A
    /// heartbeat of another writer, or one that went to the wrong host, names such a life.
    fn may_end(&mut self, address: &str, life: &InstanceId) -> bool {
        let known = self.agents.get(life);
        if known.is_none_or(|known| known == address) {
            return true;
        }
        if self.disputed.len() >= DISPUTES_KEPT {
            self.disputed.clear();
        }
        if self.disputed.insert((life.clone(), address.to_string())) {
            let known = known.cloned().unwrap_or_default();
            let fields: [(&str, &dyn Display); 3] =
                [("instance", life), ("agent", &address), ("known_at", &known)];
            log_event(Level::Warn, "foreign_life_ignored", &fields);
        }
        false
    }

    fn on_tick(&mut self) {
        self.with_planner(Planner::on_tick);
    }

    /// Plans, starts the next write, and sends what may be sent.
    fn plan(&mut self) {
        self.has_news = true;
        let started = clock::now();
        if started >= self.plan_after {
            self.with_planner(Planner::plan);
            self.plan_after = clock::now() + clock::elapsed(started) * PLAN_REST;
            self.has_news = false;
        }
        if self.write.is_none() {
            self.write = self.next_write();
        }
        self.send_orders();
        self.ask_advice();
        let decisions = self.with_planner(Planner::take_decisions).unwrap_or_default();
        for decision in &decisions {
            self.shared.metrics.tasks.with_label_values(&[decision.label()]).inc();
            log_decision(self.proof.owner.epoch, decision);
        }
    }

    /// Asks the advice service what the planner wants to know; the answer wakes the loop.
    fn ask_advice(&self) {
        let questions = self.with_planner(Planner::take_advice_queries).unwrap_or_default();
        for question in questions {
            let shared = self.shared.clone();
            tokio::spawn(async move {
                let asked_at = clock::now();
                let answer = match &shared.advice {
                    Some(service) => service.advise(&question).await,
                    None => None,
                };
                if answer.is_none() {
                    let (job, _, step) = &question.step;
                    log_event(Level::Warn, "advice_failed", &[("job", job), ("step", step)]);
                    tokio::time::sleep(ADVICE_PAUSE).await;
                }
                if let Some(owned) = shared.owned().as_mut() {
                    owned.planner.on_advice(answer, asked_at);
                }
                shared.wake.notify_one();
            });
        }
    }

    fn send_orders(&mut self) {
        let orders = self.with_planner(Planner::take_orders).unwrap_or_default();
        let mut parcels: BTreeMap<InstanceId, Vec<NodeOrder>> = BTreeMap::new();
        for (instance, order) in orders {
            parcels.entry(instance).or_default().push(order);
        }
        for (instance, orders) in parcels {
            let numbered =
                self.with_planner(|planner| planner.assign_order_number(&instance, &orders));
            let Some(number) = numbered.flatten() else {
                continue;
            };
            let link = self.agents.get(&instance).and_then(|address| self.links.get(address));
            if let Some(link) = link {
                // A link that has ended is replaced, and its orders are sent anew.
                let _ = link.orders.send(OrderBatch { instance, number, orders });
            }
        }
    }
}
