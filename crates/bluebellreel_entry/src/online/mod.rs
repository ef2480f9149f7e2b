//! Online requests: the actor that drives the router, and claims.

mod actor;
mod caller;
mod claims;

pub(crate) use actor::OnlineActor;
pub(crate) use caller::{AskAnswer, CallerEvent, NewCall, OnlineMessage};
pub(crate) use claims::{find_claim, record_state};
