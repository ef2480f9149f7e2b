//! The manifest: accepting it, bringing it into force, seeing that it is.

mod actor;
mod store;

pub(crate) use actor::{FleetActor, FleetMessage, FleetSummary, SharedManifest};
pub(crate) use store::{PutAnswer, get_manifest, put_manifest, watch_manifest};
