//! Entry of an admission queue.

use std::time::Duration;

use cuminramp_core::HostId;
use tokio::time::Instant;

use super::WaitingRequest;
use crate::admission::message::AdmissionRequest;
use crate::admission::order::{RequestKey, TeamPosition, UrgencyClass};

/// A waiting request with the times and the class that determine its place in the queue.
#[derive(Debug)]
pub(super) struct QueueEntry {
    pub(super) waiting: WaitingRequest,
    pub(super) class: UrgencyClass,
    /// Latest start with which the request meets its objective. Repeated requests only bring it forward,
    /// so that one that arrives late doesn't gain time.
    pub(super) latest_start: Instant,
    /// Time after which the request is of no use to its caller. Repeated requests only bring it forward.
    pub(super) deadline: Instant,
}

impl QueueEntry {
    /// Creates the entry of a request that arrives now and can meet its objective.
    pub(super) fn new(host: &HostId, request: &AdmissionRequest, now: Instant) -> Self {
        let deadline = now + Duration::from_millis(u64::from(request.deadline_ms));
        let latest_start = now + Duration::from_millis(u64::from(request.max_wait_ms));
        let waiting = WaitingRequest {
            host: host.clone(),
            request: request.clone(),
            queued_at: now,
            received_at: now,
        };
        let class = UrgencyClass { priority: request.priority, is_late: false };
        QueueEntry { waiting, class, latest_start: latest_start.min(deadline), deadline }
    }

    /// Returns the time after which the entry becomes late, or is rejected if it is late already.
    pub(super) fn due(&self) -> Instant {
        if self.class.is_late { self.deadline } else { self.latest_start }
    }

    /// Returns the sort key of the entry among those of its team.
    pub(super) fn position(&self) -> TeamPosition {
        let WaitingRequest { host, request, .. } = &self.waiting;
        let key = RequestKey { request_id: request.request_id, host: host.clone() };
        TeamPosition { is_first_attempt: !request.is_retry, due: self.due(), key }
    }
}

/// Key of an entry by due time.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct DueKey {
    pub(super) due: Instant,
    pub(super) key: RequestKey,
}
