//! What an agent logs and counts of the tries of an order.

mod kept_log;

use greengagearch::connection::node_protocol::RejectReason;
use greengagearch::external::runner_control::RunnerError;
use greengagearch::process::metrics::ProcessMetrics;
use greengagearch::process::node::order_attempts::OrderAttempts;
use greengagearch::process::node::order_attempts::OrderKind;

use crate::kept_log::keep_log;
use crate::kept_log::lines_with;

fn tries_of(order: OrderKind, task: &str) -> OrderAttempts {
    keep_log();
    OrderAttempts::new(order, &(task.parse().unwrap(), 3), 7)
}

fn silence() -> Result<(), RunnerError> {
    Err(RunnerError::NoAnswer { is_broken: false, reason: "late".to_string() })
}

fn refusal() -> Result<(), RunnerError> {
    Err(RunnerError::Rejected { reason: RejectReason::Unwell })
}

#[test]
fn a_refusal_tells_how_many_tries_before_it_had_no_answer() {
    let metrics = ProcessMetrics::open();
    let mut tries = tries_of(OrderKind::Start, "a.0.0.0");
    tries.record(&metrics, &silence());
    tries.record(&metrics, &refusal());
    let lines = lines_with("task=a.0.0.0");
    assert_eq!(lines.len(), 2);
    assert!(lines[0].contains("event=start_try task=a.0.0.0 run=3 epoch=7 try=1 "), "{lines:?}");
    assert!(lines[0].ends_with("outcome=\"no answer: late\" unanswered=0"), "{lines:?}");
    assert!(lines[1].ends_with("try=2 outcome=\"refused: Unwell\" unanswered=1"), "{lines:?}");
    assert_eq!((tries.attempts(), tries.unanswered()), (2, 1));
    assert_eq!(tries.outcome(), "refused: Unwell");
}

#[test]
fn an_order_that_stays_without_an_answer_fills_no_log() {
    let metrics = ProcessMetrics::open();
    let mut tries = tries_of(OrderKind::Stop, "b.0.0.0");
    (0..1_000).for_each(|_| tries.record(&metrics, &silence()));
    let lines = lines_with("task=b.0.0.0");
    let numbers = [1, 2, 3, 4, 8, 16, 32, 64, 128, 256, 512];
    assert_eq!(lines.len(), numbers.len());
    for (line, number) in lines.iter().zip(numbers) {
        assert!(line.contains(&format!("event=stop_try task=b.0.0.0 run=3 epoch=7 try={number} ")));
    }
    assert_eq!(tries.attempts(), 1_000);
}

#[test]
fn a_try_that_succeeds_is_counted_and_not_logged() {
    let metrics = ProcessMetrics::open();
    let mut tries = tries_of(OrderKind::Start, "c.0.0.0");
    tries.record(&metrics, &Ok(()));
    assert!(lines_with("task=c.0.0.0").is_empty());
    assert_eq!(tries.outcome(), "done");
}

#[test]
fn tries_are_counted_by_order_and_outcome() {
    let metrics = ProcessMetrics::open();
    let mut start = tries_of(OrderKind::Start, "d.0.0.0");
    let answers = [silence(), silence(), refusal(), Err(RunnerError::OtherInstance), Ok(())];
    answers.iter().for_each(|answer| start.record(&metrics, answer));
    tries_of(OrderKind::Stop, "d.0.0.0").record(&metrics, &refusal());
    let text = metrics.render();
    for (labels, count) in [
        ("order=\"start\",outcome=\"no_answer\"", 2),
        ("order=\"start\",outcome=\"refused\"", 1),
        ("order=\"start\",outcome=\"other\"", 1),
        ("order=\"start\",outcome=\"done\"", 1),
        ("order=\"stop\",outcome=\"refused\"", 1),
    ] {
        assert!(text.contains(&format!("gga_order_tries{{{labels}}} {count}\n")), "{text}");
    }
}
