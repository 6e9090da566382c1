//! The search of one request for a slot.

use std::time::Duration;

use cuminramp_core::{AvailabilityZone, RandomSource};

use super::message::{SlotGroup, SlotOutcome};

/// Groups of other zones that are asked. With seven regions more would take longer than the queue of
/// a target.
const MOST_OTHER_GROUPS: usize = 4;
/// Sends of one request that may fail in a zone before other zones are asked first.
const MOST_FAILURES_IN_ZONE: usize = 2;
/// The shortest and longest time after which a refused request is asked back.
const RETURN_BOUNDS: (f64, f64) = (0.25, 1.6);

/// What to do next for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SearchStep {
    /// Ask the owner of this group.
    Ask {
        /// The group.
        group: SlotGroup,
        /// Whether a place in a queue will do.
        may_queue: bool,
    },
    /// It would wait too long everywhere; there may be room after this time.
    Refuse(Duration),
    /// No group has a target that takes work.
    Nowhere,
}

/// How long a request may wait for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SearchLimits {
    /// The longest wait at a target with which it is still in time.
    pub max_wait: Duration,
    /// Whether it was refused before: it is not refused twice while it can be answered at all.
    pub is_retry: bool,
}

/// Asks the groups of a pool, the caller's own zone first. A slot in another zone is worth more than a
/// place in a queue, and costs two messages between zones.
#[derive(Debug)]
pub struct SlotSearch {
    left: Vec<SlotGroup>,
    asked: Option<SlotGroup>,
    shortest: Option<(Duration, SlotGroup)>,
    is_queueing: bool,
}

impl SlotSearch {
    /// A search over `groups`, of which those in `zone` come first and the others in any order.
    pub fn new(groups: Vec<SlotGroup>, zone: &str, random: &mut dyn RandomSource) -> Self {
        let drawn = groups.into_iter().map(|group| (random.below(1 << 16), group));
        let mut left: Vec<(usize, SlotGroup)> = drawn.collect();
        // Taken from the end.
        left.sort_by_key(|(draw, group)| (*group.zone == *zone, *draw));
        let keep_from = left.len().saturating_sub(MOST_OTHER_GROUPS + 1);
        let left = left.into_iter().skip(keep_from).map(|(_, group)| group).collect();
        SlotSearch { left, asked: None, shortest: None, is_queueing: false }
    }

    /// Asks zones in which a request failed to reach several targets after the others.
    ///
    /// Where a zone loses its targets at one moment, its owner hears so with the next reports; a request
    /// that tried target after target there would have no try left for the others.
    pub fn after_failures(mut self, failed: &[AvailabilityZone]) -> Self {
        let failures_in =
            |group: &SlotGroup| failed.iter().filter(|zone| **zone == group.zone).count();
        // Taken from the end.
        self.left.sort_by_key(|group| failures_in(group) < MOST_FAILURES_IN_ZONE);
        self
    }

    /// What to do next.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_core::SeededRandom;
    /// use cuminramp_fleet::{SearchLimits, SearchStep, SlotGroup, SlotOutcome, SlotSearch};
    /// let group = SlotGroup { pool: "p".into(), zone: "z".into() };
    /// let mut random = SeededRandom::new(1);
    /// let mut search = SlotSearch::new(vec![group.clone()], "z", &mut random);
    /// let limits = SearchLimits { max_wait: Duration::from_millis(180), is_retry: false };
    /// assert_eq!(search.next(limits, &mut random), SearchStep::Ask { group: group.clone(), may_queue: false });
    /// search.receive(SlotOutcome::Busy { wait_ms: 90 });
    /// assert_eq!(search.next(limits, &mut random), SearchStep::Ask { group, may_queue: true });
    /// ```
    pub fn next(&mut self, limits: SearchLimits, random: &mut dyn RandomSource) -> SearchStep {
        if let Some(group) = self.left.pop() {
            self.asked = Some(group.clone());
            return SearchStep::Ask { group, may_queue: false };
        }
        let Some((wait, group)) = self.shortest.take() else { return SearchStep::Nowhere };
        if self.is_queueing {
            // The queue that was the shortest has no place any more.
            return SearchStep::Refuse(retry_after(wait, random));
        }
        if wait <= limits.max_wait || limits.is_retry {
            self.is_queueing = true;
            self.asked = Some(group.clone());
            return SearchStep::Ask { group, may_queue: true };
        }
        SearchStep::Refuse(retry_after(wait, random))
    }

    /// Takes the answer of the group that was asked last.
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

/// When a refused request should come back: not before there may be room, and not all at one moment.
pub(crate) fn retry_after(wait: Duration, random: &mut dyn RandomSource) -> Duration {
    let (soonest, latest) = RETURN_BOUNDS;
    let drawn = soonest + (latest - soonest) * random.fraction();
    Duration::from_secs_f64(drawn.max(wait.as_secs_f64().min(latest)))
}
