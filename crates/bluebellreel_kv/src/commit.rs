//! Outcome of a guarded write.

use crate::KeyValue;

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect, in this or in an earlier attempt whose response was lost.
    Applied {
        /// Revision of the store after the transaction.
        revision: i64,
    },
    /// A guard failed because of another client's write. Holds the current values
    /// of the keys that the transaction reads on failure, the first put's key
    /// first; keys that do not exist are omitted.
    Beaten(Vec<KeyValue>),
    /// It did not take effect and will not.
    NotDone(String),
    /// It may have taken effect, or may still do so.
    Unknown(String),
}
