//! HTTP client for calls to a running entry daemon.

use eyre::{Context, bail};
use serde_json::Value;
use std::time::Duration;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(150);

/// Address of a daemon and the token sent to it.
pub(crate) struct Client {
    url: String,
    token: String,
    agent: ureq::Agent,
}

/// A response.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) tag: Option<String>,
    pub(crate) text: String,
}

impl Client {
    pub(crate) fn new(url: &str, token: String) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            url: url.trim_end_matches('/').to_owned(),
            token,
            agent: config.new_agent(),
        }
    }

    /// Sends a request. A response with any status is a success.
    pub(crate) fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> eyre::Result<Answer> {
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .header("Authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let answer = self.agent.run(request.body(body)?);
        let mut answer = answer.wrap_err_with(|| format!("no response from {}", self.url))?;
        let tag = answer.headers().get("ETag");
        let tag = tag.and_then(|tag| Some(tag.to_str().ok()?.trim_matches('"').to_owned()));
        Ok(Answer {
            status: answer.status().as_u16(),
            tag,
            text: answer
                .body_mut()
                .with_config()
                .limit(u64::MAX)
                .read_to_string()?,
        })
    }

    /// Sends a request and fails unless the response has a 2xx status.
    pub(crate) fn expect(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> eyre::Result<Answer> {
        let answer = self.send(method, path, headers, body)?;
        if (200..300).contains(&answer.status) {
            return Ok(answer);
        }
        let parsed: Option<Value> = serde_json::from_str(&answer.text).ok();
        let error = parsed.as_ref().map(|value| &value["error"]);
        match error.and_then(|e| Some((e["message"].as_str()?, e["ran"].as_str()?))) {
            Some((message, ran)) => bail!("{} (ran: {ran})", message),
            None => bail!("unexpected status {}: {}", answer.status, answer.text),
        }
    }
}
