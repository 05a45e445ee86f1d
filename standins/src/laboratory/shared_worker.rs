//! One worker of the laboratory: what serves there, what fills, and its agent's paces.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::EndedRun;
use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RunnerSnapshot;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::connection::node_protocol::StartOrder;
use greengagearch::connection::node_protocol::TaskTraits;
use greengagearch::workflow::pacing::PaceController;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::task_name::TaskName;
use greengagearch::workflow::worker_inventory::RunKey;
use rand::RngExt;
use rand::rngs::StdRng;

use crate::laboratory::offered_job::SERVICE;
use crate::laboratory::offered_job::TARGET_MS;
use crate::laboratory::serving_load::PairEffects;
use crate::laboratory::serving_load::StepLoad;

/// Time between two looks of an agent, when no run ends.
const LOOK_PERIOD: Duration = Duration::from_millis(250);
/// Kind and rack of all workers: no job of the laboratory asks for one.
const LABELS: [&str; 2] = ["a", "r1"];
/// Span over which tails are measured.
const TAIL_SPAN: Duration = Duration::from_millis(500);
/// Time until an ordered pace has its effect.
const PACE_LAG: Duration = Duration::from_millis(100);
/// Tail of a serving task without load, in milliseconds.
const IDLE_MS: f64 = 20.0;
/// Largest load that a tail shows, since queues are cut off.
const LARGEST_LOAD: f64 = 0.97;
/// How far measured tails scatter, as a share of them.
const TAIL_SCATTER: f64 = 0.1;
/// Share of its declared processor time that a serving task uses.
const SERVING_USE: f64 = 0.6;
/// Work that a run repeats after a start from a checkpoint, in milliseconds.
const RESTORE_MS: f64 = 250.0;
/// Time until a serving task is at work, in milliseconds.
const WARM_UP_MS: f64 = 300.0;

/// What a run really does.
#[derive(Clone, Debug)]
pub struct RunTruth {
    /// Number of its image.
    pub image: usize,
    /// Processor time that it wants, in thousandths of a core.
    pub millicores: u64,
    /// Its work in milliseconds at full pace; nothing for what serves.
    pub work_ms: Option<f64>,
    /// The load of its step, for what serves.
    pub load: Option<StepLoad>,
}

#[derive(Clone, Debug)]
struct WorkerRun {
    truth: RunTruth,
    done_ms: f64,
    pace: f64,
    /// Paces that were ordered and have no effect yet.
    ordered: VecDeque<(Duration, f64)>,
    usage: f64,
    /// Loads of the last [`TAIL_SPAN`], for what serves.
    loads: VecDeque<f64>,
}

impl WorkerRun {
    fn progress_percent(&self) -> u32 {
        let share = self.done_ms.max(0.0) / self.truth.work_ms.unwrap_or(WARM_UP_MS);
        (share * 100.0).min(100.0) as u32
    }
}

/// What a worker has done in all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerTally {
    /// Work of fills in core-milliseconds.
    pub filled: f64,
    /// Time of serving tasks in milliseconds, and the part of it over their target.
    pub served_ms: f64,
    /// See `served_ms`.
    pub over_ms: f64,
}

/// One worker and its agent.
#[derive(Clone, Debug)]
pub struct SharedWorker {
    name: String,
    room: ResourceVector,
    runs: BTreeMap<RunKey, WorkerRun>,
    control: PaceController,
    traits: HashMap<TaskName, TaskTraits>,
    ended: Vec<EndedRun>,
    ends: u64,
    orders_seen: u64,
    look_due: Duration,
    /// What it has done so far.
    pub tally: WorkerTally,
}

impl SharedWorker {
    /// A worker on which nothing runs; its agent looks first at `look_due`.
    ///
    /// ```
    /// use greengagearch::workflow::spec::ResourceVector;
    /// use greengagearch_standins::laboratory::shared_worker::SharedWorker;
    ///
    /// let worker = SharedWorker::open("w-1", ResourceVector::default(), std::time::Duration::ZERO);
    /// assert_eq!(worker.tally.filled, 0.0);
    /// ```
    pub fn open(name: &str, room: ResourceVector, look_due: Duration) -> SharedWorker {
        SharedWorker {
            name: name.to_string(),
            room,
            runs: BTreeMap::new(),
            control: PaceController::default(),
            traits: HashMap::new(),
            ended: Vec::new(),
            ends: 0,
            orders_seen: 0,
            look_due,
            tally: WorkerTally::default(),
        }
    }

    /// Takes note of the number of the newest orders.
    pub(crate) fn on_orders(&mut self, number: u64) {
        self.orders_seen = self.orders_seen.max(number);
    }

    pub(crate) fn start(&mut self, order: StartOrder, truth: RunTruth) {
        let saved: Option<f64> = order.checkpoint.parse().ok();
        let run = WorkerRun {
            truth,
            done_ms: saved.map_or(0.0, |saved| saved - RESTORE_MS),
            pace: 1.0,
            ordered: VecDeque::new(),
            usage: 0.0,
            loads: VecDeque::new(),
        };
        self.runs.insert((order.traits.task.clone(), order.run), run);
        self.describe(order.traits);
    }

    pub(crate) fn stop(&mut self, key: &RunKey) {
        self.end(key, RunEnd::Stopped);
    }

    pub(crate) fn describe(&mut self, traits: TaskTraits) {
        self.traits.insert(traits.task.clone(), traits);
    }

    fn end(&mut self, key: &RunKey, end: RunEnd) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        self.ends += 1;
        self.ended.push(EndedRun {
            number: self.ends,
            task: key.0.clone(),
            run: key.1,
            end,
            checkpoint: format!("{:.0}", run.done_ms.max(0.0)),
        });
    }

    /// Lets everything work for a span. Says whether a run has ended.
    pub(crate) fn work(&mut self, now: Duration, span: Duration, effects: &PairEffects) -> bool {
        let before = self.ends;
        for run in self.runs.values_mut() {
            while run.ordered.front().is_some_and(|(due, _)| *due <= now) {
                run.pace = run.ordered.pop_front().map_or(run.pace, |(_, pace)| pace);
            }
        }
        self.swing(now, span, effects);
        self.progress(span);
        let is_over = |run: &WorkerRun| run.truth.work_ms.is_some_and(|work| run.done_ms >= work);
        let over: Vec<RunKey> =
            self.runs.iter().filter(|(_, run)| is_over(run)).map(|(key, _)| key.clone()).collect();
        over.iter().for_each(|key| self.end(key, RunEnd::Done));
        self.ends > before
    }

    /// Loads of what serves, with what fills beside it.
    fn swing(&mut self, now: Duration, span: Duration, effects: &PairEffects) {
        let fills: Vec<(usize, f64)> = self
            .runs
            .values()
            .filter(|run| run.truth.load.is_none())
            .map(|run| (run.truth.image, run.pace))
            .collect();
        let kept = (TAIL_SPAN.as_millis() / span.as_millis()) as usize;
        for run in self.runs.values_mut() {
            let Some(step) = run.truth.load else {
                continue;
            };
            let added =
                |(image, pace): &(usize, f64)| pace * effects.added(run.truth.image, *image, now);
            run.loads.push_back(step.at(now) + fills.iter().map(added).sum::<f64>());
            while run.loads.len() > kept {
                run.loads.pop_front();
            }
            let span_ms = span.as_secs_f64() * 1_000.0;
            self.tally.served_ms += span_ms;
            if tail_ms(&run.loads) > TARGET_MS as f64 {
                self.tally.over_ms += span_ms;
            }
        }
    }

    /// Fills share the processors that what serves leaves.
    fn progress(&mut self, span: Duration) {
        let serving = self.runs.values().filter(|run| run.truth.load.is_some());
        let used: f64 = serving.map(|run| run.truth.millicores as f64 * SERVING_USE).sum();
        let left = (self.room.millicores as f64 - used).max(0.0);
        let fills = self.runs.values().filter(|run| run.truth.load.is_none());
        let wanted: f64 = fills.map(|run| run.truth.millicores as f64 * run.pace).sum();
        let share = if wanted > left { left / wanted } else { 1.0 };
        let span_ms = span.as_secs_f64() * 1_000.0;
        for run in self.runs.values_mut() {
            if run.truth.load.is_some() {
                run.done_ms += span_ms;
                continue;
            }
            let speed = run.pace * share;
            run.done_ms += span_ms * speed;
            run.usage = run.truth.millicores as f64 * speed;
            self.tally.filled += span_ms * run.usage / 1_000.0;
        }
    }

    /// The agent looks, paces what fills, and reports, if it is time or `has_news`.
    pub(crate) fn look(
        &mut self,
        now: Duration,
        at: Instant,
        has_news: bool,
        rng: &mut StdRng,
    ) -> Option<NodeReport> {
        if now < self.look_due && !has_news {
            return None;
        }
        self.look_due = now + LOOK_PERIOD;
        self.traits.retain(|task, _| self.runs.keys().any(|key| key.0 == *task));
        let mut present: Vec<PresentRun> =
            self.runs.iter().map(|(key, run)| seen(key, run, rng)).collect();
        for step in self.control.update(&present, &self.traits, at) {
            if let Some(run) = self.runs.get_mut(&step.key) {
                run.ordered.push_back((now + PACE_LAG, f64::from(step.percent) / 100.0));
            }
        }
        for run in &mut present {
            let key = (run.task.clone(), run.run);
            run.pace_percent = self.control.ordered_percent(&key);
            run.mean_pace_percent = self.control.mean_percent(&key, at);
        }
        let status = RunnerStatus {
            instance: self.name.clone(),
            service: SERVICE.to_string(),
            domain: "one".to_string(),
            capacity: self.room,
            labels: LABELS.map(str::to_string).to_vec(),
            draining: false,
        };
        let look = RunnerSnapshot {
            present,
            ended: std::mem::take(&mut self.ended),
            orders_seen: self.orders_seen,
            ..RunnerSnapshot::default()
        };
        Some(NodeReport {
            now,
            runner: Some(status),
            former: Vec::new(),
            unsettled: Vec::new(),
            keeps_id: false,
            in_doubt: Vec::new(),
            crashes: Vec::new(),
            snapshot: Some(look),
        })
    }
}

fn seen(key: &RunKey, run: &WorkerRun, rng: &mut StdRng) -> PresentRun {
    let scatter = 1.0 + TAIL_SCATTER * rng.random_range(-1.0..1.0);
    let usage = match run.truth.load {
        Some(_) if run.loads.is_empty() => 0.0,
        Some(_) => tail_ms(&run.loads) * scatter,
        None => run.usage,
    };
    PresentRun {
        is_started: true,
        checkpoint: format!("{:.0}", run.done_ms.max(0.0)),
        progress_percent: run.progress_percent(),
        usage: usage as u64,
        ..PresentRun::ordered(key.0.clone(), key.1)
    }
}

/// The tail of a queue with the mean of these loads, in milliseconds.
fn tail_ms(loads: &VecDeque<f64>) -> f64 {
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    IDLE_MS / (1.0 - mean.min(LARGEST_LOAD))
}
