//! Which runs are preempted for a queue that reclaims resources.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::ids::QueueName;
use crate::workflow::advice_cache::StepKey;
use crate::workflow::fair_share::reclaim_policy::ReclaimPolicy;
use crate::workflow::fair_share::reclaim_policy::SHARE_TOLERANCE;
use crate::workflow::spec::ResourceVector;
use crate::workflow::worker_inventory::RunKey;

/// A run that may be preempted for a claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ReclaimCandidate {
    /// The run.
    pub key: RunKey,
    /// Its queue.
    pub queue: QueueName,
    /// Resources that its end frees for the claim's task.
    pub frees: ResourceVector,
    /// Dominant share of the service's capacity that it uses.
    pub share: f64,
    /// Whether it saves checkpoints.
    pub checkpoints: bool,
    /// Processor time lost by stopping it, in thousandths of a core times milliseconds.
    pub loss: u64,
    /// For a long-running task, how many tasks of its step may still be interrupted.
    pub interruptible: Option<(StepKey, u32)>,
}

/// Resources that a claim's task needs on a worker, and the limits within which they are reclaimed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReclaimRequest<'a> {
    /// Resources that are free there, or become free as runs stop.
    pub free: ResourceVector,
    /// Resources that the task needs.
    pub requested: ResourceVector,
    /// How much each queue uses beyond its entitlement.
    pub excesses: &'a BTreeMap<QueueName, f64>,
    /// Share of the capacity that may be reclaimed now.
    pub budget: f64,
}

/// Runs on one worker that are preempted for a claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ReclaimChoice {
    /// The runs, each with its queue.
    pub runs: Vec<(RunKey, QueueName)>,
    /// Number of runs without checkpoints.
    pub without_checkpoints: usize,
    /// Processor time lost, in thousandths of a core times milliseconds.
    pub loss: u64,
    /// Share of the service's capacity that the runs use.
    pub share: f64,
}

impl ReclaimPolicy {
    /// Selects the runs on a worker that are preempted for a task: those with checkpoints first, of
    /// these the one that loses the least work first. `None` if that frees too little within the
    /// limits, or if nothing has to be preempted.
    ///
    /// ```
    /// use greengagearch::workflow::fair_share::reclaim_policy::ReclaimPolicy;
    /// use greengagearch::workflow::fair_share::reclaim_choice::ReclaimRequest;
    ///
    /// let request = ReclaimRequest {
    ///     free: Default::default(),
    ///     requested: Default::default(),
    ///     excesses: &Default::default(),
    ///     budget: 0.1,
    /// };
    /// assert_eq!(ReclaimPolicy::default().select(&request, Vec::new()), None);
    /// ```
    pub fn select(
        &self,
        request: &ReclaimRequest<'_>,
        mut candidates: Vec<ReclaimCandidate>,
    ) -> Option<ReclaimChoice> {
        candidates.sort_by(|a, b| {
            let cost = |one: &ReclaimCandidate| (!one.checkpoints, one.loss);
            cost(a).cmp(&cost(b)).then_with(|| a.key.cmp(&b.key))
        });
        let mut free = request.free;
        let mut reclaimed: BTreeMap<QueueName, f64> = BTreeMap::new();
        let mut interrupted: HashMap<StepKey, u32> = HashMap::new();
        let mut chosen: Vec<ReclaimCandidate> = Vec::new();
        for candidate in candidates {
            if free.contains(&request.requested) {
                break;
            }
            let missing = request.requested.minus(&free);
            let excess = request.excesses.get(&candidate.queue).copied().unwrap_or(0.0);
            let excess = excess - reclaimed.get(&candidate.queue).copied().unwrap_or(0.0);
            if !self.is_reclaimable(&candidate.key.0, candidate.share, excess)
                || !overlaps(&candidate.frees, &missing)
            {
                continue;
            }
            if let Some((step, allowed)) = &candidate.interruptible {
                let interrupted = interrupted.entry(step.clone()).or_default();
                if *interrupted >= *allowed {
                    continue;
                }
                *interrupted += 1;
            }
            *reclaimed.entry(candidate.queue.clone()).or_default() += candidate.share;
            free = free.plus(&candidate.frees);
            chosen.push(candidate);
        }
        if chosen.is_empty() || !free.contains(&request.requested) {
            return None;
        }
        // A larger run that was added later may make an earlier one unnecessary.
        for index in (0..chosen.len()).rev() {
            let without = free.minus(&chosen[index].frees);
            if without.contains(&request.requested) {
                free = without;
                chosen.remove(index);
            }
        }
        let share: f64 = chosen.iter().map(|one| one.share).sum();
        if share > request.budget + SHARE_TOLERANCE {
            return None;
        }
        Some(ReclaimChoice {
            without_checkpoints: chosen.iter().filter(|one| !one.checkpoints).count(),
            loss: chosen.iter().map(|one| one.loss).sum(),
            share,
            runs: chosen.into_iter().map(|one| (one.key, one.queue)).collect(),
        })
    }
}

/// Whether an amount has some of a resource that is missing.
pub(crate) fn overlaps(amount: &ResourceVector, missing: &ResourceVector) -> bool {
    amount.millicores.min(missing.millicores) > 0
        || amount.memory_mib.min(missing.memory_mib) > 0
        || amount.accelerators.min(missing.accelerators) > 0
}
