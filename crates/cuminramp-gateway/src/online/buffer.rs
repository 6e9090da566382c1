//! Reads responses that are buffered until they are complete, within bounds for each one and for all together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// Maximum size in bytes of a response that is buffered until it is complete.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Size in bytes up to which a response is read whatever the others hold.
const MIN_RESPONSE_BYTES: usize = 1 << 20;
/// Part of the host's memory that buffered responses may hold together, as a divisor, and the number of bytes where the
/// settings do not state the memory.
const MEMORY_DIVISOR: usize = 8;
const DEFAULT_BYTES: usize = 64 << 20;

/// Bytes that all buffered responses of this host hold together.
#[derive(Debug)]
pub(crate) struct ResponseBudget {
    held: AtomicUsize,
    limit: usize,
}

impl ResponseBudget {
    /// Creates the budget of a host with this memory; 0 if it is not known.
    pub(crate) fn new(memory_mb: u64) -> Self {
        let bytes = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        let limit = if bytes == 0 { DEFAULT_BYTES } else { bytes / MEMORY_DIVISOR };
        ResponseBudget { held: AtomicUsize::new(0), limit }
    }
}

/// Bytes of one response, returned to the budget when they are dropped.
struct HeldBytes {
    budget: Arc<ResponseBudget>,
    bytes: usize,
}

impl HeldBytes {
    /// Adds bytes. Returns `false` if the response is too long, by itself or beside the others.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let all = self.budget.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let fits = all <= self.budget.limit || self.bytes <= MIN_RESPONSE_BYTES;
        fits && self.bytes <= MAX_RESPONSE_BYTES
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Why a response could not be read to its end.
#[derive(Debug)]
pub(super) enum ReadFailure<E> {
    /// It is longer than a response may be, or than memory is left for.
    TooLong,
    /// The connection broke.
    Broken(E),
}

/// Reads a response to its end.
pub(super) async fn read_complete<B>(
    mut body: B,
    budget: &Arc<ResponseBudget>,
) -> Result<Bytes, ReadFailure<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut held = HeldBytes { budget: budget.clone(), bytes: 0 };
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(ReadFailure::Broken)?.into_data() else { continue };
        if !held.add(bytes.len()) {
            return Err(ReadFailure::TooLong);
        }
        content.extend_from_slice(&bytes);
    }
    Ok(content.freeze())
}

#[cfg(test)]
mod tests;
