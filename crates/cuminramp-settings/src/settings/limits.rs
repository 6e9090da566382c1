//! Section `limits` of the settings.

use serde::{Deserialize, Serialize};

/// Limits on callers' connections and requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of an uploaded file, in bytes.
    pub max_file_bytes: usize,
    /// Maximum size of a target's answer that is not a stream, in bytes.
    pub max_answer_bytes: usize,
    /// Timeout for receiving the head of a request, in milliseconds; also the idle timeout of a
    /// connection.
    pub head_timeout_ms: u64,
    /// Timeout for receiving the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum number of items in one batch job.
    pub max_batch_items: usize,
    /// Maximum time, in milliseconds, that a draining host waits for work in flight.
    pub drain_timeout_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        LimitSettings {
            max_body_bytes: 4 << 20,
            max_file_bytes: 256 << 20,
            max_answer_bytes: 16 << 20,
            head_timeout_ms: 30_000,
            body_timeout_ms: 10_000,
            connections: 20_000,
            max_batch_items: 100_000,
            drain_timeout_ms: 60_000,
        }
    }
}

duration_getters!(LimitSettings {
    /// Timeout for receiving the head of a request.
    head_timeout = head_timeout_ms;
    /// Timeout for receiving the body of a request.
    body_timeout = body_timeout_ms;
    /// Maximum time that a draining host waits for work in flight.
    drain_timeout = drain_timeout_ms;
});
