//! Crowds of clients that do not behave, beside the ordinary callers of a soak.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;

use crate::crowd::ClientCrowd;
use crate::crowd::CrowdKind;
use crate::crowd::CrowdTarget;
use crate::platform_cluster::CALLER_HOST;
use crate::soak::SoakShared;

/// Settings of entry hosts in a soak with crowds, small enough for a crowd to exceed them.
pub(crate) const HOST_LIMITS: &str = "[limits]\nmemory-mib = 32\ndescriptors = 400\n";
/// Clients of a crowd.
const CROWD_SIZES: Range<usize> = 20..150;
/// Time between two crowds.
const PAUSE_MILLIS: Range<u64> = 100..1_500;
/// For how long a crowd stays after it has sent what it sends.
const STAY_MILLIS: Range<u64> = 200..4_000;
/// Largest body that a caller may send.
const BODY_BYTES: usize = 262_144;

/// Sends one crowd after another to entry hosts until a time; gives the task.
pub(crate) fn spawn_crowds(shared: &Arc<SoakShared>, seed: u64, until: Instant) -> JoinHandle<()> {
    tokio::spawn(send_crowds(shared.clone(), StdRng::seed_from_u64(seed), until))
}

async fn send_crowds(shared: Arc<SoakShared>, mut rng: StdRng, until: Instant) {
    while Instant::now() < until {
        let kind = CrowdKind::ALL[rng.random_range(0..CrowdKind::ALL.len())];
        let size = rng.random_range(CROWD_SIZES);
        let stay = Duration::from_millis(rng.random_range(STAY_MILLIS));
        let pause = Duration::from_millis(rng.random_range(PAUSE_MILLIS));
        let (planner, target) = draw_target(&shared, &mut rng).await;
        shared.tell(format!("{size} clients of kind {kind:?} come to planner {planner}"));
        let crowd = ClientCrowd::gather(&target, kind, size).await;
        tokio::time::sleep(stay).await;
        shared.tell(format!("{} clients leave planner {planner}", crowd.len()));
        drop(crowd);
        tokio::time::sleep(pause).await;
    }
}

async fn draw_target(shared: &SoakShared, rng: &mut StdRng) -> (usize, CrowdTarget) {
    let cluster = shared.cluster.lock().await;
    let planner = rng.random_range(0..cluster.planners.len());
    let target = CrowdTarget {
        address: cluster.planners[planner].process.address("callers"),
        call: "POST /q/00000000000000ff".to_string(),
        host: CALLER_HOST.to_string(),
        body_bytes: BODY_BYTES,
        list_start: "{\"Steps\":[".to_string(),
    };
    (planner, target)
}
