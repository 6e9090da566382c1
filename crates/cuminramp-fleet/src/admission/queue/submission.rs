//! Decisions on requests for which no slot is free.

use std::time::Duration;

use cuminramp_core::{HostId, RandomSource};
use tokio::time::Instant;

use super::entry::QueueEntry;
use super::{AdmissionQueue, GroupCapacity, QueueDecision, RejectedRequest};
use crate::admission::message::{AdmissionRequest, RejectionReason};
use crate::admission::order::RequestKey;
use crate::admission::returns::MAX_DELAY;

/// Maximum number of requests that wait for each slot of the group.
const MAX_WAITING_PER_SLOT: usize = 4;
/// Upper bound of expected waits, which applies if no slot is expected to become free.
const MAX_EXPECTED_WAIT: Duration = Duration::from_secs(60);
/// Minimum fraction of the freed slots that is assumed to be left over by later requests that go before a
/// waiting one. Without it, a burst of such requests would make the expected wait the maximum.
const MIN_FREED_FRACTION: f64 = 0.05;

impl AdmissionQueue {
    /// Returns the time for which a request would wait if it were queued now.
    pub fn expected_wait(
        &self,
        request: &AdmissionRequest,
        capacity: GroupCapacity,
        now: Instant,
    ) -> Duration {
        // The address only breaks ties between requests of the same team.
        let host = HostId { address: "".into(), incarnation: request.incarnation };
        self.classify(&mut QueueEntry::new(&host, request, now), capacity, now)
    }

    /// Marks a new entry as late if it is a retry that can't meet its objective, and returns the time for
    /// which it would wait. A first attempt that can't meet it is rejected, so it isn't marked.
    fn classify(&self, entry: &mut QueueEntry, capacity: GroupCapacity, now: Instant) -> Duration {
        let wait = self.entry_wait(entry, capacity, now);
        if !entry.waiting.request.is_retry || now + wait <= entry.latest_start {
            return wait;
        }
        entry.class.is_late = true;
        self.entry_wait(entry, capacity, now)
    }

    /// Returns the expected time until an entry, queued or not, gets a slot.
    fn entry_wait(&self, entry: &QueueEntry, capacity: GroupCapacity, now: Instant) -> Duration {
        let place = self.place_of(entry, now);
        let before = self.order.count_before(&place, &self.shares, now);
        let mut freed_per_s = capacity.freed_per_s;
        if !entry.class.is_late {
            // Later requests of teams with a lower relative usage go before the entry.
            let later = self.shares.arrivals_below(place.relative_usage(), now);
            freed_per_s = (freed_per_s - later).max(freed_per_s * MIN_FREED_FRACTION);
        }
        let seconds = (before + 1) as f64 / freed_per_s;
        let max = MAX_EXPECTED_WAIT.as_secs_f64();
        // A rate of 0 or NaN makes the wait the maximum.
        Duration::from_secs_f64(if (0.0..max).contains(&seconds) { seconds } else { max })
    }

    /// Queues a request, updates it if it waits already, or rejects it.
    ///
    /// A request that doesn't accept a place in the queue is rejected without being scheduled to return.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_core::{HostId, SeededRandom};
    /// use cuminramp_fleet::{AdmissionQueue, AdmissionRequest, GroupCapacity, QueueDecision};
    /// use tokio::time::Instant;
    /// let (now, mut random) = (Instant::now(), SeededRandom::new(1));
    /// let host = HostId { address: "192.0.2.1:1".into(), incarnation: 1 };
    /// let capacity = GroupCapacity { slots: 8, freed_per_s: 10.0 };
    /// let request = AdmissionRequest {
    ///     incarnation: 1, request_id: 1, group: 1, avoided: vec![], team: 1, weight_milli: 1_000,
    ///     priority: 0, is_retry: false, max_wait_ms: 180, deadline_ms: 5_000, may_wait: true,
    /// };
    /// let mut queue = AdmissionQueue::default();
    /// let decision = queue.submit(&host, &request, capacity, &mut random, now);
    /// assert_eq!(decision, QueueDecision::Waiting { wait: Duration::from_millis(100) });
    /// let next = AdmissionRequest { request_id: 2, ..request };
    /// let decision = queue.submit(&host, &next, capacity, &mut random, now);
    /// assert!(matches!(decision, QueueDecision::Rejected { .. }));
    /// ```
    pub fn submit(
        &mut self,
        host: &HostId,
        request: &AdmissionRequest,
        capacity: GroupCapacity,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> QueueDecision {
        self.process_due_entries(now);
        self.shares.record_request(request.team, request.weight_milli, now);
        let key = RequestKey { request_id: request.request_id, host: host.clone() };
        if let Some(decision) = self.update_waiting(&key, request, capacity, random, now) {
            return decision;
        }
        let mut entry = QueueEntry::new(host, request, now);
        let wait = self.classify(&mut entry, capacity, now);
        if !request.may_wait {
            let reason = self.capacity_reason(request, now);
            return QueueDecision::Rejected { retry_after: wait, reason };
        }
        let reason = if !request.is_retry && now + wait > entry.latest_start {
            Some(self.capacity_reason(request, now))
        } else if now + wait >= entry.deadline {
            Some(RejectionReason::Deadline)
        } else if !self.make_room(&entry, wait, capacity, random, now) {
            Some(RejectionReason::QueueFull)
        } else {
            None
        };
        if let Some(reason) = reason {
            let retry_after = self.schedule_return(wait, capacity, random, now);
            return QueueDecision::Rejected { retry_after, reason };
        }
        if !entry.class.is_late {
            let relative_usage = self.place_of(&entry, now).relative_usage();
            self.shares.record_arrival(relative_usage, now);
        }
        self.insert(key, Box::new(entry));
        QueueDecision::Waiting { wait }
    }

    /// Updates a waiting request that its host repeats, and rejects it if it can no longer start before its
    /// deadline. Returns `None` if the request does not wait.
    fn update_waiting(
        &mut self,
        key: &RequestKey,
        request: &AdmissionRequest,
        capacity: GroupCapacity,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Option<QueueDecision> {
        let entry = self.entries.get_mut(key)?;
        entry.waiting.received_at = entry.waiting.received_at.max(now);
        // Team, priority and attempt stay as they were when the request was queued.
        let queued = &mut entry.waiting.request;
        queued.avoided.clone_from(&request.avoided);
        queued.max_wait_ms = request.max_wait_ms;
        queued.deadline_ms = request.deadline_ms;
        let update = QueueEntry::new(&key.host, request, now);
        if update.latest_start < entry.latest_start || update.deadline < entry.deadline {
            let mut entry = self.remove(key)?;
            entry.latest_start = entry.latest_start.min(update.latest_start);
            entry.deadline = entry.deadline.min(update.deadline);
            self.insert(key.clone(), entry);
        }
        let entry = self.entries.get(key)?;
        let wait = self.entry_wait(entry, capacity, now);
        if !entry.class.is_late || now + wait < entry.deadline {
            return Some(QueueDecision::Waiting { wait });
        }
        self.remove(key);
        let retry_after = self.schedule_return(wait, capacity, random, now);
        Some(QueueDecision::Rejected { retry_after, reason: RejectionReason::Deadline })
    }

    /// Returns why a request gets no slot in time: its team has used more than its share, or the group lacks
    /// slots.
    fn capacity_reason(&self, request: &AdmissionRequest, now: Instant) -> RejectionReason {
        let share = self.shares.share(request.team, request.weight_milli, now);
        if share.relative_usage_after(0, false) > self.shares.mean_relative_usage(now) {
            RejectionReason::ShareUsed
        } else {
            RejectionReason::NoRoom
        }
    }

    /// Schedules the return of a rejected request and returns the delay after which its caller should retry.
    fn schedule_return(
        &mut self,
        wait: Duration,
        capacity: GroupCapacity,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Duration {
        self.returns.book(wait, capacity.freed_per_s, MAX_DELAY, random, now)
    }

    /// Makes room for an entry if the queue is full, by rejecting the last request if the entry goes before
    /// it. Without this, late requests of one team could fill the queue and keep other teams out. Returns
    /// whether there is room.
    fn make_room(
        &mut self,
        entry: &QueueEntry,
        wait: Duration,
        capacity: GroupCapacity,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> bool {
        if self.entries.len() < MAX_WAITING_PER_SLOT.saturating_mul(capacity.slots as usize) {
            return true;
        }
        let place = self.place_of(entry, now);
        let last = self.order.last_after(&place, &self.shares, now);
        let Some(last_key) = last.map(|last| last.key.clone()) else { return false };
        let Some(last) = self.remove(&last_key) else { return false };
        let retry_after = self.schedule_return(wait, capacity, random, now);
        let reason = RejectionReason::QueueFull;
        self.rejected.push(RejectedRequest { waiting: last.waiting, retry_after, reason });
        true
    }
}
