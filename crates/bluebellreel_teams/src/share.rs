//! The share of all rate limits that this gateway and the peers it hears may use.

use bluebellreel_types::Moment;
use std::time::Duration;

/// Silence after which a peer is assumed to use its own share of each limit. Peers report
/// at least four times a second.
pub const PEER_SILENCE: Duration = Duration::from_millis(400);
/// Pause of the updates that shows that the VM was suspended.
const MAX_UPDATE_PAUSE: Duration = Duration::from_millis(1500);

/// The share, and the time that counts for filling buckets: the integral of the share.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    /// Zero until the number of gateways is known.
    current: f64,
    /// Seconds since the start, weighted with the share.
    filled: f64,
    /// When the share was first unknown, until it is known for the first time.
    unknown_since: Option<Moment>,
    updated: Option<Moment>,
}

/// How the buckets change with an update of the share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ShareChange {
    /// They keep their tokens.
    Keep,
    /// They keep this part of their tokens: silent peers may use the rest.
    Scale(f64),
    /// They lose all tokens.
    Empty,
}

impl Share {
    pub(crate) fn current(&self) -> f64 {
        self.current
    }

    /// Seconds by which buckets are filled.
    pub(crate) fn filled(&self) -> f64 {
        self.filled
    }

    /// Sets the share from now on.
    pub(crate) fn update(&mut self, share: f64, now: Moment) -> ShareChange {
        let is_first = self.updated.is_none();
        let pause = now.since(self.updated.unwrap_or(now));
        self.updated = Some(now);
        if is_first {
            self.unknown_since = Some(now);
        }
        if share > 0.0
            && let Some(since) = self.unknown_since.take()
        {
            // Nothing has been admitted since the start.
            self.filled += share * now.since(since).as_secs_f64();
            self.current = share;
            return ShareChange::Keep;
        }
        if pause > MAX_UPDATE_PAUSE {
            self.current = share;
            return ShareChange::Empty;
        }
        self.filled += self.current.min(share) * pause.as_secs_f64();
        let before = std::mem::replace(&mut self.current, share);
        if share < before {
            ShareChange::Scale(share / before)
        } else {
            ShareChange::Keep
        }
    }
}
