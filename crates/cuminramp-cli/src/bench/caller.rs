//! A caller of the system, as the measurements use it.

use std::time::Duration;

use bytes::Bytes;
use cuminramp_http::{CallError, CallLimits, HttpClient, read_body};
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use tokio::time::Instant;

/// How long a caller waits for anything.
const CALL_LIMIT: Duration = Duration::from_secs(60);
/// The largest answer that is read.
const MOST_ANSWER_BYTES: usize = 512 << 20;
/// The event that ends a stream.
const DONE: &[u8] = b"data: [DONE]";

/// How a streamed answer went.
pub(crate) struct StreamTimes {
    /// Until the first event.
    pub(crate) first: Duration,
    /// Between events.
    pub(crate) gaps: Vec<Duration>,
    /// Whether the stream ended whole.
    pub(crate) whole: bool,
}

/// Why a call gave no answer.
pub(crate) enum CallFailure {
    /// A refusal with its code.
    Refused(u64),
    /// The connection failed.
    Broken(String),
}

/// Why a call that may not be repeated gave no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NamedFailure {
    /// The host says that it did not run.
    NotRun,
    /// The host says that it ran or may have.
    MayHaveRun,
    /// The connection failed.
    Broken,
}

/// A caller with a key, spreading its calls over hosts.
pub(crate) struct BenchCaller {
    hosts: Vec<BenchHost>,
    key: String,
}

struct BenchHost {
    address: String,
    client: HttpClient,
}

impl BenchCaller {
    /// A caller of the addresses, which are separated by commas.
    pub(crate) fn new(addresses: &str, key: &str) -> Self {
        let limits = CallLimits { connect: CALL_LIMIT, first_byte: CALL_LIMIT };
        let hosts = addresses.split(',').map(|address| BenchHost {
            address: address.trim().to_owned(),
            client: HttpClient::new(limits),
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
        self.send_built(number, builder, path, body).await
    }

    async fn send_built(
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
            .map_err(|error| CallFailure::Broken(error.to_string()))?;
        host.client.send(request).await.map_err(broken)
    }

    /// Makes a call that may not be repeated.
    pub(crate) async fn call_named(
        &self,
        number: usize,
        path: &str,
        name: &str,
        body: Bytes,
    ) -> Result<(), NamedFailure> {
        let builder = Request::builder().method(Method::POST).header("idempotency-key", name);
        let sent = self.send_built(number, builder, path, body).await;
        let response = sent.map_err(|_| NamedFailure::Broken)?;
        if response.status() == StatusCode::OK {
            return Ok(());
        }
        let execution = response.headers().get("cuminramp-execution").cloned();
        Err(match execution.as_ref().and_then(|value| value.to_str().ok()) {
            Some("not run") => NamedFailure::NotRun,
            _ => NamedFailure::MayHaveRun,
        })
    }

    /// Calls and reads a whole answer.
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
        let body =
            read_body(response.into_body(), MOST_ANSWER_BYTES, CALL_LIMIT).await.map_err(broken)?;
        if status == StatusCode::OK { Ok(body) } else { Err(refused(&body)) }
    }

    /// Asks for a streamed answer and times its events.
    pub(crate) async fn stream(
        &self,
        number: usize,
        body: Bytes,
    ) -> Result<StreamTimes, CallFailure> {
        let started = Instant::now();
        let path = "/v1/chat/completions";
        let response = self.send(number, Method::POST, path, "application/json", body).await?;
        if response.status() != StatusCode::OK {
            let body = read_body(response.into_body(), MOST_ANSWER_BYTES, CALL_LIMIT).await;
            return Err(refused(&body.unwrap_or_default()));
        }
        let mut body = response.into_body();
        let mut times = StreamTimes { first: Duration::ZERO, gaps: Vec::new(), whole: false };
        let mut last = started;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| CallFailure::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let now = Instant::now();
            if times.first.is_zero() {
                times.first = now - started;
            } else {
                times.gaps.push(now - last);
            }
            last = now;
            times.whole |= data.windows(DONE.len()).any(|window| window == DONE);
        }
        Ok(times)
    }
}

fn broken(error: CallError) -> CallFailure {
    CallFailure::Broken(error.to_string())
}

fn refused(body: &[u8]) -> CallFailure {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    CallFailure::Refused(body["error"]["cuminramp_code"].as_u64().unwrap_or_default())
}

/// The body of a chat request.
pub(crate) fn chat_body(model: &str, prompt: &str, tokens: usize, stream: bool) -> Value {
    json!({
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
}
