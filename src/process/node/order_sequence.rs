//! Which orders have come of those that were sent one after another, since calls may overtake each other.

use std::collections::HashMap;

/// The orders that came over one link.
#[derive(Debug, Default)]
pub struct OrderSequence {
    seen: u64,
    /// Orders that came before earlier ones: their number, by that of the ones before.
    early: HashMap<u64, u64>,
}

impl OrderSequence {
    /// Takes note of orders that came after those with the number `previous`. They count as seen when those have come as well.
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

    /// Number of the last orders before which none is missing.
    ///
    /// ```
    /// assert_eq!(greengagearch::process::node::order_sequence::OrderSequence::default().seen(), 0);
    /// ```
    pub fn seen(&self) -> u64 {
        self.seen
    }
}
