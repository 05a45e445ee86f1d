//! The operator's requests to evacuate failure domains, decoded into the product's own set.

use log::Level;

use crate::external::row_store::StoredRow;
use crate::process::logging::log_event;
use crate::version::evacuation::EvacuationSet;

/// Prefix of the keys of these requests in the operator's table; the failure domain follows.
pub const EVACUATION_PREFIX: &str = "evacuate/";

/// Decodes the requests among the rows of the operator's table.
///
/// The key alone says what is requested, so that a request with an unreadable value stands.
///
/// ```
/// use greengagearch::external::row_store::RowName;
/// use greengagearch::external::row_store::StoredRow;
/// use greengagearch::platform::evacuations::decode;
///
/// let name = RowName::new("op", "", "evacuate/wien-a");
/// let row = StoredRow { name, value: Some(b"{}".to_vec()), version: 7 };
/// assert!(decode(&[row]).contains("wien-a"));
/// ```
pub fn decode(rows: &[StoredRow]) -> EvacuationSet {
    let requested = rows.iter().filter(|row| row.value.is_some());
    let named = requested
        .filter_map(|row| Some((row.name.key.strip_prefix(EVACUATION_PREFIX)?, row.version)));
    let mut evacuations = Vec::new();
    for (domain, version) in named {
        if domain.is_empty() {
            log_event(Level::Error, "evacuation_malformed", &[("version", &version)]);
        } else {
            evacuations.push((domain.to_string(), version));
        }
    }
    evacuations.into_iter().collect()
}
