//! Jobs that callers hand in: what they declare and what their tasks really take.

use greengagearch::workflow::spec::QueuePolicy;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;
use rand::RngExt;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

use crate::laboratory::serving_load::FILLING_IMAGES;
use crate::laboratory::serving_load::SERVING_IMAGES;

/// Service of all jobs.
pub const SERVICE: &str = "shared";
/// Bound on the tail of tasks that serve, in milliseconds.
pub const TARGET_MS: u64 = 100;
/// Tasks of a job that serves.
const SERVING_TASKS: u32 = 14;
/// What the users' sheets say of jobs that fill, each the mean of a drawn value and the spread of its logarithm.
const STEPS: (f64, f64) = (2.0, 0.4);
/// Tasks of a step, see [`STEPS`].
const WIDTH: (f64, f64) = (20.0, 0.6);
/// Duration of a task in milliseconds, see [`STEPS`].
const WORK_MS: (f64, f64) = (2_200.0, 0.5);
/// Thousandths of a core of a task, see [`STEPS`].
const MILLICORES: (f64, f64) = (1_800.0, 0.3);
/// Memory of a task that fills and of one that serves, in mebibytes, from the same sheets.
const FILLING_MEMORY_MIB: u64 = 3_200;
/// See [`FILLING_MEMORY_MIB`].
const SERVING_MEMORY_MIB: u64 = 6_400;
/// Processor time of a task that serves, see [`STEPS`].
const SERVING_MILLICORES: (f64, f64) = (3_200.0, 0.25);
/// Spread of tasks of one step, and of what callers declare.
const UNEVEN: f64 = 0.15;
/// See [`UNEVEN`].
const ESTIMATE_OFF: f64 = 0.5;
/// Work of a job in the mean, in core-milliseconds: the product of the means.
pub const MEAN_WORK: f64 = STEPS.0 * WIDTH.0 * WORK_MS.0 * MILLICORES.0 / 1_000.0;
/// Objective of a job: so many times its longest chain of work, and the next more, in milliseconds.
const STRETCH: f64 = 2.0;
/// See [`STRETCH`].
const OBJECTIVE_MORE_MS: u64 = 1_000;

/// A job that fills.
#[derive(Clone, Debug)]
pub struct OfferedJob {
    /// Its id.
    pub id: String,
    /// When it is handed in, in milliseconds of the world.
    pub at_ms: u64,
    /// What its caller declares.
    pub spec: WorkflowSpec,
    /// True durations of its tasks at full pace in milliseconds, by step and position.
    pub durations: Vec<Vec<f64>>,
}

impl OfferedJob {
    /// Draws a job that fills.
    ///
    /// ```
    /// use rand::SeedableRng;
    ///
    /// use greengagearch_standins::laboratory::offered_job::OfferedJob;
    ///
    /// let job = OfferedJob::draw(&mut rand::rngs::StdRng::seed_from_u64(1), "a", 0);
    /// assert_eq!(job.durations.len(), job.spec.steps.len());
    /// ```
    pub fn draw(rng: &mut StdRng, id: &str, at_ms: u64) -> OfferedJob {
        let steps = draw(rng, STEPS).round().clamp(1.0, 5.0) as usize;
        let image = format!("fill-{}", rng.random_range(0..FILLING_IMAGES));
        let estimate_off = draw(rng, (1.0, ESTIMATE_OFF));
        let (mut specs, mut durations) = (Vec::new(), Vec::new());
        for number in 0..steps {
            let count = draw(rng, WIDTH).round().clamp(1.0, 80.0) as u32;
            let work_ms = draw(rng, WORK_MS).clamp(200.0, 5_400.0);
            let millicores = draw(rng, MILLICORES).clamp(300.0, 3_500.0) as u64;
            let tasks = (0..count).map(|_| work_ms * draw(rng, (1.0, UNEVEN)));
            durations.push(tasks.collect::<Vec<f64>>());
            specs.push(StepSpec {
                count,
                resources: ResourceVector {
                    millicores,
                    memory_mib: FILLING_MEMORY_MIB,
                    accelerators: 0,
                },
                estimate_ms: (work_ms * estimate_off) as u64,
                after: number.checked_sub(1).into_iter().collect(),
                checkpoints: true,
                image: image.clone(),
                best_effort: true,
                ..StepSpec::default()
            });
        }
        OfferedJob { id: id.to_string(), at_ms, spec: workflow(specs, 2), durations }
    }

    /// True work in core-milliseconds.
    ///
    /// ```
    /// use rand::SeedableRng;
    ///
    /// use greengagearch_standins::laboratory::offered_job::OfferedJob;
    ///
    /// let job = OfferedJob::draw(&mut rand::rngs::StdRng::seed_from_u64(1), "a", 0);
    /// assert!(job.work() > 0.0);
    /// ```
    pub fn work(&self) -> f64 {
        let each = self.spec.steps.iter().zip(&self.durations);
        each.map(|(step, tasks)| {
            tasks.iter().sum::<f64>() * step.resources.millicores as f64 / 1_000.0
        })
        .sum()
    }

    /// Time within which it has to end to be in time, in milliseconds, by its true durations.
    ///
    /// ```
    /// use rand::SeedableRng;
    ///
    /// use greengagearch_standins::laboratory::offered_job::OfferedJob;
    ///
    /// let job = OfferedJob::draw(&mut rand::rngs::StdRng::seed_from_u64(1), "a", 0);
    /// assert!(job.objective_ms() > 1_000);
    /// ```
    pub fn objective_ms(&self) -> u64 {
        let longest = self.durations.iter().map(|tasks| tasks.iter().copied().fold(0.0, f64::max));
        (longest.sum::<f64>() * STRETCH) as u64 + OBJECTIVE_MORE_MS
    }

    /// What it is worth to its caller: in part by its work, as the users' rules say.
    ///
    /// ```
    /// use rand::SeedableRng;
    ///
    /// use greengagearch_standins::laboratory::offered_job::OfferedJob;
    ///
    /// let job = OfferedJob::draw(&mut rand::rngs::StdRng::seed_from_u64(1), "a", 0);
    /// assert!(job.worth() > 0.3);
    /// ```
    pub fn worth(&self) -> f64 {
        (0.3 + 0.7 * self.work() / MEAN_WORK).min(4.0)
    }
}

/// A job that serves until it is cancelled.
///
/// ```
/// use rand::SeedableRng;
///
/// use greengagearch_standins::laboratory::offered_job::serving_job;
///
/// let spec = serving_job(&mut rand::rngs::StdRng::seed_from_u64(1));
/// assert!(spec.steps[0].long_running);
/// ```
pub fn serving_job(rng: &mut StdRng) -> WorkflowSpec {
    let millicores = draw(rng, SERVING_MILLICORES).clamp(1_000.0, 5_100.0) as u64;
    let step = StepSpec {
        count: SERVING_TASKS,
        resources: ResourceVector { millicores, memory_mib: SERVING_MEMORY_MIB, accelerators: 0 },
        estimate_ms: 320,
        long_running: true,
        image: format!("serve-{}", rng.random_range(0..SERVING_IMAGES)),
        target_ms: TARGET_MS,
        max_unavailable: 1,
        ..StepSpec::default()
    };
    workflow(vec![step], 0)
}

fn workflow(steps: Vec<StepSpec>, priority: u32) -> WorkflowSpec {
    let policy = QueuePolicy {
        queue: format!("queue-{priority}"),
        service: SERVICE.to_string(),
        priority,
        max_attempts: 4,
        stretch: STRETCH,
        target_ms: OBJECTIVE_MORE_MS,
        advice: None,
    };
    WorkflowSpec { policy, steps, ..WorkflowSpec::unknown() }
}

/// A value whose logarithm is normal, by its mean and the spread of the logarithm.
fn draw(rng: &mut StdRng, (mean, spread): (f64, f64)) -> f64 {
    let about = mean.ln() - spread * spread / 2.0;
    LogNormal::new(about, spread).map_or(mean, |values| values.sample(rng))
}
