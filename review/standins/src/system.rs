//! The project's programs as separate processes, started with the commands of the deploy file.

use std::collections::BTreeSet;
use std::fs::File;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use serde_json::Value;
use serde_json::json;

/// The environment variable that the commands of the deploy file name.
const SETTINGS_VARIABLE: &str = "GREENGAGEARCH_NODE_FILE";

/// A process of the project on a machine of its own, which is a loopback address here.
pub struct SystemProcess {
    pub name: String,
    /// What it listens on for clients, for readiness polls, and for its runner.
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    child: Child,
    log: PathBuf,
}

impl SystemProcess {
    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// What the process has written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for SystemProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts processes from the repository's root, and keeps their files in a temporary folder.
pub struct ProcessStarter {
    folder: PathBuf,
    store: SocketAddr,
    advice: SocketAddr,
    ports: BTreeSet<(IpAddr, u16)>,
}

impl ProcessStarter {
    pub fn open(store: SocketAddr, advice: SocketAddr) -> ProcessStarter {
        let name = format!("gga-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        ProcessStarter { folder, store, advice, ports: BTreeSet::new() }
    }

    /// Starts `gga-planner` on a front machine.
    pub fn planner(&mut self, number: u8, zone: &str) -> SystemProcess {
        let (name, ip) = (format!("front-{number}"), IpAddr::from([127, 0, 1, number]));
        self.start(&name, "front", ip, zone, "target/release/gga-planner", "deploy/planner.ini")
    }

    /// Starts `gga-node` on a side machine.
    pub fn node(&mut self, number: u8, zone: &str) -> SystemProcess {
        let (name, ip) = (format!("side-{number}"), IpAddr::from([127, 0, 2, number]));
        self.start(&name, "side", ip, zone, "target/release/gga-node", "deploy/node.ini")
    }

    fn start(
        &mut self,
        name: &str,
        class: &str,
        ip: IpAddr,
        zone: &str,
        program: &str,
        template: &str,
    ) -> SystemProcess {
        let [front, ready, control] = [0; 3].map(|_| SocketAddr::new(ip, self.free_port(ip)));
        let ports = [self.free_port(ip), self.free_port(ip)];
        let fields =
            settings(name, class, zone, [front, ready, control], ports, self.store, self.advice);
        let template = std::fs::read_to_string(template).expect("the template of the settings");
        let file = self.folder.join(format!("{name}.ini"));
        std::fs::write(&file, fill_in(&template, &fields)).expect("settings can be written");
        let command = vec![program.to_string(), "--settings-from".into(), SETTINGS_VARIABLE.into()];
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn(&command, &file, &log);
        let name = name.to_string();
        SystemProcess { name, front, ready, control, child, log }
    }

    fn free_port(&mut self, ip: IpAddr) -> u16 {
        loop {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            let port = listener.local_addr().expect("a bound listener has an address").port();
            if self.ports.insert((ip, port)) {
                return port;
            }
        }
    }
}

impl Drop for ProcessStarter {
    fn drop(&mut self) {
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn spawn(command: &[String], settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log file");
    let errors = log.try_clone().expect("a second handle of the log file");
    Command::new(&command[0])
        .args(&command[1..])
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program was built by the command of the deploy file")
}

/// The fields of a settings file, as `DEPLOY.md` and the sheet of Sendeplan Traffic have them.
fn settings(
    name: &str,
    class: &str,
    zone: &str,
    [front, ready, control]: [SocketAddr; 3],
    ports: [u16; 2],
    store: SocketAddr,
    advice: SocketAddr,
) -> Value {
    json!({
        "Node": name, "MachineClass": class, "Ip": front.ip().to_string(), "Zone": zone,
        "Region": "at-east",
        "Listen": {
            "Front": front.to_string(), "ReadyAddr": ready.to_string(),
            "Control": control.to_string(),
        },
        "PortRange": ports,
        "Limits": { "CpuShare": if class == "front" { 0.25 } else { 0.15 }, "Cores": 1 },
        "HeartbeatMs": 1500,
        "Bounds": {
            "ContactMs": 3000, "AckMs": 4000, "DrainMs": 2000, "GraceS": 6, "HoldMaxMs": 10000,
            "StopGraceMs": 400, "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
            "finish_s": 14, "status_s": 120, "SaveS": 0.5, "RestoreMs": 250,
        },
        "Orders": "call", "Advice": advice.to_string(),
        "platform": { "Address": store.to_string(), "form": "table", "Spanning": true },
    })
}

/// Fills in a template by the rules of `DEPLOY.md`, as far as the templates of this project use
/// them: values, and sections that are left out without a value.
fn fill_in(template: &str, fields: &Value) -> String {
    let mut rest = template;
    let mut filled = String::new();
    while let Some((before, after)) = rest.split_once("{{") {
        filled.push_str(before);
        let (tag, after) = after.split_once("}}").expect("a placeholder ends");
        rest = after;
        if let Some(path) = tag.strip_prefix('#') {
            let end = format!("{{{{/{path}}}}}");
            let (section, after) = after.split_once(&end).expect("a section ends");
            rest = after;
            if !matches!(find(fields, path), Value::Null | Value::Bool(false)) {
                filled.push_str(&fill_in(section, fields));
            }
        } else {
            match find(fields, tag) {
                Value::String(text) => filled.push_str(text),
                Value::Null => {}
                value => filled.push_str(&value.to_string()),
            }
        }
    }
    filled + rest
}

fn find<'a>(fields: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(fields, |found, part| match part.parse::<usize>() {
        Ok(index) => &found[index],
        Err(_) => &found[part],
    })
}
