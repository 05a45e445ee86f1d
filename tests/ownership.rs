//! When a process may take the ownership of planning.

use std::time::Duration;

use greengagearch::process::planning::rows::OwnerRow;
use greengagearch::process::planning::takeover_delay::takeover_delay;

const OWN: &str = "10.0.0.1:7000";

fn owner(address: &str, released: bool) -> OwnerRow {
    OwnerRow {
        epoch: 3,
        holder: "h".to_string(),
        address: address.to_string(),
        released,
        unsettled_takeovers: 0,
    }
}

/// Seen on trouble-2 of sendeplan-grown: after a graceful stop a host with an eighth of a core took over at
/// once, beside six with half a core, and 3,000 tasks came to wait.
#[test]
fn the_host_with_the_most_processor_time_comes_first_after_a_release_too() {
    for released in [true, false] {
        let row = owner("10.0.0.2:7000", released);
        let [weak, strong] = [0.12, 0.5].map(|share| takeover_delay(Some(&row), OWN, share));
        assert!(strong + Duration::from_millis(40) < weak, "{strong:?} {weak:?}");
    }
    let released = owner("10.0.0.2:7000", true);
    assert!(takeover_delay(Some(&released), OWN, 0.0) < Duration::from_millis(200));
}

#[test]
fn nobody_waits_for_an_own_past_or_for_nobody() {
    assert_eq!(takeover_delay(None, OWN, 0.1), Duration::ZERO);
    assert_eq!(takeover_delay(Some(&owner(OWN, false)), OWN, 0.1), Duration::ZERO);
}

#[test]
fn a_living_planner_is_left_alone_for_longer_than_three_pulses() {
    let row = owner("10.0.0.2:7000", false);
    assert!(takeover_delay(Some(&row), OWN, 1.0) > Duration::from_millis(3 * 400));
}
