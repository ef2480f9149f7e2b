//! Encoding of the values in the index of open jobs.

use crate::{JobRecord, RecordError};
use std::sync::Arc;

/// Route and tokens of an open job, which count against the route's quota. Daemons of
/// earlier versions leave the values of the index empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJob {
    /// Name of its route.
    pub route: Arc<str>,
    /// Tokens of all its items.
    pub tokens: u64,
}

impl OpenJob {
    /// Encodes the index value. It is a JSON array without field names because each
    /// daemon reads the whole index.
    ///
    /// # Panics
    ///
    /// Never: the value always serializes to JSON.
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
