//! Section `targets` of the settings.

use serde::{Deserialize, Serialize};

/// Choice of targets and connections to them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TargetSettings {
    /// Timeout for connecting to a target, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout, in milliseconds, until the head of a target's answer arrives.
    pub first_byte_timeout_ms: u64,
    /// Timeout, in milliseconds, between two pieces of a stream or body.
    pub progress_timeout_ms: u64,
    /// Interval, in milliseconds, at which engines (targets that serve a model) are polled for their load; 0
    /// disables polling.
    pub load_poll_ms: u64,
    /// Path of an engine's load report.
    pub load_path: String,
    /// Name of the request header with the number of tokens after which an engine continues an answer;
    /// empty if engines can't resume.
    pub resume_header: String,
    /// Number of consecutive failures after which a target is ejected.
    pub eject_after: u32,
    /// Duration of a target's first ejection, in milliseconds; it doubles with each further ejection,
    /// up to eight times this value.
    pub eject_ms: u64,
    /// Maximum share of a pool's targets that may be ejected.
    pub eject_share: f64,
    /// Maximum time, in milliseconds, that a request waits for a free slot.
    pub queue_timeout_ms: u64,
    /// Maximum number of requests of one pool that wait for a free slot on this host.
    pub queue_length: usize,
    /// Maximum number of requests in flight on one target over all hosts, as a multiple of its slots.
    pub slot_factor: f64,
    /// Number of leading characters of a prompt that count as its prefix.
    pub prefix_chars: usize,
}

impl Default for TargetSettings {
    fn default() -> Self {
        TargetSettings {
            connect_timeout_ms: 500,
            first_byte_timeout_ms: 10_000,
            progress_timeout_ms: 5_000,
            load_poll_ms: 500,
            load_path: "/load".into(),
            resume_header: "x-resume-position".into(),
            eject_after: 3,
            eject_ms: 1_000,
            eject_share: 0.5,
            queue_timeout_ms: 5_000,
            queue_length: 1_000,
            slot_factor: 2.0,
            prefix_chars: 256,
        }
    }
}

duration_getters!(TargetSettings {
    /// Timeout for connecting to a target.
    connect_timeout = connect_timeout_ms;
    /// Timeout until the head of a target's answer arrives.
    first_byte_timeout = first_byte_timeout_ms;
    /// Timeout between two pieces of a stream or body.
    progress_timeout = progress_timeout_ms;
    /// Interval at which engines are polled for their load.
    load_poll_interval = load_poll_ms;
    /// Duration of a target's first ejection.
    ejection_duration = eject_ms;
    /// Maximum time that a request waits for a free slot.
    queue_timeout = queue_timeout_ms;
});
