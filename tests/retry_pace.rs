//! Many hosts call an overloaded store again and again. The load: 35 hosts with three watches each, at a store that bears 160 reads
//! a second and answers in 0.4 s. In simulated time, without network.

use std::time::Duration;
use std::time::Instant;

use greengagearch::connection::retry_pace::RetryPace;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const HOSTS: usize = 35;
const WATCHES: usize = 3;
/// Reads that the store bears in each span of a tenth of a second.
const BORNE_A_SPAN: u32 = 16;
const SPAN: Duration = Duration::from_millis(100);
/// Time of an answer: the store is a hundred times slower than usual, and a watch waits for news on top of it.
const ANSWER: Duration = Duration::from_millis(450);
/// Time after which a refusal is back.
const REFUSAL: Duration = Duration::from_millis(20);
const PLAYED: Duration = Duration::from_secs(20);

/// What the hosts got.
#[derive(Debug, Default)]
struct PlayResult {
    answered: u32,
    refused: u32,
    /// Longest time in which no watch of a host was answered.
    longest_silence: Duration,
}

/// Plays the hosts; `pause` gives the wait after a failure.
fn play(mut pause: impl FnMut(usize, bool, Instant, f64) -> Duration) -> PlayResult {
    let begun = Instant::now();
    let mut rng = StdRng::seed_from_u64(11);
    let mut due: Vec<(Instant, usize)> =
        (0..HOSTS * WATCHES).map(|at| (begun, at / WATCHES)).collect();
    let mut heard = [begun; HOSTS];
    let mut borne = 0;
    let mut span = begun;
    let mut result = PlayResult::default();
    loop {
        let next = (0..due.len()).min_by_key(|at| due[*at].0).unwrap();
        let (now, host) = due[next];
        if now > begun + PLAYED {
            return result;
        }
        if now >= span + SPAN {
            span = now;
            borne = 0;
        }
        let is_borne = borne < BORNE_A_SPAN;
        let draw = rng.random();
        if is_borne {
            borne += 1;
            result.answered += 1;
            result.longest_silence = result.longest_silence.max(now - heard[host]);
            heard[host] = now;
            due[next].0 = now + ANSWER + pause(host, true, now, draw);
        } else {
            result.refused += 1;
            due[next].0 = now + REFUSAL + pause(host, false, now, draw);
        }
    }
}

#[test]
fn hosts_that_are_refused_stay_below_what_the_store_bears() {
    let mut paces = [RetryPace::default(); HOSTS];
    let paced = play(|host, is_answered, now, draw| {
        if is_answered {
            paces[host].on_response();
            return Duration::ZERO;
        }
        paces[host].on_failure(now, draw)
    });
    let fixed = play(
        |_, is_answered, _, _| {
            if is_answered { Duration::ZERO } else { Duration::from_millis(100) }
        },
    );
    println!("paced {paced:?}, fixed {fixed:?}");
    assert!(paced.refused * 2 < fixed.refused, "paced {paced:?}, fixed {fixed:?}");
    assert!(paced.answered * 10 > fixed.answered * 9, "paced {paced:?}, fixed {fixed:?}");
    assert!(paced.longest_silence < Duration::from_millis(2_000), "{paced:?}");
}
