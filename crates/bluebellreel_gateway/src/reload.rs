//! Reloads the settings while the daemon runs.
//!
//! The settings file is read at an interval and on a signal. Settings that can change
//! at run time are applied at once. Others take effect at the next start, and the log
//! names them.

use crate::gateway::Gateway;
use crate::millis::millis;
use bluebellreel_settings::{GatewaySettings, SettingsError};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Interval between reads of the settings file, which has a few hundred bytes.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Callbacks that the embedding process provides to the daemon.
pub struct ProcessHooks {
    /// Returns the number of log lines dropped so far.
    pub lines_dropped: Box<dyn Fn() -> u64>,
    /// Reads the settings again.
    pub read_settings: Box<dyn Fn() -> Result<GatewaySettings, SettingsError>>,
    /// Notified when a signal announces that the settings have changed.
    pub settings_changed: Rc<Notify>,
}

impl ProcessHooks {
    /// Hooks whose settings never change, for daemons embedded in other programs.
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

/// Applies changes of the settings file, forever.
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
