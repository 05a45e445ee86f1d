//! Applies documents by compare-and-swap on their revision.

use std::sync::Arc;

use snafu::Snafu;

use crate::external::table::TableError;
use crate::external::table::TableRow;
use crate::external::table::TableTransaction;
use crate::external::write_budget::WritePriority;
use crate::findings::ConfigFinding;
use crate::findings::FindingList;
use crate::ids::GenerationNumber;
use crate::ids::RevisionNumber;
use crate::ids::TeamName;
use crate::process::entry::catalog_sync::catch_up;
use crate::process::entry::catalog_sync::put_in_force;
use crate::process::entry::shared::EntryShared;
use crate::version::catalog::DocumentCatalog;
use crate::version::catalog::DocumentChange;
use crate::version::catalog::DocumentRow;
use crate::version::catalog::DocumentSet;
use crate::version::catalog::GENERATION_KEY;
use crate::version::catalog::document_key;
use crate::version::document::ServiceDocument;

/// Changes that are kept in a document's history.
const HISTORY_LENGTH: usize = 20;
/// Tries to commit before the outcome is called unknown.
const COMMIT_TRIES: usize = 16;

/// A document that an operator wants in force.
#[derive(Clone, Debug)]
pub struct DocumentApply {
    /// The service.
    pub service: String,
    /// INI text.
    pub text: String,
    /// Revision that the operator saw; zero for a new document.
    pub base: RevisionNumber,
    /// Token of the change; a repeat with the same token changes nothing more.
    pub token: String,
    /// The team that signed in.
    pub team: TeamName,
}

/// A change that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// Revision of the document.
    pub revision: RevisionNumber,
    /// Generation that it comes into force with.
    pub generation: GenerationNumber,
}

/// Why a document was not accepted.
#[derive(Debug, Snafu)]
pub enum ApplyError {
    /// The document holds mistakes.
    #[snafu(display("{findings}"))]
    Invalid {
        /// The mistakes.
        findings: FindingList,
    },
    /// The document belongs to another team.
    #[snafu(display("document '{service}' is owned by team '{owner}'"))]
    NotOwner {
        /// The service.
        service: String,
        /// Its owner.
        owner: TeamName,
    },
    /// Another change came first.
    #[snafu(display("document '{service}' is at revision {winner} by now, not at {base}"))]
    Conflict {
        /// The service.
        service: String,
        /// Revision that the operator saw.
        base: RevisionNumber,
        /// Revision that won.
        winner: RevisionNumber,
    },
    /// The table service did not take the change.
    #[snafu(display("the table service is unavailable; nothing was changed"))]
    Unavailable,
    /// The table service's answer was lost.
    #[snafu(display("the table service's answer was lost; repeat the call to find out"))]
    Ambiguous,
}

impl From<TableError> for ApplyError {
    fn from(error: TableError) -> ApplyError {
        match error {
            TableError::Ambiguous => ApplyError::Ambiguous,
            _ => ApplyError::Unavailable,
        }
    }
}

/// Checks a document and commits it with a new generation.
///
/// # Errors
///
/// Why it was not accepted; [`ApplyError::Ambiguous`] when that is not known.
pub async fn apply(
    shared: &Arc<EntryShared>,
    apply: &DocumentApply,
) -> Result<AcceptedChange, ApplyError> {
    let document = ServiceDocument::parse(&apply.service, &apply.text)
        .map_err(|findings| ApplyError::Invalid { findings })?;
    check_name(&apply.service, &document.name)?;
    check_owner(&apply.service, &document.owner, &apply.team)?;
    let key = document_key(&apply.service);
    let mut is_ambiguous = false;
    for _ in 0..COMMIT_TRIES {
        let current = shared.table.get(&key).await.map_err(|error| lost(error, is_ambiguous))?;
        let row = decode_row(&apply.service, current.as_ref())?;
        if let Some(change) = row.history.iter().find(|change| change.token == apply.token) {
            let DocumentChange { revision, generation, .. } = *change;
            return Ok(AcceptedChange { revision, generation });
        }
        if row.revision() != apply.base {
            let (base, winner) = (apply.base, row.revision());
            return Err(ApplyError::Conflict { service: apply.service.clone(), base, winner });
        }
        if row.revision() > 0 {
            let owner = owner_of(&row);
            check_owner(&apply.service, &owner, &apply.team)?;
        }
        let version = current.map_or(0, |row| row.version);
        match commit(shared, apply, row, version).await {
            Ok(accepted) => return Ok(accepted),
            // The next round reads what came of it.
            Err(TableError::Ambiguous) => is_ambiguous = true,
            Err(TableError::Conflict { .. }) => {}
            Err(error) => return Err(lost(error, is_ambiguous)),
        }
    }
    Err(ApplyError::Ambiguous)
}

/// After a lost answer, "nothing was changed" can no longer be said.
fn lost(error: TableError, is_ambiguous: bool) -> ApplyError {
    if is_ambiguous { ApplyError::Ambiguous } else { error.into() }
}

fn decode_row(service: &str, row: Option<&TableRow>) -> Result<DocumentRow, ApplyError> {
    let empty =
        || DocumentRow { service: service.to_string(), text: String::new(), history: Vec::new() };
    Ok(row.map(TableRow::decode).transpose()?.unwrap_or_else(empty))
}

fn owner_of(row: &DocumentRow) -> TeamName {
    let document = ServiceDocument::parse(&row.service, &row.text);
    document.map(|document| document.owner).unwrap_or_default()
}

fn check_name(service: &str, name: &str) -> Result<(), ApplyError> {
    if service == name {
        return Ok(());
    }
    let finding = ConfigFinding {
        file: service.to_string(),
        line: 1,
        key: "service.name".to_string(),
        message: format!("'{name}' is not the document that is changed, '{service}'"),
    };
    Err(ApplyError::Invalid { findings: FindingList(vec![finding]) })
}

fn check_owner(service: &str, owner: &str, team: &str) -> Result<(), ApplyError> {
    if owner == team {
        return Ok(());
    }
    Err(ApplyError::NotOwner { service: service.to_string(), owner: owner.to_string() })
}

async fn commit(
    shared: &Arc<EntryShared>,
    apply: &DocumentApply,
    mut row: DocumentRow,
    version: u64,
) -> Result<AcceptedChange, TableError> {
    // Everything before the change must be in force here, so that the change itself can be.
    catch_up(shared).await?;
    let current = shared.table.get(GENERATION_KEY).await?;
    let generation: GenerationNumber =
        current.as_ref().map(TableRow::decode).transpose()?.unwrap_or(0);
    if generation != shared.with_catalog(DocumentCatalog::generation) {
        return Err(TableError::Conflict { key: GENERATION_KEY.to_string() });
    }
    let accepted = AcceptedChange { revision: row.revision() + 1, generation: generation + 1 };
    row.text = apply.text.clone();
    row.history.push(DocumentChange {
        revision: accepted.revision,
        generation: accepted.generation,
        team: apply.team.clone(),
        at_millis: shared.clock.wall_millis(),
        token: apply.token.clone(),
    });
    let surplus = row.history.len().saturating_sub(HISTORY_LENGTH);
    row.history.drain(..surplus);
    let mut transaction = TableTransaction::of(WritePriority::Caller);
    transaction.put(&document_key(&apply.service), version, &row);
    let generation_version = current.map_or(0, |row| row.version);
    transaction.put(GENERATION_KEY, generation_version, &accepted.generation);
    shared.table.commit(transaction).await?;
    // From here on the table service may be gone: peers and agents get the change from this entry.
    put_in_force(shared, DocumentSet { generation: accepted.generation, rows: vec![row] });
    Ok(accepted)
}
