//! Budget that limits retries to a share of the requests.

/// Largest number of unused retries that can accumulate.
const MAX_BALANCE: f64 = 20.0;

/// Token bucket of retries: each request adds `share` tokens, each retry takes one token.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget of `share` retries for each request, with a full balance.
    ///
    /// ```
    /// use greengagearch::request::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(0.1);
    /// assert!(budget.try_take());
    /// ```
    pub fn new(share: f64) -> RetryBudget {
        RetryBudget { share, balance: MAX_BALANCE }
    }

    /// Changes the share of retries; the balance stays the same.
    ///
    /// ```
    /// greengagearch::request::retry_budget::RetryBudget::new(0.1).set_share(0.2);
    /// ```
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Records a first attempt, which adds to the balance.
    ///
    /// ```
    /// greengagearch::request::retry_budget::RetryBudget::new(0.1).on_request();
    /// ```
    pub fn on_request(&mut self) {
        self.balance = (self.balance + self.share).min(MAX_BALANCE);
    }

    /// Takes one retry from the balance, if it contains one. Returns whether it did.
    ///
    /// ```
    /// use greengagearch::request::retry_budget::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(0.0);
    /// let taken = (0..100).filter(|_| budget.try_take()).count();
    /// assert_eq!(taken, 20);
    /// ```
    pub fn try_take(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
