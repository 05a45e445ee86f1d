//! Time of the planner's rounds and of taking reports in, at several sizes, with more waiting than fits.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use greengagearch::connection::node_protocol::NodeOrder;
use greengagearch::connection::node_protocol::NodeReport;
use greengagearch::connection::node_protocol::PresentRun;
use greengagearch::connection::node_protocol::RunnerSnapshot;
use greengagearch::connection::node_protocol::RunnerStatus;
use greengagearch::workflow::admission::admission_control::AdmissionRequest;
use greengagearch::workflow::admission::admission_control::AdmissionResponse;
use greengagearch::workflow::admission::admission_ledger::AdmissionLedger;
use greengagearch::workflow::admission::admission_ledger::ForecastView;
use greengagearch::workflow::admission::admission_policy::AdmissionPolicy;
use greengagearch::workflow::admission::admission_policy::AdmissionVerdict;
use greengagearch::workflow::admission::job_demand::JobDemand;
use greengagearch::workflow::fair_share::share_settings::ShareSettings;
use greengagearch::workflow::planner::Planner;
use greengagearch::workflow::progress::JobRecord;
use greengagearch::workflow::spec::QueuePolicy;
use greengagearch::workflow::spec::ResourceVector;
use greengagearch::workflow::spec::StepSpec;
use greengagearch::workflow::spec::WorkflowSpec;

const WORKERS: [usize; 3] = [11, 74, 870];
const SERVING_IMAGES: usize = 5;
const FILL_IMAGES: usize = 9;
/// Jobs that fill and find no place, as on the busiest day that was seen.
const WAITING_JOBS: usize = 150;
/// Queues that share the workers where they have weights.
const QUEUES: u8 = 8;
/// Tail of a serving task near its target, in milliseconds.
const TAIL_MS: u64 = 42;
const TARGET_MS: u64 = 50;
/// Open jobs when a job is refused.
const OPEN_JOBS: usize = 5_000;

/// A planner, its clock, and what its workers run.
struct BusyFleet {
    planner: Planner,
    now: Instant,
    present: Vec<Vec<PresentRun>>,
}

impl BusyFleet {
    fn new(workers: usize) -> BusyFleet {
        let now = Instant::now();
        let mut planner = Planner::new(now);
        planner.set_time(now, 0);
        let mut fleet = BusyFleet { planner, now, present: vec![Vec::new(); workers] };
        fleet.report_all(true);
        for number in 0..workers {
            fleet.submit(&format!("serve-{number:04}"), serving(number));
        }
        fleet.round();
        for number in 0..workers {
            fleet.submit(&format!("fill-{number:04}"), filling(number));
        }
        (0..20).for_each(|_| fleet.round());
        for number in 0..WAITING_JOBS {
            fleet.submit(&format!("wait-{number:04}"), filling(number));
        }
        fleet
    }

    fn submit(&mut self, job: &str, step: StepSpec) {
        let mut spec = spec_of(step);
        spec.policy.queue = format!("q-{}", job.bytes().last().unwrap_or_default() % QUEUES);
        self.planner.on_record(job, 1, JobRecord::Live { spec, cancelled: false });
    }

    fn report_of(&self, worker: usize) -> NodeReport {
        let status = RunnerStatus {
            instance: instance(worker),
            service: "s".to_string(),
            domain: "d".to_string(),
            capacity: ResourceVector { millicores: 16_000, memory_mib: 64_000, accelerators: 0 },
            labels: vec!["a".to_string(), format!("r{}", worker / 8)],
            draining: false,
        };
        let look = RunnerSnapshot {
            present: self.present[worker].clone(),
            orders_seen: u64::MAX,
            ..RunnerSnapshot::default()
        };
        NodeReport {
            now: Duration::ZERO,
            runner: Some(status),
            former: vec![],
            unsettled: Vec::new(),
            keeps_id: false,
            in_doubt: Vec::new(),
            crashes: vec![],
            snapshot: Some(look),
        }
    }

    fn report_all(&mut self, is_new_link: bool) {
        for worker in 0..self.present.len() {
            let report = self.report_of(worker);
            self.planner.on_report(report, is_new_link);
        }
    }

    /// Plans, stores, carries out all orders and reports.
    fn round(&mut self) {
        self.planner.plan();
        while let Some(batch) = self.planner.take_batch() {
            self.planner.on_committed(batch, 1);
        }
        for (instance, order) in self.planner.take_orders() {
            self.planner.assign_order_number(&instance, std::slice::from_ref(&order));
            if let NodeOrder::Start(start) = order {
                let worker: usize = instance[2..].parse().expect("the name of a worker");
                let run = PresentRun::ordered(start.traits.task, start.run);
                let usage = if start.traits.target_ms > 0 { TAIL_MS } else { 900 };
                self.present[worker].push(PresentRun { usage, is_started: true, ..run });
            }
        }
        self.now += Duration::from_millis(400);
        self.planner.set_time(self.now, 0);
        self.report_all(false);
    }
}

fn spec_of(step: StepSpec) -> WorkflowSpec {
    let policy = QueuePolicy {
        queue: "q".to_string(),
        service: "s".to_string(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        target_ms: 500,
        advice: None,
    };
    WorkflowSpec {
        policy,
        payload: "work".to_string(),
        steps: vec![step],
        times: 0,
        first_due_ms: 0,
        interval_ms: 0,
        accepted_ms: 0,
    }
}

fn instance(worker: usize) -> String {
    format!("i-{worker:04}")
}

fn serving(number: usize) -> StepSpec {
    StepSpec {
        count: 4,
        resources: ResourceVector { millicores: 3_200, memory_mib: 6_400, accelerators: 0 },
        long_running: true,
        target_ms: TARGET_MS,
        image: format!("serving-{}", number % SERVING_IMAGES),
        ..StepSpec::default()
    }
}

fn filling(number: usize) -> StepSpec {
    StepSpec {
        count: 4,
        resources: ResourceVector { millicores: 1_800, memory_mib: 3_200, accelerators: 0 },
        estimate_ms: 2_200,
        best_effort: true,
        checkpoints: true,
        image: format!("filling-{}", number % FILL_IMAGES),
        ..StepSpec::default()
    }
}

fn large(number: usize) -> StepSpec {
    StepSpec { count: 20, ..filling(number) }
}

fn bench_round(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("planner-round");
    group.sample_size(20);
    for workers in WORKERS {
        let fleet = BusyFleet::new(workers);
        group.bench_with_input(BenchmarkId::from_parameter(workers), &fleet, |bencher, fleet| {
            let setup = || fleet.planner.clone();
            let round = |mut planner: Planner| black_box(planner.plan());
            bencher.iter_batched(setup, round, BatchSize::LargeInput);
        });
    }
    group.finish();
}

/// The same round with weights and a bound on waiting.
fn bench_shares(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("planner-round-shares");
    group.sample_size(20);
    for workers in WORKERS {
        let mut fleet = BusyFleet::new(workers);
        fleet.planner.set_share_settings(ShareSettings {
            default_weight: Some(1.0),
            longest_wait: Some(3.0),
            ..ShareSettings::default()
        });
        group.bench_with_input(BenchmarkId::from_parameter(workers), &fleet, |bencher, fleet| {
            let setup = || fleet.planner.clone();
            let round = |mut planner: Planner| black_box(planner.plan());
            bencher.iter_batched(setup, round, BatchSize::LargeInput);
        });
    }
    group.finish();
}

fn bench_report(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("planner-report");
    group.sample_size(20);
    for workers in WORKERS {
        let fleet = BusyFleet::new(workers);
        let report = fleet.report_of(0);
        group.bench_with_input(BenchmarkId::from_parameter(workers), &report, |bencher, report| {
            let mut planner = fleet.planner.clone();
            bencher.iter(|| planner.on_report(black_box(report.clone()), false));
        });
    }
    group.finish();
}

/// A refusal with many open jobs: at a host from the published forecast, at the planner with a place, and the forecast itself,
/// which is computed with each heartbeat.
fn bench_admission(criterion: &mut Criterion) {
    let mut fleet = BusyFleet::new(74);
    for number in 0..OPEN_JOBS {
        fleet.submit(&format!("open-{number:04}"), large(number));
    }
    fleet.round();
    let policy = AdmissionPolicy { worthless_after: 3.0 };
    fleet.planner.update_admission(policy, None);
    let demand = JobDemand::of(&spec_of(large(0)), 1.0).expect("a job that may be refused");
    let forecast = fleet.planner.admission().forecast().cloned().expect("a forecast");
    let mut group = criterion.benchmark_group("admission-5000-open");
    group.sample_size(20);
    group.bench_function("refusal-at-host", |bencher| {
        let mut ledger = AdmissionLedger::default();
        let view = ForecastView { forecast: &forecast, epoch: 1, age: Duration::ZERO, hosts: 8 };
        bencher.iter(|| {
            let verdict = ledger.decide(policy, Some(view), black_box(&demand), fleet.now);
            assert_ne!(verdict, AdmissionVerdict::Admit);
        });
    });
    group.bench_function("refusal-at-planner", |bencher| {
        let mut planner = fleet.planner.clone();
        let mut number = 0_u64;
        bencher.iter(|| {
            number += 1;
            let request = AdmissionRequest { job: number.to_string(), demand: demand.clone() };
            let response = planner.request_admission(black_box(&request));
            assert!(matches!(response, AdmissionResponse::Refused(..)));
        });
    });
    group.bench_function("forecast", |bencher| {
        let mut planner = fleet.planner.clone();
        bencher.iter(|| planner.update_admission(policy, None));
    });
    group.finish();
}

criterion_group!(benches, bench_round, bench_shares, bench_report, bench_admission);
criterion_main!(benches);
