//! Sockets whose buffers have fixed sizes, and whose unread bytes are counted.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::CallerReader;
use crate::state::GatewayState;

/// Size in bytes of the kernel's send buffer of a caller's connection. The kernel's own choice grows to
/// megabytes, and counts toward the memory of the host.
const CALLER_SEND_BYTES: usize = 64 << 10;
/// Size in bytes of the kernel's receive buffer of a connection to a target.
const TARGET_RECEIVE_BYTES: usize = 32 << 10;
/// Maximum size in bytes of the buffer into which a target's response is read, and of its head.
pub(crate) const TARGET_READ_BYTES: usize = 32 << 10;
/// The kernel doubles the requested size of a buffer, for its own overhead.
const KERNEL_FACTOR: usize = 2;

/// Size in bytes of the largest segment that the kernel adds to a send buffer that is not full yet: a buffer
/// may exceed its size by one.
const KERNEL_SEGMENT_BYTES: usize = 64 << 10;

/// Bytes held for a caller that reads no more, in addition to those that wait in this process.
pub(super) const RESPONSE_FIXED_BYTES: u64 =
    (KERNEL_FACTOR * CALLER_SEND_BYTES + KERNEL_SEGMENT_BYTES) as u64;
/// Bytes held for a stream that is not read: its caller's send buffer, its target's receive buffer, and what
/// was read from the target but not passed on (the read buffer, and as much again that was taken out of it).
pub(super) const STREAM_FIXED_BYTES: u64 =
    RESPONSE_FIXED_BYTES + (KERNEL_FACTOR * TARGET_RECEIVE_BYTES + 2 * TARGET_READ_BYTES) as u64;

/// Bounds the kernel's receive buffer of a connection to a target.
pub(crate) fn bound_target_socket(stream: &TcpStream) -> io::Result<()> {
    Ok(sockopt::set_socket_recv_buffer_size(stream, TARGET_RECEIVE_BYTES)?)
}

/// A caller's connection that counts the bytes that its caller does not take.
pub(crate) struct CallerSocket {
    stream: TcpStream,
    reader: Arc<CallerReader>,
    /// The state with the budget; `None` if the host has no bound.
    budget: Option<Arc<GatewayState>>,
    /// Whether the budget has an entry of this connection.
    is_blocked: bool,
    /// Whether bytes were taken since the budget's entry was written.
    has_read: bool,
}

impl CallerSocket {
    /// Wraps a connection. With `budget`, bounds its send buffer in the kernel and counts what is unread.
    pub(crate) fn new(
        stream: TcpStream,
        reader: Arc<CallerReader>,
        budget: Option<Arc<GatewayState>>,
    ) -> Self {
        if budget.is_some() {
            // A failure leaves the kernel's own choice, which works, but takes more memory.
            let _ = sockopt::set_socket_send_buffer_size(&stream, CALLER_SEND_BYTES);
        }
        CallerSocket { stream, reader, budget, is_blocked: false, has_read: false }
    }

    /// Counts the outcome of a write of `offered` bytes, which are all that wait in this process.
    fn count_write(&mut self, offered: usize, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.reader.record_activity();
        }
        let Some(state) = &self.budget else { return };
        let reader = &self.reader;
        match written {
            Poll::Pending => {
                reader.record_blocked(state, offered as u64, self.has_read);
                self.is_blocked = true;
                self.has_read = false;
            }
            Poll::Ready(Ok(count)) if *count == offered => {
                if self.is_blocked {
                    reader.record_unblocked(state);
                    self.is_blocked = false;
                }
            }
            Poll::Ready(Ok(_)) => self.has_read = true,
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        let Some(state) = &self.budget else { return };
        let reader = &self.reader;
        reader.record_unblocked(state);
        if reader.end().is_cancelled() {
            // Without this, the kernel would hold the unread bytes until its own timeouts pass.
            let _ = sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.reader.record_activity();
        }
        read
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_write(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.count_write(parts.iter().map(|part| part.len()).sum(), &written);
        written
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
