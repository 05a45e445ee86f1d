//! Whether a write whose answer was lost was applied, as the rows tell that a conflict shows.

use greengagearch::external::row_store::RowName;
use greengagearch::external::row_store::RowTransaction;
use greengagearch::external::row_store::StoredRow;
use greengagearch::process::planning::rows::JobLayout;
use greengagearch::process::planning::rows::PROGRESS_TABLE;
use greengagearch::process::planning::rows::applied_version;
use greengagearch::process::planning::rows::owner_row;

const OWNER_VERSION: u64 = 5;

fn progress() -> RowName {
    RowName::new(PROGRESS_TABLE, "main", "a")
}

fn pulse() -> RowName {
    RowName::new("ownership", "main", "pulse")
}

fn stored(name: RowName, value: Option<&str>, version: u64) -> StoredRow {
    StoredRow { name, value: value.map(|text| text.as_bytes().to_vec()), version }
}

/// The end of a job: its row is written, its progress removed, and a pulse goes with it without a condition.
fn end_of_job() -> RowTransaction {
    RowTransaction {
        expected: vec![
            (owner_row(), OWNER_VERSION),
            (progress(), 7),
            (JobLayout::default().row("a"), 3),
        ],
        puts: vec![
            (JobLayout::default().row("a"), b"ended".to_vec()),
            (pulse(), b"pulse".to_vec()),
        ],
        removes: vec![progress()],
    }
}

fn rows(owner_version: u64, job: &str) -> Vec<StoredRow> {
    vec![
        stored(owner_row(), Some("owner"), owner_version),
        stored(progress(), None, 0),
        stored(JobLayout::default().row("a"), Some(job), 9),
    ]
}

/// Seen on sendeplan trouble-2: a conflict shows only the rows of conditions, so that the pulse was missed and the planner
/// gave its epoch up though its write had been applied.
#[test]
fn a_write_that_carried_a_pulse_is_known_by_its_other_rows() {
    assert_eq!(applied_version(&end_of_job(), &rows(OWNER_VERSION, "ended")), Some(9));
}

#[test]
fn what_somebody_else_wrote_is_not_taken_for_applied() {
    assert_eq!(applied_version(&end_of_job(), &rows(OWNER_VERSION, "cancelled")), None);
    assert_eq!(applied_version(&end_of_job(), &rows(OWNER_VERSION + 1, "ended")), None);
}

/// Nothing that a conflict shows tells of a pulse alone.
#[test]
fn a_pulse_alone_under_another_owner_is_not_taken_for_applied() {
    let transaction = RowTransaction {
        expected: vec![(owner_row(), OWNER_VERSION)],
        puts: vec![(pulse(), b"pulse".to_vec())],
        removes: Vec::new(),
    };
    let newer = [stored(owner_row(), Some("other"), OWNER_VERSION + 1)];
    assert_eq!(applied_version(&transaction, &newer), None);
    let same = [stored(owner_row(), Some("owner"), OWNER_VERSION)];
    assert_eq!(applied_version(&transaction, &same), None);
}
