//! How a guarded write came out.

use crate::KeyValue;

/// The fate of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It took effect, now or in a try whose answer was lost.
    Applied {
        /// The revision that it made.
        revision: i64,
    },
    /// Another's write came first. Holds what the keys to read held, the first
    /// put's key first; absent keys are left out.
    Beaten(Vec<KeyValue>),
    /// It was never done.
    NotDone(String),
    /// It may have taken effect, or may do so yet.
    Unknown(String),
}
