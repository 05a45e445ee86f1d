//! A fleet of the laboratory: the planner, its workers and the jobs that are offered, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::workflow::fair_share::share_settings::ShareSettings;
use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::planner::Planner;
use greengagearch::workflow::progress::JobRecord;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::WorkflowSpec;
use greengagearch::workflow::task_name::TaskName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::laboratory::goodput::GoodputReport;
use crate::laboratory::offered_job::MEAN_WORK;
use crate::laboratory::offered_job::OfferedJob;
use crate::laboratory::offered_job::serving_job;
use crate::laboratory::serving_load::PairEffects;
use crate::laboratory::serving_load::StepLoad;
use crate::laboratory::shared_worker::RunTruth;
use crate::laboratory::shared_worker::SharedWorker;

/// Span of one step of the world.
const STEP: Duration = Duration::from_millis(50);
/// Time between two ticks of the planner.
const TICK: Duration = Duration::from_millis(100);
/// Time in which what serves comes to work before jobs that fill are offered.
const LEAD: Duration = Duration::from_secs(8);
/// Processors and memory of a worker; each third one has half as much more.
const WORKER: ResourceVector =
    ResourceVector { millicores: 16_000, memory_mib: 64_000, accelerators: 0 };
/// Wall clock at the beginning, in milliseconds: any time will do.
const WALL_MS: u64 = 1_000_000;

/// What a world is like.
#[derive(Clone, Copy, Debug)]
pub struct WorldSettings {
    /// Number of workers.
    pub workers: usize,
    /// Share of their guarded processors that what serves takes.
    pub serving_share: f64,
    /// Jobs that fill that are offered a second.
    pub jobs_per_s: f64,
    /// For how long they are offered.
    pub span: Duration,
    /// For how long the rest may end afterwards.
    pub rest: Duration,
    /// Multiple of its objective after which a job that has not begun comes first; without a bound
    /// `None`.
    pub longest_wait: Option<f64>,
}

/// A played fleet.
pub struct SharedFleet {
    rng: StdRng,
    effects: PairEffects,
    planner: Planner,
    workers: BTreeMap<String, SharedWorker>,
    serving: BTreeMap<String, RunTruth>,
    offered: BTreeMap<String, OfferedJob>,
    arrivals: Vec<OfferedJob>,
    ages_ms: BTreeMap<String, u64>,
    base: Instant,
    now: Duration,
    version: u64,
    settings: WorldSettings,
}

impl SharedFleet {
    /// Draws a world and brings what serves to work.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch_standins::laboratory::shared_fleet::SharedFleet;
    /// use greengagearch_standins::laboratory::shared_fleet::WorldSettings;
    ///
    /// let settings = WorldSettings {
    ///     workers: 2,
    ///     serving_share: 0.0,
    ///     jobs_per_s: 1.0,
    ///     span: Duration::from_secs(1),
    ///     rest: Duration::ZERO,
    ///     longest_wait: None,
    /// };
    /// let (first, again) = (SharedFleet::open(settings, 1).play(), SharedFleet::open(settings, 1).play());
    /// assert_eq!(first, again);
    /// ```
    pub fn open(settings: WorldSettings, seed: u64) -> SharedFleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let effects = PairEffects::draw(&mut rng);
        let base = Instant::now();
        let mut fleet = SharedFleet {
            effects,
            planner: Planner::new(base),
            workers: BTreeMap::new(),
            serving: BTreeMap::new(),
            offered: BTreeMap::new(),
            arrivals: Vec::new(),
            ages_ms: BTreeMap::new(),
            base,
            now: Duration::ZERO,
            version: 0,
            settings,
            rng,
        };
        fleet.planner.set_time(base, WALL_MS);
        let longest_wait = settings.longest_wait;
        fleet
            .planner
            .set_share_settings(ShareSettings { longest_wait, ..ShareSettings::default() });
        fleet.open_workers();
        fleet.draw_serving();
        while fleet.now < LEAD {
            fleet.step();
        }
        fleet.draw_arrivals();
        fleet
    }

    /// Plays all that is offered.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch_standins::laboratory::shared_fleet::SharedFleet;
    /// use greengagearch_standins::laboratory::shared_fleet::WorldSettings;
    ///
    /// let settings = WorldSettings {
    ///     workers: 1,
    ///     serving_share: 0.0,
    ///     jobs_per_s: 0.1,
    ///     span: Duration::from_secs(1),
    ///     rest: Duration::from_secs(1),
    ///     longest_wait: None,
    /// };
    /// assert_eq!(SharedFleet::open(settings, 2).play().over_target, 0.0);
    /// ```
    pub fn play(&mut self) -> GoodputReport {
        let end = LEAD + self.settings.span + self.settings.rest;
        while self.now < end {
            self.step();
        }
        self.report()
    }

    fn open_workers(&mut self) {
        for number in 0..self.settings.workers {
            let name = format!("w-{number:03}");
            let mut room = WORKER;
            if number % 3 == 2 {
                room.millicores += room.millicores / 2;
                room.memory_mib += room.memory_mib / 2;
            }
            let look_due = STEP * (number % 5) as u32;
            let mut worker = SharedWorker::open(&name, room, look_due);
            if let Some(report) = worker.look(self.now, self.base, true, &mut self.rng) {
                self.planner.on_report(report, true);
            }
            self.workers.insert(name, worker);
        }
    }

    /// Hands in jobs that serve until they take their share of the guarded processors.
    fn draw_serving(&mut self) {
        let sizes =
            (0..self.settings.workers).map(|number| if number % 3 == 2 { 1.5 } else { 1.0 });
        let room = sizes.sum::<f64>() * WORKER.millicores as f64 * self.settings.serving_share;
        let mut taken = 0.0;
        loop {
            let mut spec = serving_job(&mut self.rng);
            let step = &spec.steps[0];
            taken += f64::from(step.count) * step.resources.millicores as f64;
            if taken > room {
                return;
            }
            let job = format!("serving{:03}", self.serving.len());
            let truth = RunTruth {
                image: image_number(&step.image),
                millicores: step.resources.millicores,
                work_ms: None,
                load: Some(StepLoad::draw(&mut self.rng)),
            };
            spec.accepted_ms = WALL_MS;
            self.serving.insert(job.clone(), truth);
            self.submit(&job, JobRecord::Live { spec, cancelled: false });
        }
    }

    fn draw_arrivals(&mut self) {
        let mut at = LEAD.as_secs_f64();
        let end = at + self.settings.span.as_secs_f64();
        let mut arrivals = Vec::new();
        loop {
            at -= self.rng.random::<f64>().max(1e-9).ln() / self.settings.jobs_per_s;
            if at >= end {
                break;
            }
            let id = format!("job{:04}", arrivals.len());
            arrivals.push(OfferedJob::draw(&mut self.rng, &id, (at * 1_000.0) as u64));
        }
        arrivals.reverse();
        self.arrivals = arrivals;
    }

    fn submit(&mut self, job: &str, record: JobRecord) {
        self.version += 1;
        self.planner.on_record(job, self.version, record);
    }

    fn step(&mut self) {
        self.now += STEP;
        let (at, wall_ms) = (self.base + self.now, WALL_MS + self.now.as_millis() as u64);
        self.planner.set_time(at, wall_ms);
        while self.arrivals.last().is_some_and(|job| u128::from(job.at_ms) <= self.now.as_millis())
        {
            self.take_arrival(wall_ms);
        }
        for worker in self.workers.values_mut() {
            let has_news = worker.work(self.now, STEP, &self.effects);
            if let Some(report) = worker.look(self.now, at, has_news, &mut self.rng) {
                self.planner.on_report(report, false);
            }
        }
        if self.now.as_millis().is_multiple_of(TICK.as_millis()) {
            self.planner.on_tick();
        }
        self.planner.plan();
        while let Some(batch) = self.planner.take_batch() {
            self.version += 1;
            self.planner.on_committed(batch, self.version);
        }
        self.deliver();
        self.note_ends();
    }

    fn take_arrival(&mut self, wall_ms: u64) {
        if let Some(job) = self.arrivals.pop() {
            let spec = WorkflowSpec { accepted_ms: wall_ms, ..job.spec.clone() };
            self.submit(&job.id, JobRecord::Live { spec, cancelled: false });
            self.offered.insert(job.id.clone(), job);
        }
    }

    fn deliver(&mut self) {
        for (instance, order) in self.planner.take_orders() {
            let number = self.planner.assign_order_number(&instance, std::slice::from_ref(&order));
            let truth = match &order {
                NodeOrder::Start(start) => self.truth(&start.traits.task),
                _ => None,
            };
            let Some(worker) = self.workers.get_mut(&instance) else {
                continue;
            };
            worker.on_orders(number.unwrap_or(0));
            match (order, truth) {
                (NodeOrder::Start(start), Some(truth)) => worker.start(start, truth),
                (NodeOrder::Stop(task, run), _) => worker.stop(&(task, run)),
                (NodeOrder::Describe(traits), _) => worker.describe(traits),
                (NodeOrder::Start(_), None) => {}
            }
        }
    }

    fn truth(&self, task: &TaskName) -> Option<RunTruth> {
        if let Some(job) = self.offered.get(&task.job) {
            let step = job.spec.steps.get(task.step as usize)?;
            let work_ms = job.durations.get(task.step as usize)?.get(task.index as usize)?;
            return Some(RunTruth {
                image: image_number(&step.image),
                millicores: step.resources.millicores,
                work_ms: Some(*work_ms),
                load: None,
            });
        }
        self.serving.get(&task.job).cloned()
    }

    fn note_ends(&mut self) {
        for decision in self.planner.take_decisions() {
            if let PlanDecision::JobEnded { job, age_ms, .. } = decision {
                self.ages_ms.insert(job, age_ms);
            }
        }
    }

    fn report(&self) -> GoodputReport {
        let mut report = GoodputReport::default();
        for (id, job) in &self.offered {
            report.count(job, self.ages_ms.get(id).copied());
        }
        let ages = self.offered.iter().map(|(id, job)| (job, self.ages_ms.get(id).copied()));
        report.count_largest(ages.collect());
        let tallies = self.workers.values().map(|worker| worker.tally);
        let (mut served, mut over) = (0.0, 0.0);
        for tally in tallies {
            report.done_work += tally.filled;
            served += tally.served_ms;
            over += tally.over_ms;
        }
        report.over_target = over / f64::max(served, 1.0);
        report.bound_by(self.offered.values());
        report
    }
}

/// The number at the end of an image's name.
fn image_number(image: &str) -> usize {
    image.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Jobs a second whose work takes so many cores in the mean.
///
/// ```
/// assert!(greengagearch_standins::laboratory::shared_fleet::jobs_for_cores(158.4) > 0.9);
/// ```
pub fn jobs_for_cores(cores: f64) -> f64 {
    cores * 1_000.0 / MEAN_WORK
}
