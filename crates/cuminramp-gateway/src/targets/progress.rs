//! Whether the bytes of a target's stream bring it forward.

use super::events::StreamEvent;

/// Maximum number of bytes in a row that bring a stream no further: comments, and events that were sent before. Targets
/// send a few comments while a request waits.
const MAX_BYTES_WITHOUT_EVENT: usize = 16 << 10;

/// Progress of the response of one target.
#[derive(Debug, Default)]
pub(crate) struct StreamProgress {
    /// Highest number of an event.
    last_event: Option<u64>,
    /// Number of events that brought the stream forward.
    events: u64,
    /// Bytes since the last of these.
    bytes_without_event: usize,
}

impl StreamProgress {
    /// Records an event. One that the caller has already may still be new in this response: some targets begin a stream
    /// anew where it is to be resumed.
    pub(crate) fn record(&mut self, event: &StreamEvent) {
        let is_new = match (event.id, self.last_event) {
            (Some(id), Some(last)) => id > last,
            (None, Some(_)) => false,
            (_, None) => true,
        };
        if is_new && has_data(&event.raw) {
            self.last_event = event.id;
            self.events += 1;
            self.bytes_without_event = 0;
        } else {
            self.bytes_without_event += event.raw.len();
        }
    }

    /// Returns the number of events that brought the stream forward.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Returns an error text if too many bytes have brought the stream no further.
    pub(crate) fn error(&self) -> Option<String> {
        let is_too_long = self.bytes_without_event > MAX_BYTES_WITHOUT_EVENT;
        is_too_long.then(|| format!("over {MAX_BYTES_WITHOUT_EVENT} bytes without a new event"))
    }
}

fn has_data(raw: &[u8]) -> bool {
    raw.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data:"))
}

/// Returns whether the lines of an event are fields or comments.
pub(crate) fn is_event(raw: &[u8]) -> bool {
    let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    raw.split(|byte| *byte == b'\n').all(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let name_end = line.iter().position(|byte| *byte == b':');
        line.is_empty() || name_end.is_some_and(|end| line[..end].iter().all(is_name))
    })
}

#[cfg(test)]
mod tests;
