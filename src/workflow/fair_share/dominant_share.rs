//! Share of a service's capacity that a queue uses of the resource it uses most.

use crate::workflow::spec::ResourceVector;

/// A resource that queues share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedResource {
    /// Processor time.
    Processors,
    /// Memory.
    Memory,
    /// Accelerators.
    Accelerators,
}

/// The largest share that an amount takes of any resource (dominant resource fairness, Ghodsi et
/// al., 2011).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DominantShare {
    /// The resource with the largest share.
    pub resource: SharedResource,
    /// Its share of the capacity; 1 is all of it.
    pub share: f64,
}

impl DominantShare {
    /// Returns the dominant share of an amount; `None` if no capacity is known. A resource that the
    /// service does not have is left out.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::dominant_share::DominantShare;
    /// use greengagearch::workflow::fair_share::dominant_share::SharedResource;
    /// use greengagearch::workflow::spec::ResourceVector;
    ///
    /// let capacity = ResourceVector { millicores: 4_000, memory_mib: 1_000, accelerators: 0 };
    /// let amount = ResourceVector { millicores: 1_000, memory_mib: 500, accelerators: 0 };
    /// let share = DominantShare::of(&amount, &capacity).unwrap();
    /// assert_eq!((share.resource, share.share), (SharedResource::Memory, 0.5));
    /// ```
    pub fn of(amount: &ResourceVector, capacity: &ResourceVector) -> Option<DominantShare> {
        let amounts = [
            (SharedResource::Processors, amount.millicores, capacity.millicores),
            (SharedResource::Memory, amount.memory_mib, capacity.memory_mib),
            (SharedResource::Accelerators, amount.accelerators, capacity.accelerators),
        ];
        let existing = amounts.into_iter().filter(|(_, _, capacity)| *capacity > 0);
        let shares = existing.map(|(resource, amount, capacity)| DominantShare {
            resource,
            share: amount as f64 / capacity as f64,
        });
        // Of equal shares the first resource is taken.
        shares.reduce(|best, next| if next.share > best.share { next } else { best })
    }

    /// Share of this amount's resource that is left of the capacity, between 0 and 1.
    pub(crate) fn left_of(
        resource: SharedResource,
        used: &ResourceVector,
        capacity: &ResourceVector,
    ) -> f64 {
        let (used, capacity) = match resource {
            SharedResource::Processors => (used.millicores, capacity.millicores),
            SharedResource::Memory => (used.memory_mib, capacity.memory_mib),
            SharedResource::Accelerators => (used.accelerators, capacity.accelerators),
        };
        (1.0 - used as f64 / capacity.max(1) as f64).clamp(0.0, 1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn amount(millicores: u64, memory_mib: u64, accelerators: u64) -> ResourceVector {
        ResourceVector { millicores, memory_mib, accelerators }
    }

    /// Guards against a queue of few processors that takes all accelerators counting as small.
    #[test]
    fn scarce_accelerators_dominate_plentiful_processors() {
        let share = DominantShare::of(&amount(1_000, 0, 3), &amount(100_000, 1_000, 4)).unwrap();
        assert_eq!((share.resource, share.share), (SharedResource::Accelerators, 0.75));
    }

    /// Guards against a division by a capacity that is not known.
    #[test]
    fn no_share_is_computed_without_capacity() {
        assert_eq!(DominantShare::of(&amount(1_000, 0, 0), &ResourceVector::default()), None);
        let share = DominantShare::of(&amount(0, 10, 2), &amount(1_000, 100, 0)).unwrap();
        assert_eq!((share.resource, share.share), (SharedResource::Memory, 0.1));
    }
}
