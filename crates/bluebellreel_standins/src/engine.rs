//! Stand-in for a model engine: an OpenAI-compatible API with streams, plus
//! cancel, resume, load and order calls.

mod streams;
mod wire;

pub use wire::{EngineFaults, EngineSettings};

use crate::engine_model::{EngineModel, Sequence};
use crate::http::{self, StandIn};
use bluebellreel_http::{ChunkedStream, Request};
use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use streams::{StreamEvent, send_stream};
use wire::{Cancel, Completion, Load, Order};

/// Number of leading words of a prompt that form its cached prefix.
const PREFIX_WORDS: usize = 8;
/// A prompt that contains this word is always refused with 422.
const UNANSWERABLE_WORD: &str = "impossible";
/// A prompt that contains this word breaks all streams of the engine.
const BREAK_STREAMS_WORD: &str = "poison";

struct State {
    model: EngineModel,
    streams: HashMap<String, Sender<StreamEvent>>,
    faults: EngineFaults,
    models: BTreeMap<String, String>,
    highest_fence: u64,
    orders: Vec<Order>,
    loads: Vec<(Instant, Load)>,
    admitted: u64,
}

/// State shared by the threads of a running engine.
pub struct Engine {
    settings: EngineSettings,
    state: Mutex<State>,
    wake: Condvar,
}

/// Starts a model engine stand-in.
///
/// # Errors
///
/// Returns the operating system's error if the address cannot be bound.
pub fn start_engine(address: SocketAddr, settings: EngineSettings) -> io::Result<StandIn> {
    let state = State {
        model: EngineModel::new(settings.costs),
        streams: HashMap::new(),
        faults: EngineFaults::default(),
        models: settings
            .models
            .iter()
            .map(|m| (m.clone(), "1".to_owned()))
            .collect(),
        highest_fence: 0,
        orders: Vec::new(),
        loads: Vec::new(),
        admitted: 0,
    };
    let engine = Arc::new(Engine {
        settings,
        state: Mutex::new(state),
        wake: Condvar::new(),
    });
    let stepping = engine.clone();
    thread::spawn(move || stepping.run_steps());
    http::serve(address, move |req| engine.handle(req))
}

impl Engine {
    fn run_steps(&self) {
        loop {
            let span = {
                let mut state = self.state.lock().expect("engine lock");
                while state.model.is_idle() || state.faults.frozen {
                    state = self.wake.wait(state).expect("engine lock");
                }
                let span = state.model.begin_step();
                scaled(span, state.faults.slow_percent)
            };
            thread::sleep(span);
            self.finish_step();
        }
    }

    fn finish_step(&self) {
        let mut state = self.state.lock().expect("engine lock");
        let step = state.model.take_step();
        let break_after = state.faults.break_after;
        for (id, index) in step.tokens {
            let Some(tx) = state.streams.get(&id) else {
                continue;
            };
            if break_after > 0 && index >= break_after {
                tx.send(StreamEvent::Broken).ok();
                state.model.cancel(&id);
                state.streams.remove(&id);
            } else {
                tx.send(StreamEvent::Token(index)).ok();
            }
        }
        for id in step.finished {
            if let Some(tx) = state.streams.remove(&id) {
                tx.send(StreamEvent::Finished).ok();
            }
        }
        state.record_load(self.settings.load_lag);
    }

    fn handle(&self, mut req: Request) {
        let path = req.url().to_owned();
        if self.is_frozen() && path != "/stand-in/faults" {
            // Sends no answer while frozen, like a hung process.
            thread::sleep(Duration::from_secs(30));
            return;
        }
        match path.as_str() {
            "/v1/chat/completions" => match http::read_json(&mut req) {
                Ok(completion) => self.complete(req, &completion),
                Err(e) => http::refuse(req, 400, &e),
            },
            "/v1/cancel" => match http::read_json::<Cancel>(&mut req) {
                Ok(cancel) => self.cancel(req, &cancel),
                Err(e) => http::refuse(req, 400, &e),
            },
            "/v1/orders" => match http::read_json::<Order>(&mut req) {
                Ok(order) => self.order(req, order),
                Err(e) => http::refuse(req, 400, &e),
            },
            "/v1/models" => self.list_models(req),
            "/v1/load" => {
                let load = self.state.lock().expect("engine lock").delayed_load();
                http::answer(req, 200, &load);
            }
            "/stand-in/faults" => match http::read_json::<EngineFaults>(&mut req) {
                Ok(faults) => {
                    self.state.lock().expect("engine lock").faults = faults;
                    self.wake.notify_all();
                    http::answer(req, 200, &());
                }
                Err(e) => http::refuse(req, 400, &e),
            },
            "/stand-in/admitted" => {
                let admitted = self.state.lock().expect("engine lock").admitted;
                http::answer(req, 200, &admitted);
            }
            "/stand-in/orders" => {
                let orders = self.state.lock().expect("engine lock").orders.clone();
                http::answer(req, 200, &orders);
            }
            _ => http::refuse(req, 404, "no such path"),
        }
    }

    fn is_frozen(&self) -> bool {
        self.state.lock().expect("engine lock").faults.frozen
    }

    fn complete(&self, req: Request, completion: &Completion) {
        let prompt: String = completion
            .messages
            .iter()
            .map(|m| m.content.as_str())
            .collect::<Vec<_>>()
            .join("\n");
        if prompt.contains(UNANSWERABLE_WORD) {
            http::refuse(req, 422, "this prompt can never be answered");
            return;
        }
        let known = {
            let state = self.state.lock().expect("engine lock");
            state.models.contains_key(&completion.model)
        };
        if !known {
            http::refuse(req, 404, "no such model");
            return;
        }
        if prompt.contains(BREAK_STREAMS_WORD) {
            self.break_all_streams();
            return;
        }
        let rx = self.admit(completion, &prompt);
        let Ok(mut stream) = ChunkedStream::open(req, "text/event-stream") else {
            self.drop_stream(&completion.request_id);
            return;
        };
        if send_stream(&rx, &prompt, &mut stream).is_err() {
            self.drop_stream(&completion.request_id);
        }
    }

    fn admit(&self, completion: &Completion, prompt: &str) -> Receiver<StreamEvent> {
        let (tx, rx) = mpsc::channel();
        let words = prompt.split_whitespace().count();
        let delivered = completion.resume.split_whitespace().count();
        let mut hasher = DefaultHasher::new();
        let prefix: Vec<&str> = prompt.split_whitespace().take(PREFIX_WORDS).collect();
        prefix.hash(&mut hasher);
        let generated = u32::try_from(delivered).unwrap_or(u32::MAX);
        if generated >= completion.max_tokens {
            tx.send(StreamEvent::Finished).ok();
            return rx;
        }
        let mut state = self.state.lock().expect("engine lock");
        state.admitted += 1;
        state.streams.insert(completion.request_id.clone(), tx);
        state.model.admit(Sequence {
            id: completion.request_id.clone(),
            prefix: hasher.finish(),
            prompt_tokens: u32::try_from(words + delivered).unwrap_or(u32::MAX),
            generated,
            tokens: completion.max_tokens,
        });
        self.wake.notify_all();
        rx
    }

    fn drop_stream(&self, id: &str) {
        let mut state = self.state.lock().expect("engine lock");
        state.model.cancel(id);
        state.streams.remove(id);
    }

    fn break_all_streams(&self) {
        let mut state = self.state.lock().expect("engine lock");
        for (id, tx) in std::mem::take(&mut state.streams) {
            tx.send(StreamEvent::Broken).ok();
            state.model.cancel(&id);
        }
    }

    fn cancel(&self, req: Request, cancel: &Cancel) {
        let mut state = self.state.lock().expect("engine lock");
        let found = state.model.cancel(&cancel.request_id);
        if let Some(tx) = state.streams.remove(&cancel.request_id) {
            tx.send(StreamEvent::Broken).ok();
        }
        drop(state);
        http::answer(req, 200, &serde_json::json!({ "cancelled": found }));
    }

    fn list_models(&self, req: Request) {
        let state = self.state.lock().expect("engine lock");
        let models: Vec<_> = state
            .models
            .iter()
            .map(|(id, version)| serde_json::json!({ "id": id, "version": version }))
            .collect();
        let fence = state.highest_fence;
        drop(state);
        http::answer(
            req,
            200,
            &serde_json::json!({ "data": models, "fence": fence }),
        );
    }

    /// Executes an order. A load is answered after the weights have been read.
    fn order(&self, req: Request, order: Order) {
        let (outdated, fails) = {
            let mut state = self.state.lock().expect("engine lock");
            let outdated = self.settings.fences && order.fence < state.highest_fence;
            if !outdated {
                state.highest_fence = state.highest_fence.max(order.fence);
                state.orders.push(order.clone());
            }
            (outdated, state.faults.fail_loads)
        };
        if outdated {
            http::refuse(req, 409, "an order with a higher number came before");
            return;
        }
        match order.kind.as_str() {
            "load" if fails => http::refuse(req, 500, "the load failed"),
            "load" => self.load(req, order),
            "unload" => {
                let mut state = self.state.lock().expect("engine lock");
                state.models.remove(&order.name);
                drop(state);
                http::answer(req, 200, &());
            }
            _ => http::refuse(req, 400, "unknown order"),
        }
    }

    fn load(&self, req: Request, order: Order) {
        if let Some(store) = &self.settings.weight_store {
            let url = format!("{store}/weights/{}/{}", order.name, order.version);
            if let Err(e) = ureq::get(&url).call() {
                http::refuse(req, 503, &format!("weights: {e}"));
                return;
            }
        }
        let mut state = self.state.lock().expect("engine lock");
        state.models.insert(order.name, order.version);
        drop(state);
        http::answer(req, 200, &());
    }
}

impl State {
    fn record_load(&mut self, lag: Duration) {
        let (cache_hits, cache_misses) = self.model.cache_counts();
        let load = Load {
            running: self.model.running(),
            waiting: self.model.waiting(),
            cache_hits,
            cache_misses,
        };
        self.loads.push((Instant::now(), load));
        let keep_from = self
            .loads
            .iter()
            .rposition(|(at, _)| at.elapsed() >= lag)
            .unwrap_or(0);
        self.loads.drain(..keep_from);
    }

    fn delayed_load(&self) -> Load {
        self.loads
            .first()
            .map(|(_, load)| load.clone())
            .unwrap_or_default()
    }
}

fn scaled(span: Duration, percent: u32) -> Duration {
    if percent == 0 {
        span
    } else {
        span * percent / 100
    }
}
