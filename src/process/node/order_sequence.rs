//! Tracks which batches of orders have arrived, since calls may overtake each other.

use std::collections::HashMap;

/// The batches of orders that arrived over one link.
#[derive(Debug, Default)]
pub struct OrderSequence {
    seen: u64,
    /// Batches that arrived before an earlier one: their numbers by that of the preceding batch.
    early: HashMap<u64, u64>,
}

impl OrderSequence {
    /// Records the batch `number`, which follows the batch `previous`. It counts as seen once all
    /// batches before it have arrived.
    ///
    /// ```
    /// use greengagearch::process::node::order_sequence::OrderSequence;
    ///
    /// let mut orders = OrderSequence::default();
    /// orders.on_orders(1, 2);
    /// assert_eq!(orders.seen(), 0);
    /// orders.on_orders(0, 1);
    /// assert_eq!(orders.seen(), 2);
    /// ```
    pub fn on_orders(&mut self, previous: u64, number: u64) {
        self.early.insert(previous, number);
        while let Some(number) = self.early.remove(&self.seen) {
            self.seen = number;
        }
    }

    /// Returns the number of the last batch before which none is missing.
    ///
    /// ```
    /// use greengagearch::process::node::order_sequence::OrderSequence;
    ///
    /// assert_eq!(OrderSequence::default().seen(), 0);
    /// ```
    pub fn seen(&self) -> u64 {
        self.seen
    }
}
