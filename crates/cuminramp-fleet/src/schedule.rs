//! How often hosts send heartbeats, by their number.
//!
//! Each host sends heartbeats to each other one: that it lives, and what its teams spent. To hosts of its zone
//! they go within milliseconds of a change, and less often the more of them there are; to the other zones they
//! go less often the more hosts there are in all. So the cost for a host stays bounded.

use std::time::Duration;

use tokio::time::Instant;

/// Hosts of the zone learn of a change after so long, with what else changes meanwhile.
const NEAR_DELAY: Duration = Duration::from_millis(3);
/// The least time between two heartbeats to hosts of the zone for each of them: with 29 in a zone a
/// host sends them some 250 heartbeats a second under full load.
const NEAR_DELAY_PER_HOST: Duration = Duration::from_micros(1_000);
/// Time between two heartbeats when nothing changes, at the least.
const INTERVAL: Duration = Duration::from_millis(100);
/// The same for each host of the zone: a host sends and takes at most 200 such heartbeats a second.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(5);
/// The least time between two heartbeats to other zones is this, times the square of the number of
/// hosts: 5 ms for 11 hosts, 290 ms for 85, at which a host sends them some 200 a second.
const FAR_DELAY_MICROS: u64 = 40;
/// The longest such time, so that what a team spent elsewhere is known within a window of its rate.
const LONGEST_FAR_DELAY: Duration = Duration::from_millis(1_500);
/// The longest time between two heartbeats in a zone: a host that is gone is missed within a second or so.
const LONGEST_NEAR_INTERVAL: Duration = Duration::from_millis(350);
/// Hosts up to which tables are looked at as often as in the smallest fleet.
const SMALL_FLEET: u32 = 40;
/// Heartbeats that may be missed before a host counts as silent: a datagram may get lost, and the next.
const MISSED_HEARTBEATS: f64 = 3.5;

/// How often hosts send heartbeats to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatSchedule {
    hosts: u32,
    near_delay: Duration,
    near_interval: Duration,
    far_delay: Duration,
}

impl HeartbeatSchedule {
    /// The rhythm for so many hosts in all, and in this host's zone, itself included.
    ///
    /// ```
    /// use cuminramp_fleet::HeartbeatSchedule;
    /// let (small, large) = (HeartbeatSchedule::new(11, 4), HeartbeatSchedule::new(85, 29));
    /// assert!(small.timeout(false) < large.timeout(false));
    /// assert!(small.timeout(true) < large.timeout(true));
    /// ```
    pub fn new(hosts: usize, near_hosts: usize) -> Self {
        let hosts = hosts as u64;
        let far_delay = Duration::from_micros(FAR_DELAY_MICROS * hosts * hosts);
        let near_delay = NEAR_DELAY_PER_HOST * near_hosts as u32;
        let near_interval = INTERVAL_PER_HOST * near_hosts as u32;
        HeartbeatSchedule {
            hosts: hosts as u32,
            near_delay: near_delay.max(NEAR_DELAY).min(INTERVAL),
            near_interval: near_interval.clamp(INTERVAL, LONGEST_NEAR_INTERVAL),
            far_delay: far_delay.min(LONGEST_FAR_DELAY),
        }
    }

    /// The time between two looks at something that grows with the fleet, such as a table with a row of
    /// every host: `base` up to forty hosts and in proportion beyond, at most `longest`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::HeartbeatSchedule;
    /// let (base, longest) = (Duration::from_secs(5), Duration::from_secs(30));
    /// assert_eq!(HeartbeatSchedule::new(11, 4).scale(base, longest), base);
    /// assert_eq!(HeartbeatSchedule::new(80, 20).scale(base, longest), base * 2);
    /// ```
    pub fn scale(&self, base: Duration, longest: Duration) -> Duration {
        (base * self.hosts.max(SMALL_FLEET) / SMALL_FLEET).min(longest.max(base))
    }

    /// Silence after which a host of this zone, or of another, counts as silent.
    pub fn timeout(&self, is_near: bool) -> Duration {
        if is_near {
            self.near_interval.mul_f64(MISSED_HEARTBEATS)
        } else {
            self.far_interval().mul_f64(MISSED_HEARTBEATS)
        }
    }

    fn far_interval(&self) -> Duration {
        INTERVAL.max(self.far_delay)
    }
}

/// When the next heartbeats are due.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTimer {
    near_due: Instant,
    near_last: Instant,
    far_due: Instant,
    far_last: Instant,
}

impl HeartbeatTimer {
    /// All are due now.
    pub fn new(now: Instant) -> Self {
        HeartbeatTimer { near_due: now, near_last: now, far_due: now, far_last: now }
    }

    /// Something changed: brings the next heartbeats forward.
    pub fn bring_forward(&mut self, schedule: &HeartbeatSchedule, now: Instant) {
        let soon = now + NEAR_DELAY;
        self.near_due = self.near_due.min(soon.max(self.near_last + schedule.near_delay));
        self.far_due = self.far_due.min(soon.max(self.far_last + schedule.far_delay));
    }

    /// When the next heartbeats go out.
    pub fn next(&self) -> Instant {
        self.near_due.min(self.far_due)
    }

    /// Which heartbeats go out now: to hosts of the zone, and of others. Those are then due again after
    /// the usual interval.
    pub fn take_due(&mut self, schedule: &HeartbeatSchedule, now: Instant) -> (bool, bool) {
        let due = (self.near_due <= now, self.far_due <= now);
        if due.0 {
            self.near_last = now;
            self.near_due = now + schedule.near_interval;
        }
        if due.1 {
            self.far_last = now;
            self.far_due = now + schedule.far_interval();
        }
        due
    }
}

#[cfg(test)]
mod tests;
