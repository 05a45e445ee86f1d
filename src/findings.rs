//! Findings in settings and documents, collected with their place and reported together.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// One mistake in a file, with its place and what is allowed there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFinding {
    /// Name of the file, as it was given.
    pub file: String,
    /// Line in the file, from 1; 0 when the whole file is meant.
    pub line: usize,
    /// Section and key, `section.key`.
    pub key: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// All findings of one check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FindingList(pub Vec<ConfigFinding>);

impl FindingList {
    /// Gives `value` when nothing was found, else the findings.
    ///
    /// # Errors
    ///
    /// The findings themselves, when there are any.
    ///
    /// ```
    /// use greengagearch::findings::FindingList;
    ///
    /// assert_eq!(FindingList::default().or_value(7), Ok(7));
    /// ```
    pub fn or_value<T>(self, value: T) -> Result<T, FindingList> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, finding) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
