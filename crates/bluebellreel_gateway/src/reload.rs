//! Settings that change while the daemon runs.
//!
//! The file may change with or without a signal. What can be taken over at once
//! is; the rest waits for the next start, and the log names it.

use crate::gateway::Gateway;
use crate::millis::millis;
use bluebellreel_settings::{GatewaySettings, SettingsError};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time between reads of the file, which has some hundred bytes.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// What a daemon gets from the program around it.
pub struct ProcessHooks {
    /// Number of log lines that were dropped so far.
    pub lines_dropped: Box<dyn Fn() -> u64>,
    /// Reads the settings anew.
    pub read_settings: Box<dyn Fn() -> Result<GatewaySettings, SettingsError>>,
    /// Woken when a signal says that the settings have changed.
    pub settings_changed: Rc<Notify>,
}

impl ProcessHooks {
    /// Surroundings in which nothing changes, for embedded daemons.
    #[must_use]
    pub fn fixed(settings: &GatewaySettings) -> Self {
        let settings = settings.clone();
        Self {
            lines_dropped: Box::new(|| 0),
            read_settings: Box::new(move || Ok(settings.clone())),
            settings_changed: Rc::default(),
        }
    }
}

/// Follows the settings file for ever.
pub(crate) async fn follow_settings(gw: Rc<Gateway>, hooks: Rc<ProcessHooks>) {
    let mut known = gw.settings.clone();
    let mut known_error = String::new();
    loop {
        let changed = timeout(CHECK_INTERVAL, hooks.settings_changed.notified()).await;
        let signalled = changed.is_ok();
        match (hooks.read_settings)() {
            Ok(read) => {
                known_error.clear();
                if signalled || read != known {
                    apply(&gw, &read, signalled);
                    known = read;
                }
            }
            Err(e) => {
                let e = e.to_string();
                if signalled || e != known_error {
                    warn!(target: "gateway", signalled, error = e.as_str(); "settings not taken");
                    known_error = e;
                }
            }
        }
    }
}

fn apply(gw: &Gateway, read: &GatewaySettings, signalled: bool) {
    let start_needed_for = gw.settings.start_needed_for(read).join(" ");
    gw.seeds.replace(read.seeds.clone());
    gw.grace.set(read.grace);
    gw.report_due.notify_one();
    info!(target: "gateway", signalled, seeds = read.seeds.len(), grace_ms = millis(read.grace), start_needed_for = start_needed_for.as_str(); "settings reloaded");
}
