//! What the local host knows of the hosts of one zone.

use tokio::time::Instant;

use super::{PeerRecord, PeerTable};

impl PeerTable {
    /// Returns whether this host knows of at least half of the hosts of its zone that they are alive. Where hosts
    /// send heartbeats to each other, it need not know.
    pub fn knows_zone(&self, now: Instant) -> bool {
        if !self.uses_probes() {
            return true;
        }
        let near = self
            .peers
            .values()
            .filter(|record| record.host.zone == self.local.zone && !record.has_left);
        let (alive, all) = near.fold((0, 0), |(alive, all), record| {
            (alive + usize::from(self.is_alive(record, now)), all + 1)
        });
        alive * 2 >= all
    }

    /// Returns the share of a core from which on a host of a zone does work for the other hosts of the zone: half
    /// of the largest host that is alive. A small host would be busy with that work alone.
    pub fn min_core_percent(&self, zone: &str, now: Instant) -> u16 {
        let alive = self
            .peers
            .values()
            .filter(|record| !record.has_left && self.is_alive(record, now))
            .map(|record| &record.host);
        let in_zone = alive
            .chain([&self.local])
            .filter(|host| *host.zone == *zone)
            .map(|host| host.core_percent);
        in_zone.max().unwrap_or(0) / 2
    }

    /// Returns whether more than half of the hosts of a zone are alive, the local host included; if the zone
    /// has no hosts, whether more than half of all hosts are. At most one side of a partition can have a
    /// majority.
    pub fn has_majority_in(&self, zone: &str, now: Instant) -> bool {
        let in_zone: Vec<&PeerRecord> =
            self.peers.values().filter(|record| *record.host.zone == *zone).collect();
        let present = in_zone.iter().filter(|record| !record.has_left).count();
        let own = usize::from(*self.local.zone == *zone);
        if present + own == 0 {
            let (alive, all) = self.count_alive(now);
            return alive * 2 > all;
        }
        let is_alive = |record: &&&PeerRecord| !record.has_left && self.is_alive(record, now);
        (in_zone.iter().filter(is_alive).count() + own) * 2 > present + own
    }

    /// Returns whether a zone has hosts but none of them is alive: the zone has failed or is cut off from
    /// the local host.
    pub fn is_zone_silent(&self, zone: &str, now: Instant) -> bool {
        if *self.local.zone == *zone {
            return false;
        }
        let present = |record: &&PeerRecord| *record.host.zone == *zone && !record.has_left;
        let mut known = self.peers.values().filter(present).peekable();
        known.peek().is_some() && known.all(|record| !self.is_alive(record, now))
    }
}
