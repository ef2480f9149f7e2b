//! An HTTP client of a test site.

use eyre::{Context, bail, ensure};
use serde::Deserialize;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum time for one request and its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval at which the state of a job is polled.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A client of one daemon with a token.
#[derive(Clone, Debug)]
pub struct Caller {
    /// URL of the daemon.
    pub url: String,
    /// Bearer token of the team or operator.
    pub token: String,
    /// Model that chat requests address.
    pub model: String,
    agent: ureq::Agent,
}

/// A job's state as returned by the batch API.
#[derive(Clone, Debug, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: String,
    /// Status such as `in_progress` or `completed`.
    pub status: String,
    /// Numbers of items by result.
    pub request_counts: Counts,
}

/// Numbers of a job's items by result.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Counts {
    /// All items.
    pub total: u32,
    /// Items that succeeded.
    #[serde(default)]
    pub completed: u32,
    /// Items that failed permanently.
    #[serde(default)]
    pub failed: u32,
}

/// One line of a job's results.
#[derive(Clone, Debug, Deserialize)]
pub struct ItemLine {
    /// Id that the caller gave to the item.
    pub custom_id: String,
    /// Final status of the item.
    pub status: String,
    /// Answer to the item, if it has one.
    pub response: Option<ItemAnswer>,
}

/// The answer to an item.
#[derive(Clone, Debug, Deserialize)]
pub struct ItemAnswer {
    /// HTTP status code.
    pub status_code: u16,
    /// Body of the answer.
    pub body: String,
}

/// Body of a chat completion request.
#[must_use]
pub fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// Input line of a batch job that requests a chat completion.
#[must_use]
pub fn chat_line(id: &str, model: &str, prompt: &str, tokens: u32) -> String {
    let body = chat_body(model, prompt, tokens, false);
    let url = "/v1/chat/completions";
    json!({ "custom_id": id, "method": "POST", "url": url, "body": body }).to_string()
}

/// Input line of a batch job that calls a service.
#[must_use]
pub fn service_line(id: &str, service: &str, path: &str) -> String {
    let url = format!("/services/{service}{path}");
    json!({ "custom_id": id, "method": "POST", "url": url, "body": {} }).to_string()
}

impl Caller {
    /// Creates a client of one daemon.
    #[must_use]
    pub fn new(url: String, token: &str, model: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            url,
            token: token.to_owned(),
            model: model.to_owned(),
            agent: config.new_agent(),
        }
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.token)
    }

    /// Sends a request and returns the status and body of the answer.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> eyre::Result<(u16, String)> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .header("Authorization", self.bearer());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let mut answer = self.agent.run(request.body(body)?)?;
        let status = answer.status().as_u16();
        let text = answer
            .body_mut()
            .with_config()
            .limit(1 << 30)
            .read_to_string()?;
        Ok((status, text))
    }

    /// Requests a chat completion without streaming.
    ///
    /// # Errors
    ///
    /// Returns the error answer as text.
    pub fn chat(&self, prompt: &str, tokens: u32) -> eyre::Result<String> {
        let body = chat_body(&self.model, prompt, tokens, false).to_string();
        let (status, text) = self.send("POST", "/v1/chat/completions", &[], body.as_bytes())?;
        ensure!(status == 200, "{status}: {text}");
        let answer: Value = serde_json::from_str(&text)?;
        let content = answer["choices"][0]["message"]["content"].as_str();
        Ok(content.unwrap_or_default().to_owned())
    }

    /// Requests a streamed chat completion and passes each text fragment to `on_fragment`.
    ///
    /// # Errors
    ///
    /// Returns the error answer, or an error if the stream ended early.
    pub fn stream(
        &self,
        prompt: &str,
        tokens: u32,
        traceparent: Option<&str>,
        mut on_fragment: impl FnMut(&str),
    ) -> eyre::Result<String> {
        let mut request = self
            .agent
            .post(format!("{}/v1/chat/completions", self.url))
            .header("Authorization", self.bearer());
        if let Some(trace) = traceparent {
            request = request.header("traceparent", trace);
        }
        let mut answer = request.send_json(chat_body(&self.model, prompt, tokens, true))?;
        let status = answer.status().as_u16();
        if status != 200 {
            bail!("{status}: {}", answer.body_mut().read_to_string()?);
        }
        let mut whole = String::new();
        for line in BufReader::new(answer.into_body().into_reader()).lines() {
            let line = line?;
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(whole);
            }
            let event: Value = serde_json::from_str(data).wrap_err("bad event")?;
            ensure!(
                event["error"].is_null(),
                "the stream ended with an error: {}",
                event["error"]
            );
            let fragment = event["choices"][0]["delta"]["content"].as_str();
            on_fragment(fragment.unwrap_or_default());
            whole.push_str(fragment.unwrap_or_default());
        }
        bail!("the stream ended early after {} bytes", whole.len())
    }

    /// Submits a job with an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns the error answer as text.
    pub fn submit(&self, key: &str, lines: &[String]) -> eyre::Result<JobView> {
        let body = lines.join("\n");
        let headers = [("Idempotency-Key", key)];
        let (status, text) = self.send("POST", "/v1/batches", &headers, body.as_bytes())?;
        ensure!(matches!(status, 200 | 201), "{status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    /// Reads a job's state.
    ///
    /// # Errors
    ///
    /// Returns the error answer as text.
    pub fn job(&self, id: &str) -> eyre::Result<JobView> {
        let (status, text) = self.send("GET", &format!("/v1/batches/{id}"), &[], b"")?;
        ensure!(status == 200, "{status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    /// Polls a job until it is no longer in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if the job is still in progress after `timeout`.
    pub fn wait(&self, id: &str, timeout: Duration) -> eyre::Result<JobView> {
        let until = Instant::now() + timeout;
        loop {
            if let Ok(job) = self.job(id)
                && job.status != "in_progress"
            {
                return Ok(job);
            }
            ensure!(
                Instant::now() < until,
                "job {id} is still in progress after {timeout:?}"
            );
            thread::sleep(JOB_POLL_INTERVAL);
        }
    }

    /// Reads all results that are recorded so far.
    ///
    /// # Errors
    ///
    /// Returns the error answer as text.
    pub fn results(&self, id: &str) -> eyre::Result<Vec<ItemLine>> {
        let (status, text) = self.send("GET", &format!("/v1/batches/{id}/results"), &[], b"")?;
        ensure!(status == 200, "{status}: {text}");
        let lines = text.lines().map(serde_json::from_str);
        Ok(lines.collect::<Result<_, _>>()?)
    }
}
