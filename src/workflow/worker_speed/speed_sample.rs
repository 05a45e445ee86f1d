//! Rates of runs, and their comparison with the other runs of a step.
//!
//! A slow worker and a large task look alike in one run. A rate is therefore only compared within
//! its step, and only rates under equal conditions are compared.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::ids::DomainName;
use crate::ids::InstanceId;
use crate::workflow::advice_cache::StepKey;
use crate::workflow::task_name::TaskName;

/// Least progress in percent that a rate is computed from. Reports are rounded to whole percents.
const MIN_PROGRESS: u32 = 10;
/// Least time that a rate is computed from. Agents read the progress of runs several times a
/// second, and a shorter span would consist mostly of the error of two readings.
const MIN_SPAN: Duration = Duration::from_millis(250);
/// Longest time between two reports within a rate. What a run did meanwhile is unknown.
const MAX_REPORT_GAP: Duration = Duration::from_secs(1);
/// Progress that a run reports when its work is done, in percent.
const FULL_PROGRESS: u32 = 100;
/// Number of rates of other tasks on other workers that a rate is compared with at least. With
/// fewer, one unusual task would decide the comparison.
const MIN_REFERENCES: usize = 3;
/// Number of rates that a rate is compared with at most, so that a report costs the same in a step
/// of thousands of tasks. Large tasks are too few to be half of them.
const MAX_REFERENCES: usize = 31;

/// Runs whose rates are comparable.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SampleGroup {
    /// The step that all of them belong to.
    pub step: StepKey,
    /// Failure domain of serving tasks, since their load differs between domains. Empty for other
    /// tasks.
    pub domain: DomainName,
}

/// Progress of a run in one report of its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressReport {
    /// Time of the agent's monotonic clock, so that the delay of the report does not count.
    pub at: Duration,
    /// Progress in percent.
    pub percent: u32,
    /// Whether the run had all the processor time that it asked for.
    pub is_full_pace: bool,
}

/// The newest progress of one run at full pace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RateWindow {
    /// Progress that the window began with. Its time is unknown, and the run may not have begun to
    /// work then.
    base_percent: Option<u32>,
    /// Times at which the progress had risen, with the progress.
    points: VecDeque<(Duration, u32)>,
    last_at: Duration,
}

impl RateWindow {
    /// Adds a report. Returns the rate in percent per millisecond if the report gives a new one:
    /// not for a late or repeated report, before the run begins to work, or while its pace is
    /// limited.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use greengagearch::workflow::worker_speed::speed_sample::ProgressReport;
    /// use greengagearch::workflow::worker_speed::speed_sample::RateWindow;
    ///
    /// let report = |ms, percent| ProgressReport {
    ///     at: Duration::from_millis(ms),
    ///     percent,
    ///     is_full_pace: true,
    /// };
    /// let mut window = RateWindow::default();
    /// assert_eq!(window.add(report(0, 1)), None);
    /// assert_eq!(window.add(report(200, 6)), None);
    /// assert_eq!(window.add(report(600, 26)), Some(0.05));
    /// ```
    pub fn add(&mut self, report: ProgressReport) -> Option<f64> {
        let is_after_gap = report.at > self.last_at + MAX_REPORT_GAP;
        let is_repeated = report.at == self.last_at && self.base_percent.is_some();
        if is_repeated {
            return None;
        }
        let is_late = report.at < self.last_at;
        self.last_at = report.at;
        let is_working = (1..FULL_PROGRESS).contains(&report.percent);
        let previous = self.points.back().map(|point| point.1).or(self.base_percent);
        let is_less = previous.is_some_and(|previous| report.percent < previous);
        if !report.is_full_pace || !is_working {
            *self = RateWindow { last_at: report.at, ..RateWindow::default() };
            return None;
        }
        if is_after_gap || is_late || is_less {
            self.points.clear();
            self.base_percent = Some(report.percent);
            return None;
        }
        let base_percent = *self.base_percent.get_or_insert(report.percent);
        if report.percent <= previous.unwrap_or(base_percent) {
            return None;
        }
        self.points.push_back((report.at, report.percent));
        self.newest_rate(report)
    }

    /// Rate over the shortest sufficient time before a report.
    fn newest_rate(&mut self, report: ProgressReport) -> Option<f64> {
        let suffices = |point: &(Duration, u32)| {
            report.percent - point.1 >= MIN_PROGRESS && report.at - point.0 >= MIN_SPAN
        };
        let newest = self.points.iter().rposition(suffices)?;
        self.points.drain(..newest);
        let (at, percent) = *self.points.front()?;
        let span_ms = (report.at - at).as_secs_f64() * 1_000.0;
        Some(f64::from(report.percent - percent) / span_ms)
    }
}

/// The newest rate of a task, and where it was measured.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRate {
    /// The worker.
    pub worker: InstanceId,
    /// The rate, comparable within a [`SampleGroup`].
    pub rate: f64,
    /// When it was measured.
    pub at: Instant,
}

/// Speed of a worker as one task shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedSample {
    /// The worker.
    pub worker: InstanceId,
    /// The task.
    pub task: TaskName,
    /// Its rate as a multiple of the median rate of other tasks of its step on other workers.
    pub speed: f64,
    /// When the rate was measured.
    pub taken_at: Instant,
    /// Whether the rate is that of a serving task, which depends on its load as well.
    pub is_serving: bool,
}

impl SpeedSample {
    /// Compares the rate of a task with those of the other tasks of its group. Returns `None` if
    /// too few of them are known on other workers.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::workflow::worker_speed::speed_sample::SpeedSample;
    /// use greengagearch::workflow::worker_speed::speed_sample::TaskRate;
    ///
    /// let rate = |worker: &str, rate| TaskRate { worker: worker.into(), rate, at: Instant::now() };
    /// let others = [rate("i-2", 0.1), rate("i-3", 0.1), rate("i-4", 0.01)];
    /// let task = "a.0.0.0".parse().unwrap();
    /// let sample = SpeedSample::compare(task, &rate("i-1", 0.05), others.iter()).unwrap();
    /// assert_eq!(sample.speed, 0.5);
    /// ```
    pub fn compare<'a>(
        task: TaskName,
        own: &TaskRate,
        others: impl Iterator<Item = &'a TaskRate>,
    ) -> Option<SpeedSample> {
        let reference = reference_rate(&own.worker, others)?;
        let speed = own.rate / reference;
        let worker = own.worker.clone();
        Some(SpeedSample { worker, task, speed, taken_at: own.at, is_serving: false })
    }
}

/// Median of the rates on workers other than `worker`; `None` if there are too few.
pub(super) fn reference_rate<'a>(
    worker: &str,
    others: impl Iterator<Item = &'a TaskRate>,
) -> Option<f64> {
    let others = others.filter(|other| other.worker != worker).take(MAX_REFERENCES);
    let mut rates: Vec<f64> = others.map(|other| other.rate).collect();
    rates.sort_by(f64::total_cmp);
    let median = *rates.get(rates.len() / 2)?;
    (rates.len() >= MIN_REFERENCES && median > 0.0).then_some(median)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn report(ms: u64, percent: u32) -> ProgressReport {
        ProgressReport { at: Duration::from_millis(ms), percent, is_full_pace: true }
    }

    fn last_rate(window: &mut RateWindow, reports: &[(u64, u32)]) -> Option<f64> {
        reports.iter().map(|(ms, percent)| window.add(report(*ms, *percent))).last()?
    }

    /// A run that loads its data shows the progress of its checkpoint for a while. Counted as work,
    /// that time would make any worker look slow.
    #[test]
    fn the_time_before_a_run_works_does_not_count() {
        let mut window = RateWindow::default();
        let reports = [(0, 0), (300, 40), (600, 40), (900, 40), (1_000, 45), (1_400, 65)];
        assert_eq!(last_rate(&mut window, &reports), Some(0.05));
    }

    #[test]
    fn less_than_a_tenth_of_progress_gives_no_rate() {
        let mut window = RateWindow::default();
        assert_eq!(last_rate(&mut window, &[(0, 1), (400, 2), (800, 6), (1_200, 11)]), None);
        assert_eq!(window.add(report(1_600, 12)), Some(10.0 / 1_200.0));
    }

    /// The agent throttles best-effort runs, which is not the worker's fault.
    #[test]
    fn no_rate_spans_a_time_at_limited_pace() {
        let mut window = RateWindow::default();
        assert_eq!(last_rate(&mut window, &[(0, 1), (200, 20), (400, 40)]), None);
        let limited = ProgressReport { is_full_pace: false, ..report(600, 42) };
        assert_eq!(window.add(limited), None);
        assert_eq!(last_rate(&mut window, &[(800, 44), (1_000, 48)]), None);
        assert_eq!(window.add(report(1_400, 88)), Some(0.1));
    }

    /// Late and repeated reports add nothing, and a gap hides what the run did.
    #[test]
    fn stale_reports_give_no_rate() {
        let mut window = RateWindow::default();
        assert!(last_rate(&mut window, &[(0, 1), (100, 10), (500, 50)]).is_some());
        assert_eq!(window.add(report(500, 50)), None, "repeated");
        assert_eq!(window.add(report(500, 70)), None, "repeated with other content");
        assert_eq!(window.add(report(300, 30)), None, "late");
        assert_eq!(window.add(report(1_700, 95)), None, "after a gap");
    }

    /// Slowness begins and ends within the run of one task.
    #[test]
    fn the_rate_is_that_of_the_newest_progress() {
        let mut window = RateWindow::default();
        let fast = last_rate(&mut window, &[(0, 1), (100, 10), (200, 20), (400, 40)]);
        assert_eq!(fast, Some(0.1));
        let slow = last_rate(&mut window, &[(900, 45), (1_400, 50), (1_900, 55), (2_400, 60)]);
        assert_eq!(slow, Some(0.01));
    }

    #[test]
    fn one_large_task_does_not_shift_the_reference() {
        let now = Instant::now();
        let rate = |worker: &str, rate| TaskRate { worker: worker.into(), rate, at: now };
        let others = [rate("b", 0.1), rate("c", 0.1), rate("d", 0.014), rate("a", 9.0)];
        let task: TaskName = "a.0.0.0".parse().unwrap();
        let sample = SpeedSample::compare(task.clone(), &rate("a", 0.1), others.iter()).unwrap();
        assert_eq!(sample.speed, 1.0);
        assert!(SpeedSample::compare(task, &rate("a", 0.1), others[1..].iter()).is_none());
    }
}
