//! Sheds callers' connections while this daemon has more work than it can do, and tells when
//! there is no room for all callers.
//!
//! The balancer may hand most new connections of a data centre to one daemon. Requests on
//! connections that are closed unread are sent to other daemons; those that are read here
//! and answered late are lost.

use crate::gateway::Gateway;
use bluebellreel_net::sample_lag;
use bluebellreel_types::Moment;
use log::warn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Whether a new connection of a caller is served. If no other daemon is known, its caller
/// has nowhere else to go.
pub(crate) fn admits_connection(gw: &Gateway) -> bool {
    if !gw.loop_lag.borrow().is_saturated() {
        return true;
    }
    let has_peer = gw.members.borrow().alive_peers(gw.now()).next().is_some();
    if has_peer {
        gw.metrics.connections_shed.inc();
    }
    !has_peer
}

/// Interval between log lines on a shortage of room for callers.
const SHORTAGE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Callers that were closed or refused for want of room, as logged last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Shortage {
    turned_away: u64,
    next_log: Moment,
}

/// Logs if callers were closed or refused for want of room since the last time.
pub(crate) fn log_shortage(gw: &Gateway, now: Moment) {
    let (closed, refused) = (gw.callers.evicted(), gw.callers.refused());
    let logged = gw.shortage.get();
    if closed + refused == logged.turned_away || !logged.next_log.is_past(now) {
        return;
    }
    gw.shortage.set(Shortage {
        turned_away: closed + refused,
        next_log: now + SHORTAGE_LOG_INTERVAL,
    });
    warn!(target: "gateway", closed, refused, held = gw.callers.memory(); "no room for all callers");
}

/// Watches whether the event loop is saturated, in an endless loop.
pub(crate) async fn watch_loop(gw: Rc<Gateway>) {
    sample_lag(|due| {
        let mut lag = gw.loop_lag.borrow_mut();
        if !lag.note(due, Instant::now()) {
            return;
        }
        let shed = gw.metrics.connections_shed.get();
        if lag.is_saturated() {
            warn!(target: "gateway", in_progress = gw.in_progress.count(), shed; "saturated");
        } else {
            warn!(target: "gateway", in_progress = gw.in_progress.count(), shed; "no longer saturated");
        }
    })
    .await;
}
