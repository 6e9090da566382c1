//! Removal of requests that no longer wait or can no longer be served.

use std::time::Duration;

use cuminramp_core::HostId;
use tokio::time::Instant;

use super::{AdmissionQueue, RejectedRequest, WaitingRequest};
use crate::admission::message::RejectionReason;
use crate::admission::order::RequestKey;
use crate::admission::returns::MAX_DELAY;

/// Time after which a request is dropped that its host does not repeat. Hosts repeat requests every 100 ms.
const REPEAT_TTL: Duration = Duration::from_millis(250);

impl AdmissionQueue {
    /// Removes a request whose caller has left. Returns whether it was waiting.
    pub fn withdraw(&mut self, host: &HostId, request_id: u64) -> bool {
        self.remove(&RequestKey { request_id, host: host.clone() }).is_some()
    }

    /// Removes the requests of a host that no longer runs.
    pub fn forget_host(&mut self, host: &HostId) {
        self.remove_where(|waiting| waiting.host == *host);
    }

    /// Removes requests whose host stopped repeating them, and drops teams without recent usage. Returns
    /// the same requests as [`take_rejected`](Self::take_rejected).
    pub fn expire(&mut self, now: Instant) -> Vec<RejectedRequest> {
        self.remove_where(|waiting| {
            now.saturating_duration_since(waiting.received_at) >= REPEAT_TTL
        });
        self.shares.expire(now);
        self.take_rejected(now)
    }

    /// Returns the requests that left the queue since the last call because their deadline has passed or the
    /// queue is full.
    pub fn take_rejected(&mut self, now: Instant) -> Vec<RejectedRequest> {
        self.process_due_entries(now);
        std::mem::take(&mut self.rejected)
    }

    /// Moves requests that have passed their latest start to the late ones, and rejects those that have
    /// passed their deadline.
    pub(super) fn process_due_entries(&mut self, now: Instant) {
        let passed = self.by_due_time.keys().take_while(|entry| entry.due < now);
        let passed: Vec<RequestKey> = passed.map(|entry| entry.key.clone()).collect();
        for key in passed {
            let Some(mut entry) = self.remove(&key) else { continue };
            if entry.deadline < now {
                let reason = RejectionReason::Deadline;
                let waiting = entry.waiting;
                self.rejected.push(RejectedRequest { waiting, retry_after: MAX_DELAY, reason });
            } else {
                entry.class.is_late = true;
                self.insert(key, entry);
            }
        }
    }

    fn remove_where(&mut self, should_remove: impl Fn(&WaitingRequest) -> bool) {
        let entries = self.entries.iter();
        let removed: Vec<RequestKey> = entries
            .filter(|(_, entry)| should_remove(&entry.waiting))
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            self.remove(&key);
        }
    }
}
