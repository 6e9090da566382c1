//! Section `batch` of the settings.

use serde::{Deserialize, Serialize};

/// Batch jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct BatchSettings {
    /// Whether this host works on batch jobs.
    pub enabled: bool,
    /// Interval, in milliseconds, at which the table is polled for open jobs.
    pub poll_ms: u64,
    /// Minimum number of items in a chunk.
    pub min_chunk_items: u32,
    /// Maximum number of items in a chunk.
    pub max_chunk_items: u32,
    /// Maximum number of chunks that one host holds at once.
    pub chunks_per_host: usize,
    /// Time, in milliseconds, for which a host must be dead before its chunks are taken over.
    pub takeover_after_ms: u64,
    /// Number of attempts after which an item ends with an error.
    pub item_attempts: u32,
    /// Number of target crashes, with the item running alone, after which the item ends with an error; 0 if it is run
    /// again however often that was.
    pub item_crashes: u32,
    /// Maximum share of the slots of an engine (a target that serves a model) that batch items may fill while
    /// nothing else runs.
    pub window_share: f64,
    /// Time, in milliseconds, for which an engine gets no batch items after online work.
    pub yield_ms: u64,
    /// Timeout of one item, in milliseconds.
    pub item_timeout_ms: u64,
}

impl Default for BatchSettings {
    fn default() -> Self {
        BatchSettings {
            enabled: true,
            poll_ms: 1_000,
            min_chunk_items: 16,
            max_chunk_items: 500,
            chunks_per_host: 8,
            takeover_after_ms: 5_000,
            item_attempts: 5,
            item_crashes: 0,
            window_share: 1.0,
            yield_ms: 250,
            item_timeout_ms: 120_000,
        }
    }
}

duration_getters!(BatchSettings {
    /// Interval at which the table is polled for open jobs.
    poll_interval = poll_ms;
    /// Time for which a host must be dead before its chunks are taken over.
    takeover_delay = takeover_after_ms;
    /// Time for which an engine gets no batch items after online work.
    online_cooldown = yield_ms;
    /// Timeout of one item.
    item_timeout = item_timeout_ms;
});
