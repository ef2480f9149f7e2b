//! Measures how long this VM has been suspended since it booted.
//!
//! A VM may be suspended for seconds, during which leases expire and peers take over
//! its jobs. The monotonic clock does not advance meanwhile; the boot-time clock does.

use log::warn;
use nix::time::{ClockId, clock_gettime};
use std::sync::Once;
use std::time::Duration;

static CLOCK_WARNING: Once = Once::new();

/// The difference between the boot-time clock and the monotonic clock.
pub(crate) fn time_suspended() -> Duration {
    let read = |clock: ClockId| clock_gettime(clock).map(Duration::from);
    let monotonic = read(ClockId::CLOCK_MONOTONIC);
    let boot_time = read(ClockId::CLOCK_BOOTTIME);
    match (monotonic, boot_time) {
        (Ok(monotonic), Ok(boot_time)) => boot_time.saturating_sub(monotonic),
        (Err(e), _) | (_, Err(e)) => {
            // Without the clocks a suspension is noticed only by a failed lease
            // renewal, seconds late.
            CLOCK_WARNING.call_once(|| warn!(target: "gateway", error:% = e; "clock not read"));
            Duration::ZERO
        }
    }
}
