//! Stand-in of the platform's runners: leases, capacity, checkpoints and gangs.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::runtime::Runtime;

use crate::record::EventRecord;

/// Bounds and figures of the sheet of Sendeplan Traffic.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HOLD_MAX_MS: u64 = 10_000;
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);
const SAVE_MS: f64 = 500.0;
const RESTORE: Duration = Duration::from_millis(250);
/// Time that a stop takes, within `StopGraceMs` of 400 ms.
const STOP_TIME: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_millis(5);
pub const CAPACITY_CPU: u64 = 16_000;
pub const CAPACITY_MEM: u64 = 62_500;
pub const SERVICE: &str = "breakplan";

/// What the tasks of a step are, as a client has sent them.
#[derive(Clone, Debug)]
pub struct StepTraits {
    pub count: usize,
    pub cpu: u64,
    pub mem: u64,
    pub work_ms: f64,
    pub is_gang: bool,
    pub has_checkpoints: bool,
    /// A task that lasts works until it is stopped, after a start-up of its work time.
    pub lasts: bool,
}

struct RunState {
    run: u64,
    checkpoint: String,
    came_at: Instant,
    /// When it began to work; `None` while a gang waits for its members.
    began_at: Option<Instant>,
    stops_at: Option<Instant>,
}

struct EndedRun {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

struct RunnerState {
    id: String,
    address: SocketAddr,
    started: Instant,
    until_ms: u64,
    fence: u64,
    running: BTreeMap<String, RunState>,
    highest: HashMap<String, u64>,
    ended: Vec<EndedRun>,
    ends: u64,
    is_draining: bool,
    is_gone: bool,
    /// Unix milliseconds of its start, where runners start again under their ids.
    born: Option<u64>,
    /// Where this life's connections are served; they break when it ends.
    process: Option<Runtime>,
}

/// One end of a run, for the judgement of a case.
#[derive(Clone, Debug)]
pub struct EndEvent {
    pub at: Duration,
    pub began_at: Duration,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
}

/// One start of a run, for the judgement of a case.
#[derive(Clone, Debug)]
pub struct StartEvent {
    pub at: Duration,
    pub task: String,
    pub run: u64,
    pub runner: String,
    pub checkpoint: String,
}

#[derive(Default)]
struct WorldState {
    jobs: HashMap<String, Vec<StepTraits>>,
    runners: Vec<RunnerState>,
    starts: Vec<StartEvent>,
    ends: Vec<EndEvent>,
    late: Option<LateOrders>,
    /// Runners and tasks of the starts that went unanswered.
    unanswered: Vec<(String, String)>,
}

/// Orders that get no answer and are carried out late: every so many of all that come until a time.
struct LateOrders {
    until: Instant,
    every: u64,
    delay: Duration,
    orders: u64,
}

/// All runners of the platform.
#[derive(Clone)]
pub struct RunnerWorld {
    state: Arc<Mutex<WorldState>>,
    record: EventRecord,
    client: reqwest::Client,
    /// Late orders go on when the process has ended that took them.
    main: Handle,
}

/// One runner, as the calls to its address see it.
#[derive(Clone)]
struct RunnerSeat {
    world: RunnerWorld,
    index: usize,
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

fn step_key(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Work that the value carries with which a run was started.
fn base_ms(run: &RunState) -> f64 {
    let digits = run.checkpoint.get(..8).unwrap_or("0");
    u64::from_str_radix(digits, 16).unwrap_or(0) as f64
}

impl WorldState {
    fn traits(&self, task: &str) -> Option<&StepTraits> {
        let mut parts = task.split('.');
        let steps = self.jobs.get(parts.next()?)?;
        steps.get(parts.nth(1)?.parse::<usize>().ok()?)
    }

    /// Work done by a run, in milliseconds, with what its checkpoint carries.
    fn worked_ms(&self, run: &RunState) -> f64 {
        let restore = if run.checkpoint.is_empty() { Duration::ZERO } else { RESTORE };
        let worked = run.began_at.map_or(Duration::ZERO, |at| at.elapsed().saturating_sub(restore));
        base_ms(run) + worked.as_secs_f64() * 1_000.0
    }

    /// The value of a run that has saved at each `SaveS` of work, and at a stop.
    fn saved(&self, task: &str, run: &RunState, is_stop: bool) -> String {
        let traits = self.traits(task);
        let base = base_ms(run);
        let worked = self.worked_ms(run) - base;
        let saved = if is_stop { worked } else { (worked / SAVE_MS).floor() * SAVE_MS };
        if !traits.is_some_and(|traits| traits.has_checkpoints) || saved < 1.0 {
            return run.checkpoint.clone();
        }
        let saved = base + saved;
        format!("{:08x}{}", saved as u64, task.get(8..16).unwrap_or_default())
    }
}

impl RunnerWorld {
    pub fn open(record: EventRecord) -> RunnerWorld {
        let client = reqwest::Client::builder().no_proxy().build().expect("a client");
        let main = Handle::current();
        let world = RunnerWorld { state: Arc::default(), record, client, main };
        let ticking = world.clone();
        tokio::spawn(async move {
            loop {
                ticking.tick();
                tokio::time::sleep(TICK).await;
            }
        });
        world
    }

    fn lock(&self) -> MutexGuard<'_, WorldState> {
        self.state.lock().expect("the world is not poisoned")
    }

    /// Tells the runners what a job consists of.
    pub fn add_job(&self, id: &str, steps: Vec<StepTraits>) {
        self.lock().jobs.insert(id.to_string(), steps);
    }

    pub fn starts(&self) -> Vec<StartEvent> {
        self.lock().starts.clone()
    }

    pub fn ends(&self) -> Vec<EndEvent> {
        self.lock().ends.clone()
    }

    /// The ids of the runners on which a task of a job is.
    pub fn runners_of(&self, job: &str) -> Vec<String> {
        let state = self.lock();
        let has_run = |runner: &&RunnerState| {
            !runner.is_gone && runner.running.keys().any(|task| task.starts_with(job))
        };
        state.runners.iter().filter(has_run).map(|runner| runner.id.clone()).collect()
    }

    /// Whether all members of a gang of a job work.
    pub fn works(&self, job: &str) -> bool {
        let state = self.lock();
        let runs = state.runners.iter().flat_map(|runner| &runner.running);
        let mut runs = runs.filter(|(task, _)| task.starts_with(job)).peekable();
        runs.peek().is_some() && runs.all(|(_, run)| run.began_at.is_some())
    }

    /// Share of the runners' processors that is in use.
    pub fn used_share(&self) -> f64 {
        let state = self.lock();
        let runners = state.runners.iter().filter(|runner| !runner.is_gone);
        let (mut used, mut total) = (0, 0);
        for runner in runners {
            total += CAPACITY_CPU;
            let cpu = |task: &String| state.traits(task).map_or(0, |traits| traits.cpu);
            used += runner.running.keys().map(cpu).sum::<u64>();
        }
        used as f64 / total.max(1) as f64
    }

    /// Starts a runner that registers at the `Control` address of its machine. One that may start
    /// again under its id says when it was born.
    pub fn spawn_runner(
        &self,
        id: &str,
        (zone, rack): (&str, &str),
        control: SocketAddr,
        may_return: bool,
    ) {
        let listener = std::net::TcpListener::bind((control.ip(), 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound listener has an address");
        drop(listener);
        let index = {
            let mut state = self.lock();
            state.runners.push(RunnerState {
                id: id.to_string(),
                address,
                started: Instant::now(),
                until_ms: 0,
                fence: 0,
                running: BTreeMap::new(),
                highest: HashMap::new(),
                ended: Vec::new(),
                ends: 0,
                is_draining: false,
                is_gone: false,
                born: may_return.then(unix_millis),
                process: None,
            });
            state.runners.len() - 1
        };
        let seat = RunnerSeat { world: self.clone(), index };
        self.serve(&seat);
        tokio::spawn(beat(seat, zone.to_string(), rack.to_string(), control));
    }

    /// Begins to serve calls at a runner's address.
    fn serve(&self, seat: &RunnerSeat) {
        let router = Router::new()
            .route("/-/run-start", post(start))
            .route("/-/run-stop", post(stop))
            .route("/-/hold", post(hold))
            .route("/-/pace", post(pace))
            .with_state(seat.clone());
        let process = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let process = process.expect("a runtime for a runner");
        let mut state = self.lock();
        let runner = &mut state.runners[seat.index];
        let address = runner.address;
        process.spawn(async move {
            let listener = TcpListener::bind(address).await.expect("the runner's port is free");
            let _ = axum::serve(listener, router).await;
        });
        runner.process = Some(process);
    }

    /// Lets one of every so many orders go without an answer for a time, and carries it out after
    /// a delay.
    pub fn set_late(&self, span: Duration, every: u64, delay: Duration) {
        let until = Instant::now() + span;
        self.lock().late = Some(LateOrders { until, every, delay, orders: 0 });
        let text = format!("for {span:?}, one of {every} orders goes unanswered");
        self.record.write(&format!("{text} and is carried out {delay:?} late"));
    }

    /// Runners and tasks of the starts that went unanswered.
    pub fn unanswered(&self) -> Vec<(String, String)> {
        self.lock().unanswered.clone()
    }

    /// Whether a runner still lists the end `done` of a task, which nobody has taken note of.
    pub fn lists_done(&self, id: &str, task: &str) -> bool {
        let state = self.lock();
        let mut runners = state.runners.iter().filter(|runner| runner.id == id && !runner.is_gone);
        runners.any(|runner| runner.ended.iter().any(|end| end.task == task && end.how == "done"))
    }

    /// Ends a runner's process. Another one starts under its id and at its address after a while.
    pub async fn crash(&self, id: &str, down: Duration) {
        let index = {
            let mut state = self.lock();
            let index = state.runners.iter().position(|runner| runner.id == id);
            let index = index.expect("the runner exists");
            let tasks: Vec<String> = state.runners[index].running.keys().cloned().collect();
            for task in tasks {
                self.end(&mut state, index, &task, "crashed");
            }
            let runner = &mut state.runners[index];
            runner.is_gone = true;
            if let Some(process) = runner.process.take() {
                process.shutdown_background();
            }
            index
        };
        self.record.write(&format!("runner {id} crashes"));
        tokio::time::sleep(down).await;
        {
            let mut state = self.lock();
            let runner = &mut state.runners[index];
            runner.started = Instant::now();
            (runner.until_ms, runner.fence, runner.ends) = (0, 0, 0);
            runner.highest.clear();
            runner.ended.clear();
            runner.born = Some(unix_millis());
            runner.is_gone = false;
        }
        self.record.write(&format!("runner {id} has started again under its id"));
        self.serve(&RunnerSeat { world: self.clone(), index });
    }

    /// Empties a runner and takes it away: it says that it drains, serves on for `DrainMs` after
    /// the acknowledgement and a little longer, deregisters, and ends.
    pub fn drain(&self, id: &str) {
        let mut state = self.lock();
        for runner in state.runners.iter_mut().filter(|runner| runner.id == id) {
            runner.is_draining = true;
        }
        self.record.write(&format!("runner {id} begins to drain"));
    }

    /// Whether a runner has left.
    pub fn is_gone(&self, id: &str) -> bool {
        self.lock().runners.iter().any(|runner| runner.id == id && runner.is_gone)
    }

    fn tick(&self) {
        let mut state = self.lock();
        for index in 0..state.runners.len() {
            let runner = &state.runners[index];
            let clock = runner.started.elapsed().as_millis() as u64;
            if clock > runner.until_ms && !runner.running.is_empty() {
                let tasks: Vec<String> = runner.running.keys().cloned().collect();
                for task in tasks {
                    self.end(&mut state, index, &task, "lapsed");
                }
            }
        }
        self.assemble_gangs(&mut state);
        let now = Instant::now();
        let mut due = Vec::new();
        for (index, runner) in state.runners.iter().enumerate() {
            for (task, run) in &runner.running {
                let work_ms = state.traits(task).map_or(0.0, |traits| {
                    if traits.lasts { f64::INFINITY } else { traits.work_ms }
                });
                if run.stops_at.is_some_and(|at| now >= at) {
                    due.push((index, task.clone(), "stopped"));
                } else if run.began_at.is_some() && state.worked_ms(run) >= work_ms {
                    due.push((index, task.clone(), "done"));
                } else if run.began_at.is_none() && run.came_at.elapsed() >= GANG_TIMEOUT {
                    due.push((index, task.clone(), "alone"));
                }
            }
        }
        for (index, task, how) in due {
            self.end(&mut state, index, &task, how);
        }
    }

    /// Lets the gangs begin all of whose tasks of one run are present. Their values have to be the
    /// same ("all must carry the same value").
    fn assemble_gangs(&self, state: &mut WorldState) {
        let mut waiting: BTreeMap<(String, u64, String), usize> = BTreeMap::new();
        for runner in &state.runners {
            for (task, run) in &runner.running {
                if run.began_at.is_none() && run.stops_at.is_none() {
                    let gang = (step_key(task).to_string(), run.run, run.checkpoint.clone());
                    *waiting.entry(gang).or_default() += 1;
                }
            }
        }
        for ((step, number, checkpoint), present) in waiting {
            let first = format!("{step}.0");
            if state.traits(&first).is_none_or(|traits| present < traits.count) {
                continue;
            }
            self.record.write(&format!("gang {step} run {number} works, from '{checkpoint}'"));
            for runner in &mut state.runners {
                for (task, run) in &mut runner.running {
                    if step_key(task) == step && run.run == number {
                        run.began_at = Some(Instant::now());
                    }
                }
            }
        }
    }

    fn end(&self, state: &mut WorldState, index: usize, task: &str, how: &'static str) {
        let Some(run) = state.runners[index].running.remove(task) else {
            return;
        };
        let saved = state.saved(task, &run, how == "stopped");
        let runner = &mut state.runners[index];
        let highest = runner.highest.entry(task.to_string()).or_default();
        *highest = run.run.max(*highest);
        runner.ends += 1;
        let number = runner.ends;
        let (name, id) = (task.to_string(), runner.id.clone());
        runner.ended.push(EndedRun {
            number,
            task: name.clone(),
            run: run.run,
            how,
            saved: saved.clone(),
        });
        let at = self.record.elapsed();
        let began_at = at.saturating_sub(run.came_at.elapsed());
        self.record.write(&format!("end {task} run {} on {id}: {how}, saved '{saved}'", run.run));
        state.ends.push(EndEvent { at, began_at, task: name, run: run.run, how });
        let is_gang = state.traits(task).is_some_and(|traits| traits.is_gang);
        // Members that end together each list their own end.
        if is_gang && !matches!(how, "done" | "alone" | "broken") {
            let others: Vec<(usize, String)> = (0..state.runners.len())
                .flat_map(|other| {
                    let runs = state.runners[other].running.iter();
                    let same = runs.filter(|(name, member)| {
                        step_key(name) == step_key(task) && member.run == run.run
                    });
                    same.map(move |(name, _)| (other, name.clone())).collect::<Vec<_>>()
                })
                .collect();
            for (other, name) in others {
                self.end(state, other, &name, "broken");
            }
        }
    }
}

impl RunnerSeat {
    /// Admits a call for this runner with a fencing token that is not too low.
    fn admit<T>(
        &self,
        headers: &HeaderMap,
        body: &Value,
        act: impl FnOnce(&mut WorldState, usize, u64) -> T,
    ) -> Result<T, Response> {
        let mut state = self.world.lock();
        let runner = &mut state.runners[self.index];
        let meant = headers.get("X-Greengagearch-Expect-Instance");
        if runner.is_gone || meant.is_some_and(|meant| meant.as_bytes() != runner.id.as_bytes()) {
            return Err(StatusCode::MISDIRECTED_REQUEST.into_response());
        }
        let clock = runner.started.elapsed().as_millis() as u64;
        let fence = body["Fence"].as_u64().unwrap_or(0);
        if fence < runner.fence {
            return Err(refuse(runner, "fence"));
        }
        runner.fence = fence;
        Ok(act(&mut state, self.index, clock))
    }
}

/// What a runner says of itself with each answer.
fn said(runner: &RunnerState) -> Value {
    let mut body = json!({ "ClockMs": runner.started.elapsed().as_millis() as u64 });
    if let Some(born) = runner.born {
        body["born"] = json!(born);
    }
    body
}

fn refuse(runner: &RunnerState, reason: &str) -> Response {
    let mut body = said(runner);
    body["Reason"] = json!(reason);
    (StatusCode::CONFLICT, Json(body)).into_response()
}

fn accept(runner: &RunnerState) -> Response {
    Json(said(runner)).into_response()
}

fn extend(runner: &mut RunnerState, body: &Value, clock: u64) {
    if let Some(until) = body["UntilMs"].as_u64() {
        runner.until_ms = runner.until_ms.max(until.min(clock + HOLD_MAX_MS));
    }
}

type Order = fn(&RunnerSeat, &HeaderMap, &Value) -> Response;

/// Carries an order out, or leaves it unanswered and carries it out late.
async fn carry_out(seat: RunnerSeat, headers: HeaderMap, body: Value, order: Order) -> Response {
    let delay = {
        let mut state = seat.world.lock();
        let id = state.runners[seat.index].id.clone();
        let late = state.late.as_mut().filter(|late| Instant::now() < late.until);
        let delay = late.and_then(|late| {
            late.orders += 1;
            (late.orders % late.every == 0).then_some(late.delay)
        });
        if delay.is_some() {
            let task = body["Task"].as_str().unwrap_or_default().to_string();
            state.unanswered.push((id, task));
        }
        delay
    };
    let Some(delay) = delay else {
        return order(&seat, &headers, &body);
    };
    let text = format!("order on task {} run {} goes unanswered", body["Task"], body["Run"]);
    seat.world.record.write(&text);
    let main = seat.world.main.clone();
    main.spawn(async move {
        tokio::time::sleep(delay).await;
        let status = order(&seat, &headers, &body).status();
        let text = format!("late order on task {} run {}: {status}", body["Task"], body["Run"]);
        seat.world.record.write(&text);
    });
    std::future::pending().await
}

async fn start(
    State(seat): State<RunnerSeat>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    carry_out(seat, headers, body, start_now).await
}

async fn stop(
    State(seat): State<RunnerSeat>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    carry_out(seat, headers, body, stop_now).await
}

fn start_now(seat: &RunnerSeat, headers: &HeaderMap, body: &Value) -> Response {
    let world = seat.world.clone();
    let answer = seat.admit(headers, body, |state, index, clock| {
        let task = body["Task"].as_str().unwrap_or_default().to_string();
        let number = body["Run"].as_u64().unwrap_or(0);
        let runner = &mut state.runners[index];
        if body["UntilMs"].as_u64().unwrap_or(0) < clock {
            return refuse(runner, "late");
        }
        extend(runner, body, clock);
        if runner.running.get(&task).is_some_and(|run| run.run == number) {
            return accept(runner);
        }
        let is_old = runner.highest.get(&task).is_some_and(|highest| number <= *highest);
        if is_old || runner.running.contains_key(&task) {
            return refuse(runner, "old");
        }
        let Some(traits) = state.traits(&task).cloned() else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        let tasks = state.runners[index].running.keys();
        let used = tasks.filter_map(|other| state.traits(other));
        let used = used.fold((0, 0), |used, other| (used.0 + other.cpu, used.1 + other.mem));
        if used.0 + traits.cpu > CAPACITY_CPU || used.1 + traits.mem > CAPACITY_MEM {
            return refuse(&state.runners[index], "room");
        }
        let checkpoint = body["LastCheckpoint"].as_str().unwrap_or_default().to_string();
        let id = state.runners[index].id.clone();
        let at = world.record.elapsed();
        world.record.write(&format!("start {task} run {number} on {id}, from '{checkpoint}'"));
        state.starts.push(StartEvent {
            at,
            task: task.clone(),
            run: number,
            runner: id,
            checkpoint: checkpoint.clone(),
        });
        let began_at = (!traits.is_gang).then(Instant::now);
        let came_at = Instant::now();
        let run = RunState { run: number, checkpoint, came_at, began_at, stops_at: None };
        state.runners[index].running.insert(task, run);
        accept(&state.runners[index])
    });
    answer.unwrap_or_else(|refusal| refusal)
}

fn stop_now(seat: &RunnerSeat, headers: &HeaderMap, body: &Value) -> Response {
    let answer = seat.admit(headers, body, |state, index, _| {
        let task = body["Task"].as_str().unwrap_or_default().to_string();
        let number = body["Run"].as_u64().unwrap_or(0);
        let runner = &mut state.runners[index];
        match runner.running.get_mut(&task).filter(|run| run.run == number) {
            Some(run) => {
                run.stops_at.get_or_insert(Instant::now() + STOP_TIME);
            }
            None => {
                let highest = runner.highest.entry(task).or_default();
                *highest = number.max(*highest);
            }
        }
        accept(runner)
    });
    answer.unwrap_or_else(|refusal| refusal)
}

async fn pace(
    State(seat): State<RunnerSeat>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let answer = seat.admit(&headers, &body, |state, index, _| accept(&state.runners[index]));
    answer.unwrap_or_else(|refusal| refusal)
}

async fn hold(
    State(seat): State<RunnerSeat>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    let wait = Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0).min(2_000));
    let began = Instant::now();
    let seen = body["LastSeen"].as_u64().unwrap_or(0);
    let admitted = seat.admit(&headers, &body, |state, index, clock| {
        let runner = &mut state.runners[index];
        extend(runner, &body, clock);
        runner.ended.retain(|end| end.number > seen);
    });
    if let Err(refusal) = admitted {
        return refusal;
    }
    loop {
        {
            let state = seat.world.lock();
            let runner = &state.runners[seat.index];
            if !runner.ended.is_empty() || began.elapsed() >= wait {
                return Json(lists(&state, runner)).into_response();
            }
        }
        tokio::time::sleep(TICK).await;
    }
}

fn lists(state: &WorldState, runner: &RunnerState) -> Value {
    let running = runner.running.iter().map(|(task, run)| {
        let traits = state.traits(task);
        let work_ms = traits.map_or(1.0, |traits| traits.work_ms);
        let most = if traits.is_some_and(|traits| traits.lasts) { 100.0 } else { 99.0 };
        let percent = (state.worked_ms(run) / work_ms * 100.0).min(most) as u64;
        let cpu = if run.began_at.is_some() { traits.map_or(0, |traits| traits.cpu) } else { 0 };
        json!([task, run.run, state.saved(task, run, false), percent, cpu])
    });
    let ended = runner
        .ended
        .iter()
        .take(500)
        .map(|end| json!([end.number, end.task, end.run, end.how, end.saved]));
    let mut lists = said(runner);
    lists["Running"] = json!(running.collect::<Vec<_>>());
    lists["Ended"] = json!(ended.collect::<Vec<_>>());
    lists
}

/// Sends the runner's heartbeats until it leaves.
async fn beat(seat: RunnerSeat, zone: String, rack: String, control: SocketAddr) {
    let world = &seat.world;
    let mut acknowledged: Option<Instant> = None;
    let mut sequence = 0_u64;
    loop {
        let (id, address, said, is_draining, is_gone) = {
            let state = world.lock();
            let runner = &state.runners[seat.index];
            let (is_draining, is_gone) = (runner.is_draining, runner.is_gone);
            (runner.id.clone(), runner.address, said(runner), is_draining, is_gone)
        };
        if is_gone {
            tokio::time::sleep(TICK).await;
            sequence = 0;
            continue;
        }
        sequence += 1;
        let url = format!("http://{control}/-/instances/{id}");
        if acknowledged.is_some_and(|at| at.elapsed() > DRAIN) {
            {
                let mut state = world.lock();
                let runner = &mut state.runners[seat.index];
                runner.is_gone = true;
                if let Some(process) = runner.process.take() {
                    process.shutdown_background();
                }
                let tasks: Vec<String> = runner.running.keys().cloned().collect();
                for task in tasks {
                    world.end(&mut state, seat.index, &task, "lapsed");
                }
            }
            world.record.write(&format!("runner {id} leaves"));
            let _ = world.client.delete(&url).send().await;
            return;
        }
        let mut body = json!({
            "Service": SERVICE, "Address": address.to_string(), "Zone": zone, "Version": "v1",
            "Slots": 8, "State": if is_draining { "draining" } else { "ready" }, "ColdLeftMs": 0,
            "Capacity": { "Cpu": CAPACITY_CPU, "MemMb": CAPACITY_MEM, "Gpu": 0 },
            "Labels": ["a", rack], "ClockMs": said["ClockMs"], "Sequence": sequence,
        });
        if !said["born"].is_null() {
            body["born"] = said["born"].clone();
        }
        if is_draining {
            body["DrainRemainingMs"] = json!(DRAIN.as_millis() as u64);
        }
        let call = world.client.put(&url).json(&body).timeout(Duration::from_secs(1));
        let is_answered = call.send().await.is_ok_and(|answer| answer.status().is_success());
        if is_answered && is_draining && acknowledged.is_none() {
            acknowledged = Some(Instant::now());
            world.record.write(&format!("runner {id}: draining is acknowledged"));
        }
        let next = Instant::now() + HEARTBEAT;
        while Instant::now() < next && !world.lock().runners[seat.index].is_gone {
            tokio::time::sleep(TICK).await;
        }
    }
}
