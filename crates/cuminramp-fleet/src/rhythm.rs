//! How often hosts beat, by their number.
//!
//! Each host beats to each other one: that it lives, and what its teams spent. Hosts of a zone tell each
//! other of changes within milliseconds, and beat less often the more of them there are; to the other
//! zones a host beats less often the more hosts there are in all. So the cost for a host stays bounded.

use std::time::Duration;

use tokio::time::Instant;

/// A change is told to hosts of the zone after so long, with what else changes meanwhile.
const NEAR_DELAY: Duration = Duration::from_millis(3);
/// The least time between two beats to hosts of the zone for each of them: with 29 in a zone a
/// host sends them some 250 beats a second under full load.
const NEAR_DELAY_PER_HOST: Duration = Duration::from_micros(1_000);
/// Time between two beats when nothing changes, at the least.
const INTERVAL: Duration = Duration::from_millis(100);
/// The same for each host of the zone: a host sends and takes at most 200 such beats a second.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(5);
/// The least time between two beats to other zones is this, times the square of the number of
/// hosts: 5 ms for 11 hosts, 290 ms for 85, at which a host sends them some 200 a second.
const FAR_DELAY_MICROS: u64 = 40;
/// The longest such time, so that what a team spent elsewhere is known within a window of its rate.
const LONGEST_FAR_DELAY: Duration = Duration::from_millis(1_500);
/// The longest time between two beats in a zone: a host that is gone is missed within a second or so.
const LONGEST_NEAR_INTERVAL: Duration = Duration::from_millis(350);
/// Hosts up to which tables are looked at as often as in the smallest fleet.
const SMALL_FLEET: u32 = 40;
/// Beats that may be missed before a host counts as silent: a datagram may get lost, and the next.
const MISSED_BEATS: f64 = 3.5;

/// How often hosts beat to each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BeatRhythm {
    hosts: u32,
    near_delay: Duration,
    near_interval: Duration,
    far_delay: Duration,
}

impl BeatRhythm {
    /// The rhythm for so many hosts in all, and in this host's zone, itself included.
    ///
    /// ```
    /// use cuminramp_fleet::BeatRhythm;
    /// let (small, large) = (BeatRhythm::new(11, 4), BeatRhythm::new(85, 29));
    /// assert!(small.silence(false) < large.silence(false));
    /// assert!(small.silence(true) < large.silence(true));
    /// ```
    pub fn new(hosts: usize, near_hosts: usize) -> Self {
        let hosts = hosts as u64;
        let far_delay = Duration::from_micros(FAR_DELAY_MICROS * hosts * hosts);
        let near_delay = NEAR_DELAY_PER_HOST * near_hosts as u32;
        let near_interval = INTERVAL_PER_HOST * near_hosts as u32;
        BeatRhythm {
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
    /// use cuminramp_fleet::BeatRhythm;
    /// let (base, longest) = (Duration::from_secs(5), Duration::from_secs(30));
    /// assert_eq!(BeatRhythm::new(11, 4).stretch(base, longest), base);
    /// assert_eq!(BeatRhythm::new(80, 20).stretch(base, longest), base * 2);
    /// ```
    pub fn stretch(&self, base: Duration, longest: Duration) -> Duration {
        (base * self.hosts.max(SMALL_FLEET) / SMALL_FLEET).min(longest.max(base))
    }

    /// Silence after which a host of this zone, or of another, counts as silent.
    pub fn silence(&self, is_near: bool) -> Duration {
        if is_near {
            self.near_interval.mul_f64(MISSED_BEATS)
        } else {
            self.far_interval().mul_f64(MISSED_BEATS)
        }
    }

    fn far_interval(&self) -> Duration {
        INTERVAL.max(self.far_delay)
    }
}

/// When the next beats are due.
#[derive(Clone, Copy, Debug)]
pub struct BeatTimes {
    near_due: Instant,
    near_last: Instant,
    far_due: Instant,
    far_last: Instant,
}

impl BeatTimes {
    /// All are due now.
    pub fn new(now: Instant) -> Self {
        BeatTimes { near_due: now, near_last: now, far_due: now, far_last: now }
    }

    /// Something changed: brings the next beats forward.
    pub fn hasten(&mut self, rhythm: &BeatRhythm, now: Instant) {
        let soon = now + NEAR_DELAY;
        self.near_due = self.near_due.min(soon.max(self.near_last + rhythm.near_delay));
        self.far_due = self.far_due.min(soon.max(self.far_last + rhythm.far_delay));
    }

    /// When the next beats go out.
    pub fn next(&self) -> Instant {
        self.near_due.min(self.far_due)
    }

    /// Which beats go out now: to hosts of the zone, and of others. Those are then due again after
    /// the usual interval.
    pub fn take_due(&mut self, rhythm: &BeatRhythm, now: Instant) -> (bool, bool) {
        let due = (self.near_due <= now, self.far_due <= now);
        if due.0 {
            self.near_last = now;
            self.near_due = now + rhythm.near_interval;
        }
        if due.1 {
            self.far_last = now;
            self.far_due = now + rhythm.far_interval();
        }
        due
    }
}

#[cfg(test)]
mod tests;
