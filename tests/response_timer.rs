//! The limit on a call's time at a store that becomes slow and recovers. The load: answers in 4 ms, then in 1.3 s for six
//! seconds (0.3 s a transaction behind a second of others), then in 4 ms again.

use std::time::Duration;

use greengagearch::connection::response_timer::ResponseTimer;

const USUAL: Duration = Duration::from_millis(4);
const SLOW: Duration = Duration::from_millis(1_300);
const LEAST: Duration = Duration::from_secs(1);

fn usual() -> ResponseTimer {
    let mut timer = ResponseTimer::default();
    (0..100).for_each(|_| timer.record(USUAL));
    timer
}

/// Calls that end without an answer until the limit suffices.
fn calls_in_vain(timer: &mut ResponseTimer, answer: Duration) -> u32 {
    let mut vain = 0;
    while timer.timeout() < answer {
        timer.record(timer.timeout());
        vain += 1;
        assert!(vain < 100, "the limit never reaches {answer:?}");
    }
    vain
}

#[test]
fn a_slow_store_is_waited_for_after_few_calls_in_vain() {
    let mut timer = usual();
    assert_eq!(timer.timeout(), LEAST);
    assert!(calls_in_vain(&mut timer, SLOW) <= 2);
    (0..5).for_each(|_| timer.record(SLOW));
    assert!(timer.timeout() > SLOW, "{:?}", timer.timeout());
}

#[test]
fn the_limit_falls_when_the_store_is_well_again() {
    let mut timer = usual();
    calls_in_vain(&mut timer, SLOW);
    (0..5).for_each(|_| timer.record(SLOW));
    (0..20).for_each(|_| timer.record(USUAL));
    assert_eq!(timer.timeout(), LEAST);
}

#[test]
fn silence_costs_no_more_than_two_seconds_a_call() {
    let mut timer = usual();
    (0..100).for_each(|_| timer.record(timer.timeout()));
    assert!(timer.timeout() <= Duration::from_secs(2));
}
