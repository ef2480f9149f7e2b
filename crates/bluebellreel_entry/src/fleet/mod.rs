//! The manifest: accepts it, distributes it to side processes, and tracks which of
//! them have applied it.

mod component;
mod drain;
mod matching;
mod messages;
mod store;

pub(crate) use component::{FleetComponent, SharedManifest};
pub(crate) use drain::{order_drain, watch_drains};
pub(crate) use matching::watch_matchers;
pub(crate) use messages::{DrainOrder, FleetMessage, FleetSummary};
pub(crate) use store::{PutAnswer, accepted, get_manifest, put_manifest, watch_manifest};
