//! Tests that send a non-repeatable call again while its first send is in progress.

use bluebellreel_claim::ClaimState;
use bluebellreel_entry::bench::EntryHarness;
use bluebellreel_kv::{KvError, KvTransport};
use bluebellreel_rpc::{EntryCommand, EntryNotice};
use bluebellreel_settings::parse_entry;
use bluebellreel_standins::KvCalls;
use bluebellreel_types::{
    Clock, DataCentre, Incarnation, ModelName, Moment, SideHello, TeamName, Work, WorkKind,
    WorkerName,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum size of a value in the key-value stand-in, in bytes.
const VALUE_BYTES: usize = 1 << 20;
/// Longer than a daemon's lease, shorter than the call's timeout.
const LEASE_EXPIRY: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_mins(2);

/// Two daemons that reach the same side process and key-value service.
struct TwoDaemons {
    clock: Clock,
    first: EntryHarness,
    other: EntryHarness,
}

impl TwoDaemons {
    fn new() -> Self {
        let clock = Clock::manual_at(Moment(1_700_000_000_000_000));
        let calls = Arc::new(Mutex::new(KvCalls::new(VALUE_BYTES)));
        let mut two = Self {
            first: entry("entry-0", transport(&calls, &clock), &clock),
            other: entry("entry-1", transport(&calls, &clock), &clock),
            clock,
        };
        two.first.renew_lease();
        two.other.renew_lease();
        two.first.read_all();
        two.other.read_all();
        two
    }

    /// Claims and sends a booking through the first daemon, and leaves its message in
    /// flight.
    fn book(&mut self) -> bluebellreel_entry::bench::HarnessCall {
        let call = self.first.call(booking(), self.clock.now() + CALL_TIMEOUT);
        while self.first.run_kv_task() {
            self.first.handle_messages();
        }
        let sent = commands(&mut self.first);
        let is_sent = |c: &EntryCommand| matches!(c, EntryCommand::Submit { .. });
        assert!(sent.iter().any(is_sent), "{sent:?}");
        call
    }

    /// Whether a resend through the other daemon cancels the booking if the side
    /// process has not received it yet.
    fn resend_cancels_call(&mut self) -> bool {
        let question = self.other.query_claim(&team(), "slot").expect("a claim");
        self.other.settle(&question);
        let claim = self.other.claim(&team(), "slot").expect("a claim");
        assert_eq!(claim.state, ClaimState::Pending);
        let sent = commands(&mut self.other);
        sent.iter()
            .any(|c| matches!(c, EntryCommand::Cancel { .. }))
    }
}

fn transport(calls: &Arc<Mutex<KvCalls>>, clock: &Clock) -> KvTransport {
    let (calls, clock) = (calls.clone(), clock.clone());
    Box::new(move |path, body| {
        let mut calls = calls.lock().expect("no test thread panicked");
        calls.expire(clock.now());
        calls
            .call(path, body, clock.now())
            .map_err(KvError::Refused)
    })
}

fn entry(name: &str, send: KvTransport, clock: &Clock) -> EntryHarness {
    let settings = format!(
        "name = \"{name}\"\ndata_centre = \"Sligo\"\nlisten = \"127.0.0.1:0\"\n\
         [platform]\nkv = \"http://127.0.0.1:1\"\nvm_list = \"http://127.0.0.1:1\"\n\
         kv_calls_per_second = 100000\n\
         [[teams]]\nname = \"school\"\ntoken_sha256 = \"{}\"\n",
        "0".repeat(64)
    );
    let settings = parse_entry("test", &settings).expect("valid settings");
    let mut harness = EntryHarness::new(settings, send, clock.clone());
    let (worker, data_centre) = (WorkerName::from("desk-0"), DataCentre::from("Sligo"));
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    harness.list(&[(worker.clone(), address, data_centre.clone())]);
    harness.notice(EntryNotice::Connected(SideHello {
        worker,
        incarnation: Incarnation(7),
        data_centre,
        models: vec![ModelName::from("desk")],
    }));
    commands(&mut harness);
    harness
}

fn commands(harness: &mut EntryHarness) -> Vec<EntryCommand> {
    std::iter::from_fn(|| harness.command()).collect()
}

fn team() -> TeamName {
    TeamName::from("school")
}

fn booking() -> Work {
    Work {
        kind: WorkKind::Call {
            method: Arc::from("POST"),
            path: Arc::from("/bookings"),
        },
        model: ModelName::from("desk"),
        body: Arc::from(*b"{}"),
        tokens: 1,
        prefix: 0,
        repeatable: false,
        key: Arc::from("slot"),
        team: team(),
    }
}

/// A caller sends the same call through two daemons at once. The second daemon must not
/// query the first call's outcome: the query can reach the side process before the call
/// itself. The side process then refuses the call, and both callers are told "not run"
/// although nothing failed.
#[test]
fn a_resend_does_not_cancel_a_call_in_progress() {
    let mut two = TwoDaemons::new();
    let _call = two.book();
    assert!(!two.resend_cancels_call());
}

/// The daemon that claimed a call has crashed. Only the side process knows the outcome,
/// so the other daemon queries it.
#[test]
fn a_call_of_a_crashed_daemon_is_queried() {
    let mut two = TwoDaemons::new();
    let _call = two.book();
    two.clock.advance(LEASE_EXPIRY);
    two.other.read_all();
    assert!(two.resend_cancels_call());
}

/// The daemon is up, but its call's deadline has passed and no outcome is recorded. The
/// other daemon queries the side process instead of waiting for the first daemon.
#[test]
fn a_call_past_its_deadline_is_queried() {
    let mut two = TwoDaemons::new();
    let _call = two.book();
    two.clock.advance(CALL_TIMEOUT * 2);
    two.first.renew_lease();
    two.other.read_all();
    assert!(two.resend_cancels_call());
}
