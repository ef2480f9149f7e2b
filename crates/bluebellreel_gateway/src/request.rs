//! The state of a caller's request while it is processed.

use crate::crash::InterruptedRun;
use crate::gateway::Gateway;
use crate::quarantine_gate::{self, Checked, Held, Permit, PromptPart, Trial};
use crate::teams::{self, Credential, Denial};
use bluebellreel_dispatch::{Attempt, Fingerprint, Route, Ticket};
use bluebellreel_platform::engine::Outgoing;
use bluebellreel_teams::{Limit, TeamTag, Use, wait_share};
use bluebellreel_types::{Moment, WorkerName, WorkerVersion};
use std::cell::OnceCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Share of a route's latency objective that a request may wait in a worker's queue. The
/// rest is for the network, the processing of its prompt, and unknown properties of the
/// requests before it.
const MAX_QUEUEING_SHARE: f64 = 0.62;
/// How long a worker with a free slot may take to send its first byte before a
/// repeatable request is sent elsewhere. An idle engine takes about 20 ms; a send
/// elsewhere must leave half of a 300 ms objective.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(130);
/// Added to this timeout for each request that waits at the worker: about the time until
/// one of a worker's slots becomes free.
const FIRST_BYTE_PER_WAITING: Duration = Duration::from_millis(110);

/// Which workers may run a request, by the version of their software.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Binding {
    /// Any: the caller has nothing of an answer.
    Free,
    /// Those of the version that began the answer.
    Version(WorkerVersion),
    /// None: the answer was begun by a version that is not known.
    Unknown,
}

impl Binding {
    /// The binding of an answer that a worker of this version has begun.
    pub(crate) fn of(version: Option<WorkerVersion>) -> Self {
        version.map_or(Self::Unknown, Self::Version)
    }

    pub(crate) fn version(&self) -> Option<&WorkerVersion> {
        match self {
            Self::Version(version) => Some(version),
            Self::Free | Self::Unknown => None,
        }
    }
}

/// A caller's request that is being processed.
pub(crate) struct Request {
    pub(crate) id: Arc<str>,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    /// The team that sent it.
    pub(crate) credential: Option<Credential>,
    pub(crate) out: Outgoing,
    pub(crate) binding: Binding,
    /// The version at which its answer has to begin.
    pub(crate) required_version: Option<WorkerVersion>,
    /// When the caller stops waiting or the route's time limit is reached.
    pub(crate) deadline: Instant,
    pub(crate) received: Instant,
    /// Workers that the request was sent to.
    pub(crate) tried: Vec<WorkerName>,
    /// Number of sends that may have been run by a worker.
    pub(crate) runs: u32,
    /// The fingerprint, computed on first use.
    pub(crate) fingerprint: OnceCell<Fingerprint>,
    /// The shared parts of its prompt, read on first use.
    pub(crate) parts: OnceCell<Vec<PromptPart>>,
    /// Where the request may run next.
    pub(crate) permit: Permit,
    /// Set while the request is a trial run that shows whether workers can run it.
    pub(crate) trial: Option<Rc<Trial>>,
}

impl Request {
    /// Whether the request may be sent once more.
    pub(crate) fn may_repeat(&self) -> bool {
        let allowed = self.runs == 0 || self.route.repeatable();
        allowed && self.runs < self.route.max_workers.max(1)
    }

    /// The team that sent it and the team's rate limit; none without a limit.
    pub(crate) fn limit(&self) -> Option<(TeamTag, Limit)> {
        let team = &self.credential.as_ref()?.team;
        Some((TeamTag::of(&team.name), team.limit?))
    }

    /// Name of the team that sent it; empty without one.
    pub(crate) fn team_name(&self) -> &str {
        self.credential.as_ref().map_or("", |c| &c.team.name)
    }

    /// Whether the request may run again after the next send.
    pub(crate) fn attempt(&self) -> Attempt {
        if !self.is_last_send() && self.route.repeatable() {
            Attempt::Repeatable
        } else if self.runs == 0 {
            Attempt::Last
        } else {
            Attempt::Overdue
        }
    }

    /// Whether its route allows no run after the next one.
    fn is_last_send(&self) -> bool {
        self.runs + 1 >= self.route.max_workers.max(1)
    }

    /// Why the request's key does not allow a send now.
    pub(crate) fn denial(&self, gw: &Gateway) -> Option<Denial> {
        let credential = self.credential.as_ref()?;
        teams::recheck(gw, credential).err()
    }

    /// A run of this request that its worker broke off.
    pub(crate) fn interrupted_run(
        &self,
        ticket: Ticket,
        began: Moment,
        events: u64,
    ) -> InterruptedRun {
        InterruptedRun {
            request: self.id.clone(),
            fingerprint: self.fingerprint(),
            parts: self.parts().to_vec(),
            trial_parts: self.permit.trial_parts(),
            trial: self.trial.clone(),
            is_item: false,
            ticket,
            began,
            events,
        }
    }

    /// The fingerprint of the request's content, the same for each retry by the caller.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self
            .fingerprint
            .get_or_init(|| Fingerprint::of(&self.out.identity()))
    }

    /// The parts of its prompt that other requests may share.
    pub(crate) fn parts(&self) -> &[PromptPart] {
        self.parts
            .get_or_init(|| PromptPart::of(&self.out, &self.service))
    }

    /// Checks whether the request may be sent to a worker.
    ///
    /// # Errors
    ///
    /// Returns why it is held back, and until when.
    pub(crate) fn may_run(&mut self, gw: &Rc<Gateway>) -> Result<(), Held> {
        self.trial = None;
        self.permit = Permit::default();
        let checked = Checked {
            request: &self.id,
            service: &self.service,
            version: self.binding.version(),
            fingerprint: || self.fingerprint(),
            parts: self.parts(),
        };
        self.permit = quarantine_gate::may_run(gw, checked)?;
        self.trial = Trial::begin(gw, &self.id, &self.permit);
        Ok(())
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// How long the request may wait in a worker's queue and still meet its objective.
    pub(crate) fn max_wait(&self) -> Duration {
        self.route.objective.mul_f64(MAX_QUEUEING_SHARE)
    }

    /// Its priority: its team's if that has one, else the route's.
    fn priority(&self) -> u32 {
        let team = self.credential.as_ref().and_then(|c| c.team.priority);
        team.unwrap_or(self.route.priority)
    }

    /// Records that a request of its class is active.
    pub(crate) fn note_class(&self, gw: &Gateway) {
        let mut classes = gw.classes.borrow_mut();
        let classes = classes.entry(self.service.clone()).or_default();
        classes.note(self.priority(), gw.now());
    }

    /// How long the request may wait in a worker's queue while slots are short.
    pub(crate) fn wait_by_turn(&self, gw: &Gateway) -> Duration {
        let more_urgent = {
            let classes = gw.classes.borrow();
            let classes = classes.get(&self.service);
            classes.map_or(0, |c| c.more_urgent(self.priority(), gw.now()))
        };
        let recent = self
            .credential
            .as_ref()
            .map_or(Use::default(), |credential| {
                let team = TeamTag::of(&credential.team.name);
                gw.allowances.borrow_mut().recent_use(team, gw.elapsed())
            });
        self.max_wait().mul_f64(wait_share(recent, more_urgent))
    }

    /// When the first byte from a worker counts as late. For a request that cannot be
    /// sent elsewhere this is its deadline.
    pub(crate) fn first_byte_due(&self, gw: &Gateway, worker: &WorkerName) -> Instant {
        if self.is_last_send() || !self.route.repeatable() {
            return self.deadline;
        }
        let waiting = gw
            .board
            .borrow()
            .worker_view(worker)
            .map_or(0, |s| s.running().online.saturating_sub(s.record.slots));
        let wait = FIRST_BYTE_TIMEOUT + FIRST_BYTE_PER_WAITING * waiting;
        (Instant::now() + wait).min(self.deadline)
    }
}
