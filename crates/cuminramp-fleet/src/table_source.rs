//! Selection of the source from which a host follows a table of the store.
//!
//! In a large fleet only a few hosts of each zone read a table from the store. The others follow a host of
//! their zone, so that neither the bytes nor the calls of the store grow with the number of hosts.

use cuminramp_core::{Name, rendezvous_score};
use tokio::time::Instant;

use crate::heartbeat::KnownHost;
use crate::peers::PeerTable;

/// Number of hosts of each zone that read a table from the store. If one fails, the others go on.
const READERS_PER_ZONE: usize = 2;
/// Number of hosts that follow the same host. More of them would wait longer for a full table, which is sent
/// to each; fewer would make the way of a change longer.
const FOLLOWERS_PER_HOST: usize = 4;

/// Where a host gets the rows of a table from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TableSource {
    /// The store.
    Store,
    /// Another host of the zone, at this address.
    Host(Name),
}

impl PeerTable {
    /// Returns the source of a table for the local host. Hosts whose addresses are in `skipped` failed recently.
    ///
    /// The alive hosts of the zone are ordered by rendezvous hashing, the larger ones first. The first ones read the
    /// store; each other host follows one that precedes it. Two hosts follow each other only for as long as they
    /// disagree on which hosts are large.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
    /// use cuminramp_fleet::{KnownHost, PeerPolicy, PeerTable, TableSource};
    /// let host = KnownHost {
    ///     address: "a".into(), incarnation: 1, caller_address: "c".into(), zone: "z".into(),
    ///     core_percent: 50,
    /// };
    /// let lost_timeout = std::time::Duration::from_secs(2);
    /// let table = PeerTable::new(host, PeerPolicy { lost_timeout });
    /// assert_eq!(table.table_source("jobs", &[], tokio::time::Instant::now()), TableSource::Store);
    /// # }
    /// ```
    pub fn table_source(&self, table: &str, skipped: &[Name], now: Instant) -> TableSource {
        if !self.uses_probes() {
            return TableSource::Store;
        }
        let local = self.local_host();
        let min_core_percent = self.min_core_percent(&local.zone, now);
        let rank = |host: &KnownHost| {
            (host.core_percent >= min_core_percent, rendezvous_score(table, &host.address))
        };
        let own = rank(local);
        let mut preceding: Vec<((bool, u64), &Name)> = self
            .iter()
            .filter(|record| record.host.zone == local.zone && !record.has_left)
            .filter(|record| !skipped.contains(&record.host.address))
            .filter(|record| self.is_alive(record, now))
            .map(|record| (rank(&record.host), &record.host.address))
            .filter(|(rank, _)| *rank > own)
            .collect();
        if preceding.len() < READERS_PER_ZONE {
            return TableSource::Store;
        }
        preceding.sort_unstable_by(|one, other| other.cmp(one));
        let followed = (preceding.len() - READERS_PER_ZONE) / FOLLOWERS_PER_HOST;
        TableSource::Host(preceding[followed].1.clone())
    }
}

#[cfg(test)]
mod tests;
