//! The order of a graceful stop.
//!
//! Nothing new is taken from the first moment on, and the actor says so until
//! the last. What runs finishes; then the entries hear of the stop and what is
//! under way arrives; then, after a quiet while, the process ends.

use std::time::{Duration, Instant};

/// Quiet before the end: longer than a word takes within a data centre and
/// between two.
const LINGER: Duration = Duration::from_millis(200);
/// Longest time for the entries to hear of the stop: longer than the three
/// seconds after which an entry of a small site asks for the load.
const TELL_TIME: Duration = Duration::from_secs(5);

/// How things stand at one look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Look {
    /// Nothing runs or waits.
    pub(crate) idle: bool,
    /// Nothing is under way, and all entries know.
    pub(crate) settled: bool,
    /// An attempt or items have come since the last look.
    pub(crate) heard: bool,
}

/// What a look leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Not yet.
    GoOn,
    /// The process ends and cuts nothing.
    Done,
    /// The deadline has come with work in progress.
    Cut,
}

/// A stop that goes on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    ends_at: Instant,
    told_by: Option<Instant>,
    quiet_since: Option<Instant>,
}

impl Stop {
    pub(crate) fn new(ends_at: Instant) -> Self {
        Self {
            ends_at,
            told_by: None,
            quiet_since: None,
        }
    }

    /// Looks whether the process may end.
    pub(crate) fn look(&mut self, look: Look, now: Instant) -> Verdict {
        let is_late = now >= self.ends_at;
        if !look.idle {
            self.quiet_since = None;
            return if is_late { Verdict::Cut } else { Verdict::GoOn };
        }
        if is_late {
            return Verdict::Done;
        }
        let told_by = *self.told_by.get_or_insert(now + TELL_TIME);
        if look.heard || !look.settled && now < told_by {
            self.quiet_since = None;
            return Verdict::GoOn;
        }
        let quiet_since = *self.quiet_since.get_or_insert(now);
        if now.saturating_duration_since(quiet_since) < LINGER {
            return Verdict::GoOn;
        }
        Verdict::Done
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BUSY: Look = Look {
        idle: false,
        settled: false,
        heard: false,
    };
    const IDLE: Look = Look { idle: true, ..BUSY };
    const SETTLED: Look = Look {
        settled: true,
        ..IDLE
    };
    const HEARD: Look = Look {
        heard: true,
        ..SETTLED
    };

    /// An attempt came in the quiet while before the end: its answer gets a
    /// quiet while of its own.
    #[test]
    fn ends_after_a_quiet_while_only() {
        let start = Instant::now();
        let mut stop = Stop::new(start + Duration::from_mins(1));
        let mut now = start;
        for (look, verdict) in [
            (BUSY, Verdict::GoOn),
            (IDLE, Verdict::GoOn),
            (SETTLED, Verdict::GoOn),
            (HEARD, Verdict::GoOn),
            (SETTLED, Verdict::GoOn),
            (SETTLED, Verdict::Done),
        ] {
            assert_eq!(stop.look(look, now), verdict, "{look:?}");
            now += LINGER;
        }
    }

    /// An entry is frozen and hears nothing: the process ends all the same.
    #[test]
    fn entries_that_do_not_hear_are_not_waited_for_for_ever() {
        let start = Instant::now();
        let mut stop = Stop::new(start + Duration::from_mins(1));
        assert_eq!(stop.look(IDLE, start), Verdict::GoOn);
        let late = start + TELL_TIME;
        assert_eq!(stop.look(IDLE, late), Verdict::GoOn);
        assert_eq!(stop.look(IDLE, late + LINGER), Verdict::Done);
    }

    #[test]
    fn deadline_cuts_what_runs_and_nothing_else() {
        let start = Instant::now();
        assert_eq!(Stop::new(start).look(BUSY, start), Verdict::Cut);
        assert_eq!(Stop::new(start).look(IDLE, start), Verdict::Done);
    }
}
