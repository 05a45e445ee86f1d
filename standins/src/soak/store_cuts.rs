//! Cuts of the links between entry hosts and the store, beside cancels that the process which plans cannot read.

use std::ops::RangeInclusive;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rand::RngExt;
use rand::seq::SliceRandom;
use reqwest::StatusCode;
use serde_json::Value;

use crate::platform_cluster::CALLER_HOST;
use crate::proxy::ProxyFault;
use crate::soak::faults::FaultPlayer;
use crate::soak::faults::Mend;

/// Time between the cuts of two entry hosts: all are cut before one could take planning over.
const CUT_PAUSE_MILLIS: RangeInclusive<u64> = 100..=400;

impl FaultPlayer {
    /// Cuts the entry hosts off from the store one after another, mostly the one that plans first, for the same time each. Jobs are
    /// cancelled through the last one shortly before.
    pub(super) async fn cut_off_planners(&mut self) {
        if !self.mends.is_empty() {
            // The end of one series would end the next one, too.
            return;
        }
        let mut planners: Vec<usize> = (0..self.scale.planners).collect();
        planners.shuffle(&mut self.rng);
        if let Some(owner) = self.owner().await.filter(|_| self.rng.random_bool(0.8)) {
            planners.retain(|planner| *planner != owner);
            planners.insert(0, owner);
        }
        let span = Duration::from_millis(self.scale.draw_outage(&mut self.rng));
        let last = planners.last().copied();
        for planner in planners {
            if Some(planner) == last {
                self.cancel_jobs(planner).await;
            }
            self.mends.push((Instant::now() + span, Mend::PlannerLine(planner)));
            let cluster = self.shared.cluster.lock().await;
            cluster.planners[planner].line.set_fault(ProxyFault::Cut);
            drop(cluster);
            self.shared.tell(format!("planner {planner} is cut off from the store for {span:?}"));
            let pause = Duration::from_millis(self.rng.random_range(CUT_PAUSE_MILLIS));
            tokio::time::sleep(pause).await;
        }
    }

    /// The entry host whose process owns planning.
    async fn owner(&self) -> Option<usize> {
        let cluster = self.shared.cluster.lock().await;
        let text = STANDARD.decode(cluster.store.value("ownership", "main", "planner")?).ok()?;
        let row: Value = serde_json::from_slice(&text).ok()?;
        let address = row["address"].as_str()?.to_string();
        cluster
            .planners
            .iter()
            .position(|seat| seat.process.address("internal").to_string() == address)
    }

    /// Cancels jobs that have not ended, through one entry host.
    async fn cancel_jobs(&self, planner: usize) {
        let (client, entry) = {
            let cluster = self.shared.cluster.lock().await;
            (cluster.client(), cluster.url(planner, "/q/"))
        };
        let live: Vec<String> = {
            let ledger = self.shared.ledger();
            let live = ledger.jobs.iter().filter(|(_, known)| {
                known.is_accepted && known.end.is_none() && known.cancelled.is_none()
            });
            live.map(|(job, _)| job.clone()).collect()
        };
        let cancels = live.into_iter().map(|job| {
            let call = client.delete(format!("{entry}{job}")).header("Host", CALLER_HOST);
            self.cancel(job, call)
        });
        futures::future::join_all(cancels).await;
    }

    async fn cancel(&self, job: String, call: reqwest::RequestBuilder) {
        if let Some(known) = self.shared.ledger().jobs.get_mut(&job) {
            known.is_unwanted = true;
        }
        let answer = call.timeout(Duration::from_secs(1)).send().await;
        let is_cancelled = answer.is_ok_and(|answer| answer.status() == StatusCode::OK);
        if let Some(known) = self.shared.ledger().jobs.get_mut(&job).filter(|_| is_cancelled) {
            known.cancelled = Some(Instant::now());
        }
    }
}
