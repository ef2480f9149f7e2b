//! Which manifest is in force.

use crate::Manifest;
use std::sync::Arc;

/// A manifest that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedManifest {
    /// Grows with every acceptance.
    pub generation: u64,
    /// As it was put.
    pub text: Arc<str>,
    /// Checked.
    pub manifest: Arc<Manifest>,
}

/// The manifest in force in one process.
///
/// Guards against a change that reverts: a watch that broke, a peer that lags
/// or a message that was delayed may bring an older manifest after a newer one.
/// Only a higher generation is ever applied.
#[derive(Clone, Debug, Default)]
pub struct AppliedManifest {
    current: Option<AcceptedManifest>,
}

impl AppliedManifest {
    /// The manifest in force.
    #[must_use]
    pub fn current(&self) -> Option<&AcceptedManifest> {
        self.current.as_ref()
    }

    /// The generation in force, zero for none.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, |m| m.generation)
    }

    /// Brings a manifest into force if it is newer; whether it was.
    pub fn offer(&mut self, accepted: AcceptedManifest) -> bool {
        if accepted.generation <= self.generation() {
            return false;
        }
        self.current = Some(accepted);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn accepted(generation: u64) -> AcceptedManifest {
        AcceptedManifest {
            generation,
            text: Arc::from(""),
            manifest: Arc::default(),
        }
    }

    /// An operator's change is in force; a peer that was cut off for a while
    /// comes back and offers what it still has. The change must not revert.
    #[test]
    fn older_generation_never_comes_back() {
        let mut applied = AppliedManifest::default();
        assert!(applied.offer(accepted(7)));
        assert!(!applied.offer(accepted(6)));
        assert!(!applied.offer(accepted(7)));
        assert_eq!(applied.generation(), 7);
    }
}
