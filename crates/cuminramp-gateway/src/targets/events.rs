//! Whole events out of a stream of bytes.

use bytes::{Bytes, BytesMut};

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct StreamEvent {
    /// Its bytes, with the empty line that ends it.
    pub(crate) raw: Bytes,
    /// Its number.
    pub(crate) id: Option<u64>,
}

impl StreamEvent {
    /// Its data: the `data` lines, separated by line feeds.
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

fn read_id(raw: &[u8]) -> Option<u64> {
    let mut lines = raw.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// How an event stands to the last one that was taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum EventOrder {
    /// It is the next, or has no number.
    Next,
    /// It was taken before.
    Repeated,
    /// Events between them are missing.
    Gap(String),
}

impl EventOrder {
    /// Compares an event's number with the last one's.
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

/// Events that follow what a caller has.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct TakenEvents {
    /// Their bytes.
    pub(crate) bytes: BytesMut,
    /// Why no more can be taken from this stream.
    pub(crate) gap: Option<String>,
}

/// The longest event that is waited for. Targets send a few hundred bytes; one that never ends its
/// event would fill the host's memory, of which the smallest hosts have 160 MB for everything.
const MOST_EVENT_BYTES: usize = 1 << 20;

/// Cuts a stream into whole events. Half an event at the end of a broken stream stays behind: a
/// caller who had got it would get its other half from another run.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes bytes as they come.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub(crate) fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched = 0;
        let raw = self.buffer.split_to(end).freeze();
        let id = read_id(&raw);
        Some(StreamEvent { raw, id })
    }

    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer[..];
        let from = self.searched.saturating_sub(3);
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
        self.searched = bytes.len();
        None
    }

    /// All whole events that follow event `last`, which is moved along. Those before a gap are taken
    /// all the same: `last` counts them, so a caller who did not get them would never do.
    pub(crate) fn take_following(&mut self, last: &mut Option<u64>) -> TakenEvents {
        let mut taken = TakenEvents::default();
        while let Some(event) = self.next_event() {
            match EventOrder::of(event.id, *last) {
                EventOrder::Repeated => continue,
                EventOrder::Gap(reason) => {
                    taken.gap = Some(reason);
                    return taken;
                }
                EventOrder::Next => {}
            }
            *last = event.id.or(*last);
            taken.bytes.extend_from_slice(&event.raw);
        }
        taken.gap = self.overlong_event();
        taken
    }

    /// Says so where the unfinished event is longer than any that is waited for.
    pub(crate) fn overlong_event(&self) -> Option<String> {
        let is_overlong = self.buffer.len() > MOST_EVENT_BYTES;
        is_overlong.then(|| format!("an event of over {MOST_EVENT_BYTES} bytes"))
    }

    /// Bytes that are no whole event yet.
    pub(crate) fn rest(&self) -> &[u8] {
        &self.buffer
    }
}

#[cfg(test)]
mod tests;
