//! Settings of a gateway: an entry daemon that sends requests directly to workers and
//! stores its persistent state in the platform's store.

use crate::machine::RawMachine;
use crate::scheduling::{RawScheduling, Scheduling};
use crate::vm::{self, RawPeers, RawStop, RawVm};
use crate::{Machine, SettingsError};
use bluebellreel_teams::Tolerance;
use bluebellreel_types::{DataCentre, EntryName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Checked settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The gateway's name, unique in the fleet.
    pub name: EntryName,
    /// The data centre that the gateway runs in.
    pub data_centre: DataCentre,
    /// The address for callers.
    pub requests: SocketAddr,
    /// The address at which the balancer checks whether the gateway is ready.
    pub readiness: SocketAddr,
    /// The address for calls of peers.
    pub peers: SocketAddr,
    /// The UDP address for reports of peers. The port is the same on all VMs.
    pub reports: SocketAddr,
    /// The addresses advertised to peers.
    pub advertise: Advertise,
    /// The address on which metrics are served.
    pub metrics: SocketAddr,
    /// Peers to contact at the start. The list may be stale, and the peers may be down.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole installation starts for the first time.
    pub first_start: bool,
    /// The address of the store.
    pub store: SocketAddr,
    /// Limit of the store on the size of a value, in bytes.
    pub value_bytes: usize,
    /// Shortest time to live of a lease that the store grants.
    pub min_lease_ttl: Duration,
    /// Time from SIGTERM until the process is killed.
    pub grace: Duration,
    /// Limit on the time from a job's cancellation until none of its items starts any
    /// more.
    pub cancel_within: Duration,
    /// Limit on the time from the revocation of a key until it opens nothing any more, on
    /// any gateway; none if gateways that are cut off go on to accept the keys they know.
    pub revoke_within: Option<Duration>,
    /// By how much a team may exceed its rate limit over all gateways.
    pub rate_tolerance: Tolerance,
    /// Scheduling features that are on.
    pub scheduling: Scheduling,
    /// The machine that the gateway runs on.
    pub machine: Machine,
}

/// Addresses that are advertised to peers instead of the listening ones, as needed
/// behind address translation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Advertise {
    /// Replaces [`GatewaySettings::peers`].
    pub peers: Option<SocketAddr>,
    /// Replaces [`GatewaySettings::reports`].
    pub reports: Option<SocketAddr>,
}

impl Advertise {
    fn checked(self, file: &str) -> Result<Self, SettingsError> {
        let keys = [
            ("advertise.peers", self.peers),
            ("advertise.reports", self.reports),
        ];
        for (key, address) in keys {
            if address.is_some_and(|a| a.port() == 0 || a.ip().is_unspecified()) {
                let reason = "must be an address that peers can reach";
                return Err(SettingsError::new(file, key, reason));
            }
        }
        Ok(self)
    }
}

impl GatewaySettings {
    /// The address to which peers send their calls.
    #[must_use]
    pub fn advertised_peers(&self) -> SocketAddr {
        self.advertise.peers.unwrap_or(self.peers)
    }

    /// The address to which peers send their reports.
    #[must_use]
    pub fn advertised_reports(&self) -> SocketAddr {
        self.advertise.reports.unwrap_or(self.reports)
    }

    /// Keys whose values differ in `other` and take effect only after a restart.
    /// Changes of `peers.seeds` and `stop.grace_s` take effect at once.
    #[must_use]
    pub fn start_needed_for(&self, other: &Self) -> Vec<&'static str> {
        let store = |s: &Self| (s.store, s.value_bytes, s.min_lease_ttl);
        let pairs = [
            ("vm.name", self.name != other.name),
            ("vm.data_centre", self.data_centre != other.data_centre),
            ("listen.requests", self.requests != other.requests),
            ("listen.readiness", self.readiness != other.readiness),
            ("listen.peers", self.peers != other.peers),
            ("listen.reports_port", self.reports != other.reports),
            ("listen.metrics_port", self.metrics != other.metrics),
            ("advertise", self.advertise != other.advertise),
            ("store", store(self) != store(other)),
            (
                "jobs.cancel_within_ms",
                self.cancel_within != other.cancel_within,
            ),
            (
                "teams.revoke_within_ms",
                self.revoke_within != other.revoke_within,
            ),
            (
                "teams.rate_window_s, teams.rate_excess, teams.rate_slack",
                self.rate_tolerance != other.rate_tolerance,
            ),
            ("scheduling", self.scheduling != other.scheduling),
            ("machine", self.machine != other.machine),
        ];
        let differ = pairs.into_iter().filter(|(_, differs)| *differs);
        differ.map(|(key, _)| key).collect()
    }
}

#[derive(Deserialize)]
struct Raw {
    vm: RawVm,
    listen: RawListen,
    #[serde(default)]
    advertise: Advertise,
    #[serde(default)]
    peers: RawPeers,
    store: RawStore,
    stop: RawStop,
    #[serde(default)]
    start: RawStart,
    #[serde(default)]
    jobs: RawJobs,
    #[serde(default)]
    teams: RawTeams,
    #[serde(default)]
    scheduling: RawScheduling,
    #[serde(default)]
    machine: RawMachine,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawStart {
    first: bool,
}

#[derive(Deserialize)]
struct RawListen {
    requests: SocketAddr,
    readiness: SocketAddr,
    peers: SocketAddr,
    reports_port: u16,
    metrics_port: u16,
}

#[derive(Deserialize)]
struct RawStore {
    address: SocketAddr,
    value_bytes: usize,
    shortest_lease_ms: u64,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawJobs {
    cancel_within_ms: f64,
}

impl Default for RawJobs {
    fn default() -> Self {
        Self {
            cancel_within_ms: DEFAULT_CANCEL_WITHIN_MS,
        }
    }
}

/// Default of `cancel_within_ms`.
const DEFAULT_CANCEL_WITHIN_MS: f64 = 3000.0;
/// Minimum of `cancel_within_ms`: an item that starts just before its job is cancelled takes
/// up to 500 ms to reach its worker, and a confirmation counts for at least 250 ms.
const MIN_CANCEL_WITHIN_MS: f64 = 750.0;
/// Limit on `cancel_within_ms`: an hour, longer than any sender tolerates for a
/// cancellation.
const MAX_CANCEL_WITHIN_MS: f64 = 3_600_000.0;

impl RawJobs {
    fn checked(&self, file: &str) -> Result<Duration, SettingsError> {
        let ms = self.cancel_within_ms;
        if !(MIN_CANCEL_WITHIN_MS..=MAX_CANCEL_WITHIN_MS).contains(&ms) {
            let reason = "must be from 750 to 3600000";
            return Err(SettingsError::new(file, "jobs.cancel_within_ms", reason));
        }
        Ok(Duration::from_secs_f64(ms / 1000.0))
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawTeams {
    revoke_within_ms: Option<f64>,
    rate_window_s: Option<f64>,
    rate_excess: Option<f64>,
    rate_slack: Option<f64>,
}

/// Minimum of `revoke_within_ms`: below it, gateways could not confirm the configuration
/// often enough.
const MIN_REVOKE_WITHIN_MS: f64 = 1000.0;
/// Maximum of `revoke_within_ms`: an hour.
const MAX_REVOKE_WITHIN_MS: f64 = 3_600_000.0;

/// Maximum of `rate_window_s`: a day.
const MAX_RATE_WINDOW_S: f64 = 86_400.0;
/// Maximum of `rate_excess` and of `rate_slack`.
const MAX_TOLERANCE: f64 = 1e6;

impl RawTeams {
    fn tolerance(&self, file: &str) -> Result<Tolerance, SettingsError> {
        let usual = Tolerance::default();
        let checked = |key: &str, value: Option<f64>, usual: f64, max: f64| {
            let value = value.unwrap_or(usual);
            if (0.0..=max).contains(&value) {
                return Ok(value);
            }
            let reason = format!("must be from 0 to {max}");
            Err(SettingsError::new(file, key, reason))
        };
        let window = usual.window.as_secs_f64();
        let window = checked(
            "teams.rate_window_s",
            self.rate_window_s,
            window,
            MAX_RATE_WINDOW_S,
        )?;
        Ok(Tolerance {
            window: Duration::from_secs_f64(window),
            excess: checked(
                "teams.rate_excess",
                self.rate_excess,
                usual.excess,
                MAX_TOLERANCE,
            )?,
            slack: checked(
                "teams.rate_slack",
                self.rate_slack,
                usual.slack,
                MAX_TOLERANCE,
            )?,
        })
    }

    fn revoke_within(&self, file: &str) -> Result<Option<Duration>, SettingsError> {
        let Some(ms) = self.revoke_within_ms else {
            return Ok(None);
        };
        if !(MIN_REVOKE_WITHIN_MS..=MAX_REVOKE_WITHIN_MS).contains(&ms) {
            let reason = "must be from 1000 to 3600000";
            return Err(SettingsError::new(file, "teams.revoke_within_ms", reason));
        }
        Ok(Some(Duration::from_secs_f64(ms / 1000.0)))
    }
}

/// Minimum value size of the store, into which the longest result of a batch item fits.
const MIN_VALUE_BYTES: usize = 64 * 1024;

/// Reads and checks the settings file of a gateway.
///
/// # Errors
///
/// Returns an error that names the file, the key and what is wrong.
pub fn load_gateway(path: &Path) -> Result<GatewaySettings, SettingsError> {
    vm::load(path, parse_gateway)
}

/// Checks the text of a gateway's settings; `file` names it in errors.
///
/// # Errors
///
/// Returns an error that names the file, the key and what is wrong.
pub fn parse_gateway(file: &str, text: &str) -> Result<GatewaySettings, SettingsError> {
    let raw: Raw = toml::from_str(text).map_err(|e| SettingsError::new(file, "", e.to_string()))?;
    let (name, data_centre) = raw.vm.checked(file)?;
    let grace = raw.stop.checked(file)?;
    let advertise = raw.advertise.checked(file)?;
    if raw.store.value_bytes < MIN_VALUE_BYTES {
        let reason = "must be 65536 or more";
        return Err(SettingsError::new(file, "store.value_bytes", reason));
    }
    let cancel_within = raw.jobs.checked(file)?;
    let revoke_within = raw.teams.revoke_within(file)?;
    let rate_tolerance = raw.teams.tolerance(file)?;
    let scheduling = raw.scheduling.checked(file)?;
    let machine = raw.machine.checked(file)?;
    Ok(GatewaySettings {
        name,
        data_centre,
        requests: raw.listen.requests,
        readiness: raw.listen.readiness,
        peers: raw.listen.peers,
        reports: SocketAddr::new(raw.vm.address, raw.listen.reports_port),
        advertise,
        metrics: SocketAddr::new(raw.vm.address, raw.listen.metrics_port),
        seeds: raw.peers.seeds,
        first_start: raw.start.first,
        store: raw.store.address,
        value_bytes: raw.store.value_bytes,
        min_lease_ttl: Duration::from_millis(raw.store.shortest_lease_ms),
        grace,
        cancel_within,
        revoke_within,
        rate_tolerance,
        scheduling,
        machine,
    })
}
