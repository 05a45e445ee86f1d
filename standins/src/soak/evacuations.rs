//! Operators who evacuate failure domains and take that back at random, and the check that no run starts in such a
//! domain later than the limit after the request.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;

use crate::platform_journal::RunRecord;
use crate::soak::SoakShared;

/// Limits of which each soak draws one: the shortest that is allowed, which evacuations of a short soak outlast, and
/// the default, with which start orders are valid for longer.
const LIMITS: [Duration; 2] = [Duration::from_secs(2), Duration::from_secs(5)];
/// Time without a request before the next one.
const PAUSE_MILLIS: Range<u64> = 200..2_500;
/// For how long a request stands, as a multiple of the limit.
const SPAN_SHARES: Range<f64> = 0.2..3.0;
/// Probability that the last domain is evacuated as well, in which case every job is refused and the soak stands still.
const ALL_SHARE: f64 = 0.2;
/// Time after an agent has been paused in which it may send a call that it had decided on before.
const WAKE_TIME: Duration = Duration::from_secs(1);

/// A request, and when it was taken back.
struct RequestSpan {
    domain: usize,
    from: Instant,
    until: Option<Instant>,
}

/// The requests of a soak, and the pauses of agents.
pub(crate) struct EvacuationLedger {
    domains: usize,
    limit: Duration,
    spans: Vec<RequestSpan>,
    /// Agents that stood still, each with the time from which it did until it was awake again.
    pauses: Vec<(usize, Instant, Instant)>,
}

/// Draws the limit within which a request takes effect.
pub(crate) fn draw_limit(rng: &mut StdRng) -> Duration {
    LIMITS[rng.random_range(0..LIMITS.len())]
}

/// Starts an operator for each failure domain, who requests and withdraws its evacuation until a time.
pub(crate) fn spawn_operators(
    shared: &Arc<SoakShared>,
    domains: usize,
    seed: u64,
    until: Instant,
) -> Vec<JoinHandle<()>> {
    let operate_domain = |domain: usize| {
        let rng = StdRng::seed_from_u64(seed.wrapping_add(domain as u64));
        tokio::spawn(operate(shared.clone(), domain, rng, until))
    };
    (0..domains).map(operate_domain).collect()
}

async fn operate(shared: Arc<SoakShared>, domain: usize, mut rng: StdRng, until: Instant) {
    let limit = shared.evacuations().limit;
    loop {
        let pause = Duration::from_millis(rng.random_range(PAUSE_MILLIS));
        let span = limit.mul_f64(rng.random_range(SPAN_SHARES));
        let may_be_last = rng.random_bool(ALL_SHARE);
        tokio::time::sleep(pause).await;
        if Instant::now() >= until {
            return;
        }
        if !may_be_last && shared.evacuations().is_last(domain) {
            continue;
        }
        let key = format!("evacuate/z{domain}");
        shared.cluster.lock().await.store.put("op", "", &key, STANDARD.encode("{}"));
        shared.evacuations().begin(domain);
        shared.tell(format!("domain z{domain} is evacuated for {span:?}"));
        let left = until.saturating_duration_since(Instant::now());
        tokio::time::sleep(span.min(left)).await;
        // Ends before the row is removed, since a run may start at once.
        shared.evacuations().end(domain);
        shared.cluster.lock().await.store.remove("op", "", &key);
        shared.tell(format!("domain z{domain} is not evacuated any more"));
    }
}

impl EvacuationLedger {
    pub fn new(domains: usize, limit: Duration) -> EvacuationLedger {
        EvacuationLedger { domains, limit, spans: Vec::new(), pauses: Vec::new() }
    }

    /// Whether all other domains are evacuated.
    fn is_last(&self, domain: usize) -> bool {
        let is_open =
            |one| self.spans.iter().any(|span| span.domain == one && span.until.is_none());
        (0..self.domains).filter(|one| *one != domain).all(is_open)
    }

    fn begin(&mut self, domain: usize) {
        self.spans.push(RequestSpan { domain, from: Instant::now(), until: None });
    }

    fn end(&mut self, domain: usize) {
        let is_open = |span: &&mut RequestSpan| span.domain == domain && span.until.is_none();
        if let Some(span) = self.spans.iter_mut().find(is_open) {
            span.until = Some(Instant::now());
        }
    }

    /// Records that an agent stands still for a time from now.
    pub fn note_pause(&mut self, node: usize, span: Duration) {
        let now = Instant::now();
        self.pauses.push((node, now, now + span));
    }

    /// The first run whose start was ordered in an evacuated domain later than the limit. A runner that carries the
    /// order out late is not the product's fault, so the time counts at which the order came.
    pub fn first_late(&self, records: &[RunRecord]) -> Option<String> {
        records.iter().find_map(|record| {
            let span = self.spans.iter().find(|span| self.is_late(record, span))?;
            let after = record.ordered.saturating_duration_since(span.from);
            let RunRecord { task, run, instance, .. } = record;
            Some(format!(
                "{task} run {run} was started on {instance} {after:?} after its domain z{} was evacuated",
                span.domain
            ))
        })
    }

    fn is_late(&self, record: &RunRecord, span: &RequestSpan) -> bool {
        let was_paused = |(node, from, until): &(usize, Instant, Instant)| {
            *node == record.host && *from <= record.ordered && record.ordered < *until + WAKE_TIME
        };
        record.host % self.domains == span.domain
            && record.ordered > span.from + self.limit
            && span.until.is_none_or(|until| record.ordered < until)
            && !self.pauses.iter().any(was_paused)
    }

    pub fn counts(&self) -> String {
        let now = Instant::now();
        let span_of = |span: &RequestSpan| span.until.unwrap_or(now) - span.from;
        let outlasting = self.spans.iter().filter(|span| span_of(span) > self.limit).count();
        format!(
            "{} evacuations, {outlasting} of them longer than the limit of {:?}",
            self.spans.len(),
            self.limit
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(host: usize, ordered: Instant) -> RunRecord {
        RunRecord {
            task: "a.0.0.0".to_string(),
            run: 1,
            instance: format!("i-{host}"),
            host,
            ordered,
            began: ordered,
            ended: None,
            noted: false,
        }
    }

    /// Guards against a soak that cannot see a late start, or that blames one that is allowed.
    #[test]
    fn only_a_start_in_the_domain_between_limit_and_withdrawal_is_late() {
        let mut ledger = EvacuationLedger::new(2, LIMITS[0]);
        ledger.begin(1);
        let from = ledger.spans[0].from;
        let in_time = from + LIMITS[0];
        let late = in_time + Duration::from_millis(1);
        assert_eq!(ledger.first_late(&[record(1, in_time), record(2, late)]), None);
        assert!(ledger.first_late(&[record(3, late)]).is_some());
        ledger.spans[0].until = Some(late);
        assert_eq!(ledger.first_late(&[record(3, late)]), None, "it was taken back");
        ledger.spans[0].until = None;
        ledger.pauses.push((3, from, late));
        assert_eq!(ledger.first_late(&[record(3, late)]), None, "its agent stood still");
        assert!(ledger.first_late(&[record(3, late + WAKE_TIME)]).is_some());
        assert!(ledger.first_late(&[record(1, late)]).is_some());
    }
}
