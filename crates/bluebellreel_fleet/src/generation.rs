//! The manifest in force.

use crate::Manifest;
use std::sync::Arc;

/// A manifest that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedManifest {
    /// Increases with every accepted manifest.
    pub generation: u64,
    /// The text as submitted.
    pub text: Arc<str>,
    /// The validated manifest.
    pub manifest: Arc<Manifest>,
}

/// The manifest in force in one process.
///
/// Only a manifest with a higher generation is ever applied. A broken watch, a
/// lagging peer or a delayed message may deliver an older manifest after a newer
/// one, which would otherwise revert a change.
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

    /// The generation in force; zero if there is no manifest.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, |m| m.generation)
    }

    /// Applies a manifest if it is newer than the current one; returns whether it was.
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

    /// A peer that was partitioned for a while returns and offers the older manifest
    /// that it still has. An operator's change in force must not be reverted.
    #[test]
    fn older_generation_is_never_applied() {
        let mut applied = AppliedManifest::default();
        assert!(applied.offer(accepted(7)));
        assert!(!applied.offer(accepted(6)));
        assert!(!applied.offer(accepted(7)));
        assert_eq!(applied.generation(), 7);
    }
}
