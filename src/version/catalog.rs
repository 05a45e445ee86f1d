//! The documents in force in a process, under one generation that never goes back.

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

/// Key of the row that holds the generation.
pub const GENERATION_KEY: &str = "generation";
/// Prefix of the keys of documents.
pub const DOCUMENT_PREFIX: &str = "document/";

/// Key of a document's row.
///
/// ```
/// assert_eq!(greengagearch::version::catalog::document_key("spots"), "document/spots");
/// ```
pub fn document_key(service: &str) -> String {
    format!("{DOCUMENT_PREFIX}{service}")
}

/// One change in a document's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// Revision that the change made.
    pub revision: RevisionNumber,
    /// Generation that it came into force with.
    pub generation: GenerationNumber,
    /// The team that signed in.
    pub team: TeamName,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_millis: u64,
    /// Token of the change, made by whoever applied it; tells a repeat from a race.
    pub token: String,
}

/// The row of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRow {
    /// The service.
    pub service: ServiceName,
    /// INI text.
    pub text: String,
    /// Changes, the newest last; the newest ones only.
    pub history: Vec<DocumentChange>,
}

impl DocumentRow {
    /// Revision in the row; zero when there is no change yet.
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

    /// Generation that the newest change came into force with.
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

/// Documents under one generation, as processes pass them on: all, or those that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentSet {
    /// The generation.
    pub generation: GenerationNumber,
    /// The rows.
    pub rows: Vec<DocumentRow>,
}

/// Documents in force.
#[derive(Clone, Debug, Default)]
pub struct DocumentCatalog {
    generation: GenerationNumber,
    rows: BTreeMap<ServiceName, DocumentRow>,
    documents: BTreeMap<ServiceName, Arc<ServiceDocument>>,
}

impl DocumentCatalog {
    /// Puts changed documents in force unless their generation is not newer. Gives whether it did.
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

    /// The generation in force.
    ///
    /// ```
    /// assert_eq!(greengagearch::version::catalog::DocumentCatalog::default().generation(), 0);
    /// ```
    pub fn generation(&self) -> GenerationNumber {
        self.generation
    }

    /// The document of a service.
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

    /// The documents that changed after generation `since`, to be passed on.
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

    /// The row of a service.
    ///
    /// ```
    /// use greengagearch::version::catalog::DocumentCatalog;
    ///
    /// assert!(DocumentCatalog::default().row("spots").is_none());
    /// ```
    pub fn row(&self, service: &str) -> Option<&DocumentRow> {
        self.rows.get(service)
    }

    /// What a team's batch tasks may use; nothing when the team owns no document.
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
