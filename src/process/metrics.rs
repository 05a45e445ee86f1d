//! Metrics in the Prometheus text format.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use prometheus::Encoder;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::connection::counted_stream::byte_counts;
use crate::error::Error;
use crate::ids::InstanceId;
use crate::process::admission_metrics::AdmissionMetrics;
use crate::process::entry::listen;
use crate::process::http_server::ListenerSettings;
use crate::process::http_server::spawn_http_server;
use crate::process::inbound::connection_guard::ConnectionGuard;
use crate::process::malformed_entries::malformed_counts;
use crate::process::stop_signal::StopSwitch;
use crate::workflow::evacuation_summary::EvacuationSummary;

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Metrics of a process; each program counts what applies to it.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    registry: Registry,
    /// Outcomes of requests, by service, outcome and reason.
    pub outcomes: IntCounterVec,
    /// Time from a caller's request to its outcome, in seconds.
    pub latency: Histogram,
    /// Events of tasks, by event: started, finished, failed, requeued, cancelled.
    pub tasks: IntCounterVec,
    /// Age of what is known of jobs when starts are sent, in seconds; shown by the planner only.
    pub start_knowledge_age: Histogram,
    /// Calls of the table service, by call and result.
    pub table_calls: IntCounterVec,
    /// Messages to other processes of the system, by kind.
    pub messages: IntCounterVec,
    /// Tries of orders at the runner, by order and outcome: done, no_answer, refused, other.
    pub order_tries: IntCounterVec,
    /// Share of its service's capacity that a queue uses, by queue; only while queues have weights.
    pub queue_share: GaugeVec,
    /// Share that a queue is entitled to, by queue.
    pub queue_entitlement: GaugeVec,
    /// Runs of other queues that were preempted for a queue below its entitlement, by that queue.
    pub share_reclaims: IntCounterVec,
    /// Generation of the documents in force.
    pub generation: IntGauge,
    /// Request ids that are remembered.
    pub remembered_ids: IntGauge,
    /// Bytes sent to other processes of the system, without TCP and IP headers.
    pub bytes_sent: IntGauge,
    /// Bytes received from other processes of the system, without TCP and IP headers.
    pub bytes_received: IntGauge,
    /// Entries of other writers that were skipped, by table or list.
    malformed_entries: IntGaugeVec,
    /// Metrics of admission control.
    pub admission: AdmissionMetrics,
    /// Speed of each slow or ejected worker as a share of the median, by worker.
    pub worker_speed: GaugeVec,
    /// Workers that get only probes because they are slow.
    pub ejected_workers: IntGauge,
    /// Evacuations in force; shown by the planner only.
    pub evacuations: EvacuationGauges,
    /// Connections that were closed, and requests that were refused, before their peer had a
    /// response, by listener and reason.
    pub closed_connections: IntCounterVec,
}

/// Workers and runs in evacuated failure domains, by domain.
#[derive(Clone, Debug)]
pub struct EvacuationGauges {
    workers: IntGaugeVec,
    runs: IntGaugeVec,
}

impl EvacuationGauges {
    fn open() -> EvacuationGauges {
        EvacuationGauges {
            workers: integer_gauges(
                "gga_evacuated_workers",
                "Workers in evacuated domains",
                &["domain"],
            ),
            runs: integer_gauges(
                "gga_evacuated_runs",
                "Runs left in evacuated domains",
                &["domain"],
            ),
        }
    }

    /// Shows the domains of a summary and no others.
    ///
    /// ```
    /// use greengagearch::process::metrics::ProcessMetrics;
    /// use greengagearch::workflow::evacuation_summary::DomainEvacuation;
    /// use greengagearch::workflow::evacuation_summary::EvacuationSummary;
    ///
    /// let metrics = ProcessMetrics::open();
    /// let mut summary = EvacuationSummary::default();
    /// summary.domains.insert("a".into(), DomainEvacuation { workers: 8, ..Default::default() });
    /// metrics.evacuations.show(&summary);
    /// assert!(metrics.render().contains("gga_evacuated_workers{domain=\"a\"} 8"));
    /// metrics.evacuations.show(&EvacuationSummary::default());
    /// assert!(!metrics.render().contains("gga_evacuated_workers{"));
    /// ```
    pub fn show(&self, summary: &EvacuationSummary) {
        self.clear();
        let value = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        for (domain, evacuation) in &summary.domains {
            let runs = evacuation.runs.total();
            self.workers.with_label_values(&[domain]).set(value(evacuation.workers));
            self.runs.with_label_values(&[domain]).set(value(runs));
        }
    }

    /// Removes all domains, for a process that has ceased to plan.
    ///
    /// ```
    /// greengagearch::process::metrics::ProcessMetrics::open().evacuations.clear();
    /// ```
    pub fn clear(&self) {
        self.workers.reset();
        self.runs.reset();
    }
}

impl ProcessMetrics {
    /// Metrics that all stand at zero.
    ///
    /// ```
    /// use greengagearch::process::metrics::ProcessMetrics;
    ///
    /// let metrics = ProcessMetrics::open();
    /// metrics.generation.set(3);
    /// assert!(metrics.render().contains("gga_generation 3"));
    /// ```
    pub fn open() -> ProcessMetrics {
        let registry = Registry::new();
        let metrics = ProcessMetrics {
            outcomes: counters(
                "gga_outcomes",
                "Request outcomes",
                &["service", "outcome", "reason"],
            ),
            latency: histogram("gga_latency_seconds", "Time from request to outcome"),
            tasks: counters("gga_task_events", "Task events", &["event"]),
            start_knowledge_age: histogram(
                "gga_start_knowledge_age_seconds",
                "Age of what is known of jobs when starts are sent",
            ),
            table_calls: counters("gga_table_calls", "Table service calls", &["call", "result"]),
            messages: counters("gga_messages", "Messages to other processes", &["kind"]),
            order_tries: counters(
                "gga_order_tries",
                "Tries of orders at the runner",
                &["order", "outcome"],
            ),
            queue_share: gauges("gga_queue_share", "Share of capacity used", &["queue"]),
            queue_entitlement: gauges(
                "gga_queue_entitlement",
                "Share of capacity that the queue is entitled to",
                &["queue"],
            ),
            share_reclaims: counters(
                "gga_share_reclaims",
                "Runs preempted for a queue below its entitlement",
                &["queue"],
            ),
            generation: gauge("gga_generation", "Generation of the documents in force"),
            remembered_ids: gauge("gga_remembered_ids", "Request ids that are remembered"),
            bytes_sent: gauge("gga_bytes_sent", "Bytes sent to other processes"),
            bytes_received: gauge("gga_bytes_received", "Bytes received from other processes"),
            malformed_entries: integer_gauges(
                "gga_malformed_entries",
                "Entries of other writers that were skipped",
                &["source"],
            ),
            admission: AdmissionMetrics::open(),
            worker_speed: GaugeVec::new(
                Opts::new("gga_worker_speed", "Speed of slow workers, 1 is the median"),
                &["worker"],
            )
            .expect("constant names are valid"),
            ejected_workers: gauge("gga_ejected_workers", "Workers ejected because they are slow"),
            evacuations: EvacuationGauges::open(),
            closed_connections: counters(
                "gga_closed_connections",
                "Connections closed and requests refused before a response",
                &["listener", "reason"],
            ),
            registry,
        };
        metrics.register();
        metrics
    }

    /// All metrics as text.
    ///
    /// ```
    /// use greengagearch::process::metrics::ProcessMetrics;
    ///
    /// assert!(ProcessMetrics::open().render().contains("gga_latency_seconds_count 0"));
    /// ```
    pub fn render(&self) -> String {
        let (sent, received) = byte_counts();
        self.bytes_sent.set(i64::try_from(sent).unwrap_or(i64::MAX));
        self.bytes_received.set(i64::try_from(received).unwrap_or(i64::MAX));
        for (source, count) in malformed_counts() {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.malformed_entries.with_label_values(&[&source]).set(count);
        }
        let mut text = Vec::new();
        // Writing to a vector cannot fail.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Replaces the speeds of the slow workers and the number of ejected ones.
    ///
    /// ```
    /// use greengagearch::process::metrics::ProcessMetrics;
    ///
    /// let metrics = ProcessMetrics::open();
    /// metrics.set_worker_speeds(&[("i-1".to_string(), 0.2)], 1);
    /// assert!(metrics.render().contains("gga_worker_speed{worker=\"i-1\"} 0.2"));
    /// ```
    pub fn set_worker_speeds(&self, slow: &[(InstanceId, f64)], ejected: usize) {
        self.worker_speed.reset();
        for (worker, speed) in slow {
            self.worker_speed.with_label_values(&[worker.as_str()]).set(*speed);
        }
        self.ejected_workers.set(i64::try_from(ejected).unwrap_or(i64::MAX));
    }

    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 20] = [
            Box::new(self.outcomes.clone()),
            Box::new(self.latency.clone()),
            Box::new(self.tasks.clone()),
            Box::new(self.start_knowledge_age.clone()),
            Box::new(self.table_calls.clone()),
            Box::new(self.messages.clone()),
            Box::new(self.order_tries.clone()),
            Box::new(self.queue_share.clone()),
            Box::new(self.queue_entitlement.clone()),
            Box::new(self.share_reclaims.clone()),
            Box::new(self.generation.clone()),
            Box::new(self.remembered_ids.clone()),
            Box::new(self.bytes_sent.clone()),
            Box::new(self.bytes_received.clone()),
            Box::new(self.worker_speed.clone()),
            Box::new(self.ejected_workers.clone()),
            Box::new(self.evacuations.workers.clone()),
            Box::new(self.evacuations.runs.clone()),
            Box::new(self.closed_connections.clone()),
            Box::new(self.malformed_entries.clone()),
        ];
        for collector in collectors {
            // Names are constants and unique, so that a refusal is a mistake in this file, which
            // the tests of `render` show.
            let _ = self.registry.register(collector);
        }
        self.admission.register(&self.registry);
    }
}

/// Serves metrics at `/metrics` of an address until the process ends.
///
/// # Errors
///
/// [`Error::Listen`].
///
/// ```no_run
/// # async fn f(metrics: greengagearch::process::metrics::ProcessMetrics) {
/// let address = "127.0.0.1:0".parse().unwrap();
/// let guard = Default::default();
/// greengagearch::process::metrics::serve_metrics(address, metrics, guard).await.unwrap();
/// # }
/// ```
pub async fn serve_metrics(
    address: SocketAddr,
    metrics: ProcessMetrics,
    guard: Arc<ConnectionGuard>,
) -> Result<(), Error> {
    let listener = listen(address).await?;
    let router = Router::new().route("/metrics", get(async move || metrics.render()));
    let (switch, never) = StopSwitch::new();
    let settings = ListenerSettings::new("metrics", guard);
    let server = spawn_http_server(listener, router, settings, never);
    tokio::spawn(async move {
        // The switch lives as long as the server, which it never stops.
        let _ = server.await;
        drop(switch);
    });
    Ok(())
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("constant names are valid")
}

fn gauges(name: &str, help: &str, labels: &[&str]) -> GaugeVec {
    GaugeVec::new(Opts::new(name, help), labels).expect("constant names are valid")
}

fn integer_gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), labels).expect("constant names are valid")
}

fn histogram(name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    Histogram::with_opts(options).expect("constant names are valid")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("constant names are valid")
}
