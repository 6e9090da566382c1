//! Connections to targets, and a pool of idle ones for reuse.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{Name, SortedMap};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::head_limit::{HeadLimit, MAX_HEAD_BYTES, TargetStream};
use crate::readers::{TARGET_READ_BYTES, bound_target_socket};
use crate::state::lock;

/// Timeout for connecting to a target. It leaves half of the usual objective to try another target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout after which the kernel breaks a connection whose sent bytes stay unacknowledged, for a request that
/// can be sent elsewhere: the target's machine is gone or stands still, or the network path is cut. The machine of
/// a target that is merely busy acknowledges at once, up to the size of its receive buffer.
pub(crate) const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(150);
/// Keep-alive timeout assumed for a target that sends none, and the maximum for one that does.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Time before the keep-alive timeout at which an idle connection is no longer reused: the target may close
/// it while a request is on its way.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to each target.
const MAX_IDLE_PER_TARGET: usize = 4;

/// Makes the kernel break a connection whose bytes stay unacknowledged for `timeout`.
fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) -> std::io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, timeout.as_millis() as u32)?;
    Ok(())
}

/// A connection in use by one request.
///
/// If it is dropped without [`TargetConnections::put_back`], it is closed at once, so that the target stops
/// work that nobody waits for.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    address: Name,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    head_limit: Arc<HeadLimit>,
    /// Whether the connection was taken from the idle ones.
    pub(crate) is_reused: bool,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl TargetConnection {
    /// Returns the limit of what is read until a head is complete.
    pub(super) fn head_limit(&self) -> Arc<HeadLimit> {
        self.head_limit.clone()
    }

    /// Returns the sender of the connection; `None` once it was put back.
    pub(crate) fn sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        self.sender.as_mut()
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    head_limit: Arc<HeadLimit>,
    usable_until: Instant,
}

/// Idle connections of all targets.
#[derive(Debug, Default)]
pub(crate) struct TargetConnections {
    idle: Mutex<SortedMap<Name, Vec<IdleConnection>>>,
    /// Whether the buffers of new connections have fixed sizes.
    has_fixed_buffers: bool,
}

impl TargetConnections {
    /// Creates an empty pool. With `has_fixed_buffers`, the kernel's receive buffer of each connection and
    /// the buffer into which responses are read have fixed sizes.
    pub(crate) fn new(has_fixed_buffers: bool) -> Self {
        TargetConnections { idle: Mutex::default(), has_fixed_buffers }
    }

    /// Returns a connection to a target: an idle one if there is any, or a new one with this timeout for
    /// acknowledgements.
    ///
    /// Requests that may run only once set `needs_new`, which forces a new connection. A target may close an
    /// idle connection, or send a late response on it, just as the request is sent; the outcome of that
    /// request would then be unknown.
    pub(crate) async fn acquire(
        &self,
        address: &Name,
        needs_new: bool,
        unacknowledged_timeout: Duration,
    ) -> Result<TargetConnection, std::io::Error> {
        if !needs_new && let Some(idle) = self.take_idle(address) {
            return Ok(idle);
        }
        let connecting = TcpStream::connect(&**address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        set_unacknowledged_timeout(&stream, unacknowledged_timeout)?;
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        if self.has_fixed_buffers {
            bound_target_socket(&stream)?;
            builder.max_buf_size(TARGET_READ_BYTES);
        }
        let head_limit = Arc::new(HeadLimit::default());
        let stream = TokioIo::new(TargetStream::new(stream, head_limit.clone()));
        let (sender, connection) =
            builder.handshake(stream).await.map_err(std::io::Error::other)?;
        // Errors of the connection reach the request on it, which logs them.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let opened = TargetConnection {
            address: address.clone(),
            sender: Some(sender),
            task: task.abort_handle(),
            head_limit,
            is_reused: false,
        };
        Ok(opened)
    }

    fn take_idle(&self, address: &Name) -> Option<TargetConnection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if connection.usable_until > now && connection.sender.is_ready() {
                return Some(TargetConnection {
                    address: address.clone(),
                    sender: Some(connection.sender),
                    task: connection.task,
                    head_limit: connection.head_limit,
                    is_reused: true,
                });
            }
            connection.task.abort();
        }
        None
    }

    /// Adds a connection to the idle ones after a complete response, or closes it if the target already has
    /// [`MAX_IDLE_PER_TARGET`].
    pub(crate) fn put_back(&self, mut connection: TargetConnection, keep_alive: Option<Duration>) {
        let Some(sender) = connection.sender.take() else { return };
        let keep_alive = keep_alive.map_or(MAX_KEEP_ALIVE, |timeout| timeout.min(MAX_KEEP_ALIVE));
        let usable_until = Instant::now() + keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        let mut idle = lock(&self.idle);
        let connections = idle.get_or_insert_with(connection.address.clone(), Vec::new);
        if connections.len() >= MAX_IDLE_PER_TARGET {
            connection.task.abort();
            return;
        }
        let task = connection.task.clone();
        let head_limit = connection.head_limit.clone();
        connections.push(IdleConnection { sender, task, head_limit, usable_until });
    }

    /// Closes the idle connections to a target that timed out or broke a connection. Its other connections
    /// may be lost as well, and each request sent on one of them would have to time out first.
    pub(crate) fn close_idle(&self, address: &Name) {
        for connection in lock(&self.idle).remove(address).unwrap_or_default() {
            connection.task.abort();
        }
    }

    /// Closes idle connections that the target closed or that have expired.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|connection| {
                let is_usable = connection.usable_until > now && !connection.sender.is_closed();
                if !is_usable {
                    connection.task.abort();
                }
                is_usable
            });
            !connections.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
