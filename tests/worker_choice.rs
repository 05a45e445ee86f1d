//! How tasks are placed beside services: by learned pairs, within a slack of load.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use greengagearch::external::worker::ResourceAmount;
use greengagearch::process::interference::InterferenceModel;
use greengagearch::process::interference::InterferenceSample;
use greengagearch::request::placement_policy::FirstFit;
use greengagearch::request::placement_policy::LOAD_SLACK;
use greengagearch::request::placement_policy::PairwisePlacement;
use greengagearch::request::placement_policy::PlacementPolicy;
use greengagearch::request::placement_policy::PlacementPolicyKind;
use greengagearch::request::placement_policy::WorkerView;
use greengagearch::request::placement_policy::choose_worker;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HOST: ResourceAmount =
    ResourceAmount { millicores: 1_000, memory_mib: 1_000, accelerators: 0 };
const TASK: ResourceAmount = ResourceAmount { millicores: 100, memory_mib: 100, accelerators: 0 };

fn model(pairs: &[(&str, &str, f64)]) -> Arc<InterferenceModel> {
    let mut model = InterferenceModel::default();
    for (service, kind, slowdown) in pairs {
        let mut sample = InterferenceSample {
            service: service.to_string(),
            kinds: BTreeMap::new(),
            mean_time: Duration::from_millis(100),
            requests: 1_000,
            at_millis: 0,
        };
        model.learn(&sample);
        sample.kinds.insert(kind.to_string(), 1);
        sample.mean_time = Duration::from_secs_f64(0.1 * (1.0 + slowdown));
        (0..50).for_each(|_| model.learn(&sample));
    }
    Arc::new(model)
}

fn views() -> Vec<WorkerView> {
    let mut quiet = WorkerView::empty("w1", HOST);
    quiet.services.push("tough".to_string());
    let mut loud = WorkerView::empty("w2", HOST);
    loud.services.push("tender".to_string());
    vec![loud, quiet]
}

#[test]
fn a_task_goes_where_its_pair_is_mild() {
    let pairs = [("tender", "roster", 0.8), ("tough", "roster", 0.01)];
    let policy = PlacementPolicyKind::Pairwise.policy(model(&pairs));
    let mut rng = StdRng::seed_from_u64(1);
    let mut views = views();
    policy.prepare(&mut views);
    let chosen = choose_worker(policy.as_ref(), &views, &TASK, "roster", &[], &mut rng);
    assert_eq!(chosen, Some(1));
}

#[test]
fn pairs_never_part_loads_by_more_than_the_slack() {
    let pairs = [("tender", "roster", 2.0), ("tough", "roster", 0.0)];
    let policy = PlacementPolicyKind::Pairwise.policy(model(&pairs));
    let mut rng = StdRng::seed_from_u64(1);
    let mut views = views();
    policy.prepare(&mut views);
    for _ in 0..14 {
        let index = choose_worker(policy.as_ref(), &views, &TASK, "roster", &[], &mut rng).unwrap();
        views[index].commit(&TASK, "roster");
        policy.on_committed(&mut views[index], "roster");
        let apart = views[1].committed_share() - views[0].committed_share();
        assert!(apart <= LOAD_SLACK + 0.1 + f64::EPSILON, "{apart}");
    }
    assert!(views[0].committed_share() > 0.3, "{}", views[0].committed_share());
}

#[test]
fn kept_slowdowns_are_those_of_the_model() {
    let model = model(&[("tender", "roster", 0.8), ("tough", "roster", 0.01)]);
    let policy = PairwisePlacement { model: model.clone() };
    let mut views = views();
    views[0].commit(&TASK, "unseen");
    policy.prepare(&mut views);
    for kind in ["roster", "unseen", "roster"] {
        views[0].commit(&TASK, kind);
        policy.on_committed(&mut views[0], kind);
    }
    let expected = model.slowdown("tender", &views[0].kinds);
    assert!((views[0].slowdowns[0] - expected).abs() < 1e-9);
}

#[test]
fn a_worker_to_avoid_is_taken_only_when_alone() {
    let mut rng = StdRng::seed_from_u64(1);
    let avoid = ["w2".to_string()];
    let views = views();
    assert_eq!(choose_worker(&FirstFit, &views, &TASK, "k", &avoid, &mut rng), Some(1));
    assert_eq!(choose_worker(&FirstFit, &views[..1], &TASK, "k", &avoid, &mut rng), Some(0));
}
