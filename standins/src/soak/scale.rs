//! The kinds of soaks: the size of the fleet and of the jobs, and how long faults last.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Share of the outages of a long soak that may outlast a lease.
const LONG_OUTAGES: f64 = 0.5;

/// A kind of soak.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SoakKind {
    /// Tasks of less than a second, and faults that end before a lease does.
    #[default]
    Short,
    /// Tasks of seconds on a nearly full fleet in several failure domains, and faults that outlast a lease.
    Long,
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
    pub run_millis: Range<i32>,
    /// What a task needs of a runner's 4,000, where that is drawn.
    pub task_cpu: Option<Range<u32>>,
    /// Time after which a job is cancelled that is.
    pub cancel_millis: Range<u64>,
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
                run_millis: 20..900,
                task_cpu: None,
                cancel_millis: 0..1_500,
                calm: Duration::from_secs(90),
            },
            SoakKind::Long => SoakScale {
                kind: self,
                planners: 3,
                nodes: 11,
                returning_nodes: 5,
                domains: 3,
                callers: 20,
                run_millis: 500..8_000,
                task_cpu: Some(700..1_400),
                cancel_millis: 0..8_000,
                calm: Duration::from_secs(180),
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
        }
    }
}
