//! Heartbeat intervals and timeouts, derived from the number of hosts.
//!
//! In a fleet of up to [`MAX_HEARTBEAT_HOSTS`] hosts, every host sends heartbeats to every other host; they show
//! that it is alive and report its teams' usage. Hosts of the same zone ("near") receive a heartbeat within milliseconds of a change, less often
//! the more hosts the zone has. Hosts of other zones ("far") receive them less often the more hosts the
//! whole fleet has. This bounds the cost of heartbeats for each host.

use std::time::Duration;

use tokio::time::Instant;

/// Minimum delay between a change and the heartbeat that reports it, and minimum interval between two near
/// heartbeats. Further changes in the meantime go out with the same heartbeat.
const MIN_DELAY: Duration = Duration::from_millis(3);
/// Minimum interval between two heartbeats to near hosts, per host of the zone. With 29 hosts in a zone,
/// a host sends each of the 28 others at most one heartbeat every 29 ms. Under full load it sends some 970
/// near heartbeats a second in all.
const NEAR_DELAY_PER_HOST: Duration = Duration::from_micros(1_000);
/// Minimum interval between two heartbeats when nothing changes, and maximum interval between two near
/// heartbeats while something changes.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two near heartbeats when nothing changes, per host of the zone. It limits a host to
/// sending and receiving 200 of these heartbeats a second in zones of up to 70 hosts, beyond which
/// [`MAX_NEAR_INTERVAL`] applies.
const NEAR_INTERVAL_PER_HOST: Duration = Duration::from_millis(5);
/// Minimum interval between two far heartbeats, in microseconds, to be multiplied by the square of the
/// number of hosts. This gives 5 ms for 11 hosts, and 164 ms for 64, of which each sends some 260 far
/// heartbeats a second.
const FAR_DELAY_MICROS: u64 = 40;
/// Upper bound of the minimum interval between two far heartbeats. It ensures that a team's usage in other
/// zones arrives within the window of its rate limit.
const MAX_FAR_DELAY: Duration = Duration::from_millis(1_500);
/// Maximum interval between two near heartbeats. It ensures that a failed host is detected within about a
/// second.
const MAX_NEAR_INTERVAL: Duration = Duration::from_millis(350);
/// Maximum number of hosts for which [`HeartbeatSchedule::scale`] returns the base interval.
const MAX_UNSCALED_HOSTS: u32 = 40;
/// Maximum number of hosts that send heartbeats to each other. With more of them, heartbeats would be most of the
/// traffic, and the timeout for hosts of other zones, which grows with the square of their number, would approach the
/// time that probes take.
pub const MAX_HEARTBEAT_HOSTS: usize = 64;
/// Number of heartbeat intervals without a heartbeat after which a host is silent. It tolerates the loss of
/// two consecutive datagrams.
const TIMEOUT_INTERVALS: f64 = 3.5;

/// Intervals and timeouts of heartbeats between hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeartbeatSchedule {
    hosts: u32,
    /// Minimum interval between two near heartbeats while something changes.
    near_delay: Duration,
    /// Interval between two near heartbeats when nothing changes.
    near_interval: Duration,
    /// Minimum interval between two far heartbeats while something changes.
    far_delay: Duration,
}

impl HeartbeatSchedule {
    /// Returns the schedule for `hosts` hosts in the fleet, of which `near_hosts` are in this host's zone.
    /// Both numbers include this host.
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
        let near_interval = NEAR_INTERVAL_PER_HOST * near_hosts as u32;
        HeartbeatSchedule {
            hosts: hosts as u32,
            near_delay: near_delay.max(MIN_DELAY).min(MIN_INTERVAL),
            near_interval: near_interval.clamp(MIN_INTERVAL, MAX_NEAR_INTERVAL),
            far_delay: far_delay.min(MAX_FAR_DELAY),
        }
    }

    /// Returns the interval for polling data that grows with the fleet, such as a table with one row per
    /// host: `base` for up to 40 hosts, in proportion to their number beyond, and at most `max`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::HeartbeatSchedule;
    /// let (base, max) = (Duration::from_secs(5), Duration::from_secs(30));
    /// assert_eq!(HeartbeatSchedule::new(11, 4).scale(base, max), base);
    /// assert_eq!(HeartbeatSchedule::new(80, 20).scale(base, max), base * 2);
    /// ```
    pub fn scale(&self, base: Duration, max: Duration) -> Duration {
        (base * self.hosts.max(MAX_UNSCALED_HOSTS) / MAX_UNSCALED_HOSTS).min(max.max(base))
    }

    /// Returns whether the fleet is so large that hosts probe a few others and pass on what they find, instead of
    /// sending heartbeats to all.
    ///
    /// ```
    /// use cuminramp_fleet::HeartbeatSchedule;
    /// assert!(!HeartbeatSchedule::new(34, 9).uses_probes());
    /// assert!(HeartbeatSchedule::new(985, 197).uses_probes());
    /// ```
    pub fn uses_probes(&self) -> bool {
        self.hosts as usize > MAX_HEARTBEAT_HOSTS
    }

    /// Returns the time without a heartbeat after which a host is silent; `is_near` is set for hosts of this
    /// host's zone.
    pub fn timeout(&self, is_near: bool) -> Duration {
        if is_near {
            self.near_interval.mul_f64(TIMEOUT_INTERVALS)
        } else {
            self.far_interval().mul_f64(TIMEOUT_INTERVALS)
        }
    }

    fn far_interval(&self) -> Duration {
        MIN_INTERVAL.max(self.far_delay)
    }
}

/// Due times of the next near and far heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTimer {
    near_due: Instant,
    near_last: Instant,
    far_due: Instant,
    far_last: Instant,
}

impl HeartbeatTimer {
    /// Creates a timer whose heartbeats are due at `now`.
    pub fn new(now: Instant) -> Self {
        HeartbeatTimer { near_due: now, near_last: now, far_due: now, far_last: now }
    }

    /// Brings the next heartbeats forward because something changed that they report.
    pub fn bring_forward(&mut self, schedule: &HeartbeatSchedule, now: Instant) {
        let earliest = now + MIN_DELAY;
        self.near_due = self.near_due.min(earliest.max(self.near_last + schedule.near_delay));
        self.far_due = self.far_due.min(earliest.max(self.far_last + schedule.far_delay));
    }

    /// Returns the earlier of the two due times.
    pub fn next_due(&self) -> Instant {
        self.near_due.min(self.far_due)
    }

    /// Returns whether near and far heartbeats are due, in this order. Those that are due are scheduled
    /// again after their usual interval.
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
