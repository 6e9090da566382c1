//! How the end of a target's response is marked.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;

/// What marks the end of a response's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ResponseFraming {
    /// The head names the number of bytes.
    Length,
    /// The body comes in chunks, and an empty one ends it.
    Chunks,
    /// The target closes the connection after the last byte.
    Connection,
}

impl ResponseFraming {
    /// Reads the framing from the head of a response that has a body.
    pub(crate) fn of(parts: &response::Parts) -> Self {
        let codings = parts.headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let last_coding =
            codings.and_then(|value| value.to_str().ok()?.rsplit(',').next().map(str::trim));
        match last_coding {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => ResponseFraming::Chunks,
            None if parts.headers.contains_key(CONTENT_LENGTH) => ResponseFraming::Length,
            _ => ResponseFraming::Connection,
        }
    }

    /// Returns the value for logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            ResponseFraming::Length => "length",
            ResponseFraming::Chunks => "chunks",
            ResponseFraming::Connection => "connection",
        }
    }
}

#[cfg(test)]
mod tests;
