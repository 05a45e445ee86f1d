//! Metrics of admission control.

use prometheus::Gauge;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::workflow::admission::backlog_forecast::BacklogForecast;

/// Metrics of admission control. Backlog and wait are those of the current planner, and zero at the
/// other processes.
#[derive(Clone, Debug)]
pub struct AdmissionMetrics {
    /// Refused submissions, by queue and reason.
    pub refusals: IntCounterVec,
    /// Returns of refused callers, by queue and outcome: admitted, too_early, refused_again, expired.
    pub returns: IntCounterVec,
    backlog: IntGaugeVec,
    wait: Gauge,
}

impl AdmissionMetrics {
    /// Metrics that all are zero.
    ///
    /// ```
    /// use greengagearch::process::admission_metrics::AdmissionMetrics;
    ///
    /// AdmissionMetrics::open().refusals.with_label_values(&["q", "backlog"]).inc();
    /// ```
    pub fn open() -> AdmissionMetrics {
        AdmissionMetrics {
            refusals: counters(
                "gga_admission_refusals",
                "Refused submissions of jobs",
                &["queue", "reason"],
            ),
            returns: counters(
                "gga_admission_returns",
                "Returns of callers whose jobs were refused",
                &["queue", "outcome"],
            ),
            backlog: IntGaugeVec::new(
                Opts::new("gga_backlog_core_seconds", "Work that open jobs still need"),
                &["service", "class"],
            )
            .expect("constant names are valid"),
            wait: Gauge::new(
                "gga_forecast_wait_seconds",
                "Time that the backlog takes at the recent rate, the longest of all classes",
            )
            .expect("constant names are valid"),
        }
    }

    /// Registers the metrics, whose names are constants and unique.
    pub(crate) fn register(&self, registry: &Registry) {
        let collectors: [Box<dyn prometheus::core::Collector>; 4] = [
            Box::new(self.refusals.clone()),
            Box::new(self.returns.clone()),
            Box::new(self.backlog.clone()),
            Box::new(self.wait.clone()),
        ];
        for collector in collectors {
            // As in `ProcessMetrics`, a refusal is a mistake in this file that its test shows.
            let _ = registry.register(collector);
        }
    }

    /// Sets backlog and wait to those of a forecast.
    ///
    /// ```
    /// use greengagearch::process::admission_metrics::AdmissionMetrics;
    ///
    /// AdmissionMetrics::open().set_backlog(&Default::default());
    /// ```
    pub fn set_backlog(&self, forecast: &BacklogForecast) {
        self.clear_backlog();
        let mut longest = 0.0_f64;
        for class in &forecast.classes {
            let core_ms = class.open_core_ms();
            let labels = [class.service.as_str(), &class.class.to_string()];
            let core_seconds = i64::try_from(core_ms / 1_000).unwrap_or(i64::MAX);
            self.backlog.with_label_values(&labels).set(core_seconds);
            longest = longest.max(class.time_for(core_ms).as_secs_f64());
        }
        self.wait.set(longest);
    }

    /// Removes backlog and wait when this process is no longer the planner.
    ///
    /// ```
    /// greengagearch::process::admission_metrics::AdmissionMetrics::open().clear_backlog();
    /// ```
    pub fn clear_backlog(&self) {
        self.backlog.reset();
        self.wait.set(0.0);
    }
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("constant names are valid")
}

#[cfg(test)]
mod tests {
    use crate::process::metrics::ProcessMetrics;

    /// Guards against metrics that are counted and never rendered.
    #[test]
    fn all_metrics_are_registered() {
        let metrics = ProcessMetrics::open();
        metrics.admission.refusals.with_label_values(&["q", "backlog"]).inc();
        metrics.admission.returns.with_label_values(&["q", "expired"]).inc();
        let text = metrics.render();
        assert!(
            text.contains("gga_admission_refusals{queue=\"q\",reason=\"backlog\"} 1"),
            "{text}"
        );
        assert!(
            text.contains("gga_admission_returns{outcome=\"expired\",queue=\"q\"} 1"),
            "{text}"
        );
        assert!(text.contains("gga_forecast_wait_seconds 0"), "{text}");
    }
}
