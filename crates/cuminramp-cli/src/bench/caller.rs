//! HTTP client with which the benchmarks call the hosts.

use std::time::Duration;

use bytes::Bytes;
use cuminramp_http::{CallError, CallTimeouts, HttpClient, read_body};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use tokio::time::Instant;

/// Timeout after which a call without a response head fails; reading a body may take as long again.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a response body in bytes; with a larger one, the call fails.
const MAX_RESPONSE_BYTES: usize = 512 << 20;
/// Event that ends a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Timing of a streamed response, in which each body frame counts as one event.
pub(crate) struct StreamTimes {
    /// Time from sending the request to the first event.
    pub(crate) first_event: Duration,
    /// Times between consecutive events.
    pub(crate) gaps: Vec<Duration>,
    /// Whether the final `[DONE]` event was received.
    pub(crate) is_complete: bool,
}

/// Reason why a call failed.
pub(crate) enum CallFailure {
    /// The host refused the call with this result code.
    Refused(u64),
    /// The connection failed, or the response was late or too large.
    ConnectionFailed(String),
}

/// Reason why a non-idempotent call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NonIdempotentFailure {
    /// The host reported that the call did not run.
    NotRun,
    /// The host reported that the call ran or may have run, or reported nothing about it.
    MayHaveRun,
    /// The connection failed, so the outcome is unknown.
    ConnectionFailed,
}

/// Caller with an API key that distributes its calls over the hosts by the number of the call.
pub(crate) struct BenchCaller {
    hosts: Vec<BenchHost>,
    key: String,
}

struct BenchHost {
    address: String,
    client: HttpClient,
}

impl BenchCaller {
    /// Creates a caller of `addresses`, which are separated by commas.
    pub(crate) fn new(addresses: &str, key: &str) -> Self {
        let timeouts = CallTimeouts { connect: CALL_TIMEOUT, response_head: CALL_TIMEOUT };
        let hosts = addresses.split(',').map(|address| BenchHost {
            address: address.trim().to_owned(),
            client: HttpClient::new(timeouts),
        });
        BenchCaller { hosts: hosts.collect(), key: key.to_owned() }
    }

    fn host(&self, number: usize) -> &BenchHost {
        &self.hosts[number % self.hosts.len()]
    }

    async fn send(
        &self,
        number: usize,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<http::Response<hyper::body::Incoming>, CallFailure> {
        let builder = Request::builder().method(method).header(CONTENT_TYPE, content_type);
        self.send_with(number, builder, path, body).await
    }

    /// Adds address, API key and body to the request, and sends it to the host at index `number` modulo the
    /// number of hosts.
    async fn send_with(
        &self,
        number: usize,
        builder: http::request::Builder,
        path: &str,
        body: Bytes,
    ) -> Result<http::Response<hyper::body::Incoming>, CallFailure> {
        let host = self.host(number);
        let request = builder
            .uri(format!("http://{}{path}", host.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::new(body))
            .map_err(|error| CallFailure::ConnectionFailed(error.to_string()))?;
        host.client.send(request).await.map_err(connection_failure)
    }

    /// Sends a non-idempotent call with `idempotency_key`, so that it runs at most once over all retries.
    pub(crate) async fn call_non_idempotent(
        &self,
        number: usize,
        path: &str,
        idempotency_key: &str,
        body: Bytes,
    ) -> Result<(), NonIdempotentFailure> {
        let builder =
            Request::builder().method(Method::POST).header("idempotency-key", idempotency_key);
        let sent = self.send_with(number, builder, path, body).await;
        let response = sent.map_err(|_| NonIdempotentFailure::ConnectionFailed)?;
        if response.status() == StatusCode::OK {
            return Ok(());
        }
        let execution = response.headers().get("cuminramp-execution").cloned();
        Err(match execution.as_ref().and_then(|value| value.to_str().ok()) {
            Some("not run") => NonIdempotentFailure::NotRun,
            _ => NonIdempotentFailure::MayHaveRun,
        })
    }

    /// Sends a call and returns the complete response body.
    pub(crate) async fn call(
        &self,
        number: usize,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<Bytes, CallFailure> {
        let response = self.send(number, method, path, content_type, body).await?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, CALL_TIMEOUT)
            .await
            .map_err(connection_failure)?;
        if status == StatusCode::OK { Ok(body) } else { Err(refusal(&body)) }
    }

    /// Sends a request for a streamed response and measures the times of its events.
    pub(crate) async fn stream(
        &self,
        number: usize,
        body: Bytes,
    ) -> Result<StreamTimes, CallFailure> {
        let started = Instant::now();
        let path = "/v1/chat/completions";
        let response = self.send(number, Method::POST, path, "application/json", body).await?;
        if response.status() != StatusCode::OK {
            let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
            return Err(refusal(&body.unwrap_or_default()));
        }
        let mut body = response.into_body();
        let mut times =
            StreamTimes { first_event: Duration::ZERO, gaps: Vec::new(), is_complete: false };
        let mut last_frame = started;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CallFailure::ConnectionFailed(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let now = Instant::now();
            if times.first_event.is_zero() {
                times.first_event = now - started;
            } else {
                times.gaps.push(now - last_frame);
            }
            last_frame = now;
            times.is_complete |= data.windows(DONE_EVENT.len()).any(|window| window == DONE_EVENT);
        }
        Ok(times)
    }
}

fn connection_failure(error: CallError) -> CallFailure {
    CallFailure::ConnectionFailed(error.to_string())
}

fn refusal(body: &[u8]) -> CallFailure {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    CallFailure::Refused(body["error"]["cuminramp_code"].as_u64().unwrap_or_default())
}

/// Returns the body of a chat completion request.
pub(crate) fn chat_body(model: &str, prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
}
