//! How much a route's callers may have waiting.

use crate::gateway::Gateway;
use bluebellreel_dispatch::Route;

/// Tokens that wait on a route at all daemons, as far as is known.
pub(crate) fn tokens_waiting(gw: &Gateway, route: &str) -> u64 {
    let own = gw.jobs.borrow().tokens_by_route();
    let own = own.get(route).copied().unwrap_or(0);
    let members = gw.members.borrow();
    let peers = members.peers.values();
    let theirs: u64 = peers.filter_map(|p| p.tokens.get(route)).sum();
    own + theirs
}

/// Whether a job of so many tokens fits.
pub(crate) fn fits(gw: &Gateway, route: &Route, tokens: u64) -> bool {
    route.quota_tokens == 0 || tokens_waiting(gw, &route.name) + tokens <= route.quota_tokens
}
