//! Online requests: the part that drives the router, and claims.

mod caller;
mod claims;
mod component;
mod connections;

pub(crate) use caller::{CallerEvent, ClaimQueryResult, NewCall, OnlineMessage};
pub(crate) use claims::{find_claim, record_state};
pub(crate) use component::OnlineComponent;
pub(crate) use connections::ConnectionsComponent;
