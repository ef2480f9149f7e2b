//! A caller of the site, over HTTP as any other.

use eyre::{Context, bail, ensure};
use serde::Deserialize;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for one answer.
const TIMEOUT: Duration = Duration::from_mins(1);
/// Between two looks at a job.
const POLL: Duration = Duration::from_millis(50);

/// Somebody with a token.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The daemon's URL.
    pub url: String,
    /// The token.
    pub token: String,
    /// The model asked.
    pub model: String,
    agent: ureq::Agent,
}

/// A job as its caller sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct JobView {
    /// Its id.
    pub id: String,
    /// Where it stands.
    pub status: String,
    /// Its items by their end.
    pub request_counts: Counts,
}

/// Items by their end.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Counts {
    /// All.
    pub total: u32,
    /// Answered.
    #[serde(default)]
    pub completed: u32,
    /// Given up.
    #[serde(default)]
    pub failed: u32,
}

/// One line of results.
#[derive(Clone, Debug, Deserialize)]
pub struct ItemLine {
    /// The item.
    pub custom_id: String,
    /// How it ended.
    pub status: String,
    /// Its answer.
    pub response: Option<ItemAnswer>,
}

/// An item's answer.
#[derive(Clone, Debug, Deserialize)]
pub struct ItemAnswer {
    /// HTTP status.
    pub status_code: u16,
    /// The text.
    pub body: String,
}

/// A chat completion's body.
#[must_use]
pub fn chat_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> Value {
    json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
}

/// One line of a batch job of chat completions.
#[must_use]
pub fn chat_line(id: &str, model: &str, prompt: &str, tokens: u32) -> String {
    let body = chat_body(model, prompt, tokens, false);
    let url = "/v1/chat/completions";
    json!({ "custom_id": id, "method": "POST", "url": url, "body": body }).to_string()
}

/// One line of a batch job of service calls.
#[must_use]
pub fn service_line(id: &str, service: &str, path: &str) -> String {
    let url = format!("/services/{service}{path}");
    json!({ "custom_id": id, "method": "POST", "url": url, "body": {} }).to_string()
}

impl Caller {
    /// A caller of one daemon.
    #[must_use]
    pub fn new(url: String, token: &str, model: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
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

    /// Sends a request; its status and body.
    ///
    /// # Errors
    ///
    /// Gives the connection's error.
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

    /// Asks for a whole chat answer.
    ///
    /// # Errors
    ///
    /// Gives the error answer as text.
    pub fn chat(&self, prompt: &str, tokens: u32) -> eyre::Result<String> {
        let body = chat_body(&self.model, prompt, tokens, false).to_string();
        let (status, text) = self.send("POST", "/v1/chat/completions", &[], body.as_bytes())?;
        ensure!(status == 200, "{status}: {text}");
        let answer: Value = serde_json::from_str(&text)?;
        let content = answer["choices"][0]["message"]["content"].as_str();
        Ok(content.unwrap_or_default().to_owned())
    }

    /// Asks for a streamed chat answer and hands each piece to `on_piece`.
    ///
    /// # Errors
    ///
    /// Gives the error answer, or that the stream ended early.
    pub fn stream(
        &self,
        prompt: &str,
        tokens: u32,
        traceparent: Option<&str>,
        mut on_piece: impl FnMut(&str),
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
            ensure!(event["error"].is_null(), "broke off: {}", event["error"]);
            let piece = event["choices"][0]["delta"]["content"].as_str();
            on_piece(piece.unwrap_or_default());
            whole.push_str(piece.unwrap_or_default());
        }
        bail!("the stream ended early after {} bytes", whole.len())
    }

    /// Submits a job.
    ///
    /// # Errors
    ///
    /// Gives the error answer as text.
    pub fn submit(&self, key: &str, lines: &[String]) -> eyre::Result<JobView> {
        let body = lines.join("\n");
        let headers = [("Idempotency-Key", key)];
        let (status, text) = self.send("POST", "/v1/batches", &headers, body.as_bytes())?;
        ensure!(matches!(status, 200 | 201), "{status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    /// Reads a job.
    ///
    /// # Errors
    ///
    /// Gives the error answer as text.
    pub fn job(&self, id: &str) -> eyre::Result<JobView> {
        let (status, text) = self.send("GET", &format!("/v1/batches/{id}"), &[], b"")?;
        ensure!(status == 200, "{status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    /// Waits until a job is over.
    ///
    /// # Errors
    ///
    /// Gives that it took too long.
    pub fn wait(&self, id: &str, longest: Duration) -> eyre::Result<JobView> {
        let until = Instant::now() + longest;
        loop {
            if let Ok(job) = self.job(id)
                && job.status != "in_progress"
            {
                return Ok(job);
            }
            ensure!(Instant::now() < until, "the job is not over");
            thread::sleep(POLL);
        }
    }

    /// Reads all results recorded so far.
    ///
    /// # Errors
    ///
    /// Gives the error answer as text.
    pub fn results(&self, id: &str) -> eyre::Result<Vec<ItemLine>> {
        let (status, text) = self.send("GET", &format!("/v1/batches/{id}/results"), &[], b"")?;
        ensure!(status == 200, "{status}: {text}");
        let lines = text.lines().map(serde_json::from_str);
        Ok(lines.collect::<Result<_, _>>()?)
    }
}
