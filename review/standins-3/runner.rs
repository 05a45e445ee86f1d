//! A runner of the users' application: keeps runs under leases, and lists what runs and has ended.
//! A task runs for the time that its payload names for its step, in milliseconds: "300,25000".

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Request;
use crate::json::Json;
use crate::json::quoted;

const MAX_HOLD_MS: u64 = 10_000;
const TICK: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const MAX_ENDS: usize = 500;

struct Run {
    run: u64,
    started: Instant,
    work: Duration,
}

#[derive(Default)]
struct Life {
    fence: u64,
    lease_end_ms: u64,
    running: BTreeMap<String, Run>,
    /// Number, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    closed: HashMap<String, u64>,
}

/// A start or an end of a run, for the judgement.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub task: String,
    pub run: u64,
    pub what: &'static str,
}

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub millicores: u64,
    pub memory_mb: u64,
    pub born: Instant,
    life: Mutex<Life>,
    changed: Condvar,
    events: Arc<Mutex<Vec<Event>>>,
}

/// What describes a runner.
pub struct RunnerSpec {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub millicores: u64,
    pub memory_mb: u64,
}

impl Runner {
    /// Starts a runner that reports to a registry.
    pub fn start(
        spec: RunnerSpec,
        listener: std::net::TcpListener,
        registry: SocketAddr,
        events: Arc<Mutex<Vec<Event>>>,
    ) -> Arc<Runner> {
        let runner = Arc::new(Runner {
            id: spec.id,
            address: spec.address,
            service: spec.service,
            zone: spec.zone,
            rack: spec.rack,
            millicores: spec.millicores,
            memory_mb: spec.memory_mb,
            born: Instant::now(),
            life: Mutex::default(),
            changed: Condvar::new(),
            events,
        });
        let served = runner.clone();
        http::serve(listener, move |request| served.answer(request));
        let ticking = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.tick();
            }
        });
        let beating = runner.clone();
        std::thread::spawn(move || beating.beat(registry));
        runner
    }

    fn clock_ms(&self) -> u64 {
        self.born.elapsed().as_millis() as u64 + 1_000
    }

    fn beat(&self, registry: SocketAddr) {
        for sequence in 1_u64.. {
            let (service, zone, rack) =
                (quoted(&self.service), quoted(&self.zone), quoted(&self.rack));
            let address = quoted(&self.address.to_string());
            let (cpu, memory, clock) = (self.millicores, self.memory_mb, self.clock_ms());
            let body = format!(
                "{{\"Service\":{service},\"Address\":{address},\"Zone\":{zone},\
                 \"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\",\"ColdLeftMs\":0,\
                 \"Capacity\":{{\"Cpu\":{cpu},\"MemMb\":{memory},\"Gpu\":0}},\
                 \"Labels\":[\"a\",{rack}],\"ClockMs\":{clock},\"Sequence\":{sequence}}}"
            );
            let path = format!("/-/instances/{}", self.id);
            let _ = http::call(registry, "PUT", &path, &[], &body, Duration::from_secs(1));
            std::thread::sleep(HEARTBEAT);
        }
    }

    fn tick(&self) {
        let mut life = self.life.lock().unwrap();
        let now = Instant::now();
        let is_done = |run: &Run| now >= run.started + run.work;
        let done = life.running.iter().filter(|(_, run)| is_done(run));
        let done: Vec<String> = done.map(|(task, _)| task.clone()).collect();
        for task in done {
            self.end(&mut life, &task, "done");
        }
        if life.lease_end_ms <= self.clock_ms() {
            let lapsed: Vec<String> = life.running.keys().cloned().collect();
            for task in lapsed {
                self.end(&mut life, &task, "lapsed");
            }
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else {
            return;
        };
        life.last_end += 1;
        let number = life.last_end;
        life.ended.push((number, task.to_string(), run.run, how));
        let closed = life.closed.entry(task.to_string()).or_default();
        *closed = (*closed).max(run.run);
        self.record(task, run.run, how);
        self.changed.notify_all();
    }

    fn record(&self, task: &str, run: u64, what: &'static str) {
        let event = Event { at: Instant::now(), task: task.to_string(), run, what };
        self.events.lock().unwrap().push(event);
    }

    fn refusal(&self, reason: &str) -> Answer {
        let clock = self.clock_ms();
        Some((409, format!("{{\"ClockMs\":{clock},\"Reason\":\"{reason}\"}}")))
    }

    fn done(&self) -> Answer {
        Some((200, format!("{{\"ClockMs\":{}}}", self.clock_ms())))
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.path == "/health" {
            return Some((200, "{}".to_string()));
        }
        let expected = request.header("x-greengagearch-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return Some((421, "{}".to_string()));
        }
        let Some(body) = Json::parse(&request.body) else {
            return Some((400, "{}".to_string()));
        };
        let fence = body.get("Fence").number() as u64;
        let mut life = self.life.lock().unwrap();
        if fence < life.fence {
            return self.refusal("fence");
        }
        life.fence = fence;
        let until = (body.get("UntilMs").number() as u64).min(self.clock_ms() + MAX_HOLD_MS);
        let (task, run) = (body.get("Task").text().to_string(), body.get("Run").number() as u64);
        match request.path.as_str() {
            "/-/run-start" => {
                if until <= self.clock_ms() {
                    return self.refusal("late");
                }
                life.lease_end_ms = life.lease_end_ms.max(until);
                if life.running.get(&task).is_some_and(|known| known.run == run) {
                    return self.done();
                }
                let is_running = life.running.contains_key(&task);
                if is_running || life.closed.get(&task).is_some_and(|closed| run <= *closed) {
                    return self.refusal("old");
                }
                let work = work_of(&task, body.get("Spec").text());
                let started = Instant::now();
                life.running.insert(task.clone(), Run { run, started, work });
                self.record(&task, run, "start");
                self.done()
            }
            "/-/run-stop" => {
                if life.running.get(&task).is_some_and(|known| known.run <= run) {
                    self.end(&mut life, &task, "stopped");
                }
                let closed = life.closed.entry(task).or_default();
                *closed = (*closed).max(run);
                self.done()
            }
            "/-/pace" => self.done(),
            "/-/hold" => {
                life.lease_end_ms = life.lease_end_ms.max(until);
                let seen = body.get("LastSeen").number() as u64;
                life.ended.retain(|end| end.0 > seen);
                let wait = (body.get("WaitMs").number() as u64).min(2_000);
                let end = Instant::now() + Duration::from_millis(wait);
                while life.ended.is_empty() {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    life = self.changed.wait_timeout(life, left).unwrap().0;
                }
                Some((200, self.lists(&life)))
            }
            _ => Some((404, "{}".to_string())),
        }
    }

    fn lists(&self, life: &Life) -> String {
        let running = life.running.iter().map(|(task, run)| {
            let share = run.started.elapsed().as_secs_f64() / run.work.as_secs_f64().max(0.001);
            let percent = (share * 100.0).min(99.0) as u64;
            format!("[{},{},\"\",{percent},10]", quoted(task), run.run)
        });
        let running: Vec<String> = running.collect();
        let ended = life.ended.iter().take(MAX_ENDS).map(|(number, task, run, how)| {
            format!("[{number},{},{run},\"{how}\",\"\"]", quoted(task))
        });
        let ended: Vec<String> = ended.collect();
        let (running, ended, clock) = (running.join(","), ended.join(","), self.clock_ms());
        format!("{{\"ClockMs\":{clock},\"Running\":[{running}],\"Ended\":[{ended}]}}")
    }
}

fn work_of(task: &str, payload: &str) -> Duration {
    let step = task.split('.').nth(2).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
    let time = payload.split(',').nth(step).and_then(|text| text.parse().ok());
    Duration::from_millis(time.unwrap_or(500))
}
