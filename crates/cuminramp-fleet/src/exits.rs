//! Decisions of a host that is about to exit: which requests it still sends to a target.

use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

/// Time for which a duration counts at least; it counts for three times as long at most.
const PERIOD: Duration = Duration::from_secs(30);
/// Minimum number of requests of a route whose durations say how long the next one takes.
const MIN_REQUESTS: u32 = 100;
/// Factor by which a request may take longer than the longest recent one of its route.
const DURATION_MARGIN: u32 = 2;

/// Requests that ended within one period.
#[derive(Clone, Copy, Debug, Default)]
struct PeriodRecord {
    requests: u32,
    longest: Duration,
}

/// Requests of one route in the present period and in the one before.
#[derive(Debug)]
struct RouteRecord {
    started_at: Instant,
    present: PeriodRecord,
    earlier: PeriodRecord,
}

impl RouteRecord {
    fn new(now: Instant) -> Self {
        RouteRecord { started_at: now, present: Default::default(), earlier: Default::default() }
    }

    /// Begins a new period if the present one is over.
    fn renew(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.started_at);
        if age < PERIOD {
            return;
        }
        let present = std::mem::take(&mut self.present);
        self.earlier = if age < 2 * PERIOD { present } else { PeriodRecord::default() };
        self.started_at = now;
    }
}

/// How long recent requests of each route took, from their first send to the end of their responses.
#[derive(Debug, Default)]
pub struct RouteDurations {
    routes: SortedMap<Name, RouteRecord>,
}

impl RouteDurations {
    /// Records a request that ended.
    pub fn record(&mut self, route: &Name, duration: Duration, now: Instant) {
        if !self.routes.contains_key(route) {
            // Routes are renamed by new declarations.
            self.routes.retain(|_, record| now - record.started_at < 2 * PERIOD);
        }
        let record = self.routes.get_or_insert_with(route.clone(), || RouteRecord::new(now));
        record.renew(now);
        record.present.requests = record.present.requests.saturating_add(1);
        record.present.longest = record.present.longest.max(duration);
    }

    /// Returns the time within which the next request of a route is expected to end. `None` if too few requests
    /// of the route ended recently.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::RouteDurations;
    /// use tokio::time::Instant;
    /// let now = Instant::now();
    /// let mut durations = RouteDurations::default();
    /// durations.record(&"chat".into(), Duration::from_secs(1), now);
    /// assert_eq!(durations.expect("chat", now), None);
    /// for _ in 0..100 {
    ///     durations.record(&"chat".into(), Duration::from_millis(500), now);
    /// }
    /// assert_eq!(durations.expect("chat", now), Some(Duration::from_secs(2)));
    /// ```
    pub fn expect(&self, route: &str, now: Instant) -> Option<Duration> {
        let record = self.routes.get(route)?;
        if now.saturating_duration_since(record.started_at) >= 2 * PERIOD {
            return None;
        }
        let (present, earlier) = (record.present, record.earlier);
        let is_known = present.requests.saturating_add(earlier.requests) >= MIN_REQUESTS;
        is_known.then(|| present.longest.max(earlier.longest) * DURATION_MARGIN)
    }
}

/// A request that was not sent yet, at a host that is about to exit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExitCheck {
    /// Time until the host breaks off what is still open.
    pub time_left: Duration,
    /// Time until the request's deadline. Its response is complete, or has ended, by then.
    pub until_deadline: Duration,
    /// Time within which requests of its route are expected to end, if that is known.
    pub expected: Option<Duration>,
}

impl ExitCheck {
    /// Returns the time that the request needs.
    pub fn time_needed(&self) -> Duration {
        self.expected.map_or(self.until_deadline, |expected| expected.min(self.until_deadline))
    }

    /// Returns whether the request should be sent. Otherwise another host should serve it: a caller whose
    /// response is broken off loses all of it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::ExitCheck;
    /// let (time_left, until_deadline) = (Duration::from_secs(4), Duration::from_secs(5));
    /// let check = ExitCheck { time_left, until_deadline, expected: None };
    /// assert!(!check.fits());
    /// let check = ExitCheck { expected: Some(Duration::from_secs(2)), ..check };
    /// assert!(check.fits());
    /// ```
    pub fn fits(&self) -> bool {
        self.time_needed() <= self.time_left
    }

    /// Returns the time after which the request, still unsent, no longer fits.
    pub fn remaining_wait(&self) -> Duration {
        match self.expected {
            Some(expected) if expected < self.until_deadline => {
                self.time_left.saturating_sub(expected)
            }
            // The deadline comes nearer as fast as the exit.
            _ if self.until_deadline <= self.time_left => self.until_deadline,
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
