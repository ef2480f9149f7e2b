//! Handling of termination and reload signals, from the start of a process.
//!
//! Before its event loop runs, a process has accepted no work: SIGTERM and SIGINT end it
//! at once, with the exit code of a clean stop, and SIGHUP, which announces changed
//! settings, is ignored because the settings have yet to be read. Without handlers,
//! SIGHUP would kill the process, and SIGTERM would end it with a status that looks
//! like a crash. Once the event loop waits for signals, it controls the shutdown.
//!
//! ```no_run
//! # fn main() -> std::io::Result<()> {
//! bluebellreel_signals::install_handlers()?;
//! // Read the settings and start logging.
//! let runtime = tokio::runtime::Builder::new_current_thread()
//!     .enable_all()
//!     .build()?;
//! runtime.block_on(async {
//!     let stop_requested = bluebellreel_signals::stop_requested(|| println!("settings changed"))?;
//!     stop_requested.await;
//!     Ok(())
//! })
//! # }
//! ```

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code of a stop that interrupted no work.
const CLEAN: i32 = 0;

/// Whether SIGTERM and SIGINT still end the process at once. Static because signal
/// handlers belong to the whole process.
static BEFORE_LOOP: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Installs the signal handlers. Must be the first step of a program.
///
/// # Errors
///
/// Returns the system's error if a handler cannot be installed.
pub fn install_handlers() -> io::Result<()> {
    let before_loop = Arc::new(AtomicBool::new(true));
    if BEFORE_LOOP.set(before_loop.clone()).is_err() {
        return Ok(());
    }
    // The flag is never read: any handler keeps SIGHUP from killing the process.
    flag::register(SIGHUP, Arc::default())?;
    for stop_signal in [SIGTERM, SIGINT] {
        flag::register_conditional_shutdown(stop_signal, CLEAN, before_loop.clone())?;
    }
    Ok(())
}

/// Completes when SIGTERM or SIGINT arrives, and calls `settings_changed` at each
/// SIGHUP until then. After this call no signal ends the process by itself, not
/// even a second SIGTERM or SIGINT. Must be called within a runtime with I/O
/// enabled.
///
/// # Errors
///
/// Returns the system's error if a handler cannot be installed.
pub fn stop_requested(mut settings_changed: impl FnMut()) -> io::Result<impl Future<Output = ()>> {
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Must follow the registration above: a signal between the two steps would be
    // handled by neither.
    if let Some(before_loop) = BEFORE_LOOP.get() {
        before_loop.store(false, Ordering::SeqCst);
    }
    Ok(async move {
        loop {
            tokio::select! {
                _ = hang_up.recv() => settings_changed(),
                _ = terminate.recv() => return,
                _ = interrupt.recv() => return,
            }
        }
    })
}
