//! Calls to the backend server, one thread per call.

use crate::message::Message;
use bluebellreel_admission::EngineEnd;
use bluebellreel_http::{is_unsent, read_line};
use bluebellreel_telemetry::{Span, Tracer};
use bluebellreel_types::{AttemptId, Clock, Dispatch, ModelName, ModelVersion, WorkKind};
use crossbeam_channel::Sender;
use serde::Deserialize;
use serde_json::Value;
use std::io::BufReader;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Connection timeout of calls to the backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a cancel and of a model list request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a model load.
const LOAD_TIMEOUT: Duration = Duration::from_mins(9);
/// Time past an attempt's deadline after which its call times out.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);
/// Time past the deadline after which a call that must not be repeated times
/// out.
const UNREPEATABLE_DEADLINE_GRACE: Duration = Duration::from_mins(1);
/// Maximum body size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;
/// Maximum length of a line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 256 << 10;
/// Maximum size of the description of an error, in bytes.
const MAX_ERROR_BYTES: u64 = 64 << 10;
/// Stack size of a thread that makes one call.
const READER_STACK_BYTES: usize = 256 << 10;

/// Client of the backend server.
pub(crate) struct Backend {
    url: String,
    service: Option<ModelName>,
    agent: ureq::Agent,
    clock: Clock,
    tx: Sender<Message>,
    tracer: Tracer,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ListedModel>,
}

#[derive(Deserialize)]
struct ListedModel {
    id: String,
    #[serde(default)]
    version: String,
}

impl Backend {
    pub(crate) fn new(
        url: String,
        service: Option<ModelName>,
        clock: Clock,
        tx: Sender<Message>,
        tracer: Tracer,
    ) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .max_idle_connections_per_host(64)
            .build();
        Self {
            url,
            service,
            agent: config.new_agent(),
            clock,
            tx,
            tracer,
        }
    }

    /// Sends an attempt on a new thread. Generated text and the attempt's end are
    /// sent to the actor as messages.
    pub(crate) fn start(self: &Arc<Self>, dispatch: Box<Dispatch>) {
        let backend = self.clone();
        let attempt = dispatch.attempt;
        let spawned = thread::Builder::new()
            .name("backend-call".into())
            .stack_size(READER_STACK_BYTES)
            .spawn(move || backend.run(&dispatch));
        // No request was sent, so `Unreachable` is correct: the attempt did not run.
        if spawned.is_err() {
            let end = EngineEnd::Unreachable;
            self.tx.send(Message::Ended { attempt, end }).ok();
        }
    }

    fn run(&self, dispatch: &Dispatch) {
        let span = Span::begin(dispatch.trace, "engine", self.clock.now());
        let end = match &dispatch.work.kind {
            WorkKind::Chat => self.chat(dispatch, &span),
            WorkKind::Call { method, path } => self.call(dispatch, method, path, &span),
        };
        let name = end_name(&end);
        self.tracer.finish(span.with("end", name), self.clock.now());
        let attempt = dispatch.attempt;
        self.tx.send(Message::Ended { attempt, end }).ok();
    }

    fn chat(&self, dispatch: &Dispatch, span: &Span) -> EngineEnd {
        let Ok(Value::Object(mut body)) = serde_json::from_slice(&dispatch.work.body) else {
            return EngineEnd::Rejected {
                status: 400,
                message: Arc::from("the body is not a JSON object"),
            };
        };
        body.insert("stream".into(), true.into());
        let id = dispatch.attempt.to_string();
        body.insert("request_id".into(), id.into());
        if !dispatch.resume.is_empty() {
            body.insert("resume".into(), Value::from(&*dispatch.resume));
        }
        let timeout = dispatch.deadline.since(self.clock.now()) + DEADLINE_GRACE;
        let response = self
            .agent
            .post(format!("{}/v1/chat/completions", self.url))
            .config()
            .timeout_global(Some(timeout))
            .build()
            .header("traceparent", span.child_context().to_string())
            .send_json(Value::Object(body));
        let response = match response {
            Ok(response) => response,
            Err(e) if is_unsent(&e) => return EngineEnd::Unreachable,
            Err(_) => return EngineEnd::Broken,
        };
        let status = response.status().as_u16();
        match status {
            200 => self.read_stream(dispatch.attempt, response),
            429 | 503 => EngineEnd::Busy,
            400..500 => rejected(status, response),
            _ => EngineEnd::Broken,
        }
    }

    fn read_stream(
        &self,
        attempt: AttemptId,
        response: ureq::http::Response<ureq::Body>,
    ) -> EngineEnd {
        let limited = response.into_body().into_with_config();
        let mut reader = BufReader::new(limited.limit(MAX_RESPONSE_BYTES).reader());
        while let Some(line) = read_line(&mut reader, MAX_LINE_BYTES).transpose() {
            let Ok(line) = line else {
                return EngineEnd::Broken;
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return EngineEnd::Completed {
                    status: 200,
                    body: Arc::from([]),
                };
            }
            let Ok(chunk) = serde_json::from_str::<Chunk>(data) else {
                return EngineEnd::Broken;
            };
            self.send_text(attempt, chunk);
        }
        // A stream that ends without `[DONE]` is truncated.
        EngineEnd::Broken
    }

    fn send_text(&self, attempt: AttemptId, chunk: Chunk) {
        for choice in chunk.choices {
            let done = choice.finish_reason.is_some();
            let Some(text) = choice
                .delta
                .content
                .filter(|text| !text.is_empty() || !done)
            else {
                continue;
            };
            let text = Arc::from(text);
            let tokens = 1;
            let message = Message::Text {
                attempt,
                text,
                tokens,
            };
            self.tx.send(message).ok();
        }
    }

    fn call(&self, dispatch: &Dispatch, method: &str, path: &str, span: &Span) -> EngineEnd {
        let grace = if dispatch.work.repeatable {
            DEADLINE_GRACE
        } else {
            UNREPEATABLE_DEADLINE_GRACE
        };
        let timeout = dispatch.deadline.since(self.clock.now()) + grace;
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .header("Content-Type", "application/json")
            .header("Idempotency-Key", &*dispatch.work.key)
            .header("traceparent", span.child_context().to_string())
            .body(dispatch.work.body.to_vec());
        let request = match request {
            Ok(request) => request,
            Err(e) => {
                return EngineEnd::Rejected {
                    status: 400,
                    message: Arc::from(e.to_string()),
                };
            }
        };
        // An HTTP client that repeats a call by itself would break at-most-once
        // execution, so redirects are not followed. Pooled connections are not
        // reused: the server may close an idle one while the request is being
        // sent, and then it is unknown whether the call ran.
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .max_redirects(0)
            .max_idle_age(Duration::ZERO)
            .build();
        let mut response = match self.agent.run(request) {
            Ok(response) => response,
            Err(e) if is_unsent(&e) => return EngineEnd::Unreachable,
            Err(_) => return EngineEnd::Broken,
        };
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec();
        match body {
            Ok(body) => EngineEnd::Completed {
                status,
                body: Arc::from(body),
            },
            Err(_) => EngineEnd::Broken,
        }
    }

    /// Cancels an attempt at the engine, which then ends the attempt's stream.
    pub(crate) fn cancel(self: &Arc<Self>, attempt: AttemptId) {
        let backend = self.clone();
        let spawned = thread::Builder::new()
            .name("backend-cancel".into())
            .stack_size(READER_STACK_BYTES)
            .spawn(move || {
                let body = serde_json::json!({ "request_id": attempt.to_string() });
                backend
                    .agent
                    .post(format!("{}/v1/cancel", backend.url))
                    .config()
                    .timeout_global(Some(CONTROL_TIMEOUT))
                    .build()
                    .send_json(body)
                    .ok();
            });
        if let Err(e) = spawned {
            log::error!(target: "side", error = e.to_string(); "Attempt not cancelled at the backend server: thread could not be started.");
        }
    }

    /// Orders a model load on a new thread. The result is sent to the actor as a
    /// message.
    pub(crate) fn load(self: &Arc<Self>, fence: u64, model: ModelVersion) {
        let backend = self.clone();
        let ordered = model.clone();
        let spawned = thread::Builder::new()
            .name("backend-order".into())
            .stack_size(READER_STACK_BYTES)
            .spawn(move || {
                let body = serde_json::json!({
                    "kind": "load",
                    "name": ordered.name,
                    "version": ordered.version,
                    "fence": fence,
                });
                let response = backend
                    .agent
                    .post(format!("{}/v1/orders", backend.url))
                    .config()
                    .timeout_global(Some(LOAD_TIMEOUT))
                    .build()
                    .send_json(body);
                let loaded = response.is_ok_and(|response| response.status().as_u16() == 200);
                let model = ordered;
                backend.tx.send(Message::LoadEnded { model, loaded }).ok();
            });
        if spawned.is_err() {
            let loaded = false;
            self.tx.send(Message::LoadEnded { model, loaded }).ok();
        }
    }

    /// Models that the backend server has loaded; `None` if the request fails.
    pub(crate) fn models(&self) -> Option<Vec<ModelVersion>> {
        if let Some(service) = &self.service {
            return Some(vec![ModelVersion {
                name: service.clone(),
                version: Arc::from(""),
            }]);
        }
        let list: ModelList = self
            .agent
            .get(format!("{}/v1/models", self.url))
            .config()
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build()
            .call()
            .ok()?
            .body_mut()
            .read_json()
            .ok()?;
        let models = list.data.into_iter();
        let loaded = models.map(|model| ModelVersion {
            name: ModelName::from(model.id),
            version: Arc::from(model.version),
        });
        Some(loaded.collect())
    }
}

fn end_name(end: &EngineEnd) -> &'static str {
    match end {
        EngineEnd::Completed { .. } => "completed",
        EngineEnd::Unreachable => "unreachable",
        EngineEnd::Busy => "busy",
        EngineEnd::Rejected { .. } => "rejected",
        EngineEnd::Broken => "broken",
    }
}

fn rejected(status: u16, mut response: ureq::http::Response<ureq::Body>) -> EngineEnd {
    let limited = response.body_mut().with_config().limit(MAX_ERROR_BYTES);
    let text = limited.read_to_string().unwrap_or_default();
    let parsed: Option<Value> = serde_json::from_str(&text).ok();
    let message = parsed
        .as_ref()
        .and_then(|v| v["error"]["message"].as_str())
        .unwrap_or(&text);
    EngineEnd::Rejected {
        status,
        message: Arc::from(message),
    }
}
