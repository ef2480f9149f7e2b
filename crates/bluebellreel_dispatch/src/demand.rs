//! Which daemon may start batch items on a worker's free slots.
//!
//! If several daemons take the same free slot at the same moment, the worker has too many
//! runs and one of them has to yield immediately. Each worker's free slots therefore belong
//! to one daemon, which all daemons compute alike from the same reports, by rendezvous
//! hashing.
//!
//! Without [`Demands::set_own`], all daemons with waiting items have the same weight, and
//! one in the worker's data centre precedes all others. With it, daemons with items that
//! can be in time precede the others, and weigh by the number of these items. If there are
//! few such items, they precede at a part of the workers only. A daemon of the previous
//! build does not report its demand; while one has items, the former rule holds.
//!
//! The owner may be unable to use a slot: its items need another service or version, or
//! are held back. A slot that stays free passes to the next daemon after
//! [`PASS_ON_AFTER`].

use crate::{Board, PlacementLimits, WorkerRecord, WorkerState, WorkerView};
use bluebellreel_types::{DataCentre, EntryName, Moment, WorkerName};
use std::cell::OnceCell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::hash::Hasher;
use std::time::Duration;
use twox_hash::XxHash64;

/// Limit on the waiting items that a daemon may report. A job has at most 64,000 items.
const MAX_ITEMS: u32 = 1_000_000;

/// Factor of the weight of daemons in a worker's data centre. An item's output, some
/// 15 KB, then rarely crosses data centres.
const LOCAL_WEIGHT: u32 = 4;

/// Free slots that each waiting item that can be in time claims, and its weight compared
/// with other items where slots are left. With one slot each, some items would find none,
/// as slots are divided by hashes; without a bound, one item that is held back for a moment
/// would keep all slots of the fleet from the others.
const URGENCY: u32 = 16;

/// How long a slot may stay free while its owner has items waiting. Owners start items
/// within 50 ms, as far as any can start.
const PASS_ON_AFTER: Duration = Duration::from_millis(300);
/// Time in which a free slot then passes through all daemons with waiting items. No slot
/// should be free for a second while items wait.
const PASS_ROUND: Duration = Duration::from_millis(600);
/// Minimum time for each of them, about the age of a report.
const MIN_TURN: Duration = Duration::from_millis(20);

/// Interval at which free slots are noted, as there may be thousands of workers.
const FREE_INTERVAL: Duration = Duration::from_millis(40);

/// Number of waiting items of one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    in_time: u32,
    late: u32,
}

impl Demand {
    /// A daemon's own demand, as far as it may be reported.
    #[must_use]
    pub fn new(in_time: usize, late: usize) -> Self {
        let bounded = |n| u32::try_from(n).unwrap_or(u32::MAX).min(MAX_ITEMS / 2);
        Self {
            in_time: bounded(in_time),
            late: bounded(late),
        }
    }

    /// Items that can be in time.
    #[must_use]
    pub fn in_time(self) -> u32 {
        self.in_time
    }

    /// The other items.
    #[must_use]
    pub fn late(self) -> u32 {
        self.late
    }
}

/// A number of waiting items that no daemon can have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ImpossibleDemand(u32);

impl fmt::Display for ImpossibleDemand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected at most {MAX_ITEMS} items, got {}", self.0)
    }
}

impl std::error::Error for ImpossibleDemand {}

impl TryFrom<(u32, u32)> for Demand {
    type Error = ImpossibleDemand;

    /// Checks the numbers of items that can be in time and of the others.
    fn try_from((in_time, late): (u32, u32)) -> Result<Self, Self::Error> {
        let items = in_time.saturating_add(late);
        if items > MAX_ITEMS {
            return Err(ImpossibleDemand(items));
        }
        Ok(Self { in_time, late })
    }
}

/// A peer's demand and the report that it is from.
#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    sequence: u64,
    /// None if the peer's build does not report it.
    demand: Option<Demand>,
}

/// A time during which a worker had free slots and no item started there.
#[derive(Clone, Copy, Debug)]
struct FreeSpell {
    since: Moment,
    /// Number of batch runs at the worker, which rises if an item starts.
    batch: u32,
}

/// Waiting items of all daemons, and since when slots are free.
#[derive(Clone, Debug, Default)]
pub struct Demands {
    own: Option<Demand>,
    peers: BTreeMap<EntryName, PeerDemand>,
    free: HashMap<WorkerName, FreeSpell>,
    /// When free slots are next noted.
    free_due: Moment,
}

impl Demands {
    /// Sets this daemon's demand; from then on, free slots are divided by demand. To place
    /// an item that cannot be in time, none of the items may count as such: they have been
    /// started, and their slots must not go to the item.
    pub fn set_own(&mut self, demand: Demand) {
        self.own = Some(demand);
    }

    /// Whether free slots are divided by demand.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.own.is_some()
    }

    /// Replaces a peer's demand unless a newer report is already known. It is none if the
    /// peer's build does not report it.
    pub fn hear(&mut self, peer: &EntryName, sequence: u64, demand: Option<Demand>) {
        let known = self.peers.get(peer).map_or(0, |p| p.sequence);
        if sequence > known {
            let heard = PeerDemand { sequence, demand };
            self.peers.insert(peer.clone(), heard);
        }
    }

    /// Forgets the peers whose load has expired.
    pub(crate) fn retain_peers(&mut self, is_known: impl Fn(&EntryName) -> bool) {
        self.peers.retain(|peer, _| is_known(peer));
    }

    /// Whether this daemon has waiting items.
    pub(crate) fn has_own(&self) -> bool {
        self.own.is_some_and(|d| d.in_time > 0 || d.late > 0)
    }

    /// Whether free slots are to be noted again.
    pub(crate) fn is_due(&self, now: Moment) -> bool {
        self.is_on() && self.free_due.is_past(now)
    }

    /// Forgets since when slots are free, as nobody has items for them.
    pub(crate) fn clear_free(&mut self) {
        self.free.clear();
    }

    /// Notes which workers have slots that batch items may use. Slots of a service whose
    /// free slots are all reserved for online requests are not among them.
    pub(crate) fn note_free<'a>(
        &mut self,
        limits: PlacementLimits,
        views: impl Iterator<Item = &'a WorkerView> + Clone,
        now: Moment,
    ) {
        self.free_due = now + FREE_INTERVAL;
        let is_ready = |s: &&WorkerView| s.record.state == WorkerState::Ready;
        let mut totals: BTreeMap<&str, SlotTotals> = BTreeMap::new();
        for view in views.clone().filter(is_ready) {
            totals.entry(&view.record.service).or_default().add(view);
        }
        let has_room = |view: &WorkerView| {
            let totals = totals.get(&*view.record.service);
            view.free() > 0 && totals.is_some_and(|totals| totals.has_room(limits))
        };
        let mut before = std::mem::take(&mut self.free);
        for view in views.filter(is_ready).filter(|view| has_room(view)) {
            let batch = view.running().batch;
            let known = before.remove_entry(&view.record.id);
            let (worker, mut spell) = known.unwrap_or_else(|| {
                let spell = FreeSpell { since: now, batch };
                (view.record.id.clone(), spell)
            });
            if batch > spell.batch {
                spell.since = now;
            }
            spell.batch = batch;
            self.free.insert(worker, spell);
        }
    }

    /// Which of `count` daemons in the order of their ranks owns a worker's free slots.
    fn turn(&self, worker: &WorkerName, count: usize, now: Moment) -> usize {
        let Some(spell) = self.free.get(worker) else {
            return 0;
        };
        let free_for = now.since(spell.since);
        let Some(passed_on_for) = free_for.checked_sub(PASS_ON_AFTER) else {
            return 0;
        };
        let divisor = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        let turn = (PASS_ROUND / divisor).max(MIN_TURN);
        let turns = passed_on_for.as_micros() / turn.as_micros();
        (1 + usize::try_from(turns).unwrap_or(0)) % count.max(1)
    }
}

/// A daemon that may own free slots.
struct Claimant<'a> {
    name: &'a EntryName,
    /// Hash of its name and a slash. Daemons of all versions rank alike, since two that did
    /// not would both take the same slots during an upgrade.
    prefix: XxHash64,
    /// Its data centre; none if it is unknown or does not count.
    data_centre: Option<&'a DataCentre>,
    /// Weight of its items that can be in time; zero if it has none. Weights are rounded up
    /// to powers of two so that small changes move nothing.
    in_time: u32,
    /// Weight of all its items.
    all: u32,
}

impl<'a> Claimant<'a> {
    /// `demand` is none if the daemon's build does not report it.
    fn new(
        name: &'a EntryName,
        data_centre: Option<&'a DataCentre>,
        demand: Option<Demand>,
    ) -> Self {
        let mut prefix = XxHash64::with_seed(0);
        prefix.write(name.as_str().as_bytes());
        prefix.write(b"/");
        let demand = demand.unwrap_or_default();
        let all = demand.in_time.saturating_mul(URGENCY);
        let all = all.saturating_add(demand.late).clamp(1, MAX_ITEMS);
        let in_time = if demand.in_time > 0 {
            demand.in_time.next_power_of_two()
        } else {
            0
        };
        Self {
            name,
            prefix,
            data_centre,
            in_time,
            all: all.next_power_of_two(),
        }
    }

    fn is_local(&self, worker: &WorkerRecord) -> bool {
        self.data_centre == Some(&worker.data_centre)
    }

    fn hash(&self, worker: &WorkerRecord) -> u64 {
        let mut score = self.prefix.clone();
        score.write(worker.id.as_str().as_bytes());
        score.finish()
    }

    /// Its rank for a worker's free slots; the highest one owns them.
    fn rank(&self, worker: &WorkerRecord) -> (bool, u64) {
        (self.is_local(worker), self.hash(worker))
    }

    /// Its rank for a worker's free slots by demand, which are for items that can be in time
    /// if there are enough of these.
    fn weighted_rank(&self, worker: &WorkerRecord, is_for_in_time: bool) -> WeightedRank<'a> {
        let hash = self.hash(worker);
        let has_in_time = is_for_in_time && self.in_time > 0;
        let weight = if has_in_time { self.in_time } else { self.all };
        let locality = if self.is_local(worker) {
            LOCAL_WEIGHT
        } else {
            1
        };
        WeightedRank {
            has_in_time,
            weight: weight.saturating_mul(locality),
            score: OnceCell::new(),
            hash,
            name: self.name,
        }
    }
}

/// A hash as a number between 0 and 1.
fn uniform(hash: u64) -> f64 {
    let upper = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    (f64::from(upper) + 0.5) / (f64::from(u32::MAX) + 1.0)
}

/// Rank of a daemon for a worker's free slots: daemons with items that can be in time
/// first, then by weighted rendezvous hashing. With equal weights, the order is that of
/// the hashes.
struct WeightedRank<'a> {
    has_in_time: bool,
    weight: u32,
    /// Computed when needed.
    score: OnceCell<f64>,
    hash: u64,
    name: &'a EntryName,
}

impl WeightedRank<'_> {
    fn score(&self) -> f64 {
        let score = || uniform(self.hash).ln() / f64::from(self.weight);
        *self.score.get_or_init(score)
    }

    fn cmp_score(&self, other: &Self) -> Ordering {
        if self.weight == other.weight {
            // Spares the logarithms, which are most of the time among many daemons.
            Ordering::Equal
        } else {
            self.score().total_cmp(&other.score())
        }
    }

    fn cmp(&self, other: &Self) -> Ordering {
        self.has_in_time
            .cmp(&other.has_in_time)
            .then_with(|| self.cmp_score(other))
            .then(self.hash.cmp(&other.hash))
            .then(self.name.cmp(other.name))
    }
}

/// This daemon and the peers that have items waiting.
pub(crate) struct Owners<'a> {
    demands: &'a Demands,
    own: Claimant<'a>,
    peers: Vec<Claimant<'a>>,
    /// Whether slots are divided by demand. A daemon of the previous build divides them
    /// evenly; while it has items, all others do so too, as each would otherwise take
    /// slots that the other considers its own.
    are_weighted: bool,
    /// Share of the workers whose free slots are for items that can be in time.
    in_time_share: f64,
    now: Moment,
}

impl<'a> Owners<'a> {
    /// While the data centre of some peer is unknown, data centres are ignored: two
    /// daemons that do not know each other's data centre would both consider themselves
    /// the only local one.
    pub(crate) fn new(
        board: &'a Board,
        me: &'a EntryName,
        ready: &[&WorkerView],
        now: Moment,
    ) -> Self {
        let demands = &board.demands;
        let peers = || board.peers_with_items().filter(|peer| *peer != me);
        let all_located = peers().all(|peer| board.data_centre_of(peer).is_some());
        let located = |peer| board.data_centre_of(peer).filter(|_| all_located);
        let demand_of = |peer| demands.peers.get(peer).and_then(|p| p.demand);
        let all_report = peers().all(|peer| demand_of(peer).is_some());
        let peers = peers().map(|peer| Claimant::new(peer, located(peer), demand_of(peer)));
        let own = Claimant::new(me, all_located.then_some(&board.local), demands.own);
        let peers: Vec<Claimant> = peers.collect();
        let in_time: f64 = peers
            .iter()
            .chain([&own])
            .map(|p| f64::from(p.in_time))
            .sum();
        // Starts of own items must not change the division before peers know of them.
        let for_batch = |s: &&WorkerView| s.record.slots.saturating_sub(s.running().online);
        let slots: u32 = if demands.is_on() {
            ready.iter().map(for_batch).sum()
        } else {
            0
        };
        let slots = f64::from(slots.max(1).next_power_of_two());
        Self {
            demands,
            are_weighted: demands.is_on() && all_report,
            own,
            peers,
            in_time_share: in_time * f64::from(URGENCY) / slots,
            now,
        }
    }

    /// Whether a worker's free slots are for items that can be in time.
    fn is_for_in_time(&self, worker: &WorkerRecord) -> bool {
        let hash = || XxHash64::oneshot(0, worker.id.as_str().as_bytes());
        self.in_time_share >= 1.0 || uniform(hash()) < self.in_time_share
    }

    /// Whether a worker's free slots belong to this daemon.
    pub(crate) fn owns(&self, worker: &WorkerRecord) -> bool {
        let count = self.peers.len() + 1;
        let turn = self.demands.turn(&worker.id, count, self.now);
        if !self.are_weighted {
            let mine = self.own.rank(worker);
            let precedes = |peer: &&Claimant| peer.rank(worker) >= mine;
            return self.peers.iter().filter(precedes).take(turn + 1).count() == turn;
        }
        let is_for_in_time = self.is_for_in_time(worker);
        let mine = self.own.weighted_rank(worker, is_for_in_time);
        let precedes = |peer: &&Claimant| {
            let theirs = peer.weighted_rank(worker, is_for_in_time);
            theirs.cmp(&mine).is_gt()
        };
        // Counts no further than needed, as there may be hundreds of peers.
        self.peers.iter().filter(precedes).take(turn + 1).count() == turn
    }
}

/// Free slots of some workers, and their online requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlotTotals {
    free: u32,
    online: u32,
}

impl SlotTotals {
    pub(crate) fn of<'a>(views: impl Iterator<Item = &'a WorkerView>) -> Self {
        let mut totals = Self::default();
        for view in views {
            totals.add(view);
        }
        totals
    }

    fn add(&mut self, view: &WorkerView) {
        self.free += view.free();
        self.online += view.running().online;
    }

    /// Whether more slots are free than must stay free for online requests.
    pub(crate) fn has_room(self, limits: PlacementLimits) -> bool {
        self.free > (self.online * limits.reserve_percent).div_ceil(100)
    }

    /// As [`Self::has_room`] for one of many daemons that divide slots by demand. If the
    /// reserve of each was rounded up, each would keep one of its few slots free.
    pub(crate) fn has_room_of_share(self, limits: PlacementLimits) -> bool {
        self.free > self.online * limits.reserve_percent / 100
    }
}
