//! The pace of one best-effort run: the last ordered pace, whether it is certain to be in effect,
//! and the mean over the measurement window.
//!
//! A call that was not answered may still be executed after newer ones. The newest pace is
//! therefore ordered periodically for as long as that is possible.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::workflow::pair_interference::MEASUREMENT_WINDOW;

/// Part of an allowed increase that is ordered at once. The rest follows when measured tails show
/// the effect of the first part.
const INCREASE_SHARE: f64 = 0.7;
/// Time until an ordered pace takes effect: the bound that the platform states plus a call on the
/// same host.
const EFFECT_DELAY: Duration = Duration::from_millis(120);
/// Changes that are smaller are not ordered, except to full pace or to zero.
const MIN_CHANGE: f64 = 0.05;
/// Time after which a call that was not answered can no longer be executed.
const MAX_CALL_DELAY: Duration = Duration::from_secs(12);
/// Time between two orders of the same pace while an older one may still be executed.
const REPEAT_PERIOD: Duration = Duration::from_millis(500);

/// The pace of one run as a share of its full speed.
#[derive(Clone, Debug)]
pub(super) struct RunPace {
    /// The last ordered pace.
    ordered: f64,
    /// When it was ordered.
    ordered_at: Instant,
    /// Whether another pace may be in effect.
    is_uncertain: bool,
    /// Until when an unanswered order may still replace newer ones.
    unanswered_until: Option<Instant>,
    /// Ordered paces with the time from which each is in effect.
    history: VecDeque<(Instant, f64)>,
}

impl RunPace {
    /// A newly started run, which has full pace.
    pub(super) fn started(now: Instant) -> RunPace {
        RunPace {
            ordered: 1.0,
            ordered_at: now,
            is_uncertain: false,
            unanswered_until: None,
            history: VecDeque::from([(now, 1.0)]),
        }
    }

    /// A run whose pace a previous agent may have set with calls that may still be executed. It
    /// counts as paused, so that its pace is increased gradually: an immediate full pace might slow
    /// down serving tasks.
    pub(super) fn inherited(now: Instant) -> RunPace {
        RunPace {
            ordered: 0.0,
            is_uncertain: true,
            unanswered_until: Some(now + MAX_CALL_DELAY),
            history: VecDeque::from([(now, 0.0)]),
            ..RunPace::started(now)
        }
    }

    /// The last ordered pace.
    pub(super) fn ordered(&self) -> f64 {
        self.ordered
    }

    /// The pace to be ordered next, if any. An increase is ordered in parts, and only if
    /// `may_raise`.
    pub(super) fn next(&self, allowed: f64, may_raise: bool, now: Instant) -> Option<f64> {
        let increase = (allowed - self.ordered).max(0.0);
        if increase > 0.0 && !may_raise {
            return None;
        }
        let next_pace =
            if increase > MIN_CHANGE { self.ordered + increase * INCREASE_SHARE } else { allowed };
        let reaches_limit = next_pace != self.ordered && (next_pace == 1.0 || next_pace == 0.0);
        let is_change = (self.ordered - next_pace).abs() >= MIN_CHANGE || reaches_limit;
        (is_change || self.is_uncertain || self.is_repeat_due(now)).then_some(next_pace)
    }

    /// Whether the pace has to be ordered again because an older order may have replaced it.
    fn is_repeat_due(&self, now: Instant) -> bool {
        let may_be_replaced =
            self.unanswered_until.is_some_and(|until| now < until + REPEAT_PERIOD);
        may_be_replaced && now.saturating_duration_since(self.ordered_at) >= REPEAT_PERIOD
    }

    /// Records that a pace is ordered.
    pub(super) fn order(&mut self, pace: f64, now: Instant) {
        self.ordered = pace;
        self.ordered_at = now;
        self.is_uncertain = false;
        self.history.push_back((now + EFFECT_DELAY, pace));
        let window_start = now.checked_sub(MEASUREMENT_WINDOW).unwrap_or(now);
        while self.history.get(1).is_some_and(|(since, _)| *since <= window_start) {
            self.history.pop_front();
        }
    }

    /// Records that another pace may be in effect, so that the last ordered pace is ordered again.
    pub(super) fn mark_uncertain(&mut self) {
        self.is_uncertain = true;
    }

    /// Records that an order was not answered and may still be executed.
    pub(super) fn on_unanswered(&mut self, now: Instant) {
        self.is_uncertain = true;
        self.unanswered_until = Some(now + MAX_CALL_DELAY);
    }

    /// The mean pace over the measurement window before `now`; the pace before the start of the run
    /// is zero.
    pub(super) fn mean(&self, now: Instant) -> f64 {
        let window_start = now.checked_sub(MEASUREMENT_WINDOW).unwrap_or(now);
        let ends = self.history.iter().skip(1).map(|(since, _)| *since).chain([now]);
        let parts = self.history.iter().zip(ends).map(|((since, pace), end)| {
            let begin = (*since).max(window_start);
            pace * end.min(now).saturating_duration_since(begin).as_secs_f64()
        });
        parts.sum::<f64>() / MEASUREMENT_WINDOW.as_secs_f64()
    }
}
