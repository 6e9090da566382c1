//! The figures that a replay returns.

use serde::Serialize;

/// Figures of one replay. Each request and item counts once, regardless of how often it was sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReplayReport {
    /// Requests that callers made.
    pub requests: u32,
    /// Requests that were completed, with the first event within the objective.
    pub in_time: u32,
    /// Requests that were completed, with the first event after the objective.
    pub late: u32,
    /// Requests that were refused and not served afterwards: they were not retried, or refused again.
    pub refused: u32,
    /// Requests that were refused with a retry delay and served when retried.
    pub returned: u32,
    /// Requests that failed because their target or host failed, or that arrived while all hosts were down.
    pub failed: u32,
    /// Sends of requests to targets, including the sends that failed.
    pub sends: u32,
    /// Sends of requests that failed because the target broke the connection.
    pub broken_sends: u32,
    /// Sends of requests and items that a target refused because its queue was full.
    pub refused_sends: u32,
    /// Items of all jobs.
    pub items: u32,
    /// Items that were completed by their due time.
    pub items_in_time: u32,
    /// Items that were completed after their due time or not at all.
    pub items_late: u32,
    /// Runs of items that were preempted for requests.
    pub cut_runs: u32,
    /// Slot time that led to a result or to progress of an item, in seconds.
    pub slot_s_used: f64,
    /// Slot time of runs that failed or whose result no host received, in seconds.
    pub slot_s_wasted: f64,
    /// Maximum number of runs that one target started, divided by the mean over all targets.
    pub busiest_over_mean: f64,
}
