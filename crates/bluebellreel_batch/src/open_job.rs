//! What the index of open jobs says of a job.

use crate::{JobRecord, RecordError};
use std::sync::Arc;

/// What counts of an open job against its route's quota. Daemons of earlier versions
/// leave the index's values empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJob {
    /// Name of its route.
    pub route: Arc<str>,
    /// Tokens of all its items.
    pub tokens: u64,
}

impl OpenJob {
    /// The value as it is stored: an array, as each daemon reads the whole index.
    ///
    /// # Panics
    ///
    /// Never: it holds nothing that JSON cannot.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(&(&*self.route, self.tokens)).expect("it is plain data")
    }
}

impl From<&JobRecord> for OpenJob {
    fn from(record: &JobRecord) -> Self {
        Self {
            route: record.route.clone(),
            tokens: record.tokens,
        }
    }
}

impl TryFrom<&[u8]> for OpenJob {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        let (route, tokens): (String, u64) = serde_json::from_slice(bytes)?;
        Ok(Self {
            route: route.into(),
            tokens,
        })
    }
}
