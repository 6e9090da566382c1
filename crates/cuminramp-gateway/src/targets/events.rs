//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

use super::ResponseFraming;
use super::progress::{StreamProgress, is_event};

/// A complete event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    /// Bytes of the event, with the empty line that ends it.
    pub(crate) raw: Bytes,
    /// Number of the event from its `id` field, if it has one.
    pub(crate) id: Option<u64>,
}

impl StreamEvent {
    /// Returns the data of the event: its `data` lines, separated by line feeds.
    pub(crate) fn data(&self) -> String {
        let text = String::from_utf8_lossy(&self.raw);
        let lines = text.lines().filter_map(|line| field_value(line, "data"));
        lines.collect::<Vec<_>>().join("\n")
    }
}

fn field_value<'a>(line: &'a str, field: &str) -> Option<&'a str> {
    let value = line.strip_prefix(field)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}

fn parse_id(raw: &[u8]) -> Option<u64> {
    let mut lines = raw.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Position of an event relative to the last event passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum EventOrder {
    /// The event is the next one, or has no number.
    Next,
    /// The event was passed on before.
    Repeated,
    /// Events between the two are missing; names both numbers.
    Gap(String),
}

impl EventOrder {
    /// Compares the number of an event with the number of the last one.
    pub(crate) fn of(id: Option<u64>, last: Option<u64>) -> Self {
        match (id, last) {
            (Some(id), Some(last)) if id <= last => EventOrder::Repeated,
            (Some(id), Some(last)) if id > last + 1 => {
                EventOrder::Gap(format!("event {id} follows {last}"))
            }
            _ => EventOrder::Next,
        }
    }
}

/// Events that follow the last event that the caller has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct FollowingEvents {
    /// Bytes of the events.
    pub(crate) bytes: BytesMut,
    /// Why no more events can be taken from this stream: a gap or an event that is too long.
    pub(crate) stop_reason: Option<String>,
}

/// Whether a stream is complete whose body ended without an error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum StreamEnd {
    /// The stream is complete; holds the line ends after its last event.
    Complete(Bytes),
    /// The target broke the stream off, for this reason.
    BrokenOff(String),
}

/// Maximum size of an event in bytes. Targets send events of a few hundred bytes. Targets that never ended an event would
/// fill the memory of the host, which is 160 MB in total on the smallest hosts, with a few hundred streams.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// Splits a stream into complete events.
///
/// An incomplete event at the end of a broken stream is not passed on: the caller would receive its other
/// half from another run of the request.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// Received bytes that are not returned yet.
    buffer: BytesMut,
    /// Number of bytes of `buffer` that were searched for the end of an event.
    scanned: usize,
    /// Whether a complete event was returned.
    has_events: bool,
    /// Whether the bytes that come next are no event.
    is_malformed: bool,
    progress: StreamProgress,
}

impl EventSplitter {
    /// Appends received bytes, which may end anywhere in an event.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` until more bytes are pushed, or if they are no event.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        if self.is_malformed {
            return None;
        }
        let end = self.find_end()?;
        if !is_event(&self.buffer[..end]) {
            self.is_malformed = true;
            return None;
        }
        self.scanned = 0;
        self.has_events = true;
        let raw = self.buffer.split_to(end).freeze();
        let id = parse_id(&raw);
        let event = StreamEvent { raw, id };
        self.progress.record(&event);
        Some(event)
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        // The end of an event has up to three bytes, which may arrive in parts.
        let from = self.scanned.saturating_sub(3);
        for at in from..bytes.len() {
            if bytes[at] != b'\n' {
                continue;
            }
            let rest = &bytes[at + 1..];
            if rest.starts_with(b"\n") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(at + 3);
            }
        }
        self.scanned = bytes.len();
        None
    }

    /// Removes and returns all complete events that follow event `last`, and advances `last` past them.
    ///
    /// Events before a gap are returned as well: `last` counts them, so a stream resumed elsewhere would not
    /// repeat them, and the caller would miss them for good.
    pub(crate) fn take_following(&mut self, last: &mut Option<u64>) -> FollowingEvents {
        let mut taken = FollowingEvents::default();
        while let Some(event) = self.next_event() {
            match EventOrder::of(event.id, *last) {
                EventOrder::Repeated => continue,
                EventOrder::Gap(reason) => {
                    taken.stop_reason = Some(reason);
                    return taken;
                }
                EventOrder::Next => {}
            }
            *last = event.id.or(*last);
            taken.bytes.extend_from_slice(&event.raw);
        }
        taken.stop_reason = self.error();
        taken
    }

    /// Returns an error text if the bytes are no events, or without end.
    pub(crate) fn error(&self) -> Option<String> {
        if self.is_malformed {
            return Some("bytes that are no event".to_owned());
        }
        let is_too_long = self.buffer.len() > MAX_EVENT_BYTES;
        let size_error = is_too_long.then(|| format!("an event of over {MAX_EVENT_BYTES} bytes"));
        size_error.or_else(|| self.progress.error())
    }

    /// Returns the number of events that brought the stream forward.
    pub(crate) fn progress(&self) -> u64 {
        self.progress.events()
    }

    /// Returns whether the stream is complete if its body ends here without an error.
    ///
    /// With [`ResponseFraming::Connection`] that is also how a target ends that fails, so such a stream has
    /// to bring at least one event.
    pub(crate) fn end(&self, framing: ResponseFraming) -> StreamEnd {
        let rest_bytes = self.buffer.len();
        if self.buffer.iter().any(|byte| !matches!(byte, b'\n' | b'\r')) {
            return StreamEnd::BrokenOff(format!(
                "the stream ended {rest_bytes} bytes into an event"
            ));
        }
        if framing == ResponseFraming::Connection && !self.has_events {
            return StreamEnd::BrokenOff("the connection was closed before an event".to_owned());
        }
        StreamEnd::Complete(Bytes::copy_from_slice(&self.buffer))
    }

    /// Returns the bytes that form no complete event yet.
    pub(crate) fn rest(&self) -> &[u8] {
        &self.buffer
    }
}

#[cfg(test)]
mod tests;
