//! Keys of other writers that are no text, among those of the system.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bluebellreel_kv::{Commit, Key, KvClient, KvError, KvSettings, Txn, Watch, WatchEvent};
use bluebellreel_standins::{KvLimits, StandIn, start_kv};
use bluebellreel_types::{Clock, Incarnation};
use serde_json::json;
use std::time::Duration;

/// Number and size of values whose changes are together more than a watch takes at once.
const LARGE_VALUES: usize = 14;
const LARGE_BYTES: usize = 1_000_000;
/// More than a page of a list has.
const ODD_KEYS: usize = 1_200;

fn start() -> (StandIn, KvClient) {
    let address = "127.0.0.1:0".parse().expect("address");
    let stand_in = start_kv(address, KvLimits::default()).expect("started");
    let settings = KvSettings {
        url: stand_in.url(),
        call_timeout: Duration::from_secs(2),
        calls_per_second: 1_000,
    };
    let client = KvClient::new(settings, Incarnation(1), Clock::start());
    (stand_in, client)
}

/// Writes keys of any bytes, with a value of any bytes.
fn put_odd(stand_in: &StandIn, keys: &[Vec<u8>]) {
    for part in keys.chunks(100) {
        let puts: Vec<_> = part
            .iter()
            .map(|key| {
                let value = STANDARD.encode([0xff, 0, b'\n', 0xfe]);
                json!({"requestPut": {"key": STANDARD.encode(key), "value": value}})
            })
            .collect();
        ureq::post(format!("{}/v3/kv/txn", stand_in.url()))
            .send_json(json!({"compare": [], "success": puts, "failure": []}))
            .expect("written");
    }
}

fn put(client: &KvClient, key: &str) {
    let txn = Txn::create(Key::from(key), b"sound".to_vec());
    let commit = client.commit(&txn, client.now() + Duration::from_secs(5));
    assert!(matches!(commit, Commit::Applied { .. }), "{commit:?}");
}

/// Guards that keys which are no text hide no others in a list, a page or a watch.
#[test]
fn keys_that_are_no_text_hide_no_others() {
    let (stand_in, client) = start();
    let prefix = Key::from("worker/");
    put(&client, "worker/a");
    let (_, revision) = client.list(&prefix).expect("listed");
    // They sort between the sound ones, and fill whole pages.
    let odd = (0..ODD_KEYS).map(|n| [b"worker/b\xff", n.to_string().as_bytes()].concat());
    put_odd(&stand_in, &odd.collect::<Vec<_>>());
    put(&client, "worker/c");
    let (all, _) = client.list(&prefix).expect("listed");
    let keys: Vec<&str> = all.iter().map(|kv| kv.key.as_str()).collect();
    assert_eq!(keys, ["worker/a", "worker/c"]);
    let after = Key::from("worker/b");
    let (page, more) = client
        .range_page(&after, &prefix.prefix_end(), 10, false)
        .expect("a page");
    assert_eq!(page[0].key, Key::from("worker/c"));
    assert!(!more);
    let mut watch = Watch::open(&client, &prefix, revision + 1).expect("opened");
    loop {
        let events = watch.wait().expect("events");
        let is_sound =
            |e: &WatchEvent| matches!(e, WatchEvent::Put(kv) if kv.key == Key::from("worker/c"));
        if events.iter().any(is_sound) {
            break;
        }
    }
}

/// Guards that a watch which can never be read is not opened again without end, but given up
/// for a list.
#[test]
fn a_watch_with_too_many_bytes_asks_for_a_list() {
    let (_stand_in, client) = start();
    let prefix = Key::from("worker/");
    let (_, revision) = client.list(&prefix).expect("listed");
    for n in 0..LARGE_VALUES {
        let key = Key::from(format!("worker/{n}"));
        let txn = Txn::create(key, vec![b'['; LARGE_BYTES]);
        let commit = client.commit(&txn, client.now() + Duration::from_secs(5));
        assert!(matches!(commit, Commit::Applied { .. }), "{commit:?}");
    }
    let mut watch = Watch::open(&client, &prefix, revision + 1).expect("opened");
    let read = loop {
        match watch.wait() {
            Ok(events) if events.is_empty() => {}
            read => break read,
        }
    };
    assert!(matches!(read, Err(KvError::Refused(_))), "{read:?}");
    let (all, _) = client.list(&prefix).expect("listed");
    assert_eq!(all.len(), LARGE_VALUES);
}
