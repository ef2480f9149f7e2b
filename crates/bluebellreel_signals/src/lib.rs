//! Signals that ask a process to stop, from its first moment on.
//!
//! A process has two phases. Before its loop runs it has taken nothing: SIGTERM
//! and SIGINT end it at once, with the exit code of a stop that cut nothing, and
//! SIGHUP, which says that the settings have changed, does nothing, as they are
//! about to be read. Without handlers SIGHUP would kill it and SIGTERM end it as
//! a crash does. Once the loop waits for signals, it decides what a stop takes.
//!
//! ```no_run
//! # fn main() -> std::io::Result<()> {
//! bluebellreel_signals::take()?;
//! // Settings are read, logs started.
//! let runtime = tokio::runtime::Builder::new_current_thread()
//!     .enable_all()
//!     .build()?;
//! runtime.block_on(async {
//!     let stop_asked = bluebellreel_signals::stop_asked(|| println!("settings changed"))?;
//!     stop_asked.await;
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

/// Exit code of a stop that cut nothing.
const CLEAN: i32 = 0;

/// Whether a stop still ends the process at once. Signals belong to the whole
/// process, and so does this.
static BEFORE_LOOP: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// Handles signals from now on: the first step of a program.
///
/// # Errors
///
/// Gives the system's error when a signal cannot be handled.
pub fn take() -> io::Result<()> {
    let before_loop = Arc::new(AtomicBool::new(true));
    if BEFORE_LOOP.set(before_loop.clone()).is_err() {
        return Ok(());
    }
    // Nobody reads this: a handler of whatever kind keeps SIGHUP from killing.
    flag::register(SIGHUP, Arc::default())?;
    for asks in [SIGTERM, SIGINT] {
        flag::register_conditional_shutdown(asks, CLEAN, before_loop.clone())?;
    }
    Ok(())
}

/// Ends when a signal asks for the end, and calls `settings_changed` at each SIGHUP until
/// then. From this call on no signal ends the process, also not a second one. To
/// be called on a runtime with I/O.
///
/// # Errors
///
/// Gives the system's error when a signal cannot be handled.
pub fn stop_requested(mut settings_changed: impl FnMut()) -> io::Result<impl Future<Output = ()>> {
    let mut hang_up = signal(SignalKind::hangup())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Only now: a signal between the two would be seen by neither.
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
