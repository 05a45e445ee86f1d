//! A short soak with a fixed seed; longer ones are run by hand with `gga-soak`.

use std::path::Path;
use std::time::Duration;

use greengagearch_standins::processes::SettingsFolder;
use greengagearch_standins::soak::SoakKind;
use greengagearch_standins::soak::SoakPlan;
use greengagearch_standins::soak::run_soak;

async fn play(seed: u64, kind: SoakKind, crowds: bool) {
    let logs = SettingsFolder::open();
    let programs = Path::new(env!("CARGO_BIN_EXE_gga-planner")).parent().unwrap().to_path_buf();
    let plan = SoakPlan {
        seed,
        kind,
        length: Duration::from_secs(8),
        crowds,
        programs,
        logs: logs.path().to_path_buf(),
    };
    let report = run_soak(&plan, |_| {}).await;
    assert!(report.broken.is_none(), "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_in_a_short_soak() {
    play(1, SoakKind::Short, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_beside_crowds_of_clients_that_do_not_behave() {
    play(1, SoakKind::Short, true).await;
}

/// Guards against tasks of cancelled jobs that start later than the limit while the planner cannot read the cancels.
#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_while_entry_hosts_are_cut_off_from_the_store() {
    play(1, SoakKind::StoreCuts, false).await;
}
