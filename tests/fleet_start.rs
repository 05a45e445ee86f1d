//! The load at the start of a fleet: all agents write about themselves at the same moment. Played without a network.

use std::collections::BTreeMap;
use std::time::Duration;

use greengagearch::connection::retry_pace::RetryPace;
use greengagearch::process::planning::rows::LIFE_TABLE;
use greengagearch::process::planning::rows::NODE_TABLE;
use greengagearch::process::planning::rows::agent_partitions;
use greengagearch::process::planning::rows::agent_row;

/// Agents of the largest deployment, and twice as many.
const FLEETS: [usize; 2] = [800, 1_600];
/// Transactions that the store carries out in one partition, one after another.
const PARTITION_WRITES_PER_S: usize = 300;

fn address(number: usize) -> String {
    format!("10.{}.{}.9:7720", number / 200, number % 200)
}

/// Guards against refusals at the start: a partition refuses when the transactions of more than a second wait there.
#[test]
fn the_first_writes_of_all_agents_wait_for_less_than_a_second() {
    for fleet in FLEETS {
        let mut writes: BTreeMap<String, usize> = BTreeMap::new();
        for address in (0..fleet).map(address) {
            for table in [NODE_TABLE, LIFE_TABLE] {
                *writes.entry(agent_row(table, &address).partition).or_default() += 1;
            }
        }
        let most = writes.values().max().copied().unwrap_or(0);
        assert!(most < PARTITION_WRITES_PER_S, "{fleet} agents: {writes:?}");
    }
}

/// Guards against agents that no planner finds.
#[test]
fn planners_read_every_partition_and_that_of_earlier_versions() {
    let partitions = agent_partitions();
    let is_read = |number| partitions.contains(&agent_row(NODE_TABLE, &address(number)).partition);
    assert!((0..FLEETS[1]).all(is_read));
    assert!(partitions.contains(&"hosts".to_string()));
}

/// Guards against agents that were refused at the same moment and come back at the same moment.
#[test]
fn refused_agents_come_back_at_different_times() {
    let now = std::time::Instant::now();
    let pause = |jitter| RetryPace::default().on_failure(now, jitter);
    assert!(pause(1.0) - pause(0.0) >= Duration::from_millis(100));
}
