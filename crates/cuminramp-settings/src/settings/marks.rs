//! Section `marks` of the settings.

use serde::{Deserialize, Serialize};

/// Start marks: table rows that record that a request that may not be repeated was started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct MarkSettings {
    /// Minimum interval between two writes of marks, in milliseconds; marks that arrive in between go
    /// into the next write.
    pub group_ms: u64,
    /// Maximum number of marks in one write.
    pub group_size: usize,
    /// Maximum size, in bytes, of an answer that is stored for a caller that repeats its request.
    pub max_kept_bytes: usize,
}

impl Default for MarkSettings {
    fn default() -> Self {
        MarkSettings { group_ms: 50, group_size: 256, max_kept_bytes: 64 << 10 }
    }
}

duration_getters!(MarkSettings {
    /// Minimum interval between two writes of marks.
    write_interval = group_ms;
});
