//! The fleet as a manifest declares it.
//!
//! A pipeline generates the manifest; bluebellreel accepts it as a whole or
//! refuses it with every error listed, and makes the fleet match it.
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
