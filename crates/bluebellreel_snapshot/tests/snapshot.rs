//! What a keeper holds, and when it may be believed.

use bluebellreel_dispatch::{Boot, WorkerRecord, WorkerState};
use bluebellreel_members::Revisions;
use bluebellreel_snapshot::{
    BELIEVED, GatewayState, KnownGateway, ProgressBackups, SharedFacts, Snapshot, VisitOutcome,
    WorkerFact, after_visit,
};
use bluebellreel_types::{DataCentre, EntryName, JobId, Moment, WorkerName};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(9_000_000_000);

fn worker(id: &str, state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        id: WorkerName::from(id),
        boot: Some(Boot(7)),
        service: Arc::from("lm"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::from("hall"),
        slots: 8,
        state,
    }
}

fn fact(revision: i64, id: &str, state: Option<WorkerState>) -> WorkerFact {
    let record = state.map(|s| worker(id, s));
    (revision, WorkerName::from(id), record)
}

/// Facts of a gateway that has them from the store.
fn facts(configuration: i64, workers: Vec<WorkerFact>) -> SharedFacts {
    SharedFacts {
        configuration: Some((configuration, vec![1, 2, 3])),
        operator_seen: configuration,
        workers_seen: 50,
        workers,
        valid_for: None,
        is_full_list: false,
    }
}

fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    let ready = Some(WorkerState::Ready);
    assert!(snapshot.learn(facts(10, vec![fact(20, "a", ready), fact(21, "b", ready)])));
    snapshot.confirm(NOW);
    snapshot
}

fn workers(offer: &SharedFacts) -> Vec<(String, Option<WorkerState>)> {
    let all = offer.workers.iter();
    all.map(|(_, id, r)| (id.to_string(), r.as_ref().map(|r| r.state)))
        .collect()
}

/// A keeper was cut off while a worker left and the configuration changed. What
/// another gateway then says is older; taken over, a gateway would send work to
/// a worker that is gone.
#[test]
fn older_facts_replace_nothing() {
    let mut snapshot = snapshot();
    snapshot.learn(facts(30, vec![fact(40, "a", None)]));
    assert!(!snapshot.learn(facts(10, vec![fact(20, "a", Some(WorkerState::Ready))])));
    let offer = snapshot.offer(NOW).expect("it is young");
    assert_eq!(offer.configuration.as_ref().map(|(r, _)| *r), Some(30));
    let expected = [
        ("a".to_owned(), None),
        ("b".to_owned(), Some(WorkerState::Ready)),
    ];
    assert_eq!(workers(&offer), expected);
}

/// The store is away for very long. A snapshot from before says nothing of what
/// operators have changed by other ways since, and is not handed out any more.
#[test]
fn an_old_snapshot_is_not_handed_out() {
    let snapshot = snapshot();
    let minute = Duration::from_mins(1);
    let offer = snapshot.offer(NOW + minute);
    let left = offer.expect("a minute old").valid_for;
    assert_eq!(left, BELIEVED.checked_sub(minute));
    assert_eq!(snapshot.offer(NOW + BELIEVED), None);
    // The VM's clock was set back.
    let offer = snapshot.offer(Moment(NOW.0 - 5_000_000));
    assert_eq!(offer.expect("not older").valid_for, Some(BELIEVED));
}

#[test]
fn what_nobody_has_confirmed_is_not_handed_out() {
    let mut snapshot = Snapshot::default();
    snapshot.learn(facts(10, Vec::new()));
    assert_eq!(snapshot.offer(NOW), None);
    let mut empty = Snapshot::default();
    empty.confirm(NOW);
    assert_eq!(empty.offer(NOW), None, "no configuration");
}

/// A keeper starts again and reads its disk.
#[test]
fn what_was_written_is_read_again() {
    let mut before = snapshot();
    let gateway = KnownGateway {
        calls: "10.0.0.9:8166".parse().expect("an address"),
        data_centre: Some(DataCentre::from("hall")),
    };
    assert!(before.meet(EntryName::from("entry-1"), gateway.clone()));
    let after = Snapshot::try_from(before.encode().as_slice()).expect("it is one");
    assert_eq!(after.offer(NOW), before.offer(NOW));
    assert_eq!(after.newest(), before.newest());
    let known: Vec<_> = after.gateways().collect();
    assert_eq!(known, [(&EntryName::from("entry-1"), &gateway)]);
    assert!(Snapshot::try_from(&b"something else"[..]).is_err());
}

/// A peer names a gateway without saying where it stands: that it is near is
/// still known. At another address it is another VM.
#[test]
fn where_a_gateway_stands_is_not_forgotten() {
    let mut snapshot = Snapshot::default();
    let name = EntryName::from("entry-1");
    let at = |port: u16, place: Option<&str>| KnownGateway {
        calls: ([10, 0, 0, 9], port).into(),
        data_centre: place.map(DataCentre::from),
    };
    assert!(snapshot.meet(name.clone(), at(1, Some("hall"))));
    assert!(!snapshot.meet(name.clone(), at(1, None)));
    assert!(snapshot.meet(name.clone(), at(2, None)));
    snapshot.forget(&name);
    assert_eq!(snapshot.gateways().count(), 0);
}

fn gateway(configuration: i64, workers: i64) -> GatewayState {
    GatewayState {
        entry: EntryName::from("entry-1"),
        data_centre: DataCentre::from("hall"),
        newest: Revisions {
            configuration,
            workers,
        },
        from_store: true,
        reaches_store: true,
        wants_facts: false,
        peers: Vec::new(),
    }
}

/// All gateways live by a snapshot while the store is away, and keepers visit
/// them. Taken for confirmed by them, a snapshot would never grow old.
#[test]
fn only_the_store_s_word_is_taken_and_confirms() {
    let snapshot = snapshot();
    assert_eq!(
        after_visit(&snapshot, &gateway(10, 21)),
        VisitOutcome::Confirmed
    );
    assert_eq!(after_visit(&snapshot, &gateway(11, 21)), VisitOutcome::Ask);
    assert_eq!(after_visit(&snapshot, &gateway(10, 22)), VisitOutcome::Ask);
    assert_eq!(
        after_visit(&snapshot, &gateway(9, 21)),
        VisitOutcome::Nothing
    );
    let away = GatewayState {
        reaches_store: false,
        ..gateway(10, 21)
    };
    assert_eq!(after_visit(&snapshot, &away), VisitOutcome::Nothing);
    let by_snapshot = GatewayState {
        from_store: false,
        reaches_store: false,
        wants_facts: true,
        ..gateway(11, 22)
    };
    assert_eq!(after_visit(&snapshot, &by_snapshot), VisitOutcome::Nothing);
}

#[test]
fn a_gateway_that_finds_no_store_gets_what_there_is() {
    let snapshot = snapshot();
    let starting = GatewayState {
        from_store: false,
        reaches_store: false,
        wants_facts: true,
        ..gateway(0, 0)
    };
    assert_eq!(after_visit(&snapshot, &starting), VisitOutcome::Offer);
    // It has had an older snapshot from another keeper.
    let behind = GatewayState {
        newest: Revisions {
            configuration: 10,
            workers: 20,
        },
        ..starting
    };
    assert_eq!(after_visit(&snapshot, &behind), VisitOutcome::Offer);
}

proptest! {
    /// Facts come from many gateways, twice and in any order: what is held in the
    /// end does not depend on it.
    #[test]
    fn the_order_of_facts_does_not_matter(
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..30),
        kinds in prop::collection::vec((0usize..3, any::<Option<bool>>()), 1..10),
    ) {
        let share = |at: usize| {
            let revision = i64::try_from(at).expect("few") + 1;
            let (id, ready) = kinds[at];
            let state = ready.map(|r| if r { WorkerState::Ready } else { WorkerState::Draining });
            facts(revision, vec![fact(revision, ["a", "b", "c"][id], state)])
        };
        let mut straight = Snapshot::default();
        for at in 0..kinds.len() {
            straight.learn(share(at));
        }
        let mut shuffled = Snapshot::default();
        for index in order {
            shuffled.learn(share(index.index(kinds.len())));
        }
        for at in 0..kinds.len() {
            shuffled.learn(share(at));
        }
        straight.confirm(NOW);
        shuffled.confirm(NOW);
        prop_assert_eq!(straight.offer(NOW), shuffled.offer(NOW));
    }
}

/// Owners tell how far their jobs are, again and again. The newest word is kept,
/// within the bound, and for a while.
#[test]
fn progress_is_kept_within_its_bound() {
    let mut kept = ProgressBackups::new(10);
    let (one, two) = (JobId::from("j1"), JobId::from("j2"));
    let until = NOW + Duration::from_secs(9);
    kept.keep(one.clone(), vec![1; 8], until);
    kept.keep(one.clone(), vec![2; 6], until);
    kept.keep(two.clone(), vec![3; 5], until);
    assert_eq!(kept.get(&one), Some(&[2; 6][..]));
    assert_eq!(kept.get(&two), None, "over the bound");
    let mut again = ProgressBackups::new(10);
    again.read(&kept.encode()).expect("just written");
    assert_eq!(again, kept);
    assert!(again.read(b"something else").is_err());
    assert!(!kept.sweep(NOW));
    assert!(kept.sweep(until));
    assert_eq!(kept.bytes(), 0);
}
