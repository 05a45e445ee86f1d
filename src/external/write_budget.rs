//! A bound on the rate of writes to the table service, with priorities.
//!
//! The service's writes are scarce. A token bucket bounds them; each priority leaves a part of the
//! bucket to those above it, so that a wave of starts never holds up a lease or the end of a task.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

/// What a write is for, the most pressing first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WritePriority {
    /// Leases and membership: never held up.
    Lease,
    /// Ends of tasks, requeues and cancellations: they give resources back.
    End,
    /// What a caller or an operator waits for.
    #[default]
    Caller,
    /// Starts of tasks.
    Start,
    /// Counters of reports.
    Report,
}

impl WritePriority {
    /// Part of the bucket that is left to the priorities above.
    fn reserve(self) -> f64 {
        match self {
            WritePriority::Lease | WritePriority::End => 0.0,
            WritePriority::Caller => 0.1,
            WritePriority::Start => 0.3,
            WritePriority::Report => 0.5,
        }
    }
}

impl fmt::Display for WritePriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WritePriority::Lease => "lease",
            WritePriority::End => "end",
            WritePriority::Caller => "caller",
            WritePriority::Start => "start",
            WritePriority::Report => "report",
        })
    }
}

/// Time in which an empty bucket fills up.
const FILL_TIME: Duration = Duration::from_secs(1);

/// Writes that may be sent.
#[derive(Clone, Debug)]
pub struct WriteBudget {
    rate: f64,
    tokens: f64,
    filled_at: Instant,
}

impl WriteBudget {
    /// A full budget of `rate` writes a second.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use greengagearch::external::write_budget::WriteBudget;
    /// use greengagearch::external::write_budget::WritePriority;
    ///
    /// let now = Instant::now();
    /// let mut budget = WriteBudget::new(10.0, now);
    /// assert!(budget.try_take(WritePriority::Start, now).is_ok());
    /// ```
    pub fn new(rate: f64, now: Instant) -> WriteBudget {
        WriteBudget { rate, tokens: rate * FILL_TIME.as_secs_f64(), filled_at: now }
    }

    /// Changes the rate from `now` on.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::external::write_budget::WriteBudget;
    /// let now = Instant::now();
    /// WriteBudget::new(10.0, now).set_rate(20.0, now);
    /// ```
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.fill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.size());
    }

    /// Takes one write out of the budget. A lease is never refused; it goes into debt instead.
    ///
    /// # Errors
    ///
    /// How long to wait before asking again.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::external::write_budget::WriteBudget;
    /// # use greengagearch::external::write_budget::WritePriority;
    /// let now = Instant::now();
    /// let mut budget = WriteBudget::new(10.0, now);
    /// while budget.try_take(WritePriority::Start, now).is_ok() {}
    /// assert!(budget.try_take(WritePriority::End, now).is_ok());
    /// ```
    pub fn try_take(&mut self, priority: WritePriority, now: Instant) -> Result<(), Duration> {
        self.fill(now);
        let missing = self.missing(priority);
        if missing > 0.0 {
            return Err(Duration::from_secs_f64(missing / self.rate));
        }
        self.tokens = (self.tokens - 1.0).max(-self.size());
        Ok(())
    }

    /// Whether a write of this priority may be sent at `now`.
    ///
    /// ```
    /// # use std::time::Instant;
    /// # use greengagearch::external::write_budget::WriteBudget;
    /// # use greengagearch::external::write_budget::WritePriority;
    /// let now = Instant::now();
    /// assert!(WriteBudget::new(10.0, now).allows(WritePriority::Report, now));
    /// ```
    pub fn allows(&mut self, priority: WritePriority, now: Instant) -> bool {
        self.fill(now);
        self.missing(priority) <= 0.0
    }

    /// Tokens that are missing for a write of this priority.
    fn missing(&self, priority: WritePriority) -> f64 {
        if priority == WritePriority::Lease {
            return 0.0;
        }
        priority.reserve() * self.size() + 1.0 - self.tokens
    }

    fn size(&self) -> f64 {
        self.rate * FILL_TIME.as_secs_f64()
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + self.rate * passed.as_secs_f64()).min(self.size());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ALL: [WritePriority; 5] = [
        WritePriority::Lease,
        WritePriority::End,
        WritePriority::Caller,
        WritePriority::Start,
        WritePriority::Report,
    ];

    fn drain(budget: &mut WriteBudget, priority: WritePriority, now: Instant) -> usize {
        (0..10_000).take_while(|_| budget.try_take(priority, now).is_ok()).count()
    }

    #[test]
    fn each_priority_leaves_something_to_those_above() {
        let now = Instant::now();
        let mut budget = WriteBudget::new(100.0, now);
        let taken: Vec<usize> =
            ALL.iter().rev().map(|priority| drain(&mut budget, *priority, now)).collect();
        assert_eq!(taken[..4], [50, 20, 20, 10]);
        assert_eq!(taken[4], 10_000, "leases are never refused");
    }

    #[test]
    fn the_rate_is_kept_over_time_under_a_mixed_load() {
        let start = Instant::now();
        let mut budget = WriteBudget::new(50.0, start);
        let mut sent = 0;
        for millis in 0..10_000_u64 {
            let now = start + Duration::from_millis(millis);
            let priority = ALL[1 + (millis % 4) as usize];
            sent += usize::from(budget.try_take(priority, now).is_ok());
        }
        assert!((500..=550).contains(&sent), "ten seconds and one bucket: {sent}");
    }

    #[test]
    fn a_refused_write_is_allowed_after_the_wait_it_was_told() {
        let now = Instant::now();
        let mut budget = WriteBudget::new(100.0, now);
        drain(&mut budget, WritePriority::Start, now);
        let wait = budget.try_take(WritePriority::Start, now).unwrap_err();
        let later = now + wait + Duration::from_micros(1);
        assert!(budget.try_take(WritePriority::Start, later).is_ok());
    }

    #[test]
    fn debt_is_bounded() {
        let now = Instant::now();
        let mut budget = WriteBudget::new(100.0, now);
        drain(&mut budget, WritePriority::Lease, now);
        let wait = budget.try_take(WritePriority::End, now).unwrap_err();
        assert!(wait <= FILL_TIME + Duration::from_millis(20), "{wait:?}");
    }
}
