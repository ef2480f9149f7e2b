//! Encoding of the values in the index of open jobs.

use crate::tokens::bounded_job_tokens;
use crate::{JobRecord, RecordError};
use std::sync::Arc;

/// Quota scope and tokens of an open job. Daemons of
/// earlier versions leave the values of the index empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenJob {
    /// What its tokens count against; see [`crate::quota_scope`].
    pub scope: Arc<str>,
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
        serde_json::to_vec(&(&*self.scope, self.tokens)).expect("it is plain data")
    }
}

impl From<&JobRecord> for OpenJob {
    fn from(record: &JobRecord) -> Self {
        Self {
            scope: record.quota_scope(),
            tokens: record.tokens,
        }
    }
}

impl TryFrom<&[u8]> for OpenJob {
    type Error = RecordError;

    fn try_from(bytes: &[u8]) -> Result<Self, RecordError> {
        let (scope, tokens): (String, u64) = serde_json::from_slice(bytes)?;
        Ok(Self {
            scope: scope.into(),
            tokens: bounded_job_tokens(tokens),
        })
    }
}
