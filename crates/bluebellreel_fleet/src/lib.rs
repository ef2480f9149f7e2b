//! The declared state of the fleet: the manifest and its reconciliation.
//!
//! A pipeline generates the manifest. bluebellreel either accepts it as a whole or
//! refuses it with a list of all errors, and then brings the fleet to the declared
//! state.
//!
//! ```
//! use bluebellreel_fleet::Manifest;
//!
//! let manifest = Manifest::try_from("[[models]]\nname = \"m\"\nversion = \"1\"\n").unwrap();
//! assert_eq!(manifest.models.len(), 1);
//! ```

mod generation;
mod manifest;
mod matcher;

pub use generation::{AcceptedManifest, AppliedManifest};
pub use manifest::{Manifest, ManifestError, ModelSpec, RepeatableCall, ServiceSpec, TeamSpec};
pub use matcher::{LoadOrder, LoadedModel, Matcher, WorkerView};
