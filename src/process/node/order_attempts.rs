//! Counts the attempts to deliver an order to the runner, and logs those that fail.

use log::Level;

use crate::external::runner_control::RunnerError;
use crate::ids::PlannerEpoch;
use crate::process::logging::log_event;
use crate::process::metrics::ProcessMetrics;
use crate::workflow::worker_inventory::RunKey;

/// Each of the first attempts is logged if it fails; later only those whose number is a power of
/// two.
const FULLY_LOGGED_ATTEMPTS: u32 = 3;

/// The kind of an order to the runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Start a run.
    Start,
    /// Stop a run.
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

/// The delivery attempts of one order so far.
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
    /// Creates the record of an order that has not been sent.
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

    /// Counts an attempt, and logs it if it failed.
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
    pub fn record(&mut self, metrics: &ProcessMetrics, response: &Result<(), RunnerError>) {
        self.attempts += 1;
        self.outcome = response.as_ref().map_or_else(ToString::to_string, |()| "done".to_string());
        let labels = [self.order.label(), outcome_label(response)];
        metrics.order_tries.with_label_values(&labels).inc();
        if response.is_err() && is_logged(self.attempts) {
            self.log_attempt();
        }
        if matches!(response, Err(RunnerError::NoAnswer { .. })) {
            self.unanswered += 1;
        }
    }

    /// Returns the number of attempts so far.
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

    /// Returns the number of attempts without a response, each of which may have been carried out.
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

    /// Returns the outcome of the last attempt.
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

    fn log_attempt(&self) {
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
    number <= FULLY_LOGGED_ATTEMPTS || number.is_power_of_two()
}

fn outcome_label(response: &Result<(), RunnerError>) -> &'static str {
    match response {
        Ok(()) => "done",
        Err(RunnerError::NoAnswer { .. }) => "no_answer",
        Err(RunnerError::Rejected { .. }) => "refused",
        Err(RunnerError::Fenced | RunnerError::OtherInstance | RunnerError::NotRunning) => "other",
    }
}
