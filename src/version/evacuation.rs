//! Evacuations of failure domains, as operators request them.

use std::collections::BTreeMap;

use crate::ids::DomainName;
use crate::ids::RowVersion;

/// The failure domains whose workers get no new work, each with the version of the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationSet {
    domains: BTreeMap<DomainName, RowVersion>,
}

/// A difference between two sets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of a domain was requested, or requested again with another version.
    Started {
        /// The domain.
        domain: DomainName,
        /// Version of the request.
        version: RowVersion,
    },
    /// The evacuation of a domain was taken back.
    Ended {
        /// The domain.
        domain: DomainName,
        /// Version of the request that is no longer in force.
        version: RowVersion,
    },
}

impl EvacuationSet {
    /// Returns whether a failure domain is being evacuated.
    ///
    /// ```
    /// use greengagearch::version::evacuation::EvacuationSet;
    ///
    /// let evacuations: EvacuationSet = [("wien-a".to_string(), 7)].into_iter().collect();
    /// assert!(evacuations.contains("wien-a"));
    /// assert!(!evacuations.contains("wien-b"));
    /// ```
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    /// Returns the version of the request for a domain, if there is one.
    ///
    /// ```
    /// use greengagearch::version::evacuation::EvacuationSet;
    ///
    /// let evacuations: EvacuationSet = [("wien-a".to_string(), 7)].into_iter().collect();
    /// assert_eq!(evacuations.version("wien-a"), Some(7));
    /// assert_eq!(evacuations.version("wien-b"), None);
    /// ```
    pub fn version(&self, domain: &str) -> Option<RowVersion> {
        self.domains.get(domain).copied()
    }

    /// Returns the domains with the versions of their requests.
    ///
    /// ```
    /// use greengagearch::version::evacuation::EvacuationSet;
    ///
    /// assert_eq!(EvacuationSet::default().iter().count(), 0);
    /// ```
    pub fn iter(&self) -> impl Iterator<Item = (&DomainName, RowVersion)> {
        self.domains.iter().map(|(domain, version)| (domain, *version))
    }

    /// Returns how the set differs from an earlier one.
    ///
    /// ```
    /// use greengagearch::version::evacuation::EvacuationChange;
    /// use greengagearch::version::evacuation::EvacuationSet;
    ///
    /// let evacuations: EvacuationSet = [("wien-a".to_string(), 7)].into_iter().collect();
    /// let ended = EvacuationChange::Ended { domain: "wien-a".into(), version: 7 };
    /// assert_eq!(EvacuationSet::default().changes_since(&evacuations), [ended]);
    /// ```
    pub fn changes_since(&self, earlier: &EvacuationSet) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        for (domain, version) in earlier.iter().filter(|(domain, _)| !self.contains(domain)) {
            changes.push(EvacuationChange::Ended { domain: domain.clone(), version });
        }
        for (domain, version) in self.iter() {
            if earlier.domains.get(domain) != Some(&version) {
                changes.push(EvacuationChange::Started { domain: domain.clone(), version });
            }
        }
        changes
    }
}

impl FromIterator<(DomainName, RowVersion)> for EvacuationSet {
    fn from_iter<T: IntoIterator<Item = (DomainName, RowVersion)>>(domains: T) -> EvacuationSet {
        EvacuationSet { domains: domains.into_iter().collect() }
    }
}
