//! Entries and hosts under bookings, shared by the tests of the request path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use greengagearch_standins::caller::Caller;
use greengagearch_standins::caller::CallerAnswer;
use greengagearch_standins::load::audit;
use greengagearch_standins::processes::ProductProcess;
use greengagearch_standins::runner::Runner;
use tokio::task::JoinHandle;

use crate::env::TestEnv;
use crate::env::TestHost;
use crate::env::get;
use crate::env::until;

/// Deadline of the bookings of these tests; far beyond what any takes.
pub const DEADLINE: Duration = Duration::from_secs(20);
/// Time that a runner takes for a booking.
pub const WORK: Duration = Duration::from_millis(30);

/// Three entries, and hosts with a runner each.
pub struct Cluster {
    pub env: TestEnv,
    pub entries: Vec<ProductProcess>,
    pub hosts: Vec<TestHost>,
    pub runners: Vec<Runner>,
}

impl Cluster {
    pub async fn open(host_count: usize) -> Cluster {
        Cluster::open_with(host_count, TestEnv::open().await).await
    }

    /// Leases and announcements that outlive a stall of the machine, for tests of something else.
    pub async fn open_steady(host_count: usize) -> Cluster {
        let mut env = TestEnv::open().await;
        env.entry_lines = "[timing]\nentry-beat = 500ms\nagent-beat = 1s\n".to_string();
        Cluster::open_with(host_count, env).await
    }

    pub async fn open_with(host_count: usize, mut env: TestEnv) -> Cluster {
        let entries: Vec<ProductProcess> =
            ["e1", "e2", "e3"].map(|id| env.spawn_entry(id)).into_iter().collect();
        let internal: Vec<SocketAddr> =
            entries.iter().map(|entry| entry.address("internal")).collect();
        env.balancer.set_targets(&internal);
        env.apply_document(&entries[0]).await;
        let mut hosts = Vec::new();
        let mut runners = Vec::new();
        for number in 1..=host_count {
            let host = env.spawn_host(&format!("w{number}")).await;
            runners.push(env.spawn_runner(&host, WORK).await);
            hosts.push(host);
        }
        let cluster = Cluster { env, entries, hosts, runners };
        cluster.until_whole().await;
        cluster
    }

    /// Waits until every entry knows every process and answers bookings.
    pub async fn until_whole(&self) {
        let expected = self.entries.len() + self.hosts.len();
        for entry in &self.entries {
            until("all processes are known", async || {
                let report = get(entry.address("operators"), "/v1/cluster").await;
                let processes = report["processes"].as_array().cloned().unwrap_or_default();
                processes.len() == expected
                    && processes.iter().all(|process| process["generation"] == 1)
            })
            .await;
            self.env.until_serving(entry).await;
        }
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.address("callers")).collect()
    }

    pub fn violations(&self, answers: &[CallerAnswer]) -> Vec<String> {
        audit(answers.iter(), &self.env.requests)
    }
}

/// Callers that book without pause until they are stopped.
pub struct Bookings {
    stop: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<CallerAnswer>>>,
}

impl Bookings {
    pub fn start(entries: &[SocketAddr], count: usize) -> Bookings {
        let stop = Arc::new(AtomicBool::new(false));
        let callers = (0..count).map(|number| {
            let stop = stop.clone();
            let mut entries = entries.to_vec();
            let count = entries.len();
            entries.rotate_left(number % count);
            tokio::spawn(async move {
                let caller = Caller::open(&format!("desk-{number}"));
                let mut answers = Vec::new();
                while !stop.load(Ordering::Acquire) {
                    answers.extend(caller.send_until_known(&entries, "spots", DEADLINE, "b").await);
                }
                answers
            })
        });
        let callers = callers.collect();
        Bookings { stop, callers }
    }

    pub async fn finish(self) -> Vec<CallerAnswer> {
        self.stop.store(true, Ordering::Release);
        let mut answers = Vec::new();
        for caller in self.callers {
            answers.extend(caller.await.expect("the caller ends"));
        }
        answers
    }
}

/// Number of answers with an outcome.
pub fn count(answers: &[CallerAnswer], outcome: &str) -> usize {
    answers.iter().filter(|answer| answer.outcome == outcome).count()
}
