//! Accept loop with a timeout for request heads and a drain that completes the responses in flight.

use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Delay before the next attempt after `accept` failed, for example for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits for the connections of one listener.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Timeout for receiving a complete request head; also bounds the idle time between requests.
    pub header_timeout: Duration,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

/// Accepts the next connection; returns `None` once `stop` is cancelled.
///
/// If `accept` fails, for example for lack of file descriptors, it tries again after a delay.
pub async fn accept_next(listener: &TcpListener, stop: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return None,
        };
        match accepted {
            Ok((stream, _)) => {
                // Small writes are tokens of a stream or calls between hosts: disable Nagle's
                // algorithm, so that each is sent at once.
                let _ = stream.set_nodelay(true);
                return Some(stream);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves `router` on `listener` until `drain` is cancelled, then completes the requests in flight.
///
/// Returns once every connection is closed. A caller that sends an incomplete request head occupies a
/// connection for at most `limits.header_timeout`. Cancelling `abort` closes all connections
/// immediately.
pub async fn serve_router(
    listener: TcpListener,
    router: Router,
    limits: ServeLimits,
    drain: CancellationToken,
    abort: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(limits.max_connections));
    loop {
        let stream = tokio::select! {
            stream = accept_next(&listener, &drain) => stream,
            () = abort.cancelled() => return,
        };
        let Some(stream) = stream else { break };
        // Above the limit, a new connection is closed at once: the caller detects that and tries another
        // host. If the connection waited unread, this host would look dead to the caller.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let connection = graceful.watch(build_connection(stream, router.clone(), limits));
        let abort = abort.clone();
        tokio::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = abort.cancelled() => {}
            }
            drop(permit);
        });
    }
    drop(listener);
    tokio::select! {
        () = graceful.shutdown() => {}
        () = abort.cancelled() => {}
    }
}

type RouterService = TowerToHyperService<Router>;

fn build_connection(
    stream: TcpStream,
    router: Router,
    limits: ServeLimits,
) -> http1::Connection<TokioIo<TcpStream>, RouterService> {
    let service = TowerToHyperService::new(router);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .serve_connection(TokioIo::new(stream), service)
}
