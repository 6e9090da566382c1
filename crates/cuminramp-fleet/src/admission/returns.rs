//! Spreads the retries of rejected requests over the capacity that becomes free.

use std::collections::VecDeque;
use std::time::Duration;

use cuminramp_core::RandomSource;
use tokio::time::Instant;

/// Length of the intervals in which retries are counted.
const BUCKET: Duration = Duration::from_millis(50);
/// Minimum delay of a retry, unless the caller accepts only a shorter one.
const MIN_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay of a retry; callers do not wait longer.
pub(super) const MAX_DELAY: Duration = Duration::from_millis(1_600);
/// Part of the slots that become free in a bucket that retries may take. The rest is left to first attempts.
const RETRY_PART: f64 = 0.25;

/// Retries that were scheduled for rejected requests of one group.
#[derive(Debug, Default)]
pub struct ReturnSchedule {
    /// Start of the first bucket.
    start: Option<Instant>,
    /// Number of retries that were booked in each bucket.
    bookings: VecDeque<u32>,
}

impl ReturnSchedule {
    /// Books the retry of a request that is rejected now, and returns the delay after which it should be
    /// sent. `expected_wait` is the time until a slot would be free for it, `freed_per_s` the number of
    /// slots that the group frees in a second, and `max_delay` the longest delay that the caller accepts.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_core::SeededRandom;
    /// use cuminramp_fleet::ReturnSchedule;
    /// use tokio::time::Instant;
    /// let mut schedule = ReturnSchedule::default();
    /// let (wait, max_delay) = (Duration::from_millis(400), Duration::from_secs(2));
    /// let delay = schedule.book(wait, 800.0, max_delay, &mut SeededRandom::new(1), Instant::now());
    /// assert!(delay >= wait && delay <= Duration::from_millis(500));
    /// ```
    pub fn book(
        &mut self,
        expected_wait: Duration,
        freed_per_s: f64,
        max_delay: Duration,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Duration {
        let start = self.drop_past_buckets(now);
        let max_delay = max_delay.min(MAX_DELAY);
        let since_start = now.saturating_duration_since(start);
        // Buckets that end after the maximum delay are not used, so that the jitter does not exceed it.
        let end = bucket_index(since_start + max_delay);
        let first_after =
            |delay: Duration| (since_start + delay).as_nanos().div_ceil(BUCKET.as_nanos()) as usize;
        let mut first = first_after(expected_wait.min(MAX_DELAY).max(MIN_DELAY));
        if first >= end {
            first = first_after(MIN_DELAY).min(end.saturating_sub(1));
        }
        if end == 0 {
            return max_delay.mul_f64(random.unit_interval());
        }
        if self.bookings.len() < end {
            self.bookings.resize(end, 0);
        }
        let max_bookings = ((freed_per_s * BUCKET.as_secs_f64() * RETRY_PART) as u32).max(1);
        let free = (first..end).find(|index| self.bookings[*index] < max_bookings);
        let least = || (first..end).min_by_key(|index| self.bookings[*index]);
        let index = free.or_else(least).unwrap_or(first);
        self.bookings[index] += 1;
        let at = BUCKET.mul_f64(index as f64 + random.unit_interval());
        at.saturating_sub(since_start).min(max_delay)
    }

    /// Drops the buckets that have ended, and returns the start of the first one that is left.
    fn drop_past_buckets(&mut self, now: Instant) -> Instant {
        let start = *self.start.get_or_insert(now);
        let past = bucket_index(now.saturating_duration_since(start));
        self.bookings.drain(..past.min(self.bookings.len()));
        let start = if self.bookings.is_empty() { now } else { start + BUCKET * past as u32 };
        self.start = Some(start);
        start
    }
}

fn bucket_index(since_start: Duration) -> usize {
    (since_start.as_nanos() / BUCKET.as_nanos()) as usize
}
