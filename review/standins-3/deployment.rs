//! A deployment on loopback addresses: entry hosts, runners with their agents, and the store.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::link::Link;
use crate::processes::Process;
use crate::processes::filled;
use crate::runner::Event;
use crate::runner::Runner;
use crate::runner::RunnerSpec;
use crate::store::Store;

const PLANNER: &str = "target/release/gga-planner --settings-from GREENGAGEARCH_NODE_FILE";
const NODE: &str = "target/release/gga-node --settings-from GREENGAGEARCH_NODE_FILE";
/// The host of all queues.
pub const HOST: &str = "nony24.example";
const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
const WAIT: Duration = Duration::from_secs(3);

/// A record of what was sent, answered and run.
pub struct Record {
    file: std::fs::File,
    start: Instant,
}

impl Record {
    pub fn open(path: &std::path::Path) -> Record {
        let file = std::fs::File::create(path).expect("the record can be written");
        Record { file, start: Instant::now() }
    }

    pub fn line(&mut self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file, "{at:8.3} {text}");
    }
}

/// What a client was told about a call; 0 stands for no answer.
pub type Told = (u16, String);

/// The processes and stand-ins of a deployment.
pub struct Deployment {
    pub runners: Vec<Arc<Runner>>,
    pub entries: Vec<SocketAddr>,
    pub ready: Vec<SocketAddr>,
    /// Links of the entry hosts to the store.
    pub links: Vec<Link>,
    pub processes: Vec<Process>,
    pub events: Arc<Mutex<Vec<Event>>>,
    folder: PathBuf,
}

fn listener(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).expect("a free port on a loopback address")
}

fn free_address(ip: Ipv4Addr) -> SocketAddr {
    listener(ip).local_addr().expect("an address")
}

impl Deployment {
    /// Starts a deployment with a configuration and this number of runners, in three zones.
    pub fn start(config: &str, runners: u8) -> Deployment {
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::new();
        store.put("op", "config", config);
        let store_listener = listener(Ipv4Addr::new(127, 71, 9, 1));
        let store_address = store_listener.local_addr().expect("an address");
        http::serve(store_listener, move |request| store.answer(request));
        let read =
            |name: &str| std::fs::read_to_string(name).expect("a template of the deploy folder");
        let (planner, node) = (read("deploy/planner.ini"), read("deploy/node.ini"));
        let events = Arc::default();
        let mut deployment = Deployment {
            runners: Vec::new(),
            entries: Vec::new(),
            ready: Vec::new(),
            links: Vec::new(),
            processes: Vec::new(),
            events,
            folder,
        };
        for (number, zone) in (0..).zip(ZONES) {
            deployment.start_planner(number, zone, &planner, store_address);
        }
        for number in 0..runners {
            deployment.start_node(number, &node, store_address);
        }
        deployment
    }

    fn start_planner(&mut self, number: u8, zone: &str, template: &str, store: SocketAddr) {
        let ip = Ipv4Addr::new(127, 71, number, 1);
        let (front, ready) = (free_address(ip), free_address(ip));
        let link = Link::open(listener(ip), store);
        let name = format!("front-{zone}-1");
        let values = BTreeMap::from([
            ("Node", name.clone()),
            ("Zone", zone.to_string()),
            ("Ip", ip.to_string()),
            ("Listen.Front", front.to_string()),
            ("Listen.ReadyAddr", ready.to_string()),
            ("PortRange.0", free_address(ip).port().to_string()),
            ("PortRange.1", free_address(ip).port().to_string()),
            ("Bounds.GraceS", "6".to_string()),
            ("Bounds.status_s", "120".to_string()),
            ("Limits.CpuShare", "1".to_string()),
            ("Limits.MemoryMb", "260".to_string()),
            ("Limits.MaxFds", "4100".to_string()),
            ("platform.Address", link.address.to_string()),
            ("platform.Spanning", "true".to_string()),
        ]);
        let settings = filled(template, &values);
        self.processes.push(Process::start(&name, PLANNER, &settings, &self.folder));
        self.entries.push(front);
        self.ready.push(ready);
        self.links.push(link);
    }

    fn start_node(&mut self, number: u8, template: &str, store: SocketAddr) {
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let ip = Ipv4Addr::new(127, 71, number % 3, 10 + number);
        let registry = free_address(ip);
        let name = format!("side-{zone}-{number}");
        let values = BTreeMap::from([
            ("Node", name.clone()),
            ("Zone", zone.to_string()),
            ("Ip", ip.to_string()),
            ("Listen.Control", registry.to_string()),
            ("PortRange.0", free_address(ip).port().to_string()),
            ("PortRange.1", free_address(ip).port().to_string()),
            ("Limits.MemoryMb", "128".to_string()),
            ("Limits.MaxFds", "4096".to_string()),
            ("platform.Address", store.to_string()),
        ]);
        let settings = filled(template, &values);
        self.processes.push(Process::start(&name, NODE, &settings, &self.folder));
        let app = listener(ip);
        let spec = RunnerSpec {
            id: format!("i-7f3a91c{number}"),
            address: app.local_addr().expect("an address"),
            service: "app".to_string(),
            zone: zone.to_string(),
            rack: format!("r{}-1", number % 3),
            millicores: 64_000,
            memory_mb: 256_000,
        };
        self.runners.push(Runner::start(spec, app, registry, self.events.clone()));
    }

    /// Waits until all entry hosts are ready. Returns whether they are.
    pub fn wait_until_ready(&mut self) -> bool {
        let end = Instant::now() + Duration::from_secs(12);
        while Instant::now() < end {
            let is_ready = |address: &SocketAddr| {
                let told = http::call(*address, "GET", "/-/ready", &[], "", WAIT);
                told.is_ok_and(|answer| answer.0 == 200)
            };
            if self.ready.iter().all(is_ready) {
                std::thread::sleep(Duration::from_secs(4));
                return self.processes.iter_mut().all(Process::is_running);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Makes one call of a client at an entry host.
    pub fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> Told {
        let address = self.entries[entry % self.entries.len()];
        let headers = [("Host", HOST), ("X-Greengagearch-Deadline-Ms", "3000")];
        http::call(address, method, path, &headers, body, WAIT).unwrap_or_default()
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(mut self) {
        self.processes.iter_mut().for_each(Process::kill);
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
