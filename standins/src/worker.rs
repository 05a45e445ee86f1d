//! A worker of the platform: runs tasks under leases and keeps a journal of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::routing::post;
use greengagearch::external::http_worker::RenewalBody;
use greengagearch::external::http_worker::ThrottleBody;
use greengagearch::external::worker::AttemptKey;
use greengagearch::external::worker::AttemptReport;
use greengagearch::external::worker::AttemptState;
use greengagearch::external::worker::ResourceAmount;
use greengagearch::external::worker::TaskStart;
use greengagearch::external::worker::WorkerStatus;
use tokio::net::TcpListener;

/// Time between two looks at the running tasks.
const STEP: Duration = Duration::from_millis(5);

/// Time after which a task's use shows in reports.
const USAGE_LAG: Duration = Duration::from_millis(20);

/// An interval in which an attempt ran on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRun {
    /// Name of the worker.
    pub worker: String,
    /// The attempt.
    pub key: AttemptKey,
    /// When it began.
    pub from: Instant,
    /// When it ended; nothing while it runs.
    pub until: Option<Instant>,
    /// Whether it ran to its end.
    pub finished: bool,
    /// The checkpoint that it resumed from.
    pub resumed_from: Option<String>,
    /// What it held.
    pub resources: ResourceAmount,
}

/// The journal that all workers of a test write.
#[derive(Clone, Debug, Default)]
pub struct TaskJournal {
    runs: Arc<Mutex<Vec<TaskRun>>>,
}

impl TaskJournal {
    /// A copy of all runs.
    pub fn runs(&self) -> Vec<TaskRun> {
        self.lock().clone()
    }

    /// What is wrong with the runs: tasks in two places at once, tasks finished twice, workers
    /// beyond `capacity`. Empty when all promises held.
    pub fn violations(&self, capacity: &ResourceAmount) -> Vec<String> {
        let runs = self.runs();
        let mut found = Vec::new();
        for (index, run) in runs.iter().enumerate() {
            for other in &runs[index + 1..] {
                let is_same = run.key.job == other.key.job && run.key.task == other.key.task;
                if is_same && overlap(run, other) {
                    found.push(format!("{:?} and {:?} at once", run.key, other.key));
                }
                if is_same && run.finished && other.finished {
                    found.push(format!("{:?} and {:?} both finished", run.key, other.key));
                }
            }
            let beside = runs.iter().filter(|other| {
                other.worker == run.worker
                    && other.from <= run.from
                    && other.until.is_none_or(|until| until > run.from)
            });
            let used = beside.fold(ResourceAmount::default(), |sum, one| sum.plus(&one.resources));
            // Compared here by itself, so that a mistake in the product's own sums shows.
            let is_within = used.millicores <= capacity.millicores
                && used.memory_mib <= capacity.memory_mib
                && used.accelerators <= capacity.accelerators;
            if !is_within {
                found.push(format!("{} holds {used:?}", run.worker));
            }
        }
        found
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TaskRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn overlap(a: &TaskRun, b: &TaskRun) -> bool {
    let a_ends_first = a.until.is_some_and(|until| until <= b.from);
    let b_ends_first = b.until.is_some_and(|until| until <= a.from);
    !a_ends_first && !b_ends_first
}

#[derive(Debug)]
struct RunningTask {
    start: TaskStart,
    run: usize,
    /// Work that is still to be done.
    left: Duration,
    lease_until: u64,
    /// Share of its processors that it has, in percent.
    percent: u32,
    ran: Duration,
    state: AttemptState,
}

impl RunningTask {
    /// What the task really uses, when its input says so, as `use:MILLICORES:MIB`; else nothing is
    /// measured.
    fn used(&self) -> ResourceAmount {
        let mut parts = self.start.input.split(':');
        if parts.next() != Some("use") || self.ran < USAGE_LAG {
            return ResourceAmount::default();
        }
        let mut number = || parts.next().and_then(|text| text.parse().ok()).unwrap_or(0);
        ResourceAmount {
            millicores: number(),
            memory_mib: number(),
            accelerators: self.start.resources.accelerators,
        }
    }
}

#[derive(Debug, Default)]
struct WorkerState {
    tasks: BTreeMap<AttemptKey, RunningTask>,
    fails_all: bool,
    dead: bool,
}

/// A running stand-in of a worker.
#[derive(Clone)]
pub struct Worker {
    /// Where its interface listens.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// Runs of tasks.
    pub journal: TaskJournal,
    capacity: ResourceAmount,
    started: Instant,
    state: Arc<Mutex<WorkerState>>,
}

impl Worker {
    /// Starts a worker on any free port.
    pub async fn spawn(name: &str, capacity: ResourceAmount, journal: TaskJournal) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has free ports");
        let worker = Worker {
            address: listener.local_addr().expect("a bound listener has an address"),
            name: name.to_string(),
            journal,
            capacity,
            started: Instant::now(),
            state: Arc::default(),
        };
        let router = Router::new()
            .route("/status", get(handle_status))
            .route("/start", post(handle_start))
            .route("/renew", post(handle_renew))
            .route("/throttle", post(handle_throttle))
            .route("/stop", post(handle_stop))
            .route("/forget", post(handle_forget))
            .with_state(worker.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        worker.spawn_steps();
        worker
    }

    /// Lets every task that is started from now on fail at once, or not.
    pub fn set_fails_all(&self, fails_all: bool) {
        self.lock().fails_all = fails_all;
    }

    /// Running tasks: the kind of each and the share of its processors that it has.
    pub fn running_kinds(&self) -> Vec<(String, f64)> {
        let state = self.lock();
        let running = state.tasks.values().filter(|task| task.state == AttemptState::Running);
        running.map(|task| (task.start.kind.clone(), f64::from(task.percent) / 100.0)).collect()
    }

    /// Ends the worker: its tasks stop, and it answers nothing any more.
    pub fn die(&self) {
        let mut state = self.lock();
        state.dead = true;
        let runs: Vec<usize> = state.tasks.values().map(|task| task.run).collect();
        state.tasks.clear();
        for run in runs {
            self.end_run(run, false);
        }
    }

    fn spawn_steps(&self) {
        let worker = self.clone();
        tokio::spawn(async move {
            let mut last = Instant::now();
            while !worker.lock().dead {
                tokio::time::sleep(STEP).await;
                let now = Instant::now();
                worker.step(now - last);
                last = now;
            }
        });
    }

    fn step(&self, passed: Duration) {
        let now = self.now_millis();
        let mut state = self.lock();
        for task in state.tasks.values_mut() {
            if task.state != AttemptState::Running {
                continue;
            }
            task.ran += passed;
            task.left = task.left.saturating_sub(passed * task.percent / 100);
            if task.left.is_zero() {
                let result = format!("done {}", task.start.input);
                task.state = AttemptState::Finished { result };
                self.end_run(task.run, true);
            } else if now >= task.lease_until {
                task.state = AttemptState::Stopped { checkpoint: Some(checkpoint(task)) };
                self.end_run(task.run, false);
            }
        }
    }

    fn end_run(&self, run: usize, finished: bool) {
        let mut runs = self.journal.lock();
        if runs[run].until.is_none() {
            runs[run].until = Some(Instant::now());
            runs[run].finished = finished;
        }
    }

    fn now_millis(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The checkpoint of a task: the work that it has left, in microseconds.
fn checkpoint(task: &RunningTask) -> String {
    task.left.as_micros().to_string()
}

async fn handle_status(State(worker): State<Worker>) -> Result<Json<WorkerStatus>, StatusCode> {
    let state = worker.lock();
    if state.dead {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let reports = state.tasks.values().map(|task| AttemptReport {
        key: task.start.key.clone(),
        kind: task.start.kind.clone(),
        resources: task.start.resources,
        used: task.used(),
        ran_millis: task.ran.as_millis() as u64,
        state: task.state.clone(),
    });
    Ok(Json(WorkerStatus {
        now_millis: worker.now_millis(),
        capacity: worker.capacity,
        attempts: reports.collect(),
    }))
}

async fn handle_start(
    State(worker): State<Worker>,
    Json(start): Json<TaskStart>,
) -> Result<(), (StatusCode, &'static str)> {
    let mut state = worker.lock();
    if state.dead {
        return Err((StatusCode::SERVICE_UNAVAILABLE, ""));
    }
    if state.tasks.contains_key(&start.key) {
        return Ok(());
    }
    if worker.now_millis() >= start.lease_until_millis {
        return Err((StatusCode::CONFLICT, "the lease has ended"));
    }
    let resumed = start.checkpoint.as_ref().and_then(|text| text.parse().ok());
    let left = resumed.map_or(Duration::from_millis(start.run_millis), Duration::from_micros);
    let run = {
        let mut runs = worker.journal.lock();
        runs.push(TaskRun {
            worker: worker.name.clone(),
            key: start.key.clone(),
            from: Instant::now(),
            until: None,
            finished: false,
            resumed_from: start.checkpoint.clone(),
            resources: start.resources,
        });
        runs.len() - 1
    };
    let mut task = RunningTask {
        lease_until: start.lease_until_millis,
        run,
        left,
        percent: 100,
        ran: Duration::ZERO,
        state: AttemptState::Running,
        start,
    };
    if state.fails_all || task.start.input == "fail" {
        task.state = AttemptState::Failed { error: "failed at once".to_string() };
        worker.end_run(run, false);
    }
    state.tasks.insert(task.start.key.clone(), task);
    Ok(())
}

async fn handle_renew(
    State(worker): State<Worker>,
    Json(renewal): Json<RenewalBody>,
) -> Result<(), StatusCode> {
    let mut state = worker.lock();
    if state.dead {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    for key in &renewal.keys {
        if let Some(task) = state.tasks.get_mut(key) {
            task.lease_until = task.lease_until.max(renewal.until_millis);
        }
    }
    Ok(())
}

async fn handle_throttle(
    State(worker): State<Worker>,
    Json(throttle): Json<ThrottleBody>,
) -> Result<(), StatusCode> {
    let mut state = worker.lock();
    if state.dead {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if let Some(task) = state.tasks.get_mut(&throttle.key) {
        task.percent = throttle.percent.clamp(1, 100);
    }
    Ok(())
}

async fn handle_stop(
    State(worker): State<Worker>,
    Json(key): Json<AttemptKey>,
) -> Result<(), StatusCode> {
    let mut state = worker.lock();
    if state.dead {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if let Some(task) = state.tasks.get_mut(&key)
        && task.state == AttemptState::Running
    {
        task.state = AttemptState::Stopped { checkpoint: Some(checkpoint(task)) };
        worker.end_run(task.run, false);
    }
    Ok(())
}

async fn handle_forget(
    State(worker): State<Worker>,
    Json(keys): Json<Vec<AttemptKey>>,
) -> Result<(), StatusCode> {
    let mut state = worker.lock();
    if state.dead {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    state.tasks.retain(|key, task| task.state == AttemptState::Running || !keys.contains(key));
    Ok(())
}
