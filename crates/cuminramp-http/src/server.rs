//! An accept loop with time-outs for slow heads and a drain that cuts off no answer.

use std::time::Duration;

use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Waits between tries when the system can't accept, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How a listener treats its connections.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// Until the head of a request is whole; also bounds an idle connection between requests.
    pub head: Duration,
    /// How many connections may be open at once.
    pub connections: usize,
}

/// Accepts the next connection; `None` once `stop` is cancelled. Where the system can't accept, as when
/// descriptors have run out, it tries again after a while.
pub async fn accept_next(listener: &TcpListener, stop: &CancellationToken) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return None,
        };
        match accepted {
            Ok((stream, _)) => {
                // Small writes are tokens of a stream or calls between hosts: each leaves at once.
                let _ = stream.set_nodelay(true);
                return Some(stream);
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Serves `router` on `listener` until `drain` is cancelled, then finishes what is in flight.
///
/// Returns once every connection has ended. A caller that sends half a head holds a connection for
/// at most `limits.head`. Cancelling `abort` drops all connections where they stand.
pub async fn serve_router(
    listener: TcpListener,
    router: Router,
    limits: ServeLimits,
    drain: CancellationToken,
    abort: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(limits.connections));
    loop {
        let stream = tokio::select! {
            stream = accept_next(&listener, &drain) => stream,
            () = abort.cancelled() => return,
        };
        let Some(stream) = stream else { break };
        // Over the limit the newest connection is closed at once: the caller sees that and tries
        // another host, where waiting in a queue nobody reads would look like a dead host.
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let connection = graceful.watch(accept_connection(stream, router.clone(), limits));
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

fn accept_connection(
    stream: TcpStream,
    router: Router,
    limits: ServeLimits,
) -> http1::Connection<TokioIo<TcpStream>, RouterService> {
    let service = TowerToHyperService::new(router);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head)
        .serve_connection(TokioIo::new(stream), service)
}
