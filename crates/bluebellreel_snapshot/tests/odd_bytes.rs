//! Odd bytes in place of what daemons send each other, or have on their disks.

use bluebellreel_dispatch::{Boot, WorkerRecord, WorkerState};
use bluebellreel_snapshot::{
    GatewayState, KnownGateway, ProgressBackups, SharedFacts, Snapshot, Validity, read_slot,
    read_slots, write_slot,
};
use bluebellreel_types::{DataCentre, EntryName, JobId, Moment, WorkerName, WorkerVersion};
use proptest::prelude::*;
use std::sync::Arc;
use std::time::Duration;

const NOW: Moment = Moment(9_000_000_000);

/// A worker whose every field is as odd as an accepted entry may make it.
fn odd_worker() -> impl Strategy<Value = WorkerRecord> {
    let address =
        (any::<[u8; 4]>(), 1u16..).prop_map(|(ip, port)| std::net::SocketAddr::from((ip, port)));
    let six =
        (any::<[u16; 8]>(), 1u16..).prop_map(|(ip, port)| std::net::SocketAddr::from((ip, port)));
    (
        ("[!-~]{1,200}", "\\PC{1,60}", "\\PC{1,60}", "\\PC{0,60}"),
        prop_oneof![address, six],
        prop::option::of(any::<u64>()),
        any::<u32>(),
        any::<bool>(),
    )
        .prop_map(
            |((id, service, zone, version), address, boot, slots, is_ready)| WorkerRecord {
                id: WorkerName::from(id),
                boot: boot.map(Boot),
                version: Some(WorkerVersion::from(version)),
                service: Arc::from(service),
                address,
                data_centre: DataCentre::from(zone),
                slots,
                state: if is_ready {
                    WorkerState::Ready
                } else {
                    WorkerState::Draining
                },
            },
        )
}

fn odd_facts() -> impl Strategy<Value = SharedFacts> {
    let worker = (1..=i64::MAX, "\\PC{0,60}", prop::option::of(odd_worker()));
    let configuration = (any::<i64>(), prop::collection::vec(any::<u8>(), 0..99));
    (
        prop::option::of(configuration),
        any::<i64>(),
        any::<i64>(),
        prop::collection::vec(worker, 0..20),
        prop::option::of(any::<Duration>()),
    )
        .prop_map(
            |(configuration, operator_seen, workers_seen, workers, valid_for)| {
                let fact = |(revision, id, record): (i64, String, Option<WorkerRecord>)| {
                    let id = record
                        .as_ref()
                        .map_or_else(|| WorkerName::from(id), |r| r.id.clone());
                    (revision, id, record)
                };
                SharedFacts {
                    configuration,
                    operator_seen,
                    workers_seen,
                    workers: workers.into_iter().map(fact).collect(),
                    valid_for,
                    is_full_list: false,
                }
            },
        )
}

/// Sound bytes of each kind.
fn sound(facts: &SharedFacts) -> [Vec<u8>; 4] {
    let mut snapshot = Snapshot::default();
    snapshot.merge(facts.clone());
    let calls = "10.0.0.1:80".parse().expect("an address");
    let gateway = KnownGateway {
        calls,
        data_centre: Some(DataCentre::from("hall")),
    };
    snapshot.add_gateway(EntryName::from("g"), gateway);
    snapshot.confirm(NOW);
    let state = GatewayState {
        entry: EntryName::from("g"),
        data_centre: DataCentre::from("hall"),
        newest: snapshot.newest(),
        from_store: true,
        reaches_store: true,
        wants_facts: false,
        peers: vec![(EntryName::from("p"), calls)],
    };
    let mut progress = ProgressBackups::new(1_000);
    progress.keep(JobId::from("j"), vec![1, 2, 3], NOW);
    [
        facts.encode(),
        snapshot.encode(),
        postcard::to_allocvec(&(state, vec![calls])).expect("plain data"),
        progress.encode(),
    ]
}

/// Uses facts as a keeper and a gateway do.
fn use_facts(facts: SharedFacts, is_full_list: bool) -> [Snapshot; 2] {
    let facts = SharedFacts {
        is_full_list,
        ..facts
    };
    let mut validity = Validity::default();
    validity.merge(None, &facts, NOW);
    let _ = (validity.left(NOW), validity.is_over(NOW));
    let mut snapshot = Snapshot::default();
    snapshot.merge(facts.clone());
    snapshot.merge(facts);
    snapshot.confirm(NOW);
    let again = Snapshot::try_from(&*snapshot.encode()).expect("a snapshot");
    if let Some(offered) = again.offer(NOW + Duration::from_secs(1)) {
        assert!(SharedFacts::decode(&offered.encode()).is_ok());
    }
    [snapshot, again]
}

fn read_everywhere(bytes: &[u8]) {
    if let Ok(facts) = SharedFacts::decode(bytes) {
        use_facts(facts.clone(), false);
        use_facts(facts, true);
    }
    if let Ok(snapshot) = Snapshot::try_from(bytes) {
        let _ = (snapshot.offer(NOW), snapshot.encode());
    }
    let _ = postcard::take_from_bytes::<GatewayState>(bytes);
    let mut progress = ProgressBackups::new(1_000);
    let _ = progress.read(bytes);
    progress.sweep(NOW);
    assert!(progress.bytes() <= 1_000);
    let _ = read_slot(bytes);
    let _ = read_slots(bytes).count();
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Guards that odd entries which are accepted are passed on whole, with their versions.
    #[test]
    fn odd_facts_are_passed_on_whole(facts in odd_facts()) {
        let read = SharedFacts::decode(&facts.encode());
        prop_assert_eq!(read.as_ref(), Ok(&facts));
        for is_full_list in [false, true] {
            let [written, read] = use_facts(facts.clone(), is_full_list);
            prop_assert!(written.workers().eq(read.workers()));
        }
    }

    /// Guards that arbitrary bytes end no process that decodes them.
    #[test]
    fn arbitrary_bytes_are_read_or_refused(
        bytes in prop::collection::vec(any::<u8>(), 0..2_000),
        sequence in any::<u64>(),
    ) {
        read_everywhere(&bytes);
        let slot = write_slot(sequence, &bytes);
        prop_assert_eq!(read_slot(&slot), Ok((sequence, &*bytes)));
        read_everywhere(&slot[..slot.len() / 2]);
    }

    /// Guards that sound bytes with some changed, lost or added end no process: lengths far
    /// beyond the end, in particular.
    #[test]
    fn changed_bytes_are_read_or_refused(
        facts in odd_facts(),
        which in 0usize..4,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4),
        cut in prop::option::of(any::<prop::sample::Index>()),
    ) {
        let mut bytes = sound(&facts)[which].clone();
        for (at, byte) in changes {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        read_everywhere(&bytes);
        let mut slot = write_slot(7, &bytes);
        if let Some(cut) = cut {
            let cut = cut.index(slot.len());
            slot[cut] ^= 0xff;
            slot.truncate(cut + 9);
        }
        read_everywhere(&slot);
    }
}
