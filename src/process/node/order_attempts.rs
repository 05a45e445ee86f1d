//! Tries of an order at the runner: counted, and logged where they did not succeed.

use log::Level;

use crate::external::runner_control::RunnerError;
use crate::ids::PlannerEpoch;
use crate::process::logging::log_event;
use crate::process::metrics::ProcessMetrics;
use crate::workflow::worker_inventory::RunKey;

/// The first attempts of an order are all logged; after them each power of two.
const FIRST_TRIES: u32 = 3;

/// What is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// A start.
    Start,
    /// A stop.
    Stop,
}

impl OrderKind {
    fn label(self) -> &'static str {
        match self {
            OrderKind::Start => "start",
            OrderKind::Stop => "stop",
        }
    }

    fn event(self) -> &'static str {
        match self {
            OrderKind::Start => "start_try",
            OrderKind::Stop => "stop_try",
        }
    }
}

/// The attempts of one order so far.
#[derive(Clone, Debug)]
pub struct OrderAttempts {
    order: OrderKind,
    key: RunKey,
    epoch: PlannerEpoch,
    attempts: u32,
    unanswered: u32,
    outcome: String,
}

impl OrderAttempts {
    /// An order that has not been tried.
    ///
    /// ```
    /// use greengagearch::process::node::order_attempts::OrderAttempts;
    /// use greengagearch::process::node::order_attempts::OrderKind;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert_eq!(OrderAttempts::new(OrderKind::Stop, &key, 7).attempts(), 0);
    /// ```
    pub fn new(order: OrderKind, key: &RunKey, epoch: PlannerEpoch) -> OrderAttempts {
        OrderAttempts {
            order,
            key: key.clone(),
            epoch,
            attempts: 0,
            unanswered: 0,
            outcome: "not tried".to_string(),
        }
    }

    /// Counts a try, and logs one that did not succeed.
    ///
    /// ```
    /// use greengagearch::process::metrics::ProcessMetrics;
    /// use greengagearch::process::node::order_attempts::OrderAttempts;
    /// use greengagearch::process::node::order_attempts::OrderKind;
    ///
    /// let metrics = ProcessMetrics::open();
    /// let mut attempts = OrderAttempts::new(OrderKind::Stop, &("a.0.0.0".parse().unwrap(), 1), 7);
    /// attempts.record(&metrics, &Ok(()));
    /// assert_eq!(attempts.outcome(), "done");
    /// assert!(metrics.render().contains("gga_order_tries{order=\"stop\",outcome=\"done\"} 1"));
    /// ```
    pub fn record(&mut self, metrics: &ProcessMetrics, answer: &Result<(), RunnerError>) {
        self.attempts += 1;
        self.outcome = answer.as_ref().map_or_else(ToString::to_string, |()| "done".to_string());
        let labels = [self.order.label(), answer_label(answer)];
        metrics.order_tries.with_label_values(&labels).inc();
        if answer.is_err() && is_logged(self.attempts) {
            self.log_try();
        }
        if matches!(answer, Err(RunnerError::NoAnswer { .. })) {
            self.unanswered += 1;
        }
    }

    /// Tries so far.
    ///
    /// ```
    /// use greengagearch::process::node::order_attempts::OrderAttempts;
    /// use greengagearch::process::node::order_attempts::OrderKind;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert_eq!(OrderAttempts::new(OrderKind::Start, &key, 7).attempts(), 0);
    /// ```
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Tries so far that had no answer, each of which may have been carried out.
    ///
    /// ```
    /// use greengagearch::process::node::order_attempts::OrderAttempts;
    /// use greengagearch::process::node::order_attempts::OrderKind;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert_eq!(OrderAttempts::new(OrderKind::Start, &key, 7).unanswered(), 0);
    /// ```
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// Outcome of the last try.
    ///
    /// ```
    /// use greengagearch::process::node::order_attempts::OrderAttempts;
    /// use greengagearch::process::node::order_attempts::OrderKind;
    ///
    /// let key = ("a.0.0.0".parse().unwrap(), 1);
    /// assert_eq!(OrderAttempts::new(OrderKind::Start, &key, 7).outcome(), "not tried");
    /// ```
    pub fn outcome(&self) -> &str {
        &self.outcome
    }

    fn log_try(&self) {
        log_event(
            Level::Info,
            self.order.event(),
            &[
                ("task", &self.key.0),
                ("run", &self.key.1),
                ("epoch", &self.epoch),
                ("try", &self.attempts),
                ("outcome", &self.outcome),
                ("unanswered", &self.unanswered),
            ],
        );
    }
}

fn is_logged(number: u32) -> bool {
    number <= FIRST_TRIES || number.is_power_of_two()
}

fn answer_label(answer: &Result<(), RunnerError>) -> &'static str {
    match answer {
        Ok(()) => "done",
        Err(RunnerError::NoAnswer { .. }) => "no_answer",
        Err(RunnerError::Rejected { .. }) => "refused",
        Err(RunnerError::Fenced | RunnerError::OtherLife | RunnerError::NotRunning) => "other",
    }
}
