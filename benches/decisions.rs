//! Time per decision in the decision modules alone, at several sizes.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use greengagearch::external::worker::ResourceAmount;
use greengagearch::process::interference::InterferenceModel;
use greengagearch::process::interference::InterferenceSample;
use greengagearch::request::deadline_queue::QueuedRequest;
use greengagearch::request::placement_policy::PlacementPolicyKind;
use greengagearch::request::placement_policy::WorkerView;
use greengagearch::request::pool_endpoint::AgentLocation;
use greengagearch::request::pool_endpoint::EndpointReport;
use greengagearch::request::pool_endpoint::SlotResult;
use greengagearch::request::routing::RoutingPolicy;
use greengagearch::request::service_pool::ServicePool;
use greengagearch::request::service_pool::SlotDecision;
use greengagearch::request::task_plan::QueuedTask;
use greengagearch::request::task_plan::TeamUsage;
use greengagearch::request::task_plan::plan_starts;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HOST: ResourceAmount =
    ResourceAmount { millicores: 64_000, memory_mib: 250_000, accelerators: 2 };
const WORKERS: [usize; 3] = [11, 100, 870];
const KINDS: usize = 20;
const SERVICES: usize = 40;
/// Starts that one plan makes: those of a tenth of a second at the peak.
const STARTS: usize = 18;

fn model() -> Arc<InterferenceModel> {
    let mut model = InterferenceModel::default();
    for service in 0..SERVICES {
        for kind in 0..KINDS {
            let kinds = BTreeMap::from([(format!("kind-{kind}"), 1)]);
            model.learn(&InterferenceSample {
                service: format!("service-{service}"),
                kinds,
                mean_time: Duration::from_millis(10 + (kind as u64)),
                requests: 50,
                at_millis: 0,
            });
        }
    }
    Arc::new(model)
}

fn views(count: usize) -> Vec<WorkerView> {
    let views = (0..count).map(|number| {
        let mut view = WorkerView::empty(&format!("w{number:04}"), HOST);
        view.services =
            (0..3).map(|one| format!("service-{}", (number + one) % SERVICES)).collect();
        for task in 0..23 {
            let amount = ResourceAmount { millicores: 1_000, memory_mib: 2_000, accelerators: 0 };
            view.commit(&amount, &format!("kind-{}", (number + task) % KINDS));
        }
        view
    });
    views.collect()
}

fn queue(count: usize) -> Vec<QueuedTask> {
    let tasks = (0..count).map(|number| QueuedTask {
        key: format!("task/{number}"),
        team: format!("team-{}", number % 48),
        kind: format!("kind-{}", number % KINDS),
        urgent: number % 10 == 0,
        resources: ResourceAmount { millicores: 1_000, memory_mib: 2_000, accelerators: 0 },
        avoid: Vec::new(),
        waited: Duration::from_secs(number as u64),
    });
    tasks.collect()
}

fn teams() -> BTreeMap<String, TeamUsage> {
    let quota =
        ResourceAmount { millicores: 10_000_000, memory_mib: 100_000_000, accelerators: 100 };
    let share = TeamUsage { quota, used: ResourceAmount::default() };
    (0..48).map(|team| (format!("team-{team}"), share)).collect()
}

fn bench_plan(criterion: &mut Criterion) {
    let model = model();
    let mut group = criterion.benchmark_group("plan_18_starts_of_200_queued");
    for way in [PlacementPolicyKind::LeastLoaded, PlacementPolicyKind::Pairwise] {
        let policy = way.policy(model.clone());
        for count in WORKERS {
            let name = BenchmarkId::new(format!("{way:?}"), count);
            let (views, queue, teams) = (views(count), queue(200), teams());
            let mut rng = StdRng::seed_from_u64(1);
            group.bench_function(name, |bencher| {
                bencher.iter_batched(
                    || (queue.clone(), views.clone(), teams.clone()),
                    |(queue, mut views, mut teams)| {
                        let policy = policy.as_ref();
                        plan_starts(queue, &mut views, &mut teams, policy, STARTS, &mut rng)
                    },
                    criterion::BatchSize::LargeInput,
                );
            });
        }
    }
    group.finish();
}

fn bench_route(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("route_and_release");
    for count in [11, 100] {
        let now = Instant::now();
        let mut pool = ServicePool::new(RoutingPolicy::LocalFirst, "a".to_string(), 0.1);
        for number in 0..count {
            let place = AgentLocation {
                worker: format!("w{number}"),
                incarnation: 1,
                domain: ["a", "b", "c"][number % 3].to_string(),
            };
            let report = EndpointReport {
                endpoint: "r".to_string(),
                service: "s".to_string(),
                slots: 8,
                in_flight: 0,
                leaving: false,
            };
            pool.on_report(&place, &[report], now);
        }
        let mut rng = StdRng::seed_from_u64(1);
        let deadline = now + Duration::from_secs(1);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                let request =
                    QueuedRequest { ticket: 1, deadline, caller: "c".to_string(), avoid: None };
                if let (SlotDecision::Granted(key), _) = pool.request_slot(request, now, &mut rng) {
                    pool.release(&key, SlotResult::Success(Duration::from_millis(5)), now);
                }
                black_box(&pool);
            });
        });
    }
    group.finish();
}

fn bench_learn(criterion: &mut Criterion) {
    let mut model = (*model()).clone();
    let kinds = (0..5).map(|kind| (format!("kind-{kind}"), 2)).collect();
    let sample = InterferenceSample {
        service: "service-1".to_string(),
        kinds,
        mean_time: Duration::from_millis(14),
        requests: 50,
        at_millis: 1_000,
    };
    criterion.bench_function("learn_a_sample_of_5_kinds", |bencher| {
        bencher.iter(|| model.learn(black_box(&sample)));
    });
}

criterion_group!(benches, bench_plan, bench_route, bench_learn);
criterion_main!(benches);
