//! Rank of a job by the share of its queue.

use std::collections::HashMap;

use crate::workflow::fair_share::dominant_share::DominantShare;
use crate::workflow::fair_share::share_ledger::ShareLedger;
use crate::workflow::spec::ResourceVector;

/// Steps of the rank within the share that a queue's weight gives it. Smaller differences do not
/// change the order, so that it does not alternate with each task that starts or ends.
const STEPS_PER_SHARE: f64 = 10.0;

/// Ranks jobs by the share of their queue. A job counts what the jobs of its queue that come before
/// it request, so that the queues take turns within one planning round.
#[derive(Debug)]
pub(crate) struct ShareOrder<'a> {
    ledger: &'a ShareLedger,
    /// Resources requested by the jobs ranked so far, by service and queue.
    requested: HashMap<(&'a str, &'a str), ResourceVector>,
}

impl<'a> ShareOrder<'a> {
    pub(crate) fn new(ledger: &'a ShareLedger) -> ShareOrder<'a> {
        ShareOrder { ledger, requested: HashMap::new() }
    }

    /// The rank of the next job of a queue, whose tasks that are ready and not running request
    /// `waiting`. The jobs of a queue have to be ranked in their order.
    pub(crate) fn rank(
        &mut self,
        service: &'a str,
        queue: &'a str,
        waiting: &ResourceVector,
    ) -> u32 {
        let Some(shares) = self.ledger.services.get(service) else {
            return 0;
        };
        let Some(share) = shares.queues.get(queue) else {
            return 0;
        };
        let requested = self.requested.entry((service, queue)).or_default();
        let total = share.demand.usage.plus(requested);
        *requested = requested.plus(waiting);
        let dominant = DominantShare::of(&total, &shares.capacity);
        let used = dominant.map_or(0.0, |dominant| dominant.share);
        // The conversion saturates.
        (used / share.weight_fraction * STEPS_PER_SHARE) as u32
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;
    use crate::workflow::fair_share::share_ledger::QueueDemand;
    use crate::workflow::fair_share::share_settings::ShareSettings;

    fn cores(millicores: u64) -> ResourceVector {
        ResourceVector { millicores, memory_mib: 0, accelerators: 0 }
    }

    fn ledger(used: &[(&str, u64)]) -> ShareLedger {
        let demand = |used| QueueDemand { usage: cores(used), ..QueueDemand::default() };
        let demands = used.iter().map(|(queue, used)| (queue.to_string(), demand(*used)));
        let demands = BTreeMap::from([("s".to_string(), demands.collect())]);
        let capacities = BTreeMap::from([("s".to_string(), cores(1_000))]);
        ShareLedger::of(&ShareSettings::default(), capacities, demands)
    }

    /// Guards against one queue taking all free capacity of a round because its jobs are smaller.
    #[test]
    fn queues_take_turns_within_a_round() {
        let ledger = ledger(&[("a", 0), ("b", 200)]);
        let mut order = ShareOrder::new(&ledger);
        let ranks: Vec<u32> = (0..3).map(|_| order.rank("s", "a", &cores(150))).collect();
        assert_eq!(ranks, [0, 3, 6]);
        assert_eq!(order.rank("s", "b", &cores(150)), 4);
    }

    /// Guards against an order that changes with each task.
    #[test]
    fn small_differences_do_not_change_the_rank() {
        let ledger = ledger(&[("a", 410), ("b", 440)]);
        let mut order = ShareOrder::new(&ledger);
        assert_eq!(order.rank("s", "a", &cores(0)), order.rank("s", "b", &cores(0)));
        assert_eq!(order.rank("unknown", "a", &cores(0)), 0);
    }
}
