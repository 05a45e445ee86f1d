//! Catalog of the service documents in effect in a process, under a generation that only increases.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::external::worker::ResourceAmount;
use crate::ids::GenerationNumber;
use crate::ids::RevisionNumber;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::version::document::ServiceDocument;

/// Key of the row that stores the generation.
pub const GENERATION_KEY: &str = "generation";
/// Prefix of the keys of document rows.
pub const DOCUMENT_PREFIX: &str = "document/";

/// Key of a document's row.
///
/// ```
/// assert_eq!(greengagearch::version::catalog::document_key("spots"), "document/spots");
/// ```
pub fn document_key(service: &str) -> String {
    format!("{DOCUMENT_PREFIX}{service}")
}

/// A change in the history of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// Revision of the document after the change.
    pub revision: RevisionNumber,
    /// Generation with which the change took effect.
    pub generation: GenerationNumber,
    /// Team that was authenticated for the change.
    pub team: TeamName,
    /// Wall-clock time of the change, in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Token chosen by the client that made the change; distinguishes a repeated call from a
    /// concurrent change by another client.
    pub token: String,
}

/// Stored row of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRow {
    /// Service that the document describes.
    pub service: ServiceName,
    /// Text of the document, in INI format.
    pub text: String,
    /// Most recent changes, in ascending order of their revisions.
    pub history: Vec<DocumentChange>,
}

impl DocumentRow {
    /// Current revision; zero if there is no change yet.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentRow;
    ///
    /// let row = DocumentRow { service: "s".into(), text: String::new(), history: Vec::new() };
    /// assert_eq!(row.revision(), 0);
    /// ```
    pub fn revision(&self) -> RevisionNumber {
        self.history.last().map_or(0, |change| change.revision)
    }

    /// Generation with which the latest change took effect; zero if there is no change yet.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentRow;
    ///
    /// let row = DocumentRow { service: "s".into(), text: String::new(), history: Vec::new() };
    /// assert_eq!(row.generation(), 0);
    /// ```
    pub fn generation(&self) -> GenerationNumber {
        self.history.last().map_or(0, |change| change.generation)
    }
}

/// Document rows of one generation, as sent between processes: all of them, or those that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentSet {
    /// Generation of the catalog that sent them.
    pub generation: GenerationNumber,
    /// Rows of the documents.
    pub rows: Vec<DocumentRow>,
}

/// Service documents in effect, with their rows.
#[derive(Clone, Debug, Default)]
pub struct DocumentCatalog {
    generation: GenerationNumber,
    rows: BTreeMap<ServiceName, DocumentRow>,
    documents: BTreeMap<ServiceName, Arc<ServiceDocument>>,
}

impl DocumentCatalog {
    /// Applies changed documents if their generation is newer. Returns whether it was.
    ///
    /// If a document cannot be parsed, its row is stored but the previous document stays in effect.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentCatalog;
    /// use greengagearch::version::catalog::DocumentSet;
    ///
    /// let mut catalog = DocumentCatalog::default();
    /// assert!(catalog.apply(DocumentSet { generation: 2, rows: Vec::new() }));
    /// assert!(!catalog.apply(DocumentSet { generation: 1, rows: Vec::new() }));
    /// assert_eq!(catalog.generation(), 2);
    /// ```
    pub fn apply(&mut self, set: DocumentSet) -> bool {
        if set.generation <= self.generation {
            return false;
        }
        self.generation = set.generation;
        for row in set.rows {
            if let Ok(document) = ServiceDocument::parse(&row.service, &row.text) {
                self.documents.insert(row.service.clone(), Arc::new(document));
            }
            self.rows.insert(row.service.clone(), row);
        }
        true
    }

    /// Generation in effect.
    ///
    /// ```
    /// assert_eq!(greengagearch::version::catalog::DocumentCatalog::default().generation(), 0);
    /// ```
    pub fn generation(&self) -> GenerationNumber {
        self.generation
    }

    /// Document of a service.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentCatalog;
    ///
    /// assert!(DocumentCatalog::default().document("spots").is_none());
    /// ```
    pub fn document(&self, service: &str) -> Option<Arc<ServiceDocument>> {
        self.documents.get(service).cloned()
    }

    /// All documents.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentCatalog;
    ///
    /// assert_eq!(DocumentCatalog::default().documents().count(), 0);
    /// ```
    pub fn documents(&self) -> impl Iterator<Item = &Arc<ServiceDocument>> {
        self.documents.values()
    }

    /// Rows of the documents that changed after generation `since`, to be sent to another process.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentCatalog;
    ///
    /// assert!(DocumentCatalog::default().changed_since(0).rows.is_empty());
    /// ```
    pub fn changed_since(&self, since: GenerationNumber) -> DocumentSet {
        let is_newer = |row: &&DocumentRow| row.generation() > since;
        let rows = self.rows.values().filter(is_newer).cloned().collect();
        DocumentSet { generation: self.generation, rows }
    }

    /// Row of a service's document.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentCatalog;
    ///
    /// assert!(DocumentCatalog::default().row("spots").is_none());
    /// ```
    pub fn row(&self, service: &str) -> Option<&DocumentRow> {
        self.rows.get(service)
    }

    /// Resources that a team's batch tasks may use, summed over its documents; `None` if the team
    /// owns no document.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentCatalog;
    ///
    /// assert!(DocumentCatalog::default().quota("sendeplan").is_none());
    /// ```
    pub fn quota(&self, team: &str) -> Option<ResourceAmount> {
        let owned = self.documents.values().filter(|document| document.owner == team);
        let quotas = owned.map(|document| document.quota);
        quotas.reduce(|sum, quota| sum.plus(&quota))
    }
}
