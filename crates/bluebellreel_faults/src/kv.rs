//! The key-value service of a simulation: the stand-in's calls, with injected faults.

use crate::plan::{Fault, Injection, Plan, Step};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bluebellreel_kv::{KvError, KvTransport};
use bluebellreel_standins::KvCalls;
use bluebellreel_types::{Clock, Moment};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Additional duration of a call while the service is slow.
const SLOW_CALL_DELAY: Duration = Duration::from_millis(700);
/// Maximum size of a value, in bytes.
const VALUE_BYTES: usize = 1 << 20;

/// A call whose sender was paused; it takes effect when the sender resumes.
struct HeldCall {
    path: String,
    body: Value,
}

/// The service's state and the faults that have not been injected yet.
pub struct FakeKv {
    calls: KvCalls,
    clock: Clock,
    down_until: Moment,
    slow_until: Moment,
    lose_answers: u32,
    injections: Vec<Injection>,
    kv_fault_duration: Duration,
    reached: BTreeMap<Step, u32>,
    /// Faults that were injected and that the simulation has not applied yet, each with the
    /// index of the entry daemon that made the call.
    injected: Vec<(Injection, usize)>,
    /// Entry daemons that crashed or are paused; their calls fail.
    cut_off: BTreeSet<usize>,
    held_calls: BTreeMap<usize, Vec<HeldCall>>,
    writes: u64,
    reads: u64,
}

/// A shared handle to the service.
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
            injections: plan.injections.clone(),
            kv_fault_duration: plan.kv_fault_duration,
            reached: BTreeMap::new(),
            injected: Vec::new(),
            cut_off: BTreeSet::new(),
            held_calls: BTreeMap::new(),
            writes: 0,
            reads: 0,
        })))
    }

    /// The transport through which one entry daemon calls the service.
    #[must_use]
    pub fn transport(&self, entry: usize) -> KvTransport {
        let handle = self.clone();
        Box::new(move |path, body| handle.with(|kv| kv.receive(entry, path, body)))
    }

    /// Runs `work` on the service's state.
    ///
    /// # Panics
    ///
    /// Panics if a thread panicked while it held the state.
    pub fn with<T>(&self, work: impl FnOnce(&mut FakeKv) -> T) -> T {
        work(
            &mut self
                .0
                .lock()
                .expect("no thread panicked while it held the key-value service"),
        )
    }
}

impl FakeKv {
    /// Counts that a step is reached and takes the faults that are to be injected now.
    pub fn reach_step(&mut self, step: Step) -> Vec<Injection> {
        let reached = self.reached.entry(step).or_default();
        *reached += 1;
        let now = *reached;
        let (due, rest) = self
            .injections
            .drain(..)
            .partition(|s| s.step == step && s.nth == now);
        self.injections = rest;
        due
    }

    /// Whether every planned fault has been injected.
    #[must_use]
    pub fn all_injected(&self) -> bool {
        self.injections.is_empty()
    }

    /// The number of times that a step was reached.
    #[must_use]
    pub fn reached(&self, step: Step) -> u32 {
        self.reached.get(&step).copied().unwrap_or(0)
    }

    /// The number of writes and of reads so far.
    #[must_use]
    pub fn counts(&self) -> (u64, u64) {
        (self.writes, self.reads)
    }

    /// Takes the injected faults that the simulation must apply.
    pub fn take_injected(&mut self) -> Vec<(Injection, usize)> {
        std::mem::take(&mut self.injected)
    }

    /// Whether an injected fault has not been applied by the simulation yet.
    #[must_use]
    pub fn has_injected(&self) -> bool {
        !self.injected.is_empty()
    }

    /// Makes the service unavailable for the plan's duration.
    pub fn go_down(&mut self) {
        self.down_until = self.clock.now() + self.kv_fault_duration;
    }

    /// Makes calls slow for the plan's duration.
    pub fn go_slow(&mut self) {
        self.slow_until = self.clock.now() + self.kv_fault_duration;
    }

    /// Drops the response of the next write.
    pub fn lose_answer(&mut self) {
        self.lose_answers += 1;
    }

    /// Makes an entry daemon's calls fail from now on, or succeed again.
    pub fn set_cut_off(&mut self, entry: usize, cut_off: bool) {
        if cut_off {
            self.cut_off.insert(entry);
        } else {
            self.cut_off.remove(&entry);
        }
    }

    /// Applies the calls that an entry daemon sent before it was paused.
    pub fn release_held_calls(&mut self, entry: usize) {
        let now = self.clock.now();
        self.calls.expire(now);
        for call in self.held_calls.remove(&entry).unwrap_or_default() {
            self.calls.call(&call.path, &call.body, now).ok();
        }
    }

    /// Expires the leases whose time to live has passed.
    pub fn expire(&mut self) {
        let now = self.clock.now();
        self.calls.expire(now);
    }

    fn receive(&mut self, entry: usize, path: &str, body: &Value) -> Result<Value, KvError> {
        if self.cut_off.contains(&entry) {
            return Err(KvError::Unknown("the sender is dead or paused".into()));
        }
        let mut lose_answer_now = false;
        let mut vm_lost = false;
        if let Some(step) = step_of(path, body) {
            for injection in self.reach_step(step) {
                match injection.fault {
                    Fault::KvDown => self.go_down(),
                    Fault::KvSlow => self.go_slow(),
                    Fault::AnswerLost => lose_answer_now = true,
                    Fault::EntryCrashes => {
                        self.cut_off.insert(entry);
                        self.injected.push((injection, entry));
                        return Err(KvError::Unknown("the sender died".into()));
                    }
                    Fault::LeaseExpires => {
                        self.cut_off.insert(entry);
                        self.injected.push((injection, entry));
                        let call = HeldCall {
                            path: path.to_owned(),
                            body: body.clone(),
                        };
                        self.held_calls.entry(entry).or_default().push(call);
                        return Err(KvError::Unknown("the sender was paused".into()));
                    }
                    Fault::VmLost => {
                        vm_lost = true;
                        self.injected.push((injection, entry));
                    }
                    _ => self.injected.push((injection, entry)),
                }
            }
        }
        let answer = self.answer(path, body, lose_answer_now);
        if vm_lost {
            self.cut_off.insert(entry);
            return Err(KvError::Unknown("the sender's VM was lost".into()));
        }
        answer
    }

    fn answer(
        &mut self,
        path: &str,
        body: &Value,
        lose_answer_now: bool,
    ) -> Result<Value, KvError> {
        let now = self.clock.now();
        if !self.slow_until.is_past(now) {
            self.clock.advance(SLOW_CALL_DELAY);
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
        if wrote && (lose_answer_now || self.lose_answers > 0) {
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

/// The step to which a call belongs.
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
