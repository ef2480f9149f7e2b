//! Writes whose responses are lost, against the key-value stand-in.

use bluebellreel_kv::{Commit, Key, KvClient, KvSettings, Txn, Watch, WatchEvent};
use bluebellreel_standins::{KvFaults, KvLimits, StandIn, start_kv};
use bluebellreel_types::{Clock, Incarnation, Moment};
use std::time::Duration;

fn start() -> (StandIn, KvClient) {
    let address = "127.0.0.1:0".parse().expect("address");
    let stand_in = start_kv(address, KvLimits::default()).expect("started");
    let client = client_of(&stand_in, 1);
    (stand_in, client)
}

fn client_of(stand_in: &StandIn, run: u64) -> KvClient {
    let settings = KvSettings {
        url: stand_in.url(),
        call_timeout: Duration::from_secs(2),
        calls_per_second: 1_000,
    };
    KvClient::new(settings, Incarnation(run), Clock::start())
}

fn set_faults(stand_in: &StandIn, faults: &KvFaults) {
    ureq::post(format!("{}/stand-in/faults", stand_in.url()))
        .send_json(faults)
        .expect("faults set");
}

fn soon(client: &KvClient) -> Moment {
    client.now() + Duration::from_secs(5)
}

/// The write that accepts a job takes effect, but its response is lost. The client
/// must recognise its own write, instead of reporting that another writer was
/// faster or that nothing was written.
#[test]
fn lost_answer_is_found_to_be_applied_by_us() {
    let (stand_in, client) = start();
    let lose_answers = 1;
    set_faults(
        &stand_in,
        &KvFaults {
            lose_answers,
            ..KvFaults::default()
        },
    );
    let txn = Txn::create(Key::from("job/a"), b"first".to_vec());
    assert!(matches!(
        client.commit(&txn, soon(&client)),
        Commit::Applied { .. }
    ));
    let found = client
        .get(&Key::from("job/a"))
        .expect("read")
        .expect("there");
    assert_eq!(found.value, b"first");
}

/// Two writers change the manifest at the same revision. The one that loses must be
/// given the value that won, not be told that its own change is in force.
#[test]
fn beaten_writer_learns_what_won() {
    let (stand_in, client) = start();
    let key = Key::from("manifest");
    let first = Txn::create(key.clone(), b"one".to_vec());
    let Commit::Applied { revision } = client.commit(&first, soon(&client)) else {
        panic!("applied");
    };
    let other = client_of(&stand_in, 2);
    let change = |text: &str| Txn::replace(key.clone(), revision, text.as_bytes().to_vec());
    assert!(matches!(
        other.commit(&change("two"), soon(&other)),
        Commit::Applied { .. }
    ));
    let Commit::Beaten(found) = client.commit(&change("three"), soon(&client)) else {
        panic!("beaten");
    };
    assert_eq!(found[0].value, b"two");
}

/// A write that was answered "unavailable" may still have taken effect, so its
/// outcome is unknown, not "not done". Only a write that could not be sent is not
/// done.
#[test]
fn outage_is_unknown_and_a_dead_port_is_not_done() {
    let (stand_in, client) = start();
    set_faults(
        &stand_in,
        &KvFaults {
            down: true,
            ..KvFaults::default()
        },
    );
    let txn = Txn::create(Key::from("job/a"), Vec::new());
    let deadline = client.now() + Duration::from_millis(300);
    assert!(matches!(client.commit(&txn, deadline), Commit::Unknown(_)));
    let settings = KvSettings {
        url: "http://127.0.0.1:1".into(),
        call_timeout: Duration::from_secs(1),
        calls_per_second: 100,
    };
    let unreachable = KvClient::new(settings, Incarnation(3), Clock::start());
    let deadline = unreachable.now() + Duration::from_millis(300);
    assert!(matches!(
        unreachable.commit(&txn, deadline),
        Commit::NotDone(_)
    ));
}

/// A watch that resumes at the revision where an earlier one broke off must not
/// miss changes made between the two.
#[test]
fn resumed_watch_misses_nothing() {
    let (_stand_in, client) = start();
    let prefix = Key::from("job/");
    let put = |name: &str| {
        let txn = Txn::create(Key::from(name), b"x".to_vec());
        assert!(matches!(
            client.commit(&txn, soon(&client)),
            Commit::Applied { .. }
        ));
    };
    put("job/a");
    let mut watch = Watch::open(&client, &prefix, 1).expect("watch");
    assert_eq!(next_keys(&mut watch), ["job/a"]);
    let resume = watch.next_revision();
    drop(watch);
    put("job/b");
    put("other/c");
    put("job/d");
    let mut watch = Watch::open(&client, &prefix, resume).expect("watch");
    assert_eq!(next_keys(&mut watch), ["job/b", "job/d"]);
}

fn next_keys(watch: &mut Watch) -> Vec<String> {
    loop {
        let events = watch.wait().expect("open");
        if !events.is_empty() {
            return events.iter().map(key_of).collect();
        }
    }
}

fn key_of(event: &WatchEvent) -> String {
    match event {
        WatchEvent::Put(kv) => kv.key.to_string(),
        WatchEvent::Deleted { key, .. } => key.to_string(),
    }
}

/// Guards that a watch which breaks off before its first change does not pass over the
/// changes from before it was opened.
#[test]
fn a_watch_that_delivered_nothing_is_resumed_where_it_began() {
    let (_stand_in, client) = start();
    let prefix = Key::from("job/");
    let (_, revision) = client.list(&prefix).expect("listed");
    let txn = Txn::create(Key::from("job/a"), b"first".to_vec());
    let commit = client.commit(&txn, soon(&client));
    assert!(matches!(commit, Commit::Applied { .. }), "{commit:?}");
    let mut watch = Watch::open(&client, &prefix, revision + 1).expect("opened");
    let events = watch.wait().expect("a message");
    assert!(events.is_empty(), "{events:?}");
    assert_eq!(watch.next_revision(), revision + 1);
}
