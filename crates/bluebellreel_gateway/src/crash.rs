//! Whether a worker has crashed under a run.
//!
//! A run that is broken off may have lost its connection only. A worker has crashed
//! if its VM refuses connections right after, or if it is no longer there a moment
//! later though it did not say that it leaves.

use crate::gateway::Gateway;
use crate::millis::millis;
use crate::quarantine;
use bluebellreel_dispatch::{
    CrashNotice, Fingerprint, Sender, Standing, Strike, Ticket, WorkerState, WorkerTag,
};
use bluebellreel_net::ProbeResult;
use bluebellreel_types::Moment;
use log::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a broken-off run waits for the probe of its worker before it goes on
/// elsewhere. A VM answers within some milliseconds.
const PROBE_LONGEST: Duration = Duration::from_millis(30);
/// When a worker that listens is checked once more: one that has started again is
/// listed by then, its former life is not.
const CHECK_AGAIN: Duration = Duration::from_millis(2500);

/// A run that its worker broke off.
pub(crate) struct Cut {
    /// Id of the attempt, or of the item's request.
    pub(crate) request: Arc<str>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) ticket: Ticket,
    /// When it was sent.
    pub(crate) began: Moment,
}

/// Looks whether a run was broken off as its worker has crashed. What is found
/// later than a moment is noted all the same.
pub(crate) async fn look(gw: &Rc<Gateway>, cut: Cut) {
    let Some(address) = listed_at(gw, &cut.ticket) else {
        // It leaves: what it breaks off then is no crash.
        return;
    };
    let probing = tokio::task::spawn_local(find_out(gw.clone(), cut, address, gw.now()));
    // It goes on by itself.
    let _ = timeout(PROBE_LONGEST, probing).await;
}

/// Where a run's worker listens, unless it has said that it leaves.
fn listed_at(gw: &Gateway, ticket: &Ticket) -> Option<SocketAddr> {
    let board = gw.board.borrow();
    let seat = board.seat(&ticket.worker)?;
    (seat.record.state == WorkerState::Ready).then_some(seat.record.address)
}

async fn find_out(gw: Rc<Gateway>, cut: Cut, address: SocketAddr, at: Moment) {
    if has_started_again(&gw, &cut.ticket) {
        return note(&gw, &cut, at, "started again");
    }
    match gw.workers.probe(address).await {
        ProbeResult::Refused => note(&gw, &cut, at, "refuses connections"),
        ProbeResult::Unknown => {}
        ProbeResult::Open => {
            sleep(CHECK_AGAIN).await;
            if has_started_again(&gw, &cut.ticket) {
                note(&gw, &cut, at, "started again");
            }
        }
    }
}

/// Whether a run's worker lives another life, or none, though it did not say that it
/// would leave.
fn has_started_again(gw: &Gateway, ticket: &Ticket) -> bool {
    let board = gw.board.borrow();
    let gone = board.seat(&ticket.worker).is_none();
    gone || board.is_of_former_life(ticket)
}

fn note(gw: &Rc<Gateway>, cut: &Cut, at: Moment, reason: &str) {
    let lasted = millis(at.since(cut.began));
    gw.metrics.crashes.inc();
    let strike = Strike {
        began: cut.began,
        crashed: at,
        excused: false,
    };
    let notice = CrashNotice {
        fingerprint: cut.fingerprint,
        worker: WorkerTag::of(&cut.ticket.worker, cut.ticket.boot),
        strike,
    };
    let crashes = gw.suspects.borrow_mut().note_own_crash(notice, gw.now());
    gw.report_due.notify_one();
    let standing = gw
        .suspects
        .borrow()
        .standing(cut.fingerprint, Sender::Caller, gw.now());
    if matches!(standing, Standing::Quarantined(_)) {
        quarantine::store(gw, cut.fingerprint);
    }
    warn!(target: "online", request:% = cut.request, fingerprint:% = cut.fingerprint, worker:% = cut.ticket.worker, took_ms = lasted, crashes, reason; "worker crashed under a run");
}
