//! HTTP client with a connection pool that is discarded when a call times out.

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

/// Time after which an unused connection is closed and removed from the pool.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time before the kernel sends the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;

/// Timeouts for the steps of one call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Timeout for establishing a connection.
    pub connect: Duration,
    /// Timeout for receiving the response head, counted from the start of the call.
    pub response_head: Duration,
}

/// Reason why a call failed, distinguished by whether the server may have acted on the request.
#[derive(Clone, Debug)]
pub enum CallError {
    /// No byte of the request was sent, so it had no effect.
    NotSent(String),
    /// The connection failed after the request may have been sent: it may have taken effect.
    ConnectionFailed(String),
    /// No response arrived within the timeout: the request may have taken effect.
    TimedOut(String),
}

impl CallError {}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent(reason) => write!(formatter, "not sent: {reason}"),
            CallError::ConnectionFailed(reason) => write!(formatter, "connection failed: {reason}"),
            CallError::TimedOut(reason) => write!(formatter, "timed out: {reason}"),
        }
    }
}

impl std::error::Error for CallError {}

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// HTTP client for one endpoint, with a connection pool.
///
/// A middlebox (a NAT or a firewall) can lose the state of established connections: they stay open but
/// deliver nothing, while new connections work. Calls would then time out one after another until
/// every pooled connection had been used once. The first call that times out therefore discards the
/// whole pool.
pub struct HttpClient {
    timeouts: CallTimeouts,
    pool: ArcSwap<PooledClient>,
}

impl HttpClient {
    /// Creates a client with an empty pool.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_http::{CallTimeouts, HttpClient};
    /// let connect = Duration::from_secs(1);
    /// let timeouts = CallTimeouts { connect, response_head: Duration::from_secs(5) };
    /// let client = HttpClient::new(timeouts);
    /// ```
    pub fn new(timeouts: CallTimeouts) -> Self {
        HttpClient { timeouts, pool: ArcSwap::from_pointee(open_pool(&timeouts)) }
    }

    /// Sends a request and waits for the response head for at most [`CallTimeouts::response_head`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.send_with_timeout(request, self.timeouts.response_head).await
    }

    /// Sends a request and waits for the response head for at most `timeout`.
    pub async fn send_with_timeout(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let pool = self.pool.load_full();
        match tokio::time::timeout(timeout, pool.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(CallError::NotSent(error_chain(&error))),
            Ok(Err(error)) => Err(CallError::ConnectionFailed(error_chain(&error))),
            Err(_) => {
                self.discard_pool();
                Err(CallError::TimedOut(format!("no response within {} ms", timeout.as_millis())))
            }
        }
    }

    /// Discards all pooled connections. Calls in flight keep their connections.
    pub fn discard_pool(&self) {
        self.pool.store(open_pool(&self.timeouts).into());
    }
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HttpClient")
            .field("timeouts", &self.timeouts)
            .finish_non_exhaustive()
    }
}

fn open_pool(timeouts: &CallTimeouts) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(timeouts.connect));
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// Joins the messages of an error and of all its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Reads a response body of at most `max_bytes` within `timeout`.
///
/// Returns [`CallError::ConnectionFailed`] if the body is larger or the connection fails, and
/// [`CallError::TimedOut`] if the body is not complete within `timeout`.
pub async fn read_body(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, CallError> {
    match tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) => Err(CallError::ConnectionFailed(error.to_string())),
        Err(_) => {
            Err(CallError::TimedOut(format!("body incomplete after {} ms", timeout.as_millis())))
        }
    }
}
