//! Holds back requests that crash workers.
//!
//! A request that crashes every worker that runs it would otherwise be sent to one worker
//! after another, by any gateway, as often as its caller retries, and each crash ends all
//! other runs at that worker. So would requests of which no two are alike, but which share
//! a part of their prompts that crashes workers. `bluebellreel_dispatch` decides which
//! requests and which parts are quarantined, from crashes of which the gateways notify
//! each other. This module checks each request before it is sent; `item_gate` does so for
//! items of jobs.

use crate::gateway::Gateway;
use crate::millis::millis;
use crate::quarantine_store;
use bluebellreel_dispatch::{
    Cleared, Depth, Fingerprint, PartVerdict, QuarantineStatus, VersionTag, may_try,
};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_platform::ingress;
use bluebellreel_types::{Moment, WorkerVersion};
use log::{info, warn};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The reasons given in the answers to quarantined requests.
const REQUEST_REASON: &str = "workers crash under it";
const PART_REASON: &str = "workers crash on a part of its prompt";

/// Backoff of a request whose trial is left to another daemon.
const TRIED_ELSEWHERE_BACKOFF: Duration = Duration::from_secs(1);

/// Why a request is not sent to a worker now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    /// When it may be retried.
    pub(crate) until: Moment,
    pub(crate) reason: &'static str,
}

/// What crashes of workers are attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Subject {
    /// All attempts of one request.
    Request(Fingerprint),
    /// All requests whose prompts share a part.
    Part(Fingerprint),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => fingerprint.fmt(f),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PromptPart {
    /// Its id, in the form that callers send.
    pub(crate) id: Arc<str>,
    pub(crate) fingerprint: Fingerprint,
}

impl PromptPart {
    /// The shared parts of a request's prompt. They are told apart by service, as workers of
    /// another one may not crash on the same part.
    pub(crate) fn of(out: &Outgoing, service: &str) -> Vec<Self> {
        let ids = ingress::shared_prompt_parts(&out.headers).into_iter();
        ids.map(|id| Self {
            id: Arc::from(id),
            fingerprint: Fingerprint::of(&[service.as_bytes(), id.as_bytes()]),
        })
        .collect()
    }
}

/// A request to be checked before it is sent.
pub(crate) struct Checked<'a, F: FnOnce() -> Fingerprint> {
    /// Id of the caller's attempt or of the batch item.
    pub(crate) request: &'a str,
    pub(crate) service: &'a str,
    /// The only version that may run it, if it has output.
    pub(crate) version: Option<&'a WorkerVersion>,
    pub(crate) fingerprint: F,
    pub(crate) parts: &'a [PromptPart],
}

/// A trial run of a request that has crashed workers, which shows whether workers can run
/// it now. While it exists, other requests that the same crashes speak against are held
/// back. It is shared with the task that finds out whether the run's worker has crashed, so
/// that no other trial begins before that is known.
pub(crate) struct Trial {
    gw: Rc<Gateway>,
    subjects: Vec<Subject>,
    /// Whether it counts among the items on trial.
    pub(crate) is_item: bool,
}

impl Drop for Trial {
    fn drop(&mut self) {
        for subject in &self.subjects {
            match subject {
                Subject::Request(fingerprint) => {
                    self.gw.suspects.borrow_mut().end_trial(*fingerprint);
                }
                Subject::Part(part) => self.gw.part_suspects.borrow_mut().end_trial(*part),
            }
        }
        if self.is_item {
            self.gw.item_trials.borrow_mut().end();
            self.gw.batch_due.notify_one();
        }
    }
}

/// Permission to send a request to a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Permit {
    /// What the run is a trial of; see [`Trial::begin`].
    trial_of: Vec<Subject>,
    /// Whether it is for an item under which workers have crashed.
    item_on_trial: bool,
    /// A part under suspicion: all requests with it go to the same few workers.
    pub(crate) contained: Option<Fingerprint>,
    /// The only version of workers that may run the request.
    pub(crate) version: Option<WorkerVersion>,
}

impl Permit {
    /// Permission to send an item.
    pub(crate) fn for_item(item_on_trial: bool, version: Option<WorkerVersion>) -> Self {
        Self {
            item_on_trial,
            version,
            ..Self::default()
        }
    }

    pub(crate) fn is_trial(&self) -> bool {
        self.item_on_trial || !self.trial_of.is_empty()
    }

    /// The parts of which the run is a trial.
    pub(crate) fn trial_parts(&self) -> Vec<Fingerprint> {
        let parts = self.trial_of.iter().filter_map(|subject| match subject {
            Subject::Part(part) => Some(*part),
            Subject::Request(_) => None,
        });
        parts.collect()
    }
}

impl Trial {
    /// Begins a trial and notifies all peers of it, if the permit is for one.
    pub(crate) fn begin(gw: &Rc<Gateway>, request: &str, permit: &Permit) -> Option<Rc<Self>> {
        if !permit.is_trial() {
            return None;
        }
        for subject in &permit.trial_of {
            let now = gw.now();
            match subject {
                Subject::Request(fingerprint) => {
                    gw.suspects.borrow_mut().begin_trial(*fingerprint, now);
                }
                Subject::Part(part) => gw.part_suspects.borrow_mut().begin_trial(*part, now),
            }
            warn!(target: "online", request, fingerprint:% = subject; "request on trial");
        }
        if permit.item_on_trial {
            gw.item_trials.borrow_mut().begin();
            info!(target: "online", request; "item on trial");
        }
        gw.metrics.quarantine("trial");
        gw.report_due.notify_one();
        Some(Rc::new(Self {
            gw: gw.clone(),
            subjects: permit.trial_of.clone(),
            is_item: permit.item_on_trial,
        }))
    }
}

/// Checks whether a caller's request may be sent to a worker.
///
/// # Errors
///
/// Returns why, and when the request may be retried, if it is held back now.
pub(crate) fn may_run<F: FnOnce() -> Fingerprint>(
    gw: &Gateway,
    checked: Checked<F>,
) -> Result<Permit, Held> {
    let mut permit = check_parts(gw, &checked)?;
    if gw.suspects.borrow().is_empty() {
        return Ok(permit);
    }
    let request = checked.request;
    let (fingerprint, now) = ((checked.fingerprint)(), gw.now());
    let quarantine_status = gw.suspects.borrow().quarantine_status(fingerprint, now);
    let until = match quarantine_status {
        QuarantineStatus::Clear | QuarantineStatus::Suspect => return Ok(permit),
        QuarantineStatus::TrialOnly(since) if may_try_here(gw, fingerprint, since) => {
            permit.trial_of.push(Subject::Request(fingerprint));
            return Ok(permit);
        }
        QuarantineStatus::TrialOnly(_) => now + TRIED_ELSEWHERE_BACKOFF,
        QuarantineStatus::Quarantined(until) => until,
    };
    let held_ms = millis(until.since(now));
    gw.metrics.quarantine("request");
    warn!(target: "online", request, fingerprint:% = fingerprint, due_in_ms = held_ms; "request held back");
    Err(Held {
        until,
        reason: REQUEST_REASON,
    })
}

/// Checks the parts of a request's prompt, at each version of the workers that may run it.
fn check_parts<F: FnOnce() -> Fingerprint>(
    gw: &Gateway,
    checked: &Checked<F>,
) -> Result<Permit, Held> {
    if gw.part_suspects.borrow().is_empty() || checked.parts.is_empty() {
        return Ok(Permit::default());
    }
    let suspects = gw.part_suspects.borrow();
    let parts: Vec<Fingerprint> = checked.parts.iter().map(|p| p.fingerprint).collect();
    let now = gw.now();
    let versions = ready_versions(gw, checked);
    let verdicts: Vec<(&Option<WorkerVersion>, PartVerdict)> = versions
        .iter()
        .map(|version| {
            let tag = VersionTag::of(version.as_ref());
            (version, suspects.verdict(&parts, tag, now))
        })
        .collect();
    let restricted_to =
        |version: &Option<WorkerVersion>| version.clone().filter(|_| versions.len() > 1);
    let is_free = |v: &PartVerdict| {
        matches!(
            v.status,
            QuarantineStatus::Clear | QuarantineStatus::Suspect
        )
    };
    if let Some((version, verdict)) = verdicts.iter().find(|(_, v)| is_free(v)) {
        let all_free = verdicts.iter().all(|(_, v)| is_free(v));
        return Ok(Permit {
            contained: verdict.parts.last().copied(),
            version: restricted_to(version).filter(|_| !all_free),
            ..Permit::default()
        });
    }
    let mut until = None;
    for (version, verdict) in &verdicts {
        let later = match verdict.status {
            QuarantineStatus::TrialOnly(since) if may_try_here(gw, verdict.parts[0], since) => {
                return Ok(Permit {
                    trial_of: verdict.parts.iter().copied().map(Subject::Part).collect(),
                    version: restricted_to(version),
                    ..Permit::default()
                });
            }
            QuarantineStatus::Quarantined(until) => until,
            _ => now + TRIED_ELSEWHERE_BACKOFF,
        };
        until = Some(until.map_or(later, |until: Moment| until.min(later)));
    }
    let Some(until) = until else {
        return Ok(Permit::default());
    };
    gw.metrics.quarantine("part");
    log_held_part(gw, checked, &verdicts, until);
    Err(Held {
        until,
        reason: PART_REASON,
    })
}

fn log_held_part<F: FnOnce() -> Fingerprint>(
    gw: &Gateway,
    checked: &Checked<F>,
    verdicts: &[(&Option<WorkerVersion>, PartVerdict)],
    until: Moment,
) {
    let is_held = |part: &&PromptPart| {
        let mut verdicts = verdicts.iter();
        verdicts.any(|(_, v)| v.parts.contains(&part.fingerprint))
    };
    let held: Vec<&PromptPart> = checked.parts.iter().filter(is_held).collect();
    let suspects = gw.part_suspects.borrow();
    let crashes = held
        .iter()
        .map(|p| suspects.open_crashes(p.fingerprint).len());
    let ids: Vec<&str> = held.iter().map(|p| &*p.id).collect();
    let parts = ids.join(",");
    warn!(target: "online", request = checked.request, parts, crashes = crashes.max(), due_in_ms = millis(until.since(gw.now())); "request held back");
}

/// Versions of the workers that may run a request; those with the most workers come first.
pub(crate) fn ready_versions<F: FnOnce() -> Fingerprint>(
    gw: &Gateway,
    checked: &Checked<F>,
) -> Vec<Option<WorkerVersion>> {
    if let Some(version) = checked.version {
        return vec![Some(version.clone())];
    }
    let board = gw.board.borrow();
    let mut counts: BTreeMap<Option<&WorkerVersion>, usize> = BTreeMap::new();
    for view in board.ready_workers(checked.service) {
        *counts.entry(view.record.version.as_ref()).or_default() += 1;
    }
    let mut versions: Vec<_> = counts.into_iter().collect();
    versions.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let versions = versions.into_iter();
    versions.map(|(version, _)| version.cloned()).collect()
}

/// Whether this daemon may begin a trial now.
fn may_try_here(gw: &Gateway, fingerprint: Fingerprint, since: Moment) -> bool {
    may_try(fingerprint, gw.me(), daemons(gw), since, gw.now())
}

/// Number of daemons that are alive, this one included.
pub(crate) fn daemons(gw: &Gateway) -> usize {
    gw.members.borrow().alive_peers(gw.now()).count() + 1
}

/// Records that a run of a request has ended without a crash.
pub(crate) fn run_completed(gw: &Rc<Gateway>, fingerprint: impl FnOnce() -> Fingerprint) {
    if gw.suspects.borrow().is_empty() {
        return;
    }
    let fingerprint = fingerprint();
    let cleared = gw.suspects.borrow_mut().completed(fingerprint, gw.now());
    note_cleared(gw, Subject::Request(fingerprint), cleared);
}

/// Records that a worker has written an answer on the parts of a prompt up to a depth.
pub(crate) fn prompt_progressed(
    gw: &Gateway,
    parts: &[PromptPart],
    version: Option<&WorkerVersion>,
    depth: Depth,
) {
    if parts.is_empty() {
        return;
    }
    let parts: Vec<Fingerprint> = parts.iter().map(|p| p.fingerprint).collect();
    gw.part_suspects
        .borrow_mut()
        .note_progress(&parts, VersionTag::of(version), depth, gw.now());
}

/// Records that a worker has given a complete answer on the parts of a prompt.
pub(crate) fn prompt_answered(
    gw: &Rc<Gateway>,
    parts: &[PromptPart],
    version: Option<&WorkerVersion>,
) {
    let parts: Vec<Fingerprint> = parts.iter().map(|p| p.fingerprint).collect();
    let mut suspects = gw.part_suspects.borrow_mut();
    let cleared = suspects.note_answer(&parts, VersionTag::of(version), gw.now());
    drop(suspects);
    for (part, cleared) in cleared {
        note_cleared(gw, Subject::Part(part), cleared);
    }
}

fn note_cleared(gw: &Rc<Gateway>, subject: Subject, cleared: Cleared) {
    if cleared == Cleared::Nothing {
        return;
    }
    if cleared == Cleared::Quarantine {
        quarantine_store::remove(gw, subject);
    }
    gw.metrics.quarantine("cleared");
    gw.report_due.notify_one();
    warn!(target: "online", fingerprint:% = subject; "request cleared");
}
