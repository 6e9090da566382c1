//! Cuts a stream of bytes into server-sent events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// The data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";
/// What stands before an event's data.
const DATA_PREFIX: &[u8] = b"data:";
/// The longest event that is waited for.
const MOST_EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    /// Its bytes, with the empty line that ends it.
    pub(crate) bytes: Bytes,
    /// What it is.
    pub(crate) kind: EventKind,
}

/// What matters of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventKind {
    /// A token of the answer.
    Token,
    /// Anything else that belongs to the answer.
    Other,
    /// The end: the answer is whole.
    Done,
}

/// Gathers bytes until events are whole, so that a caller never gets half of one from a target that
/// breaks off and the other half from the target that goes on.
#[derive(Debug, Default)]
pub(crate) struct EventCutter {
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

impl EventCutter {
    /// Adds bytes; says `false` where an event has grown too large.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MOST_EVENT_BYTES
    }

    /// Takes the next whole event.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")? + 2;
        let bytes = self.buffer.split_to(end).freeze();
        let kind = kind_of(&bytes);
        Some(StreamEvent { bytes, kind })
    }
}

fn kind_of(event: &[u8]) -> EventKind {
    let Some(data) = event.strip_prefix(DATA_PREFIX) else {
        return EventKind::Other;
    };
    let data = data.trim_ascii();
    if data == DONE {
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
