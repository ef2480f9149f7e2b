//! Online requests: the part that drives the router, and claims.

mod caller;
mod claims;
mod part;
mod reach;

pub(crate) use caller::{AskAnswer, CallerEvent, NewCall, OnlineMessage};
pub(crate) use claims::{find_claim, record_state};
pub(crate) use part::OnlinePart;
pub(crate) use reach::ReachPart;
