//! Heartbeats of an agent to all entries, and what their answers bring.

use std::sync::Arc;

use tokio::time::timeout;

use crate::connection::cluster_map::EntryMember;
use crate::connection::protocol::AgentHeartbeat;
use crate::connection::rpc_client::call_within;
use crate::process::agent::shared::AgentShared;
use crate::process::clock;
use crate::process::interference::InterferenceSample;

/// Samples that one heartbeat carries at most, so that its size is bounded.
const SAMPLES_PER_BEAT: usize = 4;

/// Sends heartbeats until the process ends.
pub fn spawn_beats(shared: Arc<AgentShared>) {
    tokio::spawn(async move {
        loop {
            let members = shared.map().members;
            if members.is_empty() {
                ask_balancer(&shared).await;
            }
            remove_expired_ids(&shared);
            let samples = shared.observer().take_samples(SAMPLES_PER_BEAT);
            for member in members {
                let shared = shared.clone();
                let samples = samples.clone();
                tokio::spawn(async move { beat_member(&shared, member, samples).await });
            }
            let wait = if shared.map().members.is_empty() {
                shared.beat_interval() / 10
            } else {
                shared.beat_interval()
            };
            // Either way the next heartbeat is due.
            let _ = timeout(wait, shared.beat_now.notified()).await;
        }
    });
}

/// Forgets ids whose window has passed.
fn remove_expired_ids(shared: &AgentShared) {
    let remembered = {
        let mut journal = shared.journal();
        journal.remove_expired(shared.clock.wall());
        journal.len()
    };
    shared.metrics.remembered_ids.set(i64::try_from(remembered).unwrap_or(i64::MAX));
}

/// Asks whichever entry the balancer chooses for the cluster map.
pub async fn ask_balancer(shared: &AgentShared) {
    let address = shared.settings.balancer.to_string();
    let Ok(client) = shared.entry_connections.client(&address).await else {
        return;
    };
    if let Ok(map) = client.cluster(call_within(shared.beat_interval())).await {
        shared.adopt_map(map);
    }
    // The balancer shall choose anew next time.
    shared.entry_connections.drop_client(&address);
}

fn beat_of(shared: &AgentShared, samples: Vec<InterferenceSample>) -> AgentHeartbeat {
    // Before any state is read, so that a higher number never carries older state.
    let number = shared.next_beat_number();
    let mut endpoints = shared.endpoints().reports(clock::now());
    if shared.is_draining() {
        endpoints.iter_mut().for_each(|endpoint| endpoint.leaving = true);
    }
    AgentHeartbeat {
        worker: shared.settings.worker.clone(),
        incarnation: shared.incarnation,
        number,
        epoch: shared.epoch(),
        domain: shared.settings.domain.clone(),
        group: shared.settings.domain.clone(),
        address: shared.address.clone(),
        map_generation: shared.map().generation,
        lease_generation: shared.lease_generation(),
        generation: shared.generation(),
        registered: shared.is_registered(),
        endpoints,
        samples,
    }
}

async fn beat_member(shared: &AgentShared, member: EntryMember, samples: Vec<InterferenceSample>) {
    let Ok(client) = shared.entry_connections.client(&member.address).await else {
        return forget_member(shared, &member).await;
    };
    let beat = beat_of(shared, samples);
    let epoch = beat.epoch;
    let sent = clock::now();
    shared.metrics.messages.with_label_values(&["agent_beat"]).inc();
    let Ok(reply) = client.agent_beat(call_within(shared.beat_interval() * 2), beat).await else {
        return forget_member(shared, &member).await;
    };
    if let Some(map) = reply.map {
        shared.adopt_map(map);
    }
    shared.adopt_slowdowns(reply.slowdowns);
    if reply.granted
        && let Some(lease) = shared.lease().as_mut().filter(|one| one.holder.epoch() == epoch)
    {
        lease.holder.on_grant(reply.incarnation, sent);
    }
    if reply.generation > shared.generation() {
        let since = shared.generation();
        let documents = client.documents(call_within(shared.beat_interval()), since).await;
        if let Ok(set) = documents {
            shared.adopt_documents(set);
        }
    }
}

/// A member does not answer: the map may be old, so another entry is asked for a newer one.
async fn forget_member(shared: &AgentShared, member: &EntryMember) {
    shared.entry_connections.drop_client(&member.address);
    ask_balancer(shared).await;
}
