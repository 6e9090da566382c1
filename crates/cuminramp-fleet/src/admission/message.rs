//! Messages between hosts and the owner of a group about requests that may wait for a slot.

use cuminramp_core::Incarnation;
use serde::{Deserialize, Serialize};

/// Request to a group's owner for a slot of a group with an admission queue, sent on behalf of one online
/// request. A host repeats it with the current times while the request waits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionRequest {
    /// Incarnation of the requesting host.
    pub incarnation: Incarnation,
    /// Number of the request, unique within the incarnation and among slot requests.
    pub request_id: u64,
    /// The group, as returned by [`SlotGroup::hash`](crate::SlotGroup::hash).
    pub group: u32,
    /// Targets that the owner must not choose.
    pub avoided: Vec<u32>,
    /// Hash of the team's name, see [`name_hash`](crate::name_hash); 0 for a request without a team.
    pub team: u32,
    /// Weight of the team's share, in thousandths.
    pub weight_milli: u32,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request was refused before or has already run at a target.
    pub is_retry: bool,
    /// Time for which the request may wait from now and still meet its objective, in milliseconds.
    pub max_wait_ms: u32,
    /// Time from now after which the request is of no use to its caller, in milliseconds.
    pub deadline_ms: u32,
    /// Whether the request accepts a place in the queue if no slot is free.
    pub may_wait: bool,
}

/// Notice to a group's owner that a request no longer waits, because its caller has left.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmissionWithdrawal {
    /// Incarnation of the requesting host.
    pub incarnation: Incarnation,
    /// Number of the request.
    pub request_id: u64,
    /// The group, as returned by [`SlotGroup::hash`](crate::SlotGroup::hash).
    pub group: u32,
}

/// Figures on which an owner based its decision on a request, for the log lines of the request's host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShareReport {
    /// Part of all teams' usage of the group that the team's weight gives it, in hundredths of a slot.
    pub share_centi: u32,
    /// Usage of the team, including a slot that the decision grants, in hundredths of a slot.
    pub usage_centi: u32,
    /// Age of the oldest pace of the group's usable targets, in milliseconds; `None` if none reported one.
    pub pace_age_ms: Option<u32>,
}

/// Why an owner rejected a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RejectionReason {
    /// The request's team already uses more than its share of the slots.
    ShareUsed,
    /// The request can't be served in time, although its team is within its share.
    NoRoom,
    /// The queue has reached its maximum length.
    QueueFull,
    /// The request can't start before its deadline.
    Deadline,
}

impl RejectionReason {
    /// Returns the label in logs and metrics.
    ///
    /// ```
    /// assert_eq!(cuminramp_fleet::RejectionReason::ShareUsed.as_str(), "share-used");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            RejectionReason::ShareUsed => "share-used",
            RejectionReason::NoRoom => "no-room",
            RejectionReason::QueueFull => "queue-full",
            RejectionReason::Deadline => "deadline",
        }
    }
}
