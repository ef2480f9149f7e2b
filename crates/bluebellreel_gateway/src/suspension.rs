//! How long this VM has been suspended since it booted.
//!
//! A VM may stand still for seconds. Its steady clock does not show that, while
//! leases end and peers take its jobs over; the boot-time clock goes on.

use log::warn;
use nix::time::{ClockId, clock_gettime};
use std::sync::Once;
use std::time::Duration;

static CLOCK_WARNING: Once = Once::new();

/// Time that the steady clock has missed.
pub(crate) fn time_suspended() -> Duration {
    let read = |clock: ClockId| clock_gettime(clock).map(Duration::from);
    let steady = read(ClockId::CLOCK_MONOTONIC);
    let booted = read(ClockId::CLOCK_BOOTTIME);
    match (steady, booted) {
        (Ok(steady), Ok(booted)) => booted.saturating_sub(steady),
        (Err(e), _) | (_, Err(e)) => {
            // Suspensions then show by failed renewals only, seconds late.
            CLOCK_WARNING.call_once(|| warn!(target: "gateway", error:% = e; "clock not read"));
            Duration::ZERO
        }
    }
}
