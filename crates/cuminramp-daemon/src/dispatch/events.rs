//! Splits a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Data of the event that ends a stream.
const DONE_DATA: &[u8] = b"[DONE]";
/// Prefix of an event's data line.
const DATA_PREFIX: &[u8] = b"data:";
/// Maximum number of bytes that are buffered; a target that never ends its event would otherwise use up
/// the host's memory.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A complete server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    /// Bytes of the event, including the empty line that ends it.
    pub(crate) bytes: Bytes,
    /// Role of the event in the stream.
    pub(crate) kind: EventKind,
}

/// Role of an event in a stream of completion chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventKind {
    /// A chunk that carries a token: at least one of its choices has no finish reason.
    Token,
    /// Any other part of the answer, such as a comment or the chunk with the finish reason.
    Other,
    /// The `[DONE]` event: the answer is complete.
    Done,
}

/// Buffers bytes until events are complete.
///
/// If bytes were forwarded as they arrive, a caller could receive the first half of an event from a target
/// that fails and the second half from the target that resumes the stream.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: BytesMut,
}

#[derive(Deserialize)]
struct ChunkBody {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

impl EventParser {
    /// Appends bytes. Returns `false` if more than [`MAX_EVENT_BYTES`] are then buffered.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")? + 2;
        let bytes = self.buffer.split_to(end).freeze();
        let kind = classify_event(&bytes);
        Some(StreamEvent { bytes, kind })
    }
}

fn classify_event(event: &[u8]) -> EventKind {
    let Some(data) = event.strip_prefix(DATA_PREFIX) else {
        return EventKind::Other;
    };
    let data = data.trim_ascii();
    if data == DONE_DATA {
        return EventKind::Done;
    }
    match serde_json::from_slice::<ChunkBody>(data) {
        Ok(chunk) if chunk.choices.iter().any(|choice| choice.finish_reason.is_none()) => {
            EventKind::Token
        }
        _ => EventKind::Other,
    }
}

#[cfg(test)]
mod tests;
