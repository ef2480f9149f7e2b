//! The manifest: accepting it, bringing it into force, seeing that it is.

mod drain;
mod matching;
mod part;
mod store;

pub(crate) use drain::{DrainOrder, order_drain, watch_drains};
pub(crate) use matching::watch_matchers;
pub(crate) use part::{FleetMessage, FleetPart, FleetSummary, SharedManifest};
pub(crate) use store::{PutAnswer, accepted, get_manifest, put_manifest, watch_manifest};
