//! Real processes of the product, for tests and experiments.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// Bound on the wait for the end of a process; far beyond what any takes.
const END_LIMIT: Duration = Duration::from_secs(60);
/// Pause between two looks at a process.
const POLL: Duration = Duration::from_millis(20);
/// Variable that lets the logs of processes show on the standard error.
const LOG_VARIABLE: &str = "GGA_TEST_LOG";

/// A process of the product that ends with its handle.
pub struct ProductProcess {
    child: Child,
    addresses: Vec<(String, SocketAddr)>,
}

impl ProductProcess {
    /// Starts a program with a settings file and reads the addresses that it prints.
    pub fn spawn(program: &Path, settings: &Path) -> ProductProcess {
        ProductProcess::spawn_logged(program, settings, None)
    }

    /// The same, with its log added to a file.
    pub fn spawn_logged(program: &Path, settings: &Path, log: Option<&Path>) -> ProductProcess {
        let mut command = Command::new(program);
        command.arg("--settings").arg(settings).stdout(Stdio::piped());
        if std::env::var_os(LOG_VARIABLE).is_none() {
            command.stderr(Stdio::null());
        }
        let mut child = command.spawn().expect("the program can be started");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut lines = BufReader::new(stdout);
        let mut line = String::new();
        lines.read_line(&mut line).expect("the program prints its addresses");
        assert!(!line.is_empty(), "{} ended before it printed its addresses", program.display());
        let log = log.map(open_log_file);
        std::thread::spawn(move || drain(lines, log));
        let words = line.split_whitespace().filter_map(|word| word.split_once('='));
        let addresses = words.map(|(name, address)| {
            (name.to_string(), address.parse().expect("the program prints addresses"))
        });
        ProductProcess { child, addresses: addresses.collect() }
    }

    /// Address of one of its listeners.
    pub fn address(&self, name: &str) -> SocketAddr {
        let found = self.addresses.iter().find(|(known, _)| known == name);
        found.expect("the program printed this address").1
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
        assert!(status.expect("kill can be run").success());
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process and gives whether it was a success.
    pub async fn ended(&mut self) -> bool {
        for _ in 0..END_LIMIT.as_millis() / POLL.as_millis() {
            if let Some(status) = self.child.try_wait().expect("the child can be asked") {
                return status.success();
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the process does not end");
    }

    /// Seconds of processor time used so far, by all threads, from the scheduler's own account.
    pub fn cpu_seconds(&self) -> f64 {
        let Ok(threads) = std::fs::read_dir(format!("/proc/{}/task", self.child.id())) else {
            return 0.0;
        };
        let nanos = threads.flatten().filter_map(|thread| {
            let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse::<u64>().ok()
        });
        nanos.sum::<u64>() as f64 / 1e9
    }

    /// Resident memory in MiB.
    pub fn resident_mib(&self) -> f64 {
        self.status_mib("VmRSS:")
    }

    /// Highest resident memory so far in MiB.
    pub fn peak_resident_mib(&self) -> f64 {
        self.status_mib("VmHWM:")
    }

    fn status_mib(&self, name: &str) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(name)).unwrap_or("");
        let kib = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
        kib.unwrap_or(0.0) / 1_024.0
    }

    /// Number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.map_or(0, Iterator::count)
    }

    /// Bytes that the kernel holds for the connections of a listener: received and not yet read, and
    /// sent and not yet taken.
    pub fn socket_bytes(&self, listener: &str) -> u64 {
        let port = format!(":{:04X}", self.address(listener).port());
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let queues = table.lines().skip(1).filter_map(|line| {
            let mut words = line.split_whitespace().skip(1);
            let is_local = words.next()?.ends_with(&port);
            let (sent, received) = words.nth(2)?.split_once(':')?;
            let held = |text| u64::from_str_radix(text, 16).unwrap_or(0);
            is_local.then(|| held(sent) + held(received))
        });
        queues.sum()
    }

    /// Whether the process is still running.
    pub fn is_running(&self) -> bool {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        status.is_ok_and(|text| !text.contains("State:\tZ"))
    }

    /// Sum of a metric over all its labels, from the listener that serves metrics.
    pub async fn metric(&self, listener: &str, name: &str) -> f64 {
        let url = format!("http://{}/metrics", self.address(listener));
        let Ok(answer) = reqwest::get(url).await else { return 0.0 };
        let text = answer.text().await.unwrap_or_default();
        let lines = text.lines().filter(|line| {
            let rest = line.strip_prefix(name).unwrap_or("#");
            rest.starts_with(' ') || rest.starts_with('{')
        });
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    }

    /// Bytes sent to and received from other processes of the system so far.
    pub async fn bytes(&self, listener: &str) -> f64 {
        self.metric(listener, "gga_bytes_sent").await
            + self.metric(listener, "gga_bytes_received").await
    }
}

/// Reads the structured log to its end, as a platform does; a test shows it if it is asked to.
fn drain(lines: BufReader<ChildStdout>, mut log: Option<File>) {
    let shows = std::env::var_os(LOG_VARIABLE).is_some();
    for line in lines.lines().map_while(Result::ok) {
        if let Some(log) = &mut log {
            writeln!(log, "{line}").expect("the log can be written");
        }
        if shows {
            eprintln!("{line}");
        }
    }
}

fn open_log_file(path: &Path) -> File {
    let opened = File::options().create(true).append(true).open(path);
    opened.expect("the log can be opened")
}

impl Drop for ProductProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A folder for settings files that goes with its handle.
pub struct SettingsFolder {
    path: PathBuf,
    files: usize,
}

impl SettingsFolder {
    /// Makes a folder of its own.
    pub fn open() -> SettingsFolder {
        let path = std::env::temp_dir().join(format!("gga-{}", uuid::Uuid::now_v7()));
        std::fs::create_dir_all(&path).expect("a folder for settings");
        SettingsFolder { path, files: 0 }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Writes a file and gives its path.
    pub fn write(&mut self, text: &str) -> PathBuf {
        self.files += 1;
        let file = self.path.join(format!("{}.ini", self.files));
        std::fs::write(&file, text).expect("settings can be written");
        file
    }
}

impl Drop for SettingsFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
