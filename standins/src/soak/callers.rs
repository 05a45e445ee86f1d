//! Callers: they hand jobs in, again under the same name until they know, cancel some, and ask for their ends.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reqwest::StatusCode;
use serde_json::Value;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::platform_cluster::CALLER_HOST;
use crate::platform_cluster::job_name;
use crate::platform_cluster::job_of_steps;
use crate::platform_runner::rack_of;
use crate::soak::SoakShared;
use crate::soak::ledger::KnownJob;
use crate::soak::scale::SoakScale;

/// Time in which a call is answered or given up by its caller.
const CALL_LIMIT: Duration = Duration::from_secs(3);
const POLL: Duration = Duration::from_millis(120);
/// Names of callers' jobs are this far apart.
const NAMES: u64 = 1_000_000;
/// Of the numbers of jobs every so many is that of one which crashes its runners; prime to [`NAMES`], so that callers take turns.
const CRASHING_EVERY: u64 = 23;

struct SoakCaller {
    shared: Arc<SoakShared>,
    rng: StdRng,
    entries: Vec<String>,
    client: reqwest::Client,
    next: u64,
    scale: SoakScale,
    stopped: watch::Receiver<bool>,
}

/// Starts callers; each ends when it is told to stop and its jobs have ended.
pub(crate) async fn spawn_callers(
    shared: &Arc<SoakShared>,
    scale: &SoakScale,
    seed: u64,
    stopped: &watch::Receiver<bool>,
) -> Vec<JoinHandle<()>> {
    let cluster = shared.cluster.lock().await;
    let entries: Vec<String> =
        (0..cluster.planners.len()).map(|entry| cluster.url(entry, "/q/")).collect();
    let each = (0..scale.callers as u64).map(|number| {
        // Connections stay open until the process is gone.
        let client = reqwest::Client::builder().no_proxy().timeout(CALL_LIMIT).build();
        let caller = SoakCaller {
            shared: shared.clone(),
            rng: StdRng::seed_from_u64(seed.wrapping_add(number)),
            entries: entries.clone(),
            client: client.expect("a client"),
            next: (number + 1) * NAMES,
            scale: scale.clone(),
            stopped: stopped.clone(),
        };
        tokio::spawn(caller.run())
    });
    each.collect()
}

impl SoakCaller {
    async fn run(mut self) {
        while !*self.stopped.borrow() {
            self.next += 1;
            let job = job_name(self.next);
            if self.hand_in(&job).await {
                self.follow(&job).await;
            } else {
                tokio::time::sleep(POLL).await;
            }
        }
    }

    fn url(&mut self, job: &str) -> String {
        let entry = self.rng.random_range(0..self.entries.len());
        format!("{}{job}", self.entries[entry])
    }

    fn draw(&mut self, job: &str) -> Value {
        let steps = self.rng.random_range(self.scale.steps.clone());
        let counts: Vec<u32> = (0..steps).map(|_| self.rng.random_range(1..=4)).collect();
        let run_ms = self.rng.random_range(self.scale.run_millis.clone());
        let fails = if self.rng.random_bool(0.08) { " fail" } else { "" };
        let crashes = self.next.is_multiple_of(CRASHING_EVERY);
        // One task, so that a fleet of few runners is left for the others.
        let counts = if crashes { vec![1] } else { counts };
        let crash = if crashes { " crash" } else { "" };
        let mut body = job_of_steps(&format!("run_ms={run_ms}{fails}{crash}"), &counts);
        if let Some(room) = self.scale.task_cpu.clone() {
            self.spread(&mut body, &room);
        }
        let known = KnownJob { counts, crashes, ..KnownJob::default() };
        self.shared.ledger().jobs.insert(job.to_string(), known);
        body
    }

    /// Draws how much room the tasks of each step need, and where their data is, if that matters.
    fn spread(&mut self, body: &mut Value, room: &Range<u32>) {
        for step in body["Steps"].as_array_mut().into_iter().flatten() {
            step["Cpu"] = self.rng.random_range(room.clone()).into();
            if self.rng.random_bool(0.5) {
                step["PreferredRack"] =
                    rack_of(self.rng.random_range(0..self.scale.domains)).into();
            }
        }
    }

    /// Whether the job was accepted. A definite refusal ends it, unless an earlier try's fate is open.
    async fn hand_in(&mut self, job: &str) -> bool {
        let body = self.draw(job);
        loop {
            let url = self.url(job);
            let call = self.client.post(url).header("Host", CALLER_HOST).json(&body);
            let status = call.send().await.map(|answer| answer.status()).ok();
            if let Some(is_accepted) = self.on_answer(job, status) {
                return is_accepted;
            }
            if *self.stopped.borrow() && !self.has_patience(job) {
                return false;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// What an answer to a submission says: accepted, refused for good, or nothing yet.
    fn on_answer(&self, job: &str, status: Option<StatusCode>) -> Option<bool> {
        let mut ledger = self.shared.ledger();
        let known = ledger.jobs.entry(job.to_string()).or_default();
        match status {
            Some(StatusCode::OK) => {
                known.is_accepted = true;
                Some(true)
            }
            Some(StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) => {
                known.is_refused = known.open_tries == 0;
                let is_refused = known.is_refused;
                ledger.refusals += 1;
                is_refused.then_some(false)
            }
            _ => {
                known.open_tries += 1;
                None
            }
        }
    }

    /// After the end of the faults a job whose fate is open is tried until it is known.
    fn has_patience(&self, job: &str) -> bool {
        self.shared.ledger().jobs.get(job).is_some_and(|known| known.open_tries > 0)
    }

    async fn follow(&mut self, job: &str) {
        let cancels_at = self.rng.random_bool(self.scale.cancel_share).then(|| {
            Instant::now()
                + Duration::from_millis(self.rng.random_range(self.scale.cancel_millis.clone()))
        });
        loop {
            let url = self.url(job);
            let answer = self.client.get(url).header("Host", CALLER_HOST).send().await;
            let state = match answer {
                Ok(answer) if answer.status() == StatusCode::OK => {
                    let body = answer.json::<Value>().await.unwrap_or_default();
                    body["State"].as_str().map(str::to_string)
                }
                Ok(answer) if answer.status() == StatusCode::GONE => Some("410".to_string()),
                _ => None,
            };
            if let Some(state) = state {
                self.shared.ledger().on_state(job, &state);
            }
            let known = self.shared.ledger().jobs.get(job).cloned().unwrap_or_default();
            if known.end.is_some() {
                return;
            }
            if known.cancelled.is_none() && cancels_at.is_some_and(|at| Instant::now() >= at) {
                self.cancel(job).await;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    async fn cancel(&mut self, job: &str) {
        if let Some(known) = self.shared.ledger().jobs.get_mut(job) {
            known.is_unwanted = true;
        }
        let url = self.url(job);
        let answer = self.client.delete(url).header("Host", CALLER_HOST).send().await;
        if answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
            && let Some(known) = self.shared.ledger().jobs.get_mut(job)
        {
            known.cancelled = Some(Instant::now());
        }
    }
}
