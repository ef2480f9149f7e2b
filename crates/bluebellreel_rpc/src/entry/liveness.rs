//! Polling of side processes for their load, and detection of frozen ones.
//!
//! Ends of online attempts also carry a load report, so most polls would return
//! nothing new. With many connections, they would be most of a daemon's control
//! traffic. The poll interval therefore grows with the number of connections, so
//! that all polls together stay within a bandwidth budget. A side process that
//! has work but sends nothing is polled after a short timeout, however many
//! connections there are.

use super::Notify;
use super::message::EntryNotice;
use crate::convert;
use crate::side_capnp as wire;
use bluebellreel_types::WorkerName;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Minimum interval between two polls of a side process.
const MIN_LOAD_PERIOD: Duration = Duration::from_secs(3);
/// Size of a poll's request and response on the wire, including headers.
const POLL_BYTES: u32 = 600;
/// Bandwidth that a daemon spends on polls, in bytes per second.
const POLL_BUDGET_BYTES_PER_S: u32 = 2_000;
/// Poll interval of a side process that reported no models: its backend server,
/// or the side process itself, may just be starting.
const EMPTY_LOAD_PERIOD: Duration = Duration::from_millis(300);
/// Time without activity after which a side process that may have work of this
/// daemon is polled, and the timeout of a poll's response. Guards against a frozen
/// side process: its socket stays open, and a caller would wait until the
/// deadline.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after its last activity during which a side process may still have batch
/// items.
const BATCH_ACTIVITY_WINDOW: Duration = Duration::from_secs(30);
/// Interval between two checks of whether a poll is due.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Number of connections that the daemon keeps.
#[derive(Debug, Default)]
pub(super) struct LinkCount(pub(super) Cell<u32>);

impl LinkCount {
    /// Interval between two polls of a side process, given this many connections.
    fn period(&self) -> Duration {
        let all = self.0.get().saturating_mul(POLL_BYTES);
        MIN_LOAD_PERIOD.max(Duration::from_secs(u64::from(
            all / POLL_BUDGET_BYTES_PER_S,
        )))
    }
}

/// Activity on one connection.
#[derive(Debug)]
pub(super) struct Liveness {
    links: Rc<LinkCount>,
    /// When the side process last made a call, or an online attempt was sent while
    /// none was in flight. `None` before either.
    last_activity: Cell<Option<Instant>>,
    /// Number of online attempts in flight.
    in_flight: Cell<u32>,
}

/// Counts an online attempt as in flight until it is dropped.
pub(super) struct AttemptInFlight<'a>(&'a Liveness);

impl Drop for AttemptInFlight<'_> {
    fn drop(&mut self) {
        self.0
            .in_flight
            .set(self.0.in_flight.get().saturating_sub(1));
    }
}

impl Liveness {
    pub(super) fn new(links: Rc<LinkCount>) -> Self {
        Self {
            links,
            last_activity: Cell::new(None),
            in_flight: Cell::new(0),
        }
    }

    /// Records that the side process made a call.
    pub(super) fn record_activity(&self) {
        self.last_activity.set(Some(Instant::now()));
    }

    /// Counts an online attempt as in flight until the guard is dropped.
    pub(super) fn begin_attempt(&self) -> AttemptInFlight<'_> {
        if self.in_flight.get() == 0 {
            // The silence timeout starts now, not at the last activity before.
            self.record_activity();
        }
        self.in_flight.set(self.in_flight.get() + 1);
        AttemptInFlight(self)
    }

    /// Whether a poll is due now, when the last one was sent at `polled_at`.
    fn is_due(&self, polled_at: Instant, now: Instant) -> bool {
        let since = now.saturating_duration_since(polled_at);
        let is_silent = self.last_activity.get().is_some_and(|last_activity| {
            let quiet = now.saturating_duration_since(last_activity);
            let may_have_work = self.in_flight.get() > 0 || quiet < BATCH_ACTIVITY_WINDOW;
            may_have_work && quiet >= SILENCE_TIMEOUT && since >= SILENCE_TIMEOUT
        });
        is_silent || since >= self.links.period()
    }
}

/// Polls the load. Returns when a poll fails or times out.
pub(super) async fn poll_load(
    worker: &WorkerName,
    client: &wire::side::Client,
    notify: &Notify,
    liveness: &Liveness,
) {
    loop {
        let polled_at = Instant::now();
        let call = client.load_request().send().promise;
        let Ok(Ok(answer)) = tokio::time::timeout(SILENCE_TIMEOUT, call).await else {
            return;
        };
        let load = answer
            .get()
            .and_then(wire::side::load_results::Reader::get_load)
            .and_then(convert::read_load);
        let Ok(load) = load else { return };
        let is_empty = load.models.is_empty();
        let worker = worker.clone();
        notify(EntryNotice::Load { worker, load });
        if is_empty {
            tokio::time::sleep(EMPTY_LOAD_PERIOD).await;
            continue;
        }
        while !liveness.is_due(polled_at, Instant::now()) {
            tokio::time::sleep(POLL_CHECK_INTERVAL).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn liveness(links: u32) -> (Liveness, Instant) {
        let liveness = Liveness::new(Rc::new(LinkCount(Cell::new(links))));
        (liveness, Instant::now())
    }

    #[test]
    fn load_polling_stays_within_budget_as_connections_grow() {
        for links in [1, 13, 305, 1_900] {
            let count = LinkCount(Cell::new(links));
            let period = count.period().as_secs_f64();
            let bytes = f64::from(links * POLL_BYTES) / period;
            assert!(period >= 3.0);
            assert!(
                bytes <= f64::from(POLL_BUDGET_BYTES_PER_S) * 1.4,
                "{links}: {bytes} B/s"
            );
        }
    }

    /// Guards against a side process that freezes with a caller's request: its
    /// socket stays open, and with 305 connections the next regular poll is over a
    /// minute away.
    #[test]
    fn silent_side_process_with_attempt_in_flight_is_polled_soon() {
        let (liveness, start) = liveness(305);
        let in_flight = liveness.begin_attempt();
        let soon = Instant::now() + SILENCE_TIMEOUT;
        assert!(liveness.is_due(start, soon));
        drop(in_flight);
        liveness.last_activity.set(Some(start));
        let polled_at = start + BATCH_ACTIVITY_WINDOW;
        let later = polled_at + SILENCE_TIMEOUT;
        assert!(
            !liveness.is_due(polled_at, later),
            "an idle side process is not polled early"
        );
    }

    /// Arriving tokens show that a side process is alive, so no poll is needed.
    #[test]
    fn active_side_process_is_not_polled() {
        let (liveness, start) = liveness(305);
        let _in_flight = liveness.begin_attempt();
        let now = start + Duration::from_secs(20);
        liveness.last_activity.set(Some(now));
        assert!(!liveness.is_due(start, now + Duration::from_secs(1)));
    }
}
