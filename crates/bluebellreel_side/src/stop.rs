//! The phases of a graceful stop.
//!
//! From the start of the stop until the process ends, the actor refuses new work
//! and answers that it is leaving. First, running attempts finish. Then all entry
//! daemons are notified of the stop and messages in transit are delivered. The
//! process ends after a period in which no new work arrives.

use std::time::{Duration, Instant};

/// Time without new work before the process ends. Longer than a message takes
/// within a data centre or between two.
const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Maximum time that the process waits for entry daemons to be notified of the
/// stop. Longer than the three seconds after which an entry daemon of a small
/// site requests the load.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(5);

/// The state of the process during a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopStatus {
    /// No attempt is running or queued, and no report is unsent.
    pub(crate) idle: bool,
    /// No message to or from an entry daemon is in transit, and all connected
    /// entry daemons have been notified of the stop.
    pub(crate) settled: bool,
    /// An attempt or batch items have arrived since the last check.
    pub(crate) received_work: bool,
}

/// What the process does after a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopDecision {
    /// Keep running.
    Wait,
    /// End the process; no attempt is interrupted.
    Finish,
    /// End the process at the deadline although attempts are running.
    Interrupt,
}

/// A graceful stop in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    deadline: Instant,
    /// End of the wait for notifications, set when the process is first idle.
    notify_deadline: Option<Instant>,
    /// Start of the current period without new work.
    quiet_since: Option<Instant>,
}

impl Stop {
    pub(crate) fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            notify_deadline: None,
            quiet_since: None,
        }
    }

    /// Decides whether the process may end.
    pub(crate) fn evaluate(&mut self, status: StopStatus, now: Instant) -> StopDecision {
        let is_late = now >= self.deadline;
        if !status.idle {
            self.quiet_since = None;
            return if is_late {
                StopDecision::Interrupt
            } else {
                StopDecision::Wait
            };
        }
        if is_late {
            return StopDecision::Finish;
        }
        let notify_deadline = *self.notify_deadline.get_or_insert(now + NOTIFY_TIMEOUT);
        if status.received_work || !status.settled && now < notify_deadline {
            self.quiet_since = None;
            return StopDecision::Wait;
        }
        let quiet_since = *self.quiet_since.get_or_insert(now);
        if now.saturating_duration_since(quiet_since) < QUIET_PERIOD {
            return StopDecision::Wait;
        }
        StopDecision::Finish
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BUSY: StopStatus = StopStatus {
        idle: false,
        settled: false,
        received_work: false,
    };
    const IDLE: StopStatus = StopStatus { idle: true, ..BUSY };
    const SETTLED: StopStatus = StopStatus {
        settled: true,
        ..IDLE
    };
    const WORK_RECEIVED: StopStatus = StopStatus {
        received_work: true,
        ..SETTLED
    };

    /// An attempt arrives in the quiet period before the end. A new quiet period
    /// must start, so that its answer can be delivered.
    #[test]
    fn finishes_only_after_quiet_period() {
        let start = Instant::now();
        let mut stop = Stop::new(start + Duration::from_mins(1));
        let mut now = start;
        for (status, decision) in [
            (BUSY, StopDecision::Wait),
            (IDLE, StopDecision::Wait),
            (SETTLED, StopDecision::Wait),
            (WORK_RECEIVED, StopDecision::Wait),
            (SETTLED, StopDecision::Wait),
            (SETTLED, StopDecision::Finish),
        ] {
            assert_eq!(stop.evaluate(status, now), decision, "{status:?}");
            now += QUIET_PERIOD;
        }
    }

    /// A frozen entry daemon cannot be notified. The process must end
    /// nevertheless.
    #[test]
    fn unresponsive_entry_does_not_block_stop() {
        let start = Instant::now();
        let mut stop = Stop::new(start + Duration::from_mins(1));
        assert_eq!(stop.evaluate(IDLE, start), StopDecision::Wait);
        let late = start + NOTIFY_TIMEOUT;
        assert_eq!(stop.evaluate(IDLE, late), StopDecision::Wait);
        assert_eq!(
            stop.evaluate(IDLE, late + QUIET_PERIOD),
            StopDecision::Finish
        );
    }

    #[test]
    fn deadline_interrupts_only_running_attempts() {
        let start = Instant::now();
        assert_eq!(
            Stop::new(start).evaluate(BUSY, start),
            StopDecision::Interrupt
        );
        assert_eq!(Stop::new(start).evaluate(IDLE, start), StopDecision::Finish);
    }
}
