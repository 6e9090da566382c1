//! Grants of free slots to waiting requests.

use tokio::time::Instant;

use super::{AdmissionQueue, WaitingRequest};
use crate::admission::message::AdmissionRequest;
use crate::admission::order::RequestKey;

/// Number of requests that are offered a free slot in vain before the search for one that can use it ends.
/// Only requests that avoid different targets are offered the same slot.
const MAX_OFFERS: usize = 64;
/// Number of grants of which one goes to a late request of a team far below its share. Without it, a flood of
/// requests that can still be in time would keep the request of such a team waiting until its deadline.
const LATE_GRANT_INTERVAL: u32 = 16;

/// A waiting request that can use a free slot, and the target of the slot.
struct AcceptedOffer {
    key: RequestKey,
    target: u32,
}

impl AdmissionQueue {
    /// Offers a free slot to the waiting requests, in the order in which they should get it. `place` returns
    /// the target for a request, or `None` if no target can take that request. Returns the request that was
    /// placed, which leaves the queue, and its target.
    ///
    /// If `place` returns `None`, it is not called for requests that avoid the same targets or more.
    pub fn grant_next(
        &mut self,
        place: &mut dyn FnMut(&WaitingRequest) -> Option<u32>,
        now: Instant,
    ) -> Option<(WaitingRequest, u32)> {
        self.process_due_entries(now);
        let AcceptedOffer { key, target } = self.offer_slot(place, now)?;
        let entry = self.remove(&key)?;
        self.grants_since_late =
            if entry.class.is_late { 0 } else { self.grants_since_late.saturating_add(1) };
        let waiting = entry.waiting;
        let AdmissionRequest { team, weight_milli, .. } = waiting.request;
        self.shares.record_grant(team, weight_milli, now);
        Some((waiting, target))
    }

    /// Offers a free slot to the waiting requests until one can use it. No request leaves the queue.
    fn offer_slot(
        &self,
        place: &mut dyn FnMut(&WaitingRequest) -> Option<u32>,
        now: Instant,
    ) -> Option<AcceptedOffer> {
        let late_first = (self.grants_since_late.saturating_add(1) >= LATE_GRANT_INTERVAL)
            .then(|| self.order.late_below_half_share(&self.shares, now))
            .flatten();
        // Targets that the requests avoid which could not use the slot.
        let mut refused: Vec<&[u32]> = Vec::new();
        let in_order = self.order.iter(&self.shares, now);
        for position in late_first.into_iter().flatten().chain(in_order) {
            let Some(entry) = self.entries.get(&position.key) else { continue };
            let avoided = &entry.waiting.request.avoided;
            if refused.iter().any(|other| other.iter().all(|target| avoided.contains(target))) {
                continue;
            }
            if let Some(target) = place(&entry.waiting) {
                return Some(AcceptedOffer { key: position.key.clone(), target });
            }
            refused.push(avoided);
            if avoided.is_empty() || refused.len() == MAX_OFFERS {
                return None;
            }
        }
        None
    }

    /// Counts a slot that was granted to a team's request which did not wait.
    pub fn record_grant(&mut self, team: u32, weight_milli: u32, now: Instant) {
        let relative_usage =
            self.shares.share(team, weight_milli, now).relative_usage_after(0, false);
        self.shares.record_arrival(relative_usage, now);
        self.shares.record_grant(team, weight_milli, now);
    }
}
