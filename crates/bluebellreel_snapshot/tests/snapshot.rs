//! Contents, validity and confirmation of a keeper's snapshot.

use bluebellreel_dispatch::{Boot, WorkerRecord, WorkerState};
use bluebellreel_members::Revisions;
use bluebellreel_snapshot::{
    CountsOrder, GatewayState, KnownGateway, ProgressBackups, SNAPSHOT_TTL, SharedFacts, Snapshot,
    VisitOutcome, WorkerFact, visit_outcome,
};
use bluebellreel_types::{DataCentre, EntryName, JobId, Moment, WorkerName, WorkerVersion};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(9_000_000_000);

fn worker(id: &str, state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        id: WorkerName::from(id),
        boot: Some(Boot(7)),
        version: None,
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
    assert!(snapshot.merge(facts(10, vec![fact(20, "a", ready), fact(21, "b", ready)])));
    snapshot.confirm(NOW);
    snapshot
}

fn workers(offer: &SharedFacts) -> Vec<(String, Option<WorkerState>)> {
    let all = offer.workers.iter();
    all.map(|(_, id, r)| (id.to_string(), r.as_ref().map(|r| r.state)))
        .collect()
}

/// A keeper was cut off while a worker left and the configuration changed. Another
/// gateway then reports older facts. If the keeper merged them, a gateway would send
/// work to a worker that is gone.
#[test]
fn older_facts_replace_nothing() {
    let mut snapshot = snapshot();
    snapshot.merge(facts(30, vec![fact(40, "a", None)]));
    assert!(!snapshot.merge(facts(10, vec![fact(20, "a", Some(WorkerState::Ready))])));
    let offer = snapshot.offer(NOW).expect("still valid");
    assert_eq!(offer.configuration.as_ref().map(|(r, _)| *r), Some(30));
    let expected = [
        ("a".to_owned(), None),
        ("b".to_owned(), Some(WorkerState::Ready)),
    ];
    assert_eq!(workers(&offer), expected);
}

/// The store is unavailable for very long. An old snapshot lacks changes that operators
/// have made by other means since, so it is no longer handed out.
#[test]
fn an_old_snapshot_is_not_handed_out() {
    let snapshot = snapshot();
    let minute = Duration::from_mins(1);
    let offer = snapshot.offer(NOW + minute);
    let left = offer.expect("a minute old").valid_for;
    assert_eq!(left, SNAPSHOT_TTL.checked_sub(minute));
    assert_eq!(snapshot.offer(NOW + SNAPSHOT_TTL), None);
    // The VM's clock was set back.
    let offer = snapshot.offer(Moment(NOW.0 - 5_000_000));
    assert_eq!(offer.expect("age of zero").valid_for, Some(SNAPSHOT_TTL));
}

#[test]
fn an_unconfirmed_snapshot_is_not_handed_out() {
    let mut snapshot = Snapshot::default();
    snapshot.merge(facts(10, Vec::new()));
    assert_eq!(snapshot.offer(NOW), None);
    let mut empty = Snapshot::default();
    empty.confirm(NOW);
    assert_eq!(empty.offer(NOW), None, "no configuration");
}

/// A keeper that restarts reads the same snapshot from its disk.
#[test]
fn a_written_snapshot_is_read_again() {
    let mut before = snapshot();
    let gateway = KnownGateway {
        calls: "10.0.0.9:8166".parse().expect("an address"),
        data_centre: Some(DataCentre::from("hall")),
    };
    assert!(before.add_gateway(EntryName::from("entry-1"), gateway.clone()));
    let after = Snapshot::try_from(before.encode().as_slice()).expect("an encoded snapshot");
    assert_eq!(after.offer(NOW), before.offer(NOW));
    assert_eq!(after.newest(), before.newest());
    let known: Vec<_> = after.gateways().collect();
    assert_eq!(known, [(&EntryName::from("entry-1"), &gateway)]);
    assert!(Snapshot::try_from(&b"something else"[..]).is_err());
}

/// A peer reports a gateway without its data centre: the known data centre is kept. At
/// another address the gateway is another VM.
#[test]
fn the_data_centre_of_a_gateway_is_kept() {
    let mut snapshot = Snapshot::default();
    let name = EntryName::from("entry-1");
    let at = |port: u16, place: Option<&str>| KnownGateway {
        calls: ([10, 0, 0, 9], port).into(),
        data_centre: place.map(DataCentre::from),
    };
    assert!(snapshot.add_gateway(name.clone(), at(1, Some("hall"))));
    assert!(!snapshot.add_gateway(name.clone(), at(1, None)));
    assert!(snapshot.add_gateway(name.clone(), at(2, None)));
    snapshot.remove_gateway(&name);
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

/// All gateways run on a snapshot while the store is unavailable, and keepers visit
/// them. If such gateways confirmed the snapshot, it would never expire.
#[test]
fn only_facts_from_the_store_are_fetched_and_confirm() {
    let snapshot = snapshot();
    assert_eq!(
        visit_outcome(&snapshot, &gateway(10, 21)),
        VisitOutcome::Confirmed
    );
    assert_eq!(
        visit_outcome(&snapshot, &gateway(11, 21)),
        VisitOutcome::FetchFacts
    );
    assert_eq!(
        visit_outcome(&snapshot, &gateway(10, 22)),
        VisitOutcome::FetchFacts
    );
    assert_eq!(
        visit_outcome(&snapshot, &gateway(9, 21)),
        VisitOutcome::Nothing
    );
    let cut_off = GatewayState {
        reaches_store: false,
        ..gateway(10, 21)
    };
    assert_eq!(visit_outcome(&snapshot, &cut_off), VisitOutcome::Nothing);
    let by_snapshot = GatewayState {
        from_store: false,
        reaches_store: false,
        wants_facts: true,
        ..gateway(11, 22)
    };
    assert_eq!(
        visit_outcome(&snapshot, &by_snapshot),
        VisitOutcome::Nothing
    );
}

#[test]
fn a_gateway_without_the_store_gets_the_snapshot() {
    let snapshot = snapshot();
    let starting = GatewayState {
        from_store: false,
        reaches_store: false,
        wants_facts: true,
        ..gateway(0, 0)
    };
    assert_eq!(
        visit_outcome(&snapshot, &starting),
        VisitOutcome::OfferSnapshot
    );
    // A gateway that has an older snapshot from another keeper.
    let behind = GatewayState {
        newest: Revisions {
            configuration: 10,
            workers: 20,
        },
        ..starting
    };
    assert_eq!(
        visit_outcome(&snapshot, &behind),
        VisitOutcome::OfferSnapshot
    );
}

proptest! {
    /// Facts arrive from many gateways, repeatedly and in any order. The final snapshot
    /// does not depend on the order.
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
            straight.merge(share(at));
        }
        let mut shuffled = Snapshot::default();
        for index in order {
            shuffled.merge(share(index.index(kinds.len())));
        }
        for at in 0..kinds.len() {
            shuffled.merge(share(at));
        }
        straight.confirm(NOW);
        shuffled.confirm(NOW);
        prop_assert_eq!(straight.offer(NOW), shuffled.offer(NOW));
    }
}

/// Owners send the progress of their jobs repeatedly. The latest backup is kept, within
/// the limit and until it expires.
#[test]
fn progress_backups_stay_within_their_limit() {
    let mut backups = ProgressBackups::new(10);
    let (one, two) = (JobId::from("j1"), JobId::from("j2"));
    let expires_at = NOW + Duration::from_secs(9);
    backups.keep(one.clone(), vec![1; 8], expires_at);
    backups.keep(one.clone(), vec![2; 6], expires_at);
    backups.keep(two.clone(), vec![3; 5], expires_at);
    assert_eq!(backups.get(&one), Some(&[2; 6][..]));
    assert_eq!(backups.get(&two), None, "over the limit");
    let mut again = ProgressBackups::new(10);
    again.read(&backups.encode()).expect("just written");
    assert_eq!(again, backups);
    assert!(again.read(b"something else").is_err());
    assert!(!backups.sweep(NOW));
    assert!(backups.sweep(expires_at));
    assert_eq!(backups.bytes(), 0);
}

fn versioned(id: &str, version: &str) -> WorkerRecord {
    WorkerRecord {
        version: Some(WorkerVersion::from(version)),
        ..worker(id, WorkerState::Ready)
    }
}

#[test]
fn versions_of_workers_are_passed_on_and_stored() {
    let fact = |id: &str, version| (20, WorkerName::from(id), Some(versioned(id, version)));
    let removed = (21, WorkerName::from("c"), None);
    let sent = facts(10, vec![fact("a", "v1"), removed, fact("b", "v2")]);
    let read = SharedFacts::decode(&sent.encode()).expect("facts");
    assert_eq!(read, sent);
    let mut snapshot = Snapshot::default();
    snapshot.merge(read);
    snapshot.confirm(NOW);
    let stored = Snapshot::try_from(&*snapshot.encode()).expect("a snapshot");
    let offered = stored.offer(NOW).expect("an offer");
    let versions: Vec<_> = offered
        .workers
        .iter()
        .map(|(.., r)| r.as_ref()?.version.clone())
        .collect();
    assert!(
        versions.contains(&Some(WorkerVersion::from("v1"))),
        "{versions:?}"
    );
    assert!(
        versions.contains(&Some(WorkerVersion::from("v2"))),
        "{versions:?}"
    );
}

/// Facts of a daemon of an earlier build, which ends its message before the versions, must
/// still be read; and such a daemon must still read facts that have them.
#[test]
fn facts_without_versions_are_read() {
    let sent = facts(
        10,
        vec![(20, WorkerName::from("a"), Some(versioned("a", "v1")))],
    );
    let earlier = postcard::to_allocvec(&sent).expect("facts");
    let read = SharedFacts::decode(&earlier).expect("facts");
    assert_eq!(read.workers[0].2.as_ref().expect("a record").version, None);
    let read: SharedFacts = postcard::from_bytes(&sent.encode()).expect("facts");
    assert_eq!(read.workers.len(), 1);
}

fn counts(record: i64, number: u64, failures: u32) -> Vec<u8> {
    postcard::to_allocvec(&(CountsOrder { record, number }, failures)).expect("plain data")
}

/// A copy of counts that arrived late replaced a newer one.
#[test]
fn older_counts_do_not_replace_newer_ones() {
    let id = JobId::from("a");
    let mut backups = ProgressBackups::new(100);
    assert!(backups.keep_counts(id.clone(), counts(5, 2, 2), NOW));
    assert!(!backups.keep_counts(id.clone(), counts(5, 1, 1), NOW));
    assert!(!backups.keep_counts(id.clone(), counts(4, 9, 1), NOW));
    assert_eq!(backups.counts(&id), Some(&*counts(5, 2, 2)));
    assert!(backups.keep_counts(id.clone(), counts(6, 1, 3), NOW));
    let mut again = ProgressBackups::new(100);
    again.read(&backups.encode()).expect("encoded backups");
    assert_eq!(again, backups);
    again.sweep(NOW + Duration::from_millis(1));
    assert_eq!((again.counts(&id), again.bytes()), (None, 0));
}

/// A keeper acknowledged counts that it had no room for.
#[test]
fn counts_beyond_the_limit_are_refused() {
    let id = JobId::from("a");
    let mut backups = ProgressBackups::new(4);
    assert!(backups.keep_counts(id.clone(), counts(1, 1, 1), NOW));
    let other = JobId::from("b");
    assert!(!backups.keep_counts(other, counts(1, 1, 1), NOW));
    assert!(
        backups.keep_counts(id, counts(2, 1, 1), NOW),
        "in place of the first"
    );
}
