//! When a side process is asked for its load.
//!
//! Load also rides on the ends of online attempts, so most questions would tell
//! nothing new; with many connections they would be most of a daemon's control
//! traffic. The pause between two questions grows with the number of
//! connections, so that all of them together stay within a budget. Silence is
//! another matter: where work is out and nothing is heard, the question comes
//! soon, however many connections there are.

use super::Notify;
use super::message::EntryNotice;
use crate::convert;
use crate::side_capnp as wire;
use bluebellreel_types::WorkerName;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Shortest pause between two questions.
const LOAD_PERIOD: Duration = Duration::from_secs(3);
/// Bytes that a question and its answer take on the wire, headers included.
const QUESTION_BYTES: u32 = 600;
/// Bytes a second that a daemon spends on questions.
const BUDGET: u32 = 2_000;
/// How soon a side process is asked again that told of no model: its backend
/// server may just be starting, or the process itself.
const EMPTY_LOAD_PERIOD: Duration = Duration::from_millis(300);
/// Silence after which a side process that has work of ours is asked; and how
/// long its answer may take. Guards against a frozen one, whose socket stays
/// open: a caller would wait for it until the deadline.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// How long after the last word a side process may still have batch items.
const QUIET_AFTER: Duration = Duration::from_secs(30);
/// Between two looks at whether to ask.
const LOOK: Duration = Duration::from_millis(300);

/// How many connections the daemon holds.
#[derive(Debug, Default)]
pub(super) struct LinkCount(pub(super) Cell<u32>);

impl LinkCount {
    /// The pause between two questions to one of so many.
    fn period(&self) -> Duration {
        let all = self.0.get().saturating_mul(QUESTION_BYTES);
        LOAD_PERIOD.max(Duration::from_secs(u64::from(all / BUDGET)))
    }
}

/// What is known of a connection's liveliness.
#[derive(Debug)]
pub(super) struct Pulse {
    links: Rc<LinkCount>,
    /// None before the first word of its own.
    heard_at: Cell<Option<Instant>>,
    out: Cell<u32>,
}

/// An online attempt that is out over a connection.
pub(super) struct Out<'a>(&'a Pulse);

impl Drop for Out<'_> {
    fn drop(&mut self) {
        self.0.out.set(self.0.out.get().saturating_sub(1));
    }
}

impl Pulse {
    pub(super) fn new(links: Rc<LinkCount>) -> Self {
        Self {
            links,
            heard_at: Cell::new(None),
            out: Cell::new(0),
        }
    }

    /// The side process has spoken of its own.
    pub(super) fn note_heard(&self) {
        self.heard_at.set(Some(Instant::now()));
    }

    /// An online attempt goes out, until the guard is dropped.
    pub(super) fn note_out(&self) -> Out<'_> {
        if self.out.get() == 0 {
            // Silence counts from here, not from long before.
            self.note_heard();
        }
        self.out.set(self.out.get() + 1);
        Out(self)
    }

    /// Whether to ask now, after a question at `asked_at`.
    fn is_due(&self, asked_at: Instant, now: Instant) -> bool {
        let since = now.saturating_duration_since(asked_at);
        let worth_a_look = self.heard_at.get().is_some_and(|heard_at| {
            let quiet = now.saturating_duration_since(heard_at);
            let may_hold_work = self.out.get() > 0 || quiet < QUIET_AFTER;
            may_hold_work && quiet >= SILENCE_LIMIT && since >= SILENCE_LIMIT
        });
        worth_a_look || since >= self.links.period()
    }
}

/// Asks for the load until an answer fails or stays out.
pub(super) async fn watch_load(
    worker: &WorkerName,
    client: &wire::side::Client,
    notify: &Notify,
    pulse: &Pulse,
) {
    loop {
        let asked_at = Instant::now();
        let call = client.load_request().send().promise;
        let Ok(Ok(answer)) = tokio::time::timeout(SILENCE_LIMIT, call).await else {
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
        while !pulse.is_due(asked_at, Instant::now()) {
            tokio::time::sleep(LOOK).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pulse(links: u32) -> (Pulse, Instant) {
        let pulse = Pulse::new(Rc::new(LinkCount(Cell::new(links))));
        (pulse, Instant::now())
    }

    #[test]
    fn questions_stay_within_their_budget_as_connections_grow() {
        for links in [1, 13, 305, 1_900] {
            let count = LinkCount(Cell::new(links));
            let period = count.period().as_secs_f64();
            let bytes = f64::from(links * QUESTION_BYTES) / period;
            assert!(period >= 3.0);
            assert!(bytes <= f64::from(BUDGET) * 1.4, "{links}: {bytes} B/s");
        }
    }

    /// A side process froze with a caller's request. Its socket stays open, and
    /// with 305 connections the next question was over a minute away.
    #[test]
    fn silence_with_work_out_is_looked_into_soon() {
        let (pulse, start) = pulse(305);
        let out = pulse.note_out();
        let soon = Instant::now() + SILENCE_LIMIT;
        assert!(pulse.is_due(start, soon));
        drop(out);
        pulse.heard_at.set(Some(start));
        let asked_at = start + QUIET_AFTER;
        let later = asked_at + SILENCE_LIMIT;
        assert!(!pulse.is_due(asked_at, later), "idle: no hurry");
    }

    /// Tokens that arrive show that a side process lives: nothing to ask.
    #[test]
    fn talking_side_process_is_not_asked() {
        let (pulse, start) = pulse(305);
        let _out = pulse.note_out();
        let now = start + Duration::from_secs(20);
        pulse.heard_at.set(Some(now));
        assert!(!pulse.is_due(start, now + Duration::from_secs(1)));
    }
}
