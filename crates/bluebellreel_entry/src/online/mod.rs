//! Online requests: the component that drives the router, claims of
//! non-repeatable calls, and the choice of worker connections.

mod caller;
mod claims;
mod component;
mod connections;

pub(crate) use caller::{CallerEvent, ClaimQueryResult, NewCall, OnlineMessage};
pub(crate) use claims::{find_claim, record_state};
pub(crate) use component::OnlineComponent;
pub(crate) use connections::ConnectionsComponent;
