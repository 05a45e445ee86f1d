//! A randomized soak: real processes on loopback, faults from outside them, and the promises checked while it
//! runs from what callers and runners see.

mod callers;
mod crowds;
mod evacuations;
mod faults;
mod ledger;
mod long_faults;
mod scale;
mod store_cuts;

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::platform_cluster::PlatformCluster;
use crate::platform_journal::RunJournal;
use crate::platform_journal::RunRecord;
use crate::soak::callers::spawn_callers;
use crate::soak::crowds::HOST_LIMITS;
use crate::soak::crowds::spawn_crowds;
use crate::soak::evacuations::EvacuationLedger;
use crate::soak::evacuations::draw_limit;
use crate::soak::evacuations::spawn_operators;
use crate::soak::faults::FaultPlayer;
use crate::soak::ledger::SoakLedger;
pub use crate::soak::scale::SoakKind;
use crate::soak::scale::SoakScale;

/// Time between two checks of the promises.
const CHECK_EVERY: Duration = Duration::from_millis(250);
/// Time between two lines of progress.
const PROGRESS_EVERY: Duration = Duration::from_secs(10);
/// What a soak is to do.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Decides the faults and the jobs.
    pub seed: u64,
    /// What the faults, the jobs and the fleet are like.
    pub kind: SoakKind,
    /// How long faults come.
    pub length: Duration,
    /// Whether crowds of clients that do not behave come as well.
    pub crowds: bool,
    /// Where the product's programs are.
    pub programs: PathBuf,
    /// Where the logs are kept.
    pub logs: PathBuf,
}

/// Something that happened, by the time since the start.
pub type TimelineEntry = (Duration, String);

/// How a soak went.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Its seed.
    pub seed: u64,
    /// Faults in their order.
    pub timeline: Vec<TimelineEntry>,
    /// The first promise that was broken, and when that was seen.
    pub broken: Option<TimelineEntry>,
    /// Numbers of what was done.
    pub counts: String,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {}", self.seed, self.counts)?;
        match &self.broken {
            None => writeln!(f, "no promise was broken")?,
            Some((at, text)) => writeln!(f, "broken at {:.1} s: {text}", at.as_secs_f64())?,
        }
        for (at, text) in &self.timeline {
            writeln!(f, "{:>8.1} s  {text}", at.as_secs_f64())?;
        }
        Ok(())
    }
}

/// What the parts of a soak share.
pub(crate) struct SoakShared {
    started: Instant,
    cluster: tokio::sync::Mutex<PlatformCluster>,
    ledger: Mutex<SoakLedger>,
    evacuations: Mutex<EvacuationLedger>,
    timeline: Mutex<Vec<TimelineEntry>>,
}

impl SoakShared {
    fn ledger(&self) -> MutexGuard<'_, SoakLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evacuations(&self) -> MutexGuard<'_, EvacuationLedger> {
        self.evacuations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Numbers of what was done.
    fn counts(&self) -> String {
        format!("{}, {}", self.ledger().counts(), self.evacuations().counts())
    }

    fn tell(&self, text: String) {
        self.tell_at(Instant::now(), text);
    }

    fn tell_at(&self, at: Instant, text: String) {
        let entry = (at.saturating_duration_since(self.started), text);
        self.timeline.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    /// Adds the runs of the tasks that a text names.
    fn tell_runs(&self, journal: &RunJournal, text: &str) {
        let named: Vec<&str> = text.split_whitespace().collect();
        for record in journal.records() {
            let RunRecord { task, run, instance, noted, .. } = &record;
            if !named.contains(&task.as_str()) {
                continue;
            }
            self.tell_at(record.began, format!("{task} run {run} begins on {instance}"));
            if let Some((at, how)) = &record.ended {
                self.tell_at(*at, format!("{task} run {run} has ended: {how}, noted: {noted}"));
            }
        }
    }
}

/// Plays a soak to its end, or to the first promise that is broken.
pub async fn run_soak(plan: &SoakPlan, mut progress: impl FnMut(&str)) -> SoakReport {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let logs = Some(plan.logs.clone());
    let scale = plan.kind.scale();
    let (nodes, domains) = (scale.nodes - scale.returning_nodes, scale.domains);
    let programs = &plan.programs;
    // The callers' and the faults' seeds come first, so that they are the same as before there were evacuations.
    let (callers_seed, faults_seed) = (rng.random(), rng.random());
    let limit = draw_limit(&mut rng);
    let mut cluster = PlatformCluster::start_in_domains(programs, logs, 0, nodes, domains).await;
    cluster.add_planner_keys(&format!("evacuation-limit = {}ms\n", limit.as_millis()));
    if plan.crowds {
        cluster.add_planner_lines(HOST_LIMITS);
    }
    for planner in 0..scale.planners {
        cluster.add_planner().await;
        cluster.until_ready(planner).await;
    }
    for number in 0..scale.returning_nodes {
        cluster.add_returning_node(&format!("i-b{number}")).await;
    }
    let journal = cluster.journal.clone();
    let shared = Arc::new(SoakShared {
        started: Instant::now(),
        cluster: tokio::sync::Mutex::new(cluster),
        ledger: Mutex::default(),
        evacuations: Mutex::new(EvacuationLedger::new(domains, limit)),
        timeline: Mutex::default(),
    });
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    shared.tell(format!("starts at {:.3} of the logs", since.as_secs_f64()));
    let (stop, stopped) = watch::channel(false);
    let callers = spawn_callers(&shared, &scale, callers_seed, &stopped).await;
    let operators = spawn_operators(&shared, domains, rng.random(), Instant::now() + plan.length);
    // Crowds have a seed of their own, so that the faults are the same without them.
    let crowds =
        plan.crowds.then(|| spawn_crowds(&shared, plan.seed, Instant::now() + plan.length));
    let player = FaultPlayer::new(shared.clone(), scale.clone(), faults_seed);
    let faults = tokio::spawn(player.play(plan.length));
    let mut told = Instant::now();
    let mut broken = check_until((&shared, &scale), &journal, || {
        if told.elapsed() > PROGRESS_EVERY {
            told = Instant::now();
            let seconds = shared.started.elapsed().as_secs();
            progress(&format!("{seconds} s: {}", shared.counts()));
        }
        faults.is_finished()
    })
    .await;
    faults.abort();
    crowds.iter().for_each(JoinHandle::abort);
    operators.iter().for_each(JoinHandle::abort);
    // Callers hand nothing in any more and ask for what they have until it has ended.
    stop.send_replace(true);
    if broken.is_none() {
        let calm_until = Instant::now() + scale.calm;
        let have_ended = || callers.iter().all(JoinHandle::is_finished);
        let is_over = || Instant::now() >= calm_until || have_ended();
        broken = check_until((&shared, &scale), &journal, is_over).await;
    }
    let broken = broken.or_else(|| shared.ledger().broken_at_end(&journal));
    callers.iter().for_each(JoinHandle::abort);
    let broken = broken.map(|text| (shared.started.elapsed(), text));
    if let Some((_, text)) = &broken {
        shared.tell_runs(&journal, text);
    }
    let mut timeline = shared.timeline.lock().unwrap_or_else(PoisonError::into_inner).clone();
    timeline.sort_by_key(|(at, _)| *at);
    let counts = shared.counts();
    SoakReport { seed: plan.seed, timeline, broken, counts }
}

/// Checks the promises again and again until something is over. Gives the first that is broken.
async fn check_until(
    (shared, scale): (&SoakShared, &SoakScale),
    journal: &RunJournal,
    mut is_over: impl FnMut() -> bool,
) -> Option<String> {
    while !is_over() {
        tokio::time::sleep(CHECK_EVERY).await;
        let broken = shared.ledger().first_broken(journal, scale.cancel_latency);
        let broken = broken.or_else(|| shared.evacuations().first_late(&journal.records()));
        if broken.is_some() {
            return broken;
        }
    }
    None
}
