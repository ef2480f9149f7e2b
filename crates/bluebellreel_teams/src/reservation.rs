//! Tokens reserved for callers that were over their team's rate limit.
//!
//! A refused caller is told when to return, and a token is reserved for that moment.
//! Gateways report reservations to each other, because a caller usually returns to another
//! gateway. Requests that come for the first time leave tokens in the bucket for the
//! reservations that are due. The bucket itself does not change: a request is admitted only
//! if the bucket holds a token, so reservations cannot raise a limit.
//!
//! A caller that is refused without a reservation is recorded too. When it returns, it takes
//! only tokens that requests that come for the first time leave, as these can still meet
//! their objective.
//!
//! Reservations are due one after the other, at a part of the rate. The time of a new one
//! follows from the number of those that are not due yet, over all gateways, and not from
//! the last one's time: gateways that reserve at the same moment do not know of each other
//! and choose the same time, and the next reservations then leave room for all of these.
//!
//! A reservation has a random id. Reports repeat it, and may be lost, duplicated or
//! reordered; the id shows which reservations are already known or used. A used one is kept
//! for a while, so that a report that arrives late does not make it valid again.

use crate::reservation_report::{
    InvalidReport, Kind, MAX_REPORTED, Print, ReservationId, ReservationNotice, ReservationReport,
};
use crate::{Limit, TeamTag, Teams};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Maximum number of reservations of one gateway.
pub const MAX_OWN: usize = 512;
/// Maximum number of requests of a team that wait for a token at one gateway.
pub const MAX_WAITING: usize = 64;

/// How long before it is due a reservation can be used. Callers wait for less than they
/// are told if their timers are coarse.
const EARLY: Duration = Duration::from_millis(50);
/// How long after it is due a reservation can be used.
pub(crate) const RETENTION: Duration = Duration::from_secs(1);
/// How long reports repeat a reservation or its use, so that it arrives despite lost
/// datagrams.
const REPEAT_FULL: Duration = Duration::from_millis(1500);
/// The same for briefs, of which there are many per second.
const REPEAT_BRIEF: Duration = Duration::from_millis(150);
/// How long the number of a peer's last report is remembered: longer than a datagram is
/// under way.
const HEARD_RETENTION: Duration = Duration::from_secs(30);
/// Part of the rate at which reservations are due. The rest is for requests that come for
/// the first time, which can still meet their objective. In a flood a larger part serves
/// hardly more callers, and fewer within the objective.
pub const RATE_SHARE: f64 = 0.1;
/// Distance between the ids of successive reservations of one gateway. It is odd, so that
/// all ids occur before one repeats.
const ID_STEP: u32 = 0x9E37_79B1;

/// One reservation.
#[derive(Clone, Debug)]
struct Held {
    id: ReservationId,
    print: Print,
    due: Moment,
    kind: Kind,
    /// The gateway that made it; none for this one.
    origin: Option<EntryName>,
    made: Moment,
    /// When it was used, as far as this gateway knows.
    used: Option<Moment>,
    /// Whether it was used at this gateway.
    used_here: bool,
}

impl Held {
    fn is_valid(&self, now: Moment) -> bool {
        self.used.is_none() && !(self.due + RETENTION).is_past(now)
    }

    /// Whether its caller may return now.
    fn is_due(&self, now: Moment) -> bool {
        self.is_valid(now) && self.due.is_past(now + EARLY)
    }

    /// Whether a token is to be left for it now. Requests that wait at a gateway came before
    /// those that arrive now.
    fn keeps_token(&self, now: Moment) -> bool {
        match self.kind {
            Kind::Return => self.is_due(now),
            Kind::Wait => self.is_valid(now),
            Kind::Unreserved => false,
        }
    }

    fn is_discarded(&self, now: Moment) -> bool {
        let used = self.used.unwrap_or(self.due);
        (self.due.max(used) + RETENTION + REPEAT_FULL).is_past(now)
    }
}

/// The reservations of one team.
#[derive(Clone, Debug)]
struct TeamReservations {
    limit: Limit,
    held: BTreeMap<ReservationId, Held>,
    /// Requests that wait for a token at this gateway.
    waiting: usize,
}

/// The last report of a peer.
#[derive(Clone, Copy, Debug)]
struct Heard {
    run: Incarnation,
    sequence: u64,
    at: Moment,
}

/// The reservations of all teams, as far as this gateway knows.
#[derive(Clone, Debug)]
pub struct Reservations {
    teams: HashMap<TeamTag, TeamReservations>,
    next_id: u32,
    share: f64,
    heard: HashMap<EntryName, Heard>,
    /// Entries of reports that were skipped because of their times.
    skipped: u64,
}

impl Reservations {
    /// Creates the state of a gateway that has just started. `seed` is a random number.
    #[must_use]
    pub fn new(seed: u32) -> Self {
        Self::with_share(seed, RATE_SHARE)
    }

    /// The same with another part of the rate for reservations, from 0 to 1.
    #[must_use]
    pub fn with_share(seed: u32, share: f64) -> Self {
        Self {
            teams: HashMap::new(),
            next_id: seed,
            share,
            heard: HashMap::new(),
            skipped: 0,
        }
    }

    /// The team's reservations. Those under another limit are dropped.
    fn team(&mut self, tag: TeamTag, limit: Limit) -> &mut TeamReservations {
        let team = self.teams.entry(tag).or_insert(TeamReservations {
            limit,
            held: BTreeMap::new(),
            waiting: 0,
        });
        if team.limit != limit {
            team.limit = limit;
            team.held.clear();
        }
        team
    }

    /// The entry of a request that returns now, if it has one of this kind.
    pub(crate) fn returning(
        &mut self,
        tag: TeamTag,
        limit: Limit,
        (print, kind): (Print, Kind),
        now: Moment,
    ) -> Option<ReservationId> {
        let held = self.team(tag, limit).held.values();
        let of_request = held.filter(|h| h.print == print && h.kind == kind);
        let due = of_request.filter(|h| h.is_due(now));
        due.min_by_key(|h| h.due).map(|h| h.id)
    }

    /// Whether a reservation is for a caller that was refused.
    pub(crate) fn is_return(&self, tag: TeamTag, id: ReservationId) -> bool {
        let held = self.teams.get(&tag).map(|team| &team.held);
        let held = held.and_then(|held| held.get(&id));
        held.is_some_and(|h| h.kind == Kind::Return)
    }

    /// Number of tokens to be left for others than `own`.
    pub(crate) fn kept_back(
        &mut self,
        tag: TeamTag,
        limit: Limit,
        own: Option<ReservationId>,
        now: Moment,
    ) -> usize {
        let held = self.team(tag, limit).held.values();
        held.filter(|h| h.keeps_token(now) && Some(h.id) != own)
            .count()
    }

    /// Number of reservations for callers that have not been due yet, and when the next one
    /// can be due at `per_second` tokens; none if it cannot be reserved.
    pub(crate) fn next_due(
        &mut self,
        tag: TeamTag,
        limit: Limit,
        per_second: f64,
        now: Moment,
    ) -> (u32, Option<Moment>) {
        let share = per_second * self.share;
        let held = self.team(tag, limit).held.values();
        let (past, ahead): (Vec<_>, Vec<_>) = held
            .filter(|h| h.kind == Kind::Return)
            .partition(|h| h.due.is_past(now));
        let ahead = ahead.iter().filter(|h| h.used.is_none()).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let Ok(spacing) = Duration::try_from_secs_f64(1.0 / share) else {
            return (ahead, None);
        };
        let last = past.iter().map(|h| h.due + spacing).max();
        let first = last.unwrap_or(now).max(now);
        let wait = spacing.checked_mul(ahead);
        (ahead, wait.map(|wait| first + wait))
    }

    /// Adds an entry; none if this gateway has too many.
    pub(crate) fn add(
        &mut self,
        tag: TeamTag,
        limit: Limit,
        (print, kind): (Print, Kind),
        due: Moment,
        now: Moment,
    ) -> Option<ReservationId> {
        if self.count_of(None, now) >= MAX_OWN {
            return None;
        }
        let id = ReservationId(self.next_id);
        self.next_id = self.next_id.wrapping_add(ID_STEP);
        let held = Held {
            id,
            print,
            due,
            kind,
            origin: None,
            made: now,
            used: None,
            used_here: false,
        };
        self.team(tag, limit).held.insert(id, held);
        Some(id)
    }

    /// Number of valid reservations of a gateway; none for this one.
    fn count_of(&self, origin: Option<&EntryName>, now: Moment) -> usize {
        let held = self.teams.values().flat_map(|team| team.held.values());
        let of_origin = held.filter(|h| h.origin.as_ref() == origin && h.is_valid(now));
        of_origin.count()
    }

    /// Records that a reservation was used, or is no longer needed.
    pub(crate) fn end(&mut self, tag: TeamTag, id: ReservationId, now: Moment) {
        let held = self.teams.get_mut(&tag).map(|team| &mut team.held);
        let held = held.and_then(|held| held.get_mut(&id));
        if let Some(held) = held.filter(|h| h.used.is_none()) {
            held.used = Some(now);
            held.used_here = true;
        }
    }

    /// Replaces the reservation of a waiting request if it will soon be over. Returns the id
    /// of the one that is in force.
    pub(crate) fn renew(
        &mut self,
        tag: TeamTag,
        id: ReservationId,
        due: Moment,
        now: Moment,
    ) -> ReservationId {
        let team = self.teams.get(&tag);
        let held = team.and_then(|team| team.held.get(&id));
        let (Some(team), Some(held)) = (team, held) else {
            return id;
        };
        if !(held.due + RETENTION / 2).is_past(now) {
            return id;
        }
        let (limit, entry) = (team.limit, (held.print, held.kind));
        let Some(renewed) = self.add(tag, limit, entry, due, now) else {
            return id;
        };
        self.end(tag, id, now);
        renewed
    }

    /// Whether one more request of a team may wait at this gateway.
    pub(crate) fn has_room_to_wait(&self, tag: TeamTag) -> bool {
        let waiting = self.teams.get(&tag).map_or(0, |team| team.waiting);
        waiting < MAX_WAITING
    }

    /// Adds a request that waits for a token at this gateway.
    pub(crate) fn begin_wait(&mut self, tag: TeamTag, limit: Limit) {
        self.team(tag, limit).waiting += 1;
    }

    /// Removes a request that waited, with its reservation.
    pub fn end_wait(&mut self, tag: TeamTag, id: ReservationId, now: Moment) {
        self.end(tag, id, now);
        if let Some(team) = self.teams.get_mut(&tag) {
            team.waiting = team.waiting.saturating_sub(1);
        }
    }

    /// What to report: recent reservations of this gateway and recent uses at it.
    #[must_use]
    pub fn report(&self, is_brief: bool, now: Moment) -> ReservationReport {
        let repeat = if is_brief { REPEAT_BRIEF } else { REPEAT_FULL };
        let is_recent = |at: Moment| !(at + repeat).is_past(now);
        let held = || {
            let teams = self.teams.iter();
            teams.flat_map(|(tag, team)| team.held.values().map(|h| (*tag, h)))
        };
        let made = held().filter(|(_, h)| h.origin.is_none() && is_recent(h.made));
        let mut made: Vec<_> = made.filter(|(_, h)| h.is_valid(now)).collect();
        let used = held().filter(|(_, h)| h.used_here && h.used.is_some_and(is_recent));
        let mut used: Vec<_> = used.collect();
        // A refused caller returns to another gateway, which must know of its reservation;
        // the others matter less. The latest ones have been reported the fewest times.
        made.sort_by_key(|(_, h)| (h.kind, std::cmp::Reverse(h.made)));
        used.sort_by_key(|(_, h)| std::cmp::Reverse(h.used));
        made.truncate(MAX_REPORTED);
        used.truncate(MAX_REPORTED);
        let notice = |(team, h): (TeamTag, &Held)| ReservationNotice {
            team,
            id: h.id,
            print: h.print,
            due_ms: signed_millis(h.due, now),
            kind: h.kind,
        };
        ReservationReport {
            made: made.into_iter().map(notice).collect(),
            used: used.into_iter().map(|(team, h)| (team, h.id)).collect(),
        }
    }

    /// Applies a peer's report. `run` is its incarnation, `sequence` the report's number.
    /// Teams that this gateway does not know, or that have no limit, are ignored. Entries
    /// with an implausible time are skipped and counted, so that they do not hide those of
    /// other teams.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidReport`] and applies nothing if the content is impossible.
    pub fn hear(
        &mut self,
        peer: &EntryName,
        (run, sequence): (Incarnation, u64),
        report: &ReservationReport,
        teams: Option<&Teams>,
        now: Moment,
    ) -> Result<(), InvalidReport> {
        if report.made.is_empty() && report.used.is_empty() {
            return Ok(());
        }
        let last = self.heard.get(peer);
        if last.is_some_and(|last| last.run == run && last.sequence >= sequence) {
            return Ok(());
        }
        report.check()?;
        let heard = Heard {
            run,
            sequence,
            at: now,
        };
        self.heard.insert(peer.clone(), heard);
        for notice in &report.made {
            if !notice.is_plausible() {
                self.skipped += 1;
                continue;
            }
            self.hear_made(peer, notice, teams, now);
        }
        for (tag, id) in &report.used {
            let Some(limit) = teams.and_then(|teams| teams.limit(*tag)) else {
                continue;
            };
            let team = self.team(*tag, limit);
            // The report of the reservation may arrive after that of its use.
            let held = team.held.entry(*id).or_insert_with(|| Held {
                id: *id,
                print: Print::default(),
                due: now,
                kind: Kind::Unreserved,
                origin: Some(peer.clone()),
                made: now,
                used: None,
                used_here: false,
            });
            held.used = held.used.or(Some(now));
        }
        Ok(())
    }

    fn hear_made(
        &mut self,
        peer: &EntryName,
        notice: &ReservationNotice,
        teams: Option<&Teams>,
        now: Moment,
    ) {
        let Some(limit) = teams.and_then(|teams| teams.limit(notice.team)) else {
            return;
        };
        let held = &self.team(notice.team, limit).held;
        let is_known = held.contains_key(&notice.id);
        if is_known || self.count_of(Some(peer), now) >= MAX_OWN {
            return;
        }
        let wait = Duration::from_millis(u64::from(notice.due_ms.unsigned_abs()));
        let due = if notice.due_ms < 0 {
            now - wait
        } else {
            now + wait
        };
        let held = Held {
            id: notice.id,
            print: notice.print,
            due,
            kind: notice.kind,
            origin: Some(peer.clone()),
            made: now,
            used: None,
            used_here: false,
        };
        self.team(notice.team, limit).held.insert(notice.id, held);
    }

    /// Evicts reservations that are over, and those of teams whose limit has changed.
    pub fn sweep(&mut self, teams: Option<&Teams>, now: Moment) {
        for (tag, team) in &mut self.teams {
            let limit = teams.and_then(|teams| teams.limit(*tag));
            if limit == Some(team.limit) {
                team.held.retain(|_, h| !h.is_discarded(now));
            } else {
                team.held.clear();
            }
        }
        self.teams
            .retain(|_, team| !team.held.is_empty() || team.waiting > 0);
        self.heard
            .retain(|_, heard| !(heard.at + HEARD_RETENTION).is_past(now));
    }

    /// Number of entries of valid reports that were skipped since the last call, because
    /// of implausible times.
    pub fn take_skipped(&mut self) -> u64 {
        std::mem::take(&mut self.skipped)
    }

    /// Number of reservations that can still be used.
    #[must_use]
    pub fn len(&self, now: Moment) -> usize {
        let held = self.teams.values().flat_map(|team| team.held.values());
        held.filter(|h| h.kind != Kind::Unreserved && h.is_valid(now))
            .count()
    }

    /// Number of requests that wait for a token at this gateway.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.teams.values().map(|team| team.waiting).sum()
    }
}

/// Time until `due` in milliseconds, negative if it has passed.
fn signed_millis(due: Moment, now: Moment) -> i32 {
    let millis = |span: Duration| i32::try_from(span.as_millis()).unwrap_or(i32::MAX);
    millis(due.since(now)) - millis(now.since(due))
}
