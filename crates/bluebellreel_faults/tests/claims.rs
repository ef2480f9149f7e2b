//! A call that may not be repeated, sent again while the first one is under way.

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

/// Room of the key-value stand-in's values.
const VALUE_BYTES: usize = 1 << 20;
/// Longer than a daemon's lease lasts, shorter than the call.
const LEASE_ENDS: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_mins(2);

/// Two daemons that reach the same side process and key-value service.
struct TwoDaemons {
    clock: Clock,
    first: EntryHarness,
    other: EntryHarness,
}

impl TwoDaemons {
    fn new() -> Self {
        let clock = Clock::standing_at(Moment(1_700_000_000_000_000));
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

    /// The first daemon claims a booking and sends it; its message is under way.
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

    /// Whether a resend through the other daemon puts an end to the booking, if
    /// its side process has not seen it yet.
    fn resend_ends_it(&mut self) -> bool {
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
    let mut bench = EntryHarness::new(settings, send, clock.clone());
    let (worker, data_centre) = (WorkerName::from("desk-0"), DataCentre::from("Sligo"));
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    bench.list(&[(worker.clone(), address, data_centre.clone())]);
    bench.notice(EntryNotice::Connected(SideHello {
        worker,
        incarnation: Incarnation(7),
        data_centre,
        models: vec![ModelName::from("desk")],
    }));
    commands(&mut bench);
    bench
}

fn commands(bench: &mut EntryHarness) -> Vec<EntryCommand> {
    std::iter::from_fn(|| bench.command()).collect()
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

/// A member sends a confirmation through two daemons at once. The second one
/// asked the side process what became of the first, and its question came
/// before the call itself: the side process refused the call from then on, and
/// both members' windows said "not run" though nothing was wrong.
#[test]
fn a_resend_does_not_end_a_call_under_way() {
    let mut two = TwoDaemons::new();
    let _call = two.book();
    assert!(!two.resend_ends_it());
}

/// The daemon that claimed a call is gone. Nobody but its side process can tell
/// what became of it, so it is asked.
#[test]
fn a_call_of_a_daemon_that_is_gone_is_asked_for() {
    let mut two = TwoDaemons::new();
    let _call = two.book();
    two.clock.advance(LEASE_ENDS);
    two.other.read_all();
    assert!(two.resend_ends_it());
}

/// The daemon lives, but the time of its call is over and its end not recorded.
/// Members do not wait for that daemon any longer.
#[test]
fn a_call_whose_time_is_over_is_asked_for() {
    let mut two = TwoDaemons::new();
    let _call = two.book();
    two.clock.advance(CALL_TIMEOUT * 2);
    two.first.renew_lease();
    two.other.read_all();
    assert!(two.resend_ends_it());
}
