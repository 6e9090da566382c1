//! Idle connections to targets.

use std::sync::Mutex;
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

use crate::state::lock;

/// A connection that takes longer to stand is given up: half of the usual objective is left to try another
/// target.
const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// A connection whose bytes the target's machine has not confirmed for so long is broken: the machine is
/// gone or the path has fallen silent. A target that is merely busy confirms at once.
const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(150);
/// How long an idle connection is used again where the target says nothing.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// A target that closes idle connections after so long may do so while a request is on its way;
/// this much sooner the connection is not used any more.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Idle connections that are kept for each target.
const MOST_IDLE: usize = 4;

/// Lets the kernel break a connection whose bytes stay unconfirmed.
fn break_if_unconfirmed(stream: &TcpStream) -> std::io::Result<()> {
    sockopt::set_tcp_user_timeout(stream, UNCONFIRMED_LIMIT.as_millis() as u32)?;
    Ok(())
}

/// A connection that one request uses. Dropped without being put back it is closed at once, so that
/// the target stops work that nobody waits for.
#[derive(Debug)]
pub(crate) struct TargetLease {
    address: Name,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    /// Whether it was idle before.
    pub(crate) is_reused: bool,
}

impl Drop for TargetLease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl TargetLease {
    /// The sender of the connection.
    pub(crate) fn sender(&mut self) -> Option<&mut SendRequest<Full<Bytes>>> {
        self.sender.as_mut()
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    usable_until: Instant,
}

/// Idle connections of all targets.
#[derive(Debug, Default)]
pub(crate) struct TargetConnections {
    idle: Mutex<SortedMap<Name, Vec<IdleConnection>>>,
}

impl TargetConnections {
    /// A connection to a target: an idle one, unless `is_fresh` asks for a new one, as requests that
    /// may run only once do. A target may close an idle connection, or send a late answer on it,
    /// just as the request leaves; then nobody can tell whether it ran.
    pub(crate) async fn lease(
        &self,
        address: &Name,
        is_fresh: bool,
    ) -> Result<TargetLease, std::io::Error> {
        if !is_fresh && let Some(lease) = self.take_idle(address) {
            return Ok(lease);
        }
        let connecting = TcpStream::connect(&**address);
        let stream = tokio::time::timeout(CONNECT_LIMIT, connecting)
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        break_if_unconfirmed(&stream)?;
        let (sender, connection) =
            Builder::new().handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
        // Errors of the connection reach its request, which logs them.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        let lease = TargetLease {
            address: address.clone(),
            sender: Some(sender),
            task: task.abort_handle(),
            is_reused: false,
        };
        Ok(lease)
    }

    fn take_idle(&self, address: &Name) -> Option<TargetLease> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if connection.usable_until > now && connection.sender.is_ready() {
                return Some(TargetLease {
                    address: address.clone(),
                    sender: Some(connection.sender),
                    task: connection.task,
                    is_reused: true,
                });
            }
            connection.task.abort();
        }
        None
    }

    /// Puts a connection back whose answer ended whole.
    pub(crate) fn put_back(&self, mut lease: TargetLease, keep_alive: Option<Duration>) {
        let Some(sender) = lease.sender.take() else { return };
        let limit = keep_alive.map_or(IDLE_LIMIT, |limit| limit.min(IDLE_LIMIT));
        let usable_until = Instant::now() + limit.saturating_sub(IDLE_MARGIN);
        let mut idle = lock(&self.idle);
        let connections = idle.get_or_insert_with(lease.address.clone(), Vec::new);
        if connections.len() >= MOST_IDLE {
            lease.task.abort();
            return;
        }
        let task = lease.task.clone();
        connections.push(IdleConnection { sender, task, usable_until });
    }

    /// Closes what is idle to a target that fell silent or broke: its other connections may be just
    /// as lost, and each request on one would find out by itself.
    pub(crate) fn close_idle(&self, address: &Name) {
        for connection in lock(&self.idle).remove(address).unwrap_or_default() {
            connection.task.abort();
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_old(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|connection| {
                let is_kept = connection.usable_until > now && !connection.sender.is_closed();
                if !is_kept {
                    connection.task.abort();
                }
                is_kept
            });
            !connections.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
