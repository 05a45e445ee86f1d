//! A small deployment: the project's programs as the deploy file starts them, beside the stand-ins.

use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;

use crate::base::Json;
use crate::base::call;
use crate::base::now_ms;
use crate::base::sleep_ms;
use crate::base::wall_ms;
use crate::runner::Job;
use crate::runner::Runner;
use crate::runner::World;
use crate::runner::free_port;
use crate::store::Store;

/// How long a client waits for an answer.
const DEADLINE_MS: u64 = 3_000;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The words and the template of a role in the deploy file.
struct Role {
    run: Vec<String>,
    template: String,
}

/// Reads a role from `deploy/system.toml`.
fn role(name: &str) -> Role {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let section = text.split("[roles.").find(|part| part.starts_with(&format!("{name}]")));
    let section = section.expect("the role stands in the deploy file");
    let value = |key: &str| {
        let line = section.lines().find(|line| line.starts_with(&format!("{key} =")));
        line.and_then(|line| line.split('"').nth(1)).expect("the key stands there").to_string()
    };
    let template = std::fs::read_to_string(value("template")).expect("the template");
    Role { run: value("run").split(' ').map(str::to_string).collect(), template }
}

/// Fills a template in by the rules of DEPLOY, as far as the project's templates need them.
fn fill(template: &str, fields: &Json) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = rest[start..].find("}}").expect("a placeholder ends") + start;
        let name = rest[start + 2..end].to_string();
        rest = &rest[end + 2..];
        if let Some(section) = name.strip_prefix(['#', '^']) {
            let close = format!("{{{{/{section}}}}}");
            let stop = rest.find(&close).expect("a section ends");
            let is_there =
                !matches!(find(fields, section), None | Some(Json::Null | Json::Bool(false)));
            if is_there == name.starts_with('#') {
                out.push_str(&fill(&rest[..stop], fields));
            }
            rest = &rest[stop + close.len()..];
        } else {
            match find(fields, &name) {
                Some(Json::Str(text)) => out.push_str(text),
                Some(Json::Null) | None => {}
                Some(value) => out.push_str(&value.write()),
            }
        }
    }
    out + rest
}

fn find<'a>(fields: &'a Json, name: &str) -> Option<&'a Json> {
    name.split('.').try_fold(fields, |value, part| match (value, part.parse::<usize>()) {
        (Json::List(entries), Ok(index)) => entries.get(index),
        (value, _) => value.get(part),
    })
}

/// The processes that run now, by their ids.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the processes that still run.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// A process of the project.
pub struct Process {
    /// Name in records.
    pub name: String,
    run: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Address for clients, or for heartbeats.
    pub address: String,
    /// Address for the question whether it is ready.
    pub ready: String,
}

impl Process {
    /// Starts it.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let copy = log.try_clone().expect("a log");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", "/tmp")
            .env("LANG", "C.UTF-8")
            .env("GREENGAGEARCH_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(copy)
            .spawn();
        let child = child.expect("the deploy file's build was run");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What has been written down.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Opens the file.
    pub fn open(path: &Path) -> Record {
        Record { file: Arc::new(Mutex::new(File::create(path).expect("a record"))) }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        use std::io::Write;
        let _ = writeln!(self.file.lock().unwrap(), "{:>7} {text}", now_ms());
    }
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted.
    Accepted,
    /// All attempts were rejected.
    Rejected,
    /// Some attempt has no answer that counts.
    Unknown,
}

/// The processes and the stand-ins.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// What runners share.
    pub world: World,
    /// Planners.
    pub planners: Vec<Process>,
    /// Node agents.
    pub nodes: Vec<Process>,
    /// Runners, one beside each agent.
    pub runners: Vec<Runner>,
    /// What is written down.
    pub record: Record,
}

/// Sizes of a deployment.
pub struct Size {
    /// Number of planners.
    pub planners: usize,
    /// Number of runners.
    pub runners: usize,
    /// Cores of a runner.
    pub cores: u64,
    /// Whether runners keep their ids and say when they were born.
    pub keeps_id: bool,
}

impl Deployment {
    /// Starts all and waits until the planners are ready and the runners are known.
    pub fn open(size: &Size, record: &Record, folder: &Path) -> Deployment {
        let store = Store::default();
        store.put("op", "config", &configuration(1));
        let world = World::default();
        let mut planners = Vec::new();
        for index in 0..size.planners {
            let mut planner = process("planner", &format!("front-{index}"), index, &store, folder);
            planner.start();
            planners.push(planner);
        }
        let (mut nodes, mut runners) = (Vec::new(), Vec::new());
        for index in 0..size.runners {
            let mut node = process("node", &format!("side-{index}"), index, &store, folder);
            node.start();
            let rack = format!("r1-{}", index / 3);
            runners.push(Runner::spawn(
                &world,
                &format!("{index}"),
                ZONES[index % 3],
                &node.address,
                size.cores,
                &[if index < 3 { "b" } else { "a" }, &rack],
                size.keeps_id,
            ));
            nodes.push(node);
        }
        let deployment =
            Deployment { store, world, planners, nodes, runners, record: record.clone() };
        // Traffic starts 10 s after the machines do.
        sleep_ms(10_000);
        for planner in &deployment.planners {
            let ready = call(&planner.ready, "GET", "/-/ready", &[], None, 1_000);
            record.line(&format!("{} ready: {:?}", planner.name, ready.map(|(status, _)| status)));
        }
        deployment
    }

    /// Calls a planner as a client.
    pub fn client(
        &self,
        planner: usize,
        method: &str,
        path: &str,
        body: Option<&Json>,
    ) -> Option<(u16, Json)> {
        let headers = [("Host", "jobs.example"), ("X-Greengagearch-Deadline-Ms", "3000")];
        let address = &self.planners[planner % self.planners.len()].address;
        let answer = call(address, method, path, &headers, body, DEADLINE_MS);
        let said = answer.as_ref().map(|(status, body)| (*status, body.write()));
        self.record.line(&format!("{method} {path} at front-{planner}: {said:?}"));
        answer
    }

    /// Submits a job as a client does: after no answer, a 502 or a 504 with the same name at another
    /// node, four times.
    pub fn submit(&self, queue: &str, job: &Job, planner: usize) -> Outcome {
        self.world.jobs.lock().unwrap().insert(job.id.clone(), job.clone());
        let body = job.json();
        let mut is_unknown = false;
        for attempt in 0..5 {
            let path = format!("/{queue}/{}", job.id);
            let at = (planner + attempt) % self.planners.len();
            match self.client(at, "POST", &path, Some(&body)) {
                Some((200..=299, _)) => return Outcome::Accepted,
                Some((429 | 503, _)) if !is_unknown => return Outcome::Rejected,
                Some((400 | 404 | 409 | 413, _)) => return Outcome::Rejected,
                _ => is_unknown = true,
            }
            sleep_ms(200);
        }
        Outcome::Unknown
    }

    /// Asks for the state of a job. Returns the status and the state.
    pub fn state(&self, queue: &str, id: &str, planner: usize) -> Option<(u16, String)> {
        let answer = self.client(planner, "GET", &format!("/{queue}/{id}"), None)?;
        Some((answer.0, answer.1.text("State").to_string()))
    }

    /// Writes down what the runners have run, and what is amiss. Returns the rules that were broken.
    pub fn judge(&mut self) -> Vec<String> {
        let history = self.world.history.lock().unwrap();
        let mut broken = history.broken.clone();
        for (index, one) in history.runs.iter().enumerate() {
            self.record.line(&format!(
                "run {} {} on {} from {} to {:?} noted {:?} resumed {}",
                one.task,
                one.run,
                one.runner,
                one.began_ms,
                one.ended,
                one.noted_ms,
                one.checkpoint
            ));
            let Some((_, step, _)) = self.world.step(&one.task) else {
                continue;
            };
            let step_of = |task: &str| task.rsplit_once('.').map(|(step, _)| step.to_string());
            let sibling = history.runs[..index].iter().find(|other| {
                step.gang && other.run == one.run && step_of(&other.task) == step_of(&one.task)
            });
            if let Some(sibling) = sibling.filter(|other| other.checkpoint != one.checkpoint) {
                broken.push(format!(
                    "UNASKED {} run {} resumes from {}, and {} from {}",
                    one.task, one.run, one.checkpoint, sibling.task, sibling.checkpoint
                ));
            }
            if step.speculative || step.lasts {
                continue;
            }
            let earlier = history.runs[..index].iter().filter(|other| other.task == one.task);
            for other in earlier {
                let is_done = other
                    .ended
                    .as_ref()
                    .is_some_and(|(at, how)| how == "done" && *at <= one.began_ms);
                if is_done && other.noted_ms.is_some() {
                    broken.push(format!(
                        "TWICE {} run {} began at {} after run {} was done, which was noted",
                        one.task, one.run, one.began_ms, other.run
                    ));
                }
            }
        }
        drop(history);
        for refused in self.store.refused().iter().take(5) {
            self.record.line(&format!("store refused: {refused}"));
        }
        self.record.line(&format!("store refused {} calls", self.store.refused().len()));
        for process in self.planners.iter_mut().chain(&mut self.nodes) {
            if let Some(status) = process.ended() {
                self.record.line(&format!("{} has ended by itself: {status}", process.name));
                broken.push(format!("{} has ended by itself: {status}", process.name));
            }
        }
        for line in &broken {
            self.record.line(&format!("broken: {line}"));
        }
        broken
    }
}

/// The configuration with the queues that the cases use.
pub fn configuration(version: u64) -> Json {
    let route = |name: &str, priority: u64| {
        Json::map(&[
            ("Name", Json::str(name)),
            ("Host", Json::str("jobs.example")),
            ("Prefix", Json::str(&format!("/{name}/"))),
            ("Kind", Json::str("non_idempotent")),
            ("TimeoutMs", Json::num(3_000)),
            ("TargetDurationMs", Json::num(1_000)),
            ("Priority", Json::num(priority)),
            ("Service", Json::str("svc")),
            ("MaxAttempts", Json::num(3)),
            ("Stretch", Json::Num(2.0)),
        ])
    };
    let service = Json::map(&[
        ("Name", Json::str("svc")),
        ("HealthPath", Json::str("/health")),
        ("MaxConns", Json::num(64)),
        ("Protocol", Json::str("h1")),
        ("Tls", Json::Bool(false)),
        ("EnforcesCapacity", Json::Bool(true)),
        ("Standby", Json::Bool(false)),
    ]);
    Json::map(&[
        ("Version", Json::num(version)),
        ("Routes", Json::List(vec![route("fast", 0), route("bulk", 2)])),
        ("Services", Json::List(vec![service])),
        ("Limits", Json::map(&[("MaxBodyBytes", Json::num(262_144))])),
    ])
}

fn process(role_name: &str, name: &str, index: usize, store: &Store, folder: &Path) -> Process {
    let listener = store.listen();
    let role = role(role_name);
    let local = |port: u16| format!("127.0.0.1:{port}");
    let (front, ready, control) = (local(free_port()), local(free_port()), local(free_port()));
    let (first, second) = (free_port(), free_port());
    let bounds: BTreeMap<String, Json> = [
        ("ContactMs", 3_000),
        ("AckMs", 4_000),
        ("DrainMs", 2_000),
        ("GraceS", 6),
        ("ConfigApplyMs", 2_000),
        ("HoldMaxMs", 10_000),
        ("StopGraceMs", 400),
        ("GangTimeoutMs", 3_000),
        ("cancel_ms", 3_000),
        ("visible_ms", 3_000),
        ("status_s", 120),
        ("LeaseMs", 3_000),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_string(), Json::num(value)))
    .collect();
    let fields = Json::map(&[
        ("Node", Json::str(name)),
        ("Ip", Json::str("127.0.0.1")),
        ("Zone", Json::str(ZONES[index % 3])),
        (
            "Listen",
            Json::map(&[
                ("Front", Json::str(&front)),
                ("ReadyAddr", Json::str(&ready)),
                ("Control", Json::str(&control)),
            ]),
        ),
        ("PortRange", Json::List(vec![Json::num(first.into()), Json::num(second.into())])),
        ("Limits", Json::map(&[("CpuShare", Json::Num(0.25))])),
        ("Bounds", Json::Map(bounds)),
        ("Advice", Json::str(&local(free_port()))),
        (
            "platform",
            Json::map(&[
                ("Address", Json::str(&listener.address.to_string())),
                ("Spanning", Json::Bool(true)),
                ("RowBytes", Json::num(65_536)),
            ]),
        ),
    ]);
    let settings = folder.join(format!("{name}.settings"));
    std::fs::write(&settings, fill(&role.template, &fields)).expect("a settings file");
    Process {
        name: name.to_string(),
        run: role.run,
        settings,
        log: folder.join(format!("{name}.log")),
        child: None,
        address: if role_name == "planner" { front } else { control },
        ready,
    }
}

/// The name of the job with a number: 16 hexadecimal digits.
pub fn job_id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number)
}

/// A time in a while, in milliseconds since 1970.
pub fn wall_in(ms: u64) -> u64 {
    wall_ms() + ms
}
