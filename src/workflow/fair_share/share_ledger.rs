//! Usage, demand and entitlement of the queues of each service.

use std::collections::BTreeMap;

use crate::ids::QueueName;
use crate::ids::ServiceName;
use crate::workflow::fair_share::dominant_share::DominantShare;
use crate::workflow::fair_share::share_settings::ShareSettings;
use crate::workflow::spec::ResourceVector;

/// What a queue uses and requests of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueDemand {
    /// Priority of the queue; zero is the highest.
    pub priority: u32,
    /// Resources of its runs, without those that are stopping.
    pub usage: ResourceVector,
    /// Resources that its tasks request which are ready and not running.
    pub waiting: ResourceVector,
    /// Number of these tasks.
    pub waiting_tasks: usize,
}

/// Share of a queue of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueShare {
    /// What the queue uses and requests.
    pub demand: QueueDemand,
    /// Its weight divided by the weights of all queues of its priority that use or request
    /// anything.
    pub weight_fraction: f64,
    /// Dominant share of the capacity that it uses.
    pub share: f64,
    /// Share that its weight gives it of what more urgent queues leave.
    pub nominal: f64,
    /// Share that it is entitled to: what it requests, at most the nominal share and its part of
    /// what others of its priority do not request.
    pub entitlement: f64,
}

/// Part of a queue's nominal share that another queue uses.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueLoan {
    /// Queue that uses more than its nominal share.
    pub borrower: QueueName,
    /// Queue that uses less than its nominal share.
    pub lender: QueueName,
    /// Share of the service's capacity.
    pub share: f64,
}

/// Shares of all queues of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceShares {
    /// Capacity of the workers whose status is known.
    pub capacity: ResourceVector,
    /// Queues that use or request anything.
    pub queues: BTreeMap<QueueName, QueueShare>,
}

/// Shares of all queues, by service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareLedger {
    /// Services with a known capacity.
    pub services: BTreeMap<ServiceName, ServiceShares>,
}

impl ShareLedger {
    /// Computes the shares of all queues.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    ///
    /// use greengagearch::workflow::fair_share::share_ledger::ShareLedger;
    /// use greengagearch::workflow::fair_share::share_settings::ShareSettings;
    ///
    /// let ledger = ShareLedger::of(&ShareSettings::default(), BTreeMap::new(), BTreeMap::new());
    /// assert!(ledger.services.is_empty());
    /// ```
    pub fn of(
        settings: &ShareSettings,
        capacities: BTreeMap<ServiceName, ResourceVector>,
        mut demands: BTreeMap<ServiceName, BTreeMap<QueueName, QueueDemand>>,
    ) -> ShareLedger {
        let mut services = BTreeMap::new();
        for (service, capacity) in capacities {
            let demands = demands.remove(&service).unwrap_or_default();
            if capacity != ResourceVector::default() {
                services.insert(service, ServiceShares::of(settings, capacity, demands));
            }
        }
        ShareLedger { services }
    }

    /// The share of a queue of a service; `None` if the service's capacity is not known or the
    /// queue neither uses nor requests anything.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::share_ledger::ShareLedger;
    ///
    /// assert!(ShareLedger::default().queue("video", "quick").is_none());
    /// ```
    pub fn queue(&self, service: &str, queue: &str) -> Option<&QueueShare> {
        self.services.get(service)?.queues.get(queue)
    }
}

impl ServiceShares {
    fn of(
        settings: &ShareSettings,
        capacity: ResourceVector,
        demands: BTreeMap<QueueName, QueueDemand>,
    ) -> ServiceShares {
        let mut by_priority: BTreeMap<u32, Vec<(QueueName, QueueDemand)>> = BTreeMap::new();
        for (queue, demand) in demands {
            by_priority.entry(demand.priority).or_default().push((queue, demand));
        }
        let mut shares = ServiceShares { capacity, queues: BTreeMap::new() };
        let mut used_before = ResourceVector::default();
        for group in by_priority.into_values() {
            let used = group.iter().map(|(_, demand)| demand.usage);
            let used_after = used.fold(used_before, |sum, usage| sum.plus(&usage));
            shares.add_group(settings, &used_before, group);
            used_before = used_after;
        }
        shares
    }

    /// Adds the queues of one priority, which share what more urgent queues leave.
    fn add_group(
        &mut self,
        settings: &ShareSettings,
        used_before: &ResourceVector,
        group: Vec<(QueueName, QueueDemand)>,
    ) {
        let mut parts = Vec::with_capacity(group.len());
        for (queue, demand) in &group {
            let total = demand.usage.plus(&demand.waiting);
            let (left, requested) =
                DominantShare::of(&total, &self.capacity).map_or((0.0, 0.0), |dominant| {
                    let left =
                        DominantShare::left_of(dominant.resource, used_before, &self.capacity);
                    (left, dominant.share)
                });
            let requested = if left > 0.0 { requested / left } else { f64::INFINITY };
            parts.push((settings.weight_of(queue), left, requested));
        }
        let weights: f64 = parts.iter().map(|(weight, _, _)| weight).sum();
        let requests: Vec<(f64, f64)> =
            parts.iter().map(|(weight, _, requested)| (*weight, *requested)).collect();
        let fractions = fair_fractions(&requests);
        for (((queue, demand), (weight, left, _)), fraction) in
            group.into_iter().zip(parts).zip(fractions)
        {
            let used = DominantShare::of(&demand.usage, &self.capacity);
            let share = QueueShare {
                weight_fraction: weight / weights,
                share: used.map_or(0.0, |used| used.share),
                nominal: left * weight / weights,
                entitlement: left * fraction,
                demand,
            };
            self.queues.insert(queue, share);
        }
    }

    /// Which queue uses how much of which other queue's nominal share. Each borrower uses a part of
    /// what each lender leaves, in proportion.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::share_ledger::ServiceShares;
    ///
    /// assert!(ServiceShares::default().loans().is_empty());
    /// ```
    pub fn loans(&self) -> Vec<QueueLoan> {
        let mut loans = Vec::new();
        for (borrower, borrowing) in &self.queues {
            let priority = borrowing.demand.priority;
            let group = || self.queues.iter().filter(|(_, one)| one.demand.priority == priority);
            let lent: f64 = group().map(|(_, one)| (one.nominal - one.share).max(0.0)).sum();
            let borrowed: f64 = group().map(|(_, one)| (one.share - one.nominal).max(0.0)).sum();
            let excess = (borrowing.share - borrowing.nominal).max(0.0);
            for (lender, lending) in group() {
                let part = (lending.nominal - lending.share).max(0.0);
                let share = excess * part / f64::max(lent, borrowed).max(f64::MIN_POSITIVE);
                if share > 0.0 {
                    let (borrower, lender) = (borrower.clone(), lender.clone());
                    loans.push(QueueLoan { borrower, lender, share });
                }
            }
        }
        loans
    }

    /// How much each queue of a priority uses beyond its entitlement.
    pub(crate) fn excesses(&self, priority: u32) -> BTreeMap<QueueName, f64> {
        let group = self.queues.iter().filter(|(_, one)| one.demand.priority == priority);
        let excesses = group.map(|(queue, one)| (queue.clone(), one.share - one.entitlement));
        excesses.filter(|(_, excess)| *excess > 0.0).collect()
    }
}

/// Max-min fair fractions of a whole for requests with weights: no request gets more than it asks
/// for, and the others divide the rest by their weights.
fn fair_fractions(requests: &[(f64, f64)]) -> Vec<f64> {
    let mut fractions: Vec<Option<f64>> = vec![None; requests.len()];
    let mut left = 1.0;
    loop {
        let open = || requests.iter().zip(&fractions).filter(|(_, granted)| granted.is_none());
        let weights: f64 = open().map(|((weight, _), _)| weight).sum();
        let is_met = |weight: f64, requested: f64| requested <= left * weight / weights;
        let has_met = open().any(|((weight, requested), _)| is_met(*weight, *requested));
        let mut granted_now = 0.0;
        for ((weight, requested), granted) in requests.iter().zip(&mut fractions) {
            if granted.is_some() {
                continue;
            }
            if !has_met {
                *granted = Some(left * weight / weights);
            } else if is_met(*weight, *requested) {
                *granted = Some(*requested);
                granted_now += requested;
            }
        }
        if !has_met {
            break;
        }
        left = (left - granted_now).max(0.0);
    }
    fractions.into_iter().map(|granted| granted.unwrap_or(0.0)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn demand(priority: u32, used: u64, waiting: u64) -> QueueDemand {
        let cores = |millicores| ResourceVector { millicores, memory_mib: 0, accelerators: 0 };
        QueueDemand {
            priority,
            usage: cores(used),
            waiting: cores(waiting),
            waiting_tasks: usize::from(waiting > 0),
        }
    }

    fn shares(weights: &[(&str, f64)], demands: &[(&str, QueueDemand)]) -> ServiceShares {
        let weights = weights.iter().map(|(queue, weight)| (queue.to_string(), *weight));
        let settings = ShareSettings { weights: weights.collect(), ..ShareSettings::default() };
        let capacity = ResourceVector { millicores: 1_000, memory_mib: 100, accelerators: 0 };
        let demands = demands.iter().map(|(queue, one)| (queue.to_string(), one.clone()));
        ServiceShares::of(&settings, capacity, demands.collect())
    }

    fn is_close(left: f64, right: f64) -> bool {
        (left - right).abs() < 1e-9
    }

    /// Guards against capacity that stays idle because its queue does not request it.
    #[test]
    fn what_a_queue_does_not_request_is_lent_by_weight() {
        let shares = shares(
            &[("a", 1.0), ("b", 3.0), ("c", 4.0)],
            &[("a", demand(0, 400, 900)), ("b", demand(0, 500, 900)), ("c", demand(0, 100, 0))],
        );
        assert!(is_close(shares.queues["a"].nominal, 0.125));
        assert!(is_close(shares.queues["a"].entitlement, 0.225));
        assert!(is_close(shares.queues["b"].entitlement, 0.675));
        assert!(is_close(shares.queues["c"].entitlement, 0.1));
        assert_eq!(shares.excesses(0).into_keys().collect::<Vec<QueueName>>(), ["a"]);
    }

    /// Guards against a borrower that keeps its claim when the lender requests its share again.
    #[test]
    fn a_lender_whose_demand_returns_is_entitled_to_its_share_at_once() {
        let shares = shares(&[], &[("a", demand(0, 1_000, 500)), ("b", demand(0, 0, 800))]);
        assert!(is_close(shares.queues["b"].entitlement, 0.5));
        let loans = shares.loans();
        assert_eq!((loans[0].borrower.as_str(), loans[0].lender.as_str()), ("a", "b"));
        assert!(is_close(loans[0].share, 0.5));
    }

    /// Guards against weights that take capacity from a more urgent queue.
    #[test]
    fn weights_count_below_priority() {
        let shares = shares(
            &[("urgent", 1.0), ("bulk", 100.0)],
            &[
                ("urgent", demand(0, 600, 0)),
                ("bulk", demand(2, 400, 900)),
                ("rest", demand(2, 0, 900)),
            ],
        );
        assert!(is_close(shares.queues["urgent"].entitlement, 0.6));
        assert!(is_close(shares.queues["bulk"].nominal, 0.4 * 100.0 / 101.0));
        assert!(shares.excesses(0).is_empty());
    }
}
