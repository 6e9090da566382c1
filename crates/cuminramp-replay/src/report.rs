//! What came of a replay.

use serde::Serialize;

/// Figures of one replay. Requests and items count once, however often they were sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReplayReport {
    /// Requests of callers.
    pub requests: u32,
    /// First event within the objective, and whole.
    pub in_time: u32,
    /// Whole, and later.
    pub late: u32,
    /// Refused, and not served on return.
    pub refused: u32,
    /// Refused with a time to come back, and then served.
    pub returned: u32,
    /// Lost to a target or host that broke.
    pub failed: u32,
    /// Sends of callers' requests, and how many of them a target broke.
    pub sends: u32,
    /// Sends that broke.
    pub broken_sends: u32,
    /// Sends of requests and items that a target had no room for.
    pub refused_sends: u32,
    /// Items of jobs.
    pub items: u32,
    /// Done by when they were due.
    pub items_in_time: u32,
    /// Done later or not at all.
    pub items_late: u32,
    /// Runs of items that gave way to callers.
    pub cut_runs: u32,
    /// Seconds of slots that brought what somebody got.
    pub slot_s_used: f64,
    /// Seconds of slots for what was lost or begun anew.
    pub slot_s_wasted: f64,
    /// Most requests that one target began, over the mean.
    pub busiest_over_mean: f64,
}
