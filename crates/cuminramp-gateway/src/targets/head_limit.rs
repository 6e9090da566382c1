//! Bounds what is read from a target until the head of its response is complete.
//!
//! The HTTP client bounds a head, but not the interim responses before it. It parses these for as long as there are any,
//! which would keep the thread of all other connections busy.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Maximum size in bytes of the head of a response, and of the buffer into which a response is read.
pub(super) const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of bytes that are read until a head is complete: of the head, of interim responses, and of the body in
/// the same buffer and the next one.
const MAX_BYTES_BEFORE_BODY: usize = 3 * MAX_HEAD_BYTES;
/// Value of [`HeadLimit::left`] while no head is awaited.
const UNLIMITED: usize = usize::MAX;

/// Number of bytes that may still be read until a head is complete, shared with the connection.
#[derive(Debug)]
pub(super) struct HeadLimit {
    left: AtomicUsize,
}

impl Default for HeadLimit {
    fn default() -> Self {
        HeadLimit { left: AtomicUsize::new(UNLIMITED) }
    }
}

impl HeadLimit {
    /// Begins to count: a request is sent.
    pub(super) fn begin(&self) {
        self.left.store(MAX_BYTES_BEFORE_BODY, Ordering::Relaxed);
    }

    /// Stops counting: the head is complete.
    pub(super) fn end(&self) {
        self.left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Returns whether the target has sent too many bytes without a complete head.
    pub(super) fn is_exceeded(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        if left != UNLIMITED {
            self.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// Stream of a connection to a target, with a limit for heads.
pub(super) struct TargetStream {
    stream: TcpStream,
    limit: Arc<HeadLimit>,
}

impl TargetStream {
    pub(super) fn new(stream: TcpStream, limit: Arc<HeadLimit>) -> Self {
        TargetStream { stream, limit }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            let reason = "too many bytes before the end of the head";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.limit.spend(buffer.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
