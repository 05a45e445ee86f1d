//! Explaining failed jobs from logs.

use greengagearch::ctl::explain::explain;

fn told(lines: &[&str]) -> String {
    explain("a1", &[lines.join("\n")])
}

#[test]
fn a_refused_job_names_the_last_reason() {
    let told = told(&[
        "time=5.000 level=info event=job_submitted job=a1 outcome=\"not run: status 503\"",
        "time=5.900 level=info event=job_submitted job=a1 outcome=\"not run: nobody listens\"",
    ]);
    assert!(
        told.ends_with("refused at every try, the last time: not run: nobody listens\n"),
        "{told}"
    );
}

#[test]
fn a_failed_job_names_the_workers() {
    let told = told(&[
        "time=5.000 level=info event=job_submitted job=a1 outcome=accepted",
        "time=5.100 level=info event=run_ended task=a1.0.0.0 run=1 worker=i-1 end=Failed ran_ms=90",
        "time=5.300 level=info event=run_ended task=a1.0.0.0 run=2 worker=i-2 end=Failed ran_ms=90",
        "time=5.300 level=info event=job_ended job=a1 end=Failed age_ms=300 objective_ms=900",
    ]);
    assert!(told.contains("failed on i-1, i-2"), "{told}");
}

/// A worker that crashes lists no end of its runs, so that they are lost and none has failed.
#[test]
fn a_job_with_a_task_that_crashes_its_workers_names_task_and_workers() {
    let told = told(&[
        "time=5.000 level=info event=job_submitted job=a1 outcome=accepted",
        "time=5.100 level=info event=run_ended task=a1.0.0.0 run=1 worker=i-1 end=Lost ran_ms=50",
        "time=5.100 level=info event=run_ended task=a1.0.0.1 run=1 worker=i-1 end=Lost ran_ms=700",
        "time=5.300 level=info event=run_ended task=a1.0.0.0 run=2 worker=i-2 end=Lost ran_ms=50",
        "time=5.300 level=warn event=task_given_up task=a1.0.0.0 worker=i-2",
        "time=5.300 level=info event=job_ended job=a1 end=Failed age_ms=300 objective_ms=900",
    ]);
    assert!(told.ends_with("its task a1.0.0.0 crashed its workers i-1, i-2\n"), "{told}");
}

#[test]
fn a_late_job_tells_where_its_time_went_and_what_happened_meanwhile() {
    let told = told(&[
        "  1.5 front-1 time=5.000 level=info event=job_submitted job=a1 outcome=accepted",
        "  1.9 front-1 time=5.400 level=info event=task_assigned task=a1.0.0.0 run=1 age_ms=400",
        "  2.0 front-1 time=6.000 level=warn event=worker_lost worker=i-1 runs=3",
        "  2.0 front-1 time=6.000 level=info event=run_ended task=a1.0.0.0 run=1 end=Lost ran_ms=600",
        "  2.0 front-1 time=6.100 level=info event=run_ended task=b2.0.0.0 run=1 end=Lost ran_ms=600",
        "  9.0 front-1 time=9.000 level=info event=job_ended job=a1 end=Completed age_ms=4000 \
         objective_ms=900",
    ]);
    assert!(told.contains("worker_lost worker=i-1"), "{told}");
    assert!(!told.contains("b2"), "{told}");
    assert!(told.contains("late: 4000 ms of 900 ms; first start after 400 ms"), "{told}");
    assert!(told.contains("1 runs lost"), "{told}");
}

#[test]
fn a_job_that_no_line_names_is_told_so() {
    assert!(told(&["time=1.0 level=info event=stopped"]).contains("no line names it"));
}

/// Two runs of a task at once: the agent of the first was silent, and carried out an order that it had waited with.
#[test]
fn a_run_beside_its_successor_is_told_with_leases_and_links() {
    let told = told(&[
        "time=5.000 level=info event=job_submitted job=a1 outcome=accepted",
        "time=5.100 level=warn event=node_link_lost node=n:1 link=4 reason=connect",
        "time=8.100 level=warn event=lease_lapsed instance=i-1 runs=1 starts=1 lapsed_ms=9",
        "time=9.200 level=info event=lease_renewed instance=i-1 lapsed_ms=1109",
        "time=9.300 level=info event=node_link_regained node=n:1 link=9 away_ms=4200",
        "time=9.400 level=warn event=run_unknown task=a1.0.0.0 run=1 worker=i-1 started=true epoch=3",
        "time=9.400 level=warn event=run_unknown task=b2.0.0.0 run=1 worker=i-1 started=true epoch=3",
        "time=9.500 level=info event=job_ended job=a1 end=Cancelled age_ms=4500 objective_ms=900",
    ]);
    let events: Vec<&str> = told
        .lines()
        .filter_map(|line| line.split_once(" s  ")?.1.split_whitespace().next())
        .collect();
    let all = [
        "job_submitted",
        "node_link_lost",
        "lease_lapsed",
        "lease_renewed",
        "node_link_regained",
        "run_unknown",
        "job_ended",
    ];
    assert_eq!(events, all, "{told}");
}

/// Guards against an explanation that hides that the job was refused for a backlog, or returned.
#[test]
fn a_job_that_was_not_admitted_names_forecast_and_limit() {
    let refused = "time=5.000 level=info event=job_refused job=a1 queue=q reason=backlog expected_end_ms=9100 \
                   limit_ms=6000 forecast_age_ms=120 retry_after_s=4 place=true";
    let submitted =
        "time=5.001 level=info event=job_submitted job=a1 outcome=\"not admitted: backlog\"";
    let told_refused = told(&[refused, submitted]);
    let expected = "cause: refused by admission control 1 times, the last time for backlog: expected end after 9100 ms, \
                    worthless after 6000 ms, asked to return after 4 s\n";
    assert!(told_refused.ends_with(expected), "{told_refused}");
    let told_admitted = told(&[
        refused,
        submitted,
        "time=9.000 level=info event=job_returned job=a1 queue=q outcome=admitted waited_ms=4000",
        "time=9.010 level=info event=job_submitted job=a1 outcome=accepted",
        "time=9.900 level=info event=job_ended job=a1 end=Completed age_ms=890 objective_ms=2000",
    ]);
    assert!(told_admitted.contains("outcome=admitted"), "{told_admitted}");
    assert!(
        told_admitted.ends_with("; admitted 4.0 s after the first of 1 refusals\n"),
        "{told_admitted}"
    );
}

/// A late job whose last task waited on a slow worker: the log has to name the worker beside the move.
#[test]
fn slow_workers_are_told_with_a_job() {
    let told = told(&[
        "time=5.000 level=info event=job_submitted job=a1 outcome=accepted",
        "time=5.900 level=warn event=worker_slow worker=i-1 speed=0.21 samples=3 age_ms=90 epoch=3",
        "time=5.900 level=warn event=worker_ejected worker=i-1 speed=0.21 samples=3 age_ms=90 epoch=3",
        "time=6.000 level=info event=task_moved task=a1.0.0.0 run=1 worker=i-1 to=i-2 why=Slow epoch=3",
        "time=8.000 level=warn event=worker_readmitted worker=i-1 speed=unknown samples=0 \
         age_ms=unknown reason=Probes epoch=3",
        "time=8.100 level=info event=job_ended job=a1 end=Completed age_ms=3100 objective_ms=900",
    ]);
    for expected in
        ["worker_slow worker=i-1 speed=0.21", "worker_ejected", "why=Slow", "reason=Probes"]
    {
        assert!(told.contains(expected), "{expected} is missing in {told}");
    }
    assert!(told.contains("1 moved"), "{told}");
}
