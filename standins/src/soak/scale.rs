//! The kinds of soaks: the size of the fleet and of the jobs, and how long faults last.

use std::ops::Range;
use std::ops::RangeInclusive;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Share of the outages of a long soak that may outlast a lease.
const LONG_OUTAGES: f64 = 0.5;

/// Share of the jobs that are cancelled beside other faults.
const CANCEL_SHARE: f64 = 0.12;
/// The default of `planner.cancel-limit`.
const CANCEL_LIMIT: Duration = Duration::from_secs(3);
/// Time for which orders of a cancelled job that were held up on their way may still be carried out.
const HELD_UP_LATENCY: Duration = Duration::from_secs(15);

/// A kind of soak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SoakKind {
    /// Tasks of less than a second, and faults that end before a lease does.
    #[default]
    Short,
    /// Tasks of seconds on a nearly full fleet in several failure domains, and faults that outlast a lease.
    Long,
    /// Entry hosts are cut off from the store one after another, and many jobs are cancelled.
    StoreCuts,
}

/// What a kind of soak uses.
#[derive(Clone, Debug)]
pub(crate) struct SoakScale {
    pub kind: SoakKind,
    pub planners: usize,
    pub nodes: usize,
    /// Of these, nodes whose runners come back under the ids that they had.
    pub returning_nodes: usize,
    pub domains: usize,
    pub callers: usize,
    /// Steps of a job, one after another.
    pub steps: RangeInclusive<u32>,
    pub run_millis: Range<i32>,
    /// What a task needs of a runner's 4,000, where that is drawn.
    pub task_cpu: Option<Range<u32>>,
    /// Share of the jobs that are cancelled, and the time after which each is.
    pub cancel_share: f64,
    pub cancel_millis: Range<u64>,
    /// Time after the answer to a cancelling in which the last task of the job starts, if faults of runners and agents may hold orders
    /// up.
    pub cancel_latency: Duration,
    /// Time in which everything has to come to its end when the faults are over: leases of lost workers last
    /// 10 s, and a machine beside load is slow.
    pub calm: Duration,
}

impl SoakKind {
    pub(crate) fn scale(self) -> SoakScale {
        match self {
            SoakKind::Short => SoakScale {
                kind: self,
                planners: 3,
                nodes: 4,
                returning_nodes: 2,
                domains: 2,
                callers: 16,
                steps: 1..=3,
                run_millis: 20..900,
                task_cpu: None,
                cancel_share: CANCEL_SHARE,
                cancel_millis: 0..1_500,
                cancel_latency: HELD_UP_LATENCY,
                calm: Duration::from_secs(90),
            },
            SoakKind::Long => SoakScale {
                kind: self,
                planners: 3,
                nodes: 11,
                returning_nodes: 5,
                domains: 3,
                callers: 20,
                steps: 1..=3,
                run_millis: 500..8_000,
                task_cpu: Some(700..1_400),
                cancel_share: CANCEL_SHARE,
                cancel_millis: 0..8_000,
                cancel_latency: HELD_UP_LATENCY,
                calm: Duration::from_secs(180),
            },
            SoakKind::StoreCuts => SoakScale {
                kind: self,
                planners: 3,
                nodes: 4,
                returning_nodes: 0,
                domains: 1,
                callers: 16,
                // The next step becomes ready during a cut.
                steps: 2..=3,
                run_millis: 1_500..3_000,
                task_cpu: None,
                cancel_share: 0.2,
                cancel_millis: 0..4_000,
                cancel_latency: CANCEL_LIMIT,
                calm: Duration::from_secs(90),
            },
        }
    }
}

impl SoakScale {
    /// How long an outage or a pause lasts, in milliseconds.
    pub fn draw_outage(&self, rng: &mut StdRng) -> u64 {
        match self.kind {
            SoakKind::Short => rng.random_range(100..4_000),
            SoakKind::Long if rng.random_bool(LONG_OUTAGES) => rng.random_range(10_000..14_000),
            SoakKind::Long => rng.random_range(100..10_000),
            SoakKind::StoreCuts => rng.random_range(3_000..6_000),
        }
    }
}
