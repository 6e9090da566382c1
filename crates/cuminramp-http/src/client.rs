//! A pooled client that gives up on silent connections.

use std::fmt;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// How long an unused connection stays in the pool.
const POOL_IDLE: Duration = Duration::from_secs(10);
/// When the kernel starts to ask whether a quiet peer is there, and how often.
const KEEPALIVE: Duration = Duration::from_secs(5);
/// How many of those questions may go unanswered.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long the steps of one call may take.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Until the connection stands.
    pub connect: Duration,
    /// Until the head of the answer is there, counted from the start.
    pub first_byte: Duration,
}

/// Why a call gave no answer, distinguished by whether the other end may have acted on it.
#[derive(Clone, Debug)]
pub enum CallError {
    /// No byte of the request left: it surely had no effect.
    NotSent(String),
    /// The connection broke after bytes were sent.
    Broken(String),
    /// Nothing came back in time.
    TimedOut(String),
}

impl CallError {}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            CallError::Broken(reason) => write!(formatter, "connection broke: {reason}"),
            CallError::TimedOut(reason) => write!(formatter, "silent: {reason}"),
        }
    }
}

impl std::error::Error for CallError {}

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// A client for one endpoint, with a pool of connections.
///
/// Something between the two ends can lose track of pooled connections: they stay open and silent
/// for good while new ones work. One would notice that calls time out one after another until each
/// pooled connection has been used up. So the first silent call throws the whole pool away.
pub struct HttpClient {
    limits: CallTimeouts,
    pool: ArcSwap<PooledClient>,
}

impl HttpClient {
    /// A client with an empty pool.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_http::{CallTimeouts, HttpClient};
    /// let limits = CallTimeouts { connect: Duration::from_secs(1), first_byte: Duration::from_secs(5) };
    /// let client = HttpClient::new(limits);
    /// ```
    pub fn new(limits: CallTimeouts) -> Self {
        HttpClient { limits, pool: ArcSwap::from_pointee(open_pool(&limits)) }
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.send_within(request, self.limits.first_byte).await
    }

    /// Sends a request and waits no longer than `first_byte` for the head of the answer.
    pub async fn send_within(
        &self,
        request: Request<Full<Bytes>>,
        first_byte: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let pool = self.pool.load_full();
        match tokio::time::timeout(first_byte, pool.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(CallError::NotSent(describe(&error))),
            Ok(Err(error)) => Err(CallError::Broken(describe(&error))),
            Err(_) => {
                self.drop_pool();
                Err(CallError::TimedOut(format!("no answer within {} ms", first_byte.as_millis())))
            }
        }
    }

    /// Forgets all pooled connections; calls in flight keep theirs.
    pub fn drop_pool(&self) {
        self.pool.store(open_pool(&self.limits).into());
    }
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("HttpClient").field("limits", &self.limits).finish_non_exhaustive()
    }
}

fn open_pool(limits: &CallTimeouts) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(limits.connect));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE));
    connector.set_keepalive_interval(Some(KEEPALIVE));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(POOL_IDLE)
        .pool_timer(TokioTimer::new())
        .build(connector)
}

fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Reads a body of at most `max_bytes` within `limit`.
///
/// Fails as [`CallError::Broken`] where it is larger or breaks off, as [`CallError::TimedOut`] where
/// it does not end in time.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, CallError> {
    match tokio::time::timeout(limit, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => Err(CallError::Broken(error.to_string())),
        Err(_) => {
            Err(CallError::TimedOut(format!("body not whole within {} ms", limit.as_millis())))
        }
    }
}
