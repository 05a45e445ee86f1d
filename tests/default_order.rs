//! The order of jobs and the preemptions of a planner without settings for shares or waiting.

mod planning;

use greengagearch::workflow::plan_decision::PlanDecision;
use greengagearch::workflow::progress::RunEnd;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;

use crate::planning::PlannedFleet;
use crate::planning::job;

/// Number and digest of the starts and preemptions of the load below. They were recorded with the
/// planner before it knew shares of queues. A change of its decisions without any settings changes
/// them.
const RECORDED: (usize, u64) = (1_094, 16_218_135_399_847_796_853);

/// A linear congruential generator (Knuth, MMIX), so that the load is the same on all platforms.
struct LoadSequence(u64);

impl LoadSequence {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.0 >> 33) % limit
    }
}

fn draw_job(sequence: &mut LoadSequence, wall_ms: u64) -> WorkflowSpec {
    let steps = 1 + sequence.below(3) as usize;
    let kind = sequence.below(10);
    let steps = (0..steps).map(|number| StepSpec {
        count: 1 + sequence.below(6) as u32,
        resources: ResourceVector {
            millicores: 200 + sequence.below(1_500),
            memory_mib: 50 + sequence.below(600),
            accelerators: 0,
        },
        estimate_ms: 100 + sequence.below(2_000),
        after: number.checked_sub(1).into_iter().collect(),
        checkpoints: kind < 6,
        gang: kind == 8,
        long_running: kind == 9,
        best_effort: kind < 4,
        ..StepSpec::default()
    });
    let mut spec = job(steps.collect());
    spec.policy.priority = sequence.below(3) as u32;
    spec.policy.queue = format!("queue-{}", sequence.below(4));
    spec.policy.target_ms = 250 + 250 * sequence.below(8);
    spec.accepted_ms = wall_ms;
    spec
}

fn start_or_preemption(decision: &PlanDecision) -> Option<String> {
    match decision {
        PlanDecision::Assigned { task, run, worker, .. } => {
            Some(format!("start {task} {run} {worker}"))
        }
        PlanDecision::Preempted { task, run, worker, preemptor } => {
            Some(format!("preempt {task} {run} {worker} {preemptor}"))
        }
        _ => None,
    }
}

/// Guards against features that change the order or the preemptions of deployments which have not
/// enabled them.
#[test]
fn without_settings_all_starts_and_preemptions_are_as_recorded() {
    let mut fleet = PlannedFleet::new(&["i-1", "i-2", "i-3", "i-4"]);
    let mut sequence = LoadSequence(7);
    let (mut count, mut digest) = (0, 0xcbf2_9ce4_8422_2325_u64);
    let mut jobs = Vec::new();
    for round in 0..400 {
        if sequence.below(3) > 0 {
            let name = format!("job{round:03}");
            fleet.submit(&name, draw_job(&mut sequence, fleet.wall_ms));
            jobs.push(name);
        }
        if sequence.below(12) == 0 && !jobs.is_empty() {
            let cancelled = jobs.remove(sequence.below(jobs.len() as u64) as usize);
            fleet.cancel(&cancelled);
        }
        fleet.round();
        for (instance, key) in fleet.running() {
            match sequence.below(12) {
                0 => fleet.end(&instance, &key, RunEnd::Done, ""),
                1 if sequence.below(20) == 0 => fleet.end(&instance, &key, RunEnd::Failed, ""),
                _ => {}
            }
        }
        for decision in fleet.planner.take_decisions() {
            let Some(line) = start_or_preemption(&decision) else {
                continue;
            };
            count += 1;
            for byte in line.bytes() {
                // FNV-1a, which does not depend on the platform or the toolchain.
                digest = (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
            }
        }
    }
    assert_eq!((count, digest), RECORDED);
}
