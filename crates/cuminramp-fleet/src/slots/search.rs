//! Search for a slot on behalf of one request.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, RandomSource};

use super::message::{SlotGroup, SlotOutcome};

/// Maximum number of groups asked in addition to the first one, usually that of the caller's zone. With
/// seven regions, asking more would take longer than waiting in a target's queue.
const MAX_OTHER_GROUPS: usize = 4;
/// Number of a request's sends that fail in one zone after which the other zones are asked first.
const ZONE_FAILURE_LIMIT: usize = 2;
/// Minimum and maximum delay, in seconds, after which a refused request should be retried.
const RETRY_AFTER_RANGE_S: (f64, f64) = (0.25, 1.6);

/// Next step in the search for a request's slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SearchStep {
    /// Send a slot request to the owner of this group.
    Request {
        /// The group.
        group: SlotGroup,
        /// Whether the request accepts a place in a target's queue.
        may_queue: bool,
    },
    /// Refuse the request, which would wait too long at every target. A slot may be free after this time.
    Refuse(Duration),
    /// No group has a target that accepts work.
    NoTarget,
}

/// Limits of the wait of a request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SearchLimits {
    /// Maximum wait at a target with which the request still meets its objective.
    pub max_wait: Duration,
    /// Whether the request was refused before or has already run at a target. It then queues for any wait
    /// instead of being refused.
    pub is_retry: bool,
}

/// Searches the groups of a pool for a slot, the group of the caller's zone first. A free slot in another
/// zone is preferred to a place in a queue, although it costs two messages between zones.
#[derive(Debug)]
pub struct SlotSearch {
    /// Groups still to be asked, the next one last.
    remaining: Vec<SlotGroup>,
    /// The group that was asked last, until its response is received.
    asked: Option<SlotGroup>,
    /// The shortest wait found, and the group where it was found.
    shortest: Option<(Duration, SlotGroup)>,
    is_queueing: bool,
}

impl SlotSearch {
    /// Creates a search over `groups`, with those in `zone` first and the others in random order.
    pub fn new(groups: Vec<SlotGroup>, zone: &str, random: &mut dyn RandomSource) -> Self {
        let drawn = groups.into_iter().map(|group| (random.below(1 << 16), group));
        let mut remaining: Vec<(usize, SlotGroup)> = drawn.collect();
        // Groups are popped from the end.
        remaining.sort_by_key(|(draw, group)| (*group.zone == *zone, *draw));
        let keep_from = remaining.len().saturating_sub(MAX_OTHER_GROUPS + 1);
        let remaining = remaining.into_iter().skip(keep_from).map(|(_, group)| group).collect();
        SlotSearch { remaining, asked: None, shortest: None, is_queueing: false }
    }

    /// Moves zones in which several sends of the request failed behind the others. `failed` lists the zone
    /// of each failed send.
    ///
    /// When a zone loses all its targets at once, the group's owner detects this only from the next reports.
    /// A request that tried target after target there would have no attempts left for other zones.
    pub fn after_failures(mut self, failed: &[AvailabilityZone]) -> Self {
        let failures_in =
            |group: &SlotGroup| failed.iter().filter(|zone| **zone == group.zone).count();
        // Groups are popped from the end.
        self.remaining.sort_by_key(|group| failures_in(group) < ZONE_FAILURE_LIMIT);
        self
    }

    /// Returns the next step.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_core::SeededRandom;
    /// use cuminramp_fleet::{SearchLimits, SearchStep, SlotGroup, SlotOutcome, SlotSearch};
    /// let group = SlotGroup { pool: "p".into(), zone: "z".into() };
    /// let mut random = SeededRandom::new(1);
    /// let mut search = SlotSearch::new(vec![group.clone()], "z", &mut random);
    /// let limits = SearchLimits { max_wait: Duration::from_millis(180), is_retry: false };
    /// assert_eq!(search.next(limits, &mut random), SearchStep::Request { group: group.clone(), may_queue: false });
    /// search.receive(SlotOutcome::Busy { wait_ms: 90 });
    /// assert_eq!(search.next(limits, &mut random), SearchStep::Request { group, may_queue: true });
    /// ```
    pub fn next(&mut self, limits: SearchLimits, random: &mut dyn RandomSource) -> SearchStep {
        if let Some(group) = self.remaining.pop() {
            self.asked = Some(group.clone());
            return SearchStep::Request { group, may_queue: false };
        }
        let Some((wait, group)) = self.shortest.take() else { return SearchStep::NoTarget };
        if self.is_queueing {
            // The group with the shortest wait did not queue the request.
            return SearchStep::Refuse(retry_after(wait, random));
        }
        if wait <= limits.max_wait || limits.is_retry {
            self.is_queueing = true;
            self.asked = Some(group.clone());
            return SearchStep::Request { group, may_queue: true };
        }
        SearchStep::Refuse(retry_after(wait, random))
    }

    /// Records the response for the group that was asked last.
    pub fn receive(&mut self, outcome: SlotOutcome) {
        let Some(group) = self.asked.take() else { return };
        if let SlotOutcome::Busy { wait_ms } = outcome {
            let wait = Duration::from_millis(u64::from(wait_ms));
            if self.shortest.as_ref().is_none_or(|(shortest, _)| wait < *shortest) {
                self.shortest = Some((wait, group));
            }
        }
    }
}

/// Returns the delay after which a refused request should be retried: not before a slot may be free, and
/// random, so that refused requests do not all return at once.
pub(crate) fn retry_after(wait: Duration, random: &mut dyn RandomSource) -> Duration {
    let (min, max) = RETRY_AFTER_RANGE_S;
    let drawn = min + (max - min) * random.unit_interval();
    Duration::from_secs_f64(drawn.max(wait.as_secs_f64().min(max)))
}
