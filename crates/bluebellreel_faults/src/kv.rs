//! The key-value service of a world: the stand-in's calls, with faults.

use crate::plan::{Fault, Plan, Step, Strike};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bluebellreel_kv::{KvError, KvTransport};
use bluebellreel_standins::KvCalls;
use bluebellreel_types::{Clock, Moment};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How much longer a slow call takes.
const SLOWNESS: Duration = Duration::from_millis(700);
/// Largest value.
const VALUE_BYTES: usize = 1 << 20;

/// A call whose sender was paused: it takes effect when the sender wakes.
struct HeldCall {
    path: String,
    body: Value,
}

/// The service's state and the faults to come.
pub struct FakeKv {
    calls: KvCalls,
    clock: Clock,
    down_until: Moment,
    slow_until: Moment,
    lose_answers: u32,
    strikes: Vec<Strike>,
    trouble: Duration,
    reached: BTreeMap<Step, u32>,
    /// Faults that struck and that the world must carry out, with the entry
    /// whose step it was.
    struck: Vec<(Strike, usize)>,
    /// Entries whose calls go nowhere: dead or paused.
    silent: BTreeSet<usize>,
    held: BTreeMap<usize, Vec<HeldCall>>,
    writes: u64,
    reads: u64,
}

/// A shared handle on the service.
#[derive(Clone)]
pub struct KvHandle(Arc<Mutex<FakeKv>>);

impl KvHandle {
    /// An empty service.
    #[must_use]
    pub fn new(clock: Clock, plan: &Plan) -> Self {
        Self(Arc::new(Mutex::new(FakeKv {
            calls: KvCalls::new(VALUE_BYTES),
            clock,
            down_until: Moment(0),
            slow_until: Moment(0),
            lose_answers: 0,
            strikes: plan.strikes.clone(),
            trouble: plan.trouble,
            reached: BTreeMap::new(),
            struck: Vec::new(),
            silent: BTreeSet::new(),
            held: BTreeMap::new(),
            writes: 0,
            reads: 0,
        })))
    }

    /// The transport of one entry daemon.
    #[must_use]
    pub fn transport(&self, entry: usize) -> KvTransport {
        let handle = self.clone();
        Box::new(move |path, body| handle.with(|kv| kv.receive(entry, path, body)))
    }

    /// Works on the state.
    ///
    /// # Panics
    ///
    /// Ends the test when a thread panicked while it held the state.
    pub fn with<T>(&self, work: impl FnOnce(&mut FakeKv) -> T) -> T {
        work(&mut self.0.lock().expect("the key-value service's lock"))
    }
}

impl FakeKv {
    /// Notes that a step is reached; the faults that strike now.
    pub fn reach(&mut self, step: Step) -> Vec<Strike> {
        let reached = self.reached.entry(step).or_default();
        *reached += 1;
        let now = *reached;
        let (hit, rest) = self
            .strikes
            .drain(..)
            .partition(|s| s.step == step && s.nth == now);
        self.strikes = rest;
        hit
    }

    /// Whether every planned fault has struck.
    #[must_use]
    pub fn all_struck(&self) -> bool {
        self.strikes.is_empty()
    }

    /// How often a step was reached.
    #[must_use]
    pub fn reached(&self, step: Step) -> u32 {
        self.reached.get(&step).copied().unwrap_or(0)
    }

    /// Writes and reads so far.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.writes, self.reads)
    }

    /// Takes the faults that the world must carry out.
    pub fn take_struck(&mut self) -> Vec<(Strike, usize)> {
        std::mem::take(&mut self.struck)
    }

    /// Whether a fault struck that the world has not carried out yet.
    #[must_use]
    pub fn has_struck(&self) -> bool {
        !self.struck.is_empty()
    }

    /// Starts an outage.
    pub fn go_down(&mut self) {
        self.down_until = self.clock.now() + self.trouble;
    }

    /// Starts a time of slowness.
    pub fn go_slow(&mut self) {
        self.slow_until = self.clock.now() + self.trouble;
    }

    /// Loses the answer of the next write.
    pub fn lose_answer(&mut self) {
        self.lose_answers += 1;
    }

    /// Lets an entry's calls go nowhere from now on, or come through again.
    pub fn set_silent(&mut self, entry: usize, silent: bool) {
        if silent {
            self.silent.insert(entry);
        } else {
            self.silent.remove(&entry);
        }
    }

    /// Lets the calls take effect that a paused entry had sent.
    pub fn release_held(&mut self, entry: usize) {
        let now = self.clock.now();
        self.calls.expire(now);
        for call in self.held.remove(&entry).unwrap_or_default() {
            self.calls.call(&call.path, &call.body, now).ok();
        }
    }

    /// Ends leases whose time is up.
    pub fn expire(&mut self) {
        let now = self.clock.now();
        self.calls.expire(now);
    }

    fn receive(&mut self, entry: usize, path: &str, body: &Value) -> Result<Value, KvError> {
        if self.silent.contains(&entry) {
            return Err(KvError::Unknown("the sender is dead or paused".into()));
        }
        let mut lose = false;
        let mut vm_lost = false;
        if let Some(step) = step_of(path, body) {
            for strike in self.reach(step) {
                match strike.fault {
                    Fault::KvDown => self.go_down(),
                    Fault::KvSlow => self.go_slow(),
                    Fault::AnswerLost => lose = true,
                    Fault::EntryDies => {
                        self.silent.insert(entry);
                        self.struck.push((strike, entry));
                        return Err(KvError::Unknown("the sender died".into()));
                    }
                    Fault::LeaseLapses => {
                        self.silent.insert(entry);
                        self.struck.push((strike, entry));
                        let call = HeldCall {
                            path: path.to_owned(),
                            body: body.clone(),
                        };
                        self.held.entry(entry).or_default().push(call);
                        return Err(KvError::Unknown("the sender was paused".into()));
                    }
                    Fault::VmLost => {
                        vm_lost = true;
                        self.struck.push((strike, entry));
                    }
                    _ => self.struck.push((strike, entry)),
                }
            }
        }
        let answer = self.answer(path, body, lose);
        if vm_lost {
            self.silent.insert(entry);
            return Err(KvError::Unknown("the sender's VM was lost".into()));
        }
        answer
    }

    fn answer(&mut self, path: &str, body: &Value, lose: bool) -> Result<Value, KvError> {
        let now = self.clock.now();
        if !self.slow_until.is_past(now) {
            self.clock.advance(SLOWNESS);
        }
        let now = self.clock.now();
        self.calls.expire(now);
        if !self.down_until.is_past(now) {
            return Err(KvError::Unknown("unavailable".into()));
        }
        let before = self.calls.revision();
        let answer = self.calls.call(path, body, now).map_err(KvError::Refused);
        let wrote = before != self.calls.revision();
        if wrote {
            self.writes += 1;
        } else {
            self.reads += 1;
        }
        if wrote && (lose || self.lose_answers > 0) {
            self.lose_answers = self.lose_answers.saturating_sub(1);
            return Err(KvError::Unknown("the answer was lost".into()));
        }
        answer
    }
}

fn text_of(value: &Value) -> String {
    let bytes = STANDARD.decode(value.as_str().unwrap_or(""));
    String::from_utf8_lossy(&bytes.unwrap_or_default()).into_owned()
}

/// The step that a call is.
fn step_of(path: &str, body: &Value) -> Option<Step> {
    if path == "/v3/kv/range" {
        let key = text_of(&body["key"]);
        return key.starts_with("out/").then_some(Step::ReadBack);
    }
    let put = &body["success"][0]["requestPut"];
    let key = text_of(&put["key"]);
    let prefix = key.split('/').next()?;
    match prefix {
        "in" => Some(Step::ChunkWrite),
        "sent" | "claim" => Some(Step::Claim),
        "out" => Some(Step::Record),
        "job" if body["compare"][0]["target"] == "CREATE" => Some(Step::Accept),
        "job" => Some(Step::Own),
        "done" => {
            let value = text_of(&put["value"]);
            value.contains("\"cancelled\"").then_some(Step::Cancel)
        }
        _ => None,
    }
}
