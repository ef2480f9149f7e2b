//! Settings of the entry daemon.

use crate::data::{DataSettings, RawData, check_data};
use crate::machine::RawMachine;
use crate::parts::Check;
use crate::{LogTarget, Machine, Principal, SettingsError, TokenTable, TraceTarget};
use bluebellreel_types::{DataCentre, EntryName, TeamName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEntry {
    name: String,
    data_centre: String,
    listen: String,
    platform: RawPlatform,
    #[serde(default)]
    deadlines: RawDeadlines,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    teams: Vec<RawToken>,
    #[serde(default)]
    operators: Vec<RawToken>,
    data: Option<RawData>,
    #[serde(default)]
    machine: RawMachine,
    #[serde(default)]
    log: LogTarget,
    #[serde(default)]
    trace: TraceTarget,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlatform {
    kv: String,
    vm_list: String,
    #[serde(default = "default_kv_calls")]
    kv_calls_per_second: u32,
}

fn default_kv_calls() -> u32 {
    100
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawDeadlines {
    online_ms: u64,
    first_token_ms: u64,
    batch_s: u64,
    lease_s: u64,
    notice_s: u64,
    stop_s: u64,
}

impl Default for RawDeadlines {
    fn default() -> Self {
        Self {
            online_ms: 30_000,
            first_token_ms: 1_200,
            batch_s: 86_400,
            lease_s: 5,
            notice_s: 3,
            stop_s: 30,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct RawLimits {
    body_bytes: usize,
    body_s: u64,
    job_bytes: usize,
    job_s: u64,
    job_items: usize,
    threads: usize,
    requests: usize,
    team_requests: usize,
    online_per_worker: u32,
    workers_whole: usize,
    workers_per_model: usize,
    jobs: usize,
    team_jobs: usize,
    keep_days: u64,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            body_s: 10,
            job_bytes: 128 << 20,
            job_s: 120,
            job_items: 64_000,
            threads: 1_024,
            requests: 4_096,
            team_requests: 256,
            online_per_worker: 32,
            workers_whole: 64,
            workers_per_model: 8,
            jobs: 20_000,
            team_jobs: 1_000,
            keep_days: 30,
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawToken {
    name: String,
    token_sha256: String,
}

/// Limits of an entry daemon.
#[derive(Clone, Debug)]
pub struct EntryLimits {
    /// Limit on the bytes of an online request's body.
    pub body_bytes: usize,
    /// Limit on the time to read an online request's body.
    pub body_time: Duration,
    /// Limit on the bytes of a job's body.
    pub job_bytes: usize,
    /// Limit on the time to read a job's body.
    pub job_time: Duration,
    /// Limit on the items of a job.
    pub job_items: usize,
    /// Limit on the HTTP requests in progress.
    pub threads: usize,
    /// Limit on the online requests in progress.
    pub requests: usize,
    /// Limit on the online requests of one team in progress.
    pub team_requests: usize,
    /// Online requests that a worker gets before the next worker is used; zero
    /// spreads the requests over all workers.
    pub online_per_worker: u32,
    /// With up to this many listed workers, the daemon connects to all of them.
    pub max_workers_connect_all: usize,
    /// Workers to connect to for each model if more workers are listed.
    pub workers_per_model: usize,
    /// Limit on the running jobs in the fleet.
    pub jobs: usize,
    /// Limit on the running jobs of one team.
    pub team_jobs: usize,
    /// How long an ended job stays readable.
    pub job_retention: Duration,
}

/// Checked settings of an entry daemon.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The daemon's name.
    pub name: EntryName,
    /// The data centre that the daemon runs in.
    pub data_centre: DataCentre,
    /// The address on which the daemon serves callers and operators.
    pub listen: SocketAddr,
    /// URL of the key-value service.
    pub kv: String,
    /// Limit on the calls per second to the key-value service.
    pub kv_calls_per_second: u32,
    /// URL of the VM list.
    pub vm_list: String,
    /// Deadline of an online request if the caller sets none.
    pub online_deadline: Duration,
    /// Target of the deployment for the time to the first token.
    pub first_token_target: Duration,
    /// Deadline of a job if the caller sets none.
    pub batch_deadline: Duration,
    /// Time to live of the daemon's lease.
    pub lease: Duration,
    /// How long a stopping daemon keeps serving while it reports not to be ready, so
    /// that the balancer can notice and stop sending requests.
    pub drain_delay: Duration,
    /// Limit on the graceful stop after `drain_delay`.
    pub stop: Duration,
    /// Limits.
    pub limits: EntryLimits,
    /// Bearer tokens of teams and operators.
    pub tokens: TokenTable,
    /// The machine that the daemon runs on.
    pub machine: Machine,
    /// Disks for the chunks of large jobs. `None` turns them off.
    pub data: Option<DataSettings>,
    /// Destination of log lines.
    pub log: LogTarget,
    /// Destination of spans.
    pub trace: TraceTarget,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns the first error, with file, key and reason.
pub fn load_entry(path: &str) -> Result<EntrySettings, SettingsError> {
    let text =
        std::fs::read_to_string(path).map_err(|e| SettingsError::new(path, "", e.to_string()))?;
    parse_entry(path, &text)
}

/// Checks settings given as text; `file` names them in errors.
///
/// # Errors
///
/// Returns the first error, with file, key and reason.
pub fn parse_entry(file: &str, text: &str) -> Result<EntrySettings, SettingsError> {
    let raw: RawEntry =
        toml::from_str(text).map_err(|e| SettingsError::new(file, "", e.message()))?;
    let check = Check { file };
    EntrySettings::try_from((&check, raw))
}

impl TryFrom<(&Check<'_>, RawEntry)> for EntrySettings {
    type Error = SettingsError;

    fn try_from((check, raw): (&Check<'_>, RawEntry)) -> Result<Self, SettingsError> {
        check.name("name", &raw.name)?;
        check.name("data_centre", &raw.data_centre)?;
        let deadlines = check_deadlines(check, &raw.deadlines)?;
        let limits = check_limits(check, &raw.limits)?;
        let mut tokens = TokenTable::default();
        add_tokens(check, "teams", &raw.teams, Principal::Team, &mut tokens)?;
        add_tokens(
            check,
            "operators",
            &raw.operators,
            Principal::Operator,
            &mut tokens,
        )?;
        if tokens.is_empty() {
            return Err(check.fail("teams", "at least one team or operator is needed"));
        }
        let calls = raw.platform.kv_calls_per_second;
        Ok(Self {
            name: EntryName::from(raw.name),
            data_centre: DataCentre::from(raw.data_centre),
            listen: check.listen("listen", &raw.listen)?,
            kv: check.url("platform.kv", &raw.platform.kv)?,
            kv_calls_per_second: check.at_least("platform.kv_calls_per_second", calls, 1)?,
            vm_list: check.url("platform.vm_list", &raw.platform.vm_list)?,
            online_deadline: Duration::from_millis(deadlines.online_ms),
            first_token_target: Duration::from_millis(deadlines.first_token_ms),
            batch_deadline: Duration::from_secs(deadlines.batch_s),
            lease: Duration::from_secs(deadlines.lease_s),
            drain_delay: Duration::from_secs(deadlines.notice_s),
            stop: Duration::from_secs(deadlines.stop_s),
            limits,
            tokens,
            machine: raw.machine.checked(check.file)?,
            data: raw.data.map(|raw| check_data(check, raw)).transpose()?,
            log: raw.log,
            trace: raw.trace,
        })
    }
}

fn check_deadlines<'a>(
    check: &Check<'_>,
    raw: &'a RawDeadlines,
) -> Result<&'a RawDeadlines, SettingsError> {
    check.at_least("deadlines.online_ms", raw.online_ms, 100)?;
    check.at_least("deadlines.first_token_ms", raw.first_token_ms, 10)?;
    check.at_least("deadlines.batch_s", raw.batch_s, 1)?;
    check.at_least("deadlines.lease_s", raw.lease_s, 2)?;
    if raw.first_token_ms > raw.online_ms {
        let reason = "cannot be met: must not exceed deadlines.online_ms";
        return Err(check.fail("deadlines.first_token_ms", reason));
    }
    if raw.stop_s.saturating_mul(1_000) < raw.online_ms {
        let reason = "cannot be met: must not be shorter than deadlines.online_ms";
        return Err(check.fail("deadlines.stop_s", reason));
    }
    Ok(raw)
}

fn check_limits(check: &Check<'_>, raw: &RawLimits) -> Result<EntryLimits, SettingsError> {
    Ok(EntryLimits {
        body_bytes: check.at_least("limits.body_bytes", raw.body_bytes, 1_024)?,
        body_time: Duration::from_secs(check.at_least("limits.body_s", raw.body_s, 1)?),
        job_bytes: check.at_least("limits.job_bytes", raw.job_bytes, 1_024)?,
        job_time: Duration::from_secs(check.at_least("limits.job_s", raw.job_s, 1)?),
        job_items: check.at_least("limits.job_items", raw.job_items, 1)?,
        threads: check.at_least("limits.threads", raw.threads, 4)?,
        requests: check.at_least("limits.requests", raw.requests, 1)?,
        team_requests: check.at_least("limits.team_requests", raw.team_requests, 1)?,
        online_per_worker: raw.online_per_worker,
        jobs: check.at_least("limits.jobs", raw.jobs, 1)?,
        team_jobs: check.at_least("limits.team_jobs", raw.team_jobs, 1)?,
        max_workers_connect_all: raw.workers_whole,
        workers_per_model: check.at_least("limits.workers_per_model", raw.workers_per_model, 1)?,
        job_retention: Duration::from_hours(
            24 * check.at_least("limits.keep_days", raw.keep_days, 1)?,
        ),
    })
}

fn add_tokens(
    check: &Check<'_>,
    list: &str,
    raw: &[RawToken],
    principal: fn(TeamName) -> Principal,
    tokens: &mut TokenTable,
) -> Result<(), SettingsError> {
    for token in raw {
        let key = format!("{list}.{}.token_sha256", token.name);
        check.name(&format!("{list}.name"), &token.name)?;
        let name = TeamName::from(token.name.as_str());
        tokens
            .add(&token.token_sha256, principal(name))
            .map_err(|reason| check.fail(&key, reason))?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = r#"
        name = "sligo-1"
        data_centre = "Sligo"
        listen = "127.0.0.1:8080"
        [platform]
        kv = "http://127.0.0.1:2379"
        vm_list = "http://127.0.0.1:2380"
        [[teams]]
        name = "school"
        token_sha256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
    "#;

    fn error_of(from: &str, to: &str) -> String {
        let text = VALID.replace(from, to);
        assert_ne!(text, VALID, "the replacement must change something");
        parse_entry("e.toml", &text).unwrap_err().to_string()
    }

    #[test]
    fn valid_settings_pass() {
        assert!(parse_entry("e.toml", VALID).is_ok());
    }

    #[test]
    fn errors_name_file_key_and_reason_in_one_line() {
        let address = error_of("127.0.0.1:8080", "localhost");
        assert_eq!(address, "e.toml: listen: \"localhost\" is not IP:PORT");
        let unknown = error_of("data_centre", "zone = 1\n data_centre");
        assert!(
            unknown.contains("zone") && !unknown.contains('\n'),
            "{unknown}"
        );
        let late = error_of(
            "[platform]",
            "[deadlines]\nfirst_token_ms = 99000\n[platform]",
        );
        assert!(late.contains("first_token_ms: cannot be met"), "{late}");
        let hash = error_of("2bb80d", "zz");
        assert!(
            hash.starts_with("e.toml: teams.school.token_sha256"),
            "{hash}"
        );
    }
}
