//! The life cycle of batch jobs: acceptance, execution, recording, reading,
//! cancellation and takeover.
//!
//! `bluebellreel_batch` defines jobs and the rules by which a result counts. This
//! module applies these rules with the store, the workers and the peers.

mod accept;
mod adopt;
mod archive;
mod backup;
mod cancel;
mod confirm;
mod counts;
mod counts_copies;
mod deadlines;
mod execution;
mod hand_over;
mod last_run;
mod load;
mod no_route;
mod open;
pub(crate) mod own;
mod quota;
mod read;
mod record;
mod refusals;
mod room;
mod runs;
mod stored;
mod takeover;
mod upload;

use crate::gateway::Gateway;
use bluebellreel_net::Body;
use bluebellreel_platform::ingress::JobCall;
use bluebellreel_teams::Caller;
use http::Response;
use std::rc::Rc;

pub(crate) use accept::{Submission, submit};
pub(crate) use backup::{copy_progress, store_progress_copy};
pub(crate) use cancel::{
    cancel_own, cancellation_reported, forward_cancellations, take_cancellation,
};
pub(crate) use confirm::{confirm_all, owner_reported, renew_start_leases};
pub(crate) use counts::store_counts;
pub(crate) use counts_copies::copy_counts;
pub(crate) use deadlines::{
    Deadlines, is_on as deadlines_on, items_waiting, own_demand, waiting as waiting_by_forecast,
};
pub(crate) use hand_over::{HandOvers, take_hand_over};
pub(crate) use read::{body_of_own, read_own};
pub(crate) use refusals::no_room;
pub(crate) use runs::{preempt_batch_runs, start_items};
pub(crate) use takeover::adopt_orphans;
pub(crate) use upload::remove_abandoned;

/// Answers a caller's request about a job that was submitted before.
pub(crate) async fn answer(gw: &Rc<Gateway>, call: JobCall, caller: &Caller) -> Response<Body> {
    match call {
        JobCall::Read { id, after, wait } => read::read(gw, caller, &id, after, wait).await,
        JobCall::ItemBody { id, item } => read::item_body(gw, caller, &id, &item).await,
        JobCall::End { id } => cancel::cancel(gw, caller, &id).await,
    }
}
