//! The pace of one run that fills: what was ordered last, whether that counts, and the mean over the measured span.
//!
//! A call without an answer may be carried out after newer ones. For as long as that is possible the newest pace is ordered again and again.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::workflow::pair_interference::MEASURED_SPAN;

/// Part of a possible rise that is taken at once; the rest follows when tails have shown the first part.
const RISE_SHARE: f64 = 0.7;
/// Time until an ordered pace has its effect: the platform's bound and a call on the own host.
const PACE_LAG: Duration = Duration::from_millis(120);
/// Least change of pace that is ordered.
const LEAST_CHANGE: f64 = 0.05;
/// Time for which a call without an answer may still be carried out.
const LATE_SPAN: Duration = Duration::from_secs(12);
/// Time between two orders of one pace while an older one may be carried out late.
const REPEAT_PERIOD: Duration = Duration::from_millis(500);

/// The pace of one run as a share of its full speed.
#[derive(Clone, Debug)]
pub(super) struct RunPace {
    /// What was ordered last.
    ordered: f64,
    /// When that was.
    ordered_at: Instant,
    /// Whether the run may work at another pace than that.
    is_in_doubt: bool,
    /// Up to when an order without an answer may take the place of newer ones.
    late_until: Option<Instant>,
    /// Paces and since when each has its effect.
    past: VecDeque<(Instant, f64)>,
}

impl RunPace {
    /// The pace of a run that nobody has paced.
    pub(super) fn started(now: Instant) -> RunPace {
        RunPace {
            ordered: 1.0,
            ordered_at: now,
            is_in_doubt: false,
            late_until: None,
            past: VecDeque::from([(now, 1.0)]),
        }
    }

    /// The pace of a run that another agent may have paced, with calls that may still be carried out. It counts as still, so that it
    /// rises in parts: at full pace at once it might harm.
    pub(super) fn inherited(now: Instant) -> RunPace {
        RunPace {
            ordered: 0.0,
            is_in_doubt: true,
            late_until: Some(now + LATE_SPAN),
            past: VecDeque::from([(now, 0.0)]),
            ..RunPace::started(now)
        }
    }

    /// What was ordered last.
    pub(super) fn ordered(&self) -> f64 {
        self.ordered
    }

    /// The pace to order next, if one has to be ordered. Rises are taken in parts, and only when they may be.
    pub(super) fn next(&self, allowed: f64, may_rise: bool, now: Instant) -> Option<f64> {
        let rise = (allowed - self.ordered).max(0.0);
        if rise > 0.0 && !may_rise {
            return None;
        }
        let wanted = if rise > LEAST_CHANGE { self.ordered + rise * RISE_SHARE } else { allowed };
        let is_end = wanted != self.ordered && (wanted == 1.0 || wanted == 0.0);
        let is_change = (self.ordered - wanted).abs() >= LEAST_CHANGE || is_end;
        (is_change || self.is_in_doubt || self.is_repeat_due(now)).then_some(wanted)
    }

    /// Whether the pace has to be ordered again, since an older order may have taken its place.
    fn is_repeat_due(&self, now: Instant) -> bool {
        let is_late_possible = self.late_until.is_some_and(|until| now < until + REPEAT_PERIOD);
        is_late_possible && now.saturating_duration_since(self.ordered_at) >= REPEAT_PERIOD
    }

    /// Takes note that this pace is ordered.
    pub(super) fn order(&mut self, pace: f64, now: Instant) {
        self.ordered = pace;
        self.ordered_at = now;
        self.is_in_doubt = false;
        self.past.push_back((now + PACE_LAG, pace));
        let span_start = now.checked_sub(MEASURED_SPAN).unwrap_or(now);
        while self.past.get(1).is_some_and(|(since, _)| *since <= span_start) {
            self.past.pop_front();
        }
    }

    /// Takes note that the run may work at another pace than was ordered last, which is ordered again.
    pub(super) fn doubt(&mut self) {
        self.is_in_doubt = true;
    }

    /// Takes note that an order got no answer and may still be carried out.
    pub(super) fn on_unanswered(&mut self, now: Instant) {
        self.is_in_doubt = true;
        self.late_until = Some(now + LATE_SPAN);
    }

    /// The mean pace over the measured span before `now`; before its start a run works at no pace.
    pub(super) fn mean(&self, now: Instant) -> f64 {
        let span_start = now.checked_sub(MEASURED_SPAN).unwrap_or(now);
        let ends = self.past.iter().skip(1).map(|(since, _)| *since).chain([now]);
        let parts = self.past.iter().zip(ends).map(|((since, pace), end)| {
            let begin = (*since).max(span_start);
            pace * end.min(now).saturating_duration_since(begin).as_secs_f64()
        });
        parts.sum::<f64>() / MEASURED_SPAN.as_secs_f64()
    }
}
