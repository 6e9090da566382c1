//! Ownership of shards and its planning.

use std::cmp::Reverse;

use cuminramp_core::{Host, HostId, Name, hash_parts, rendezvous_score};
use cuminramp_wire::rows::ShardRow;
use tokio::time::Instant;

/// Ownership of one shard as recorded on this host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardRecord {
    /// The incarnation that owns the shard.
    pub owner: Option<HostId>,
    /// Number of the ownership, which increases by 1 with each change; 0 if the shard never had an
    /// owner.
    pub epoch: u64,
    /// When this host received this record.
    pub observed_at: Option<Instant>,
    /// Whether this host has stopped spending the shard's tokens in order to move it to another
    /// host.
    pub released: bool,
    /// State handed over by the earlier owner; `None` if no handover arrived.
    pub handover: Option<HandoverState>,
}

/// State of the buckets that no earlier owner has used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HandoverState {
    /// When they started to fill.
    pub filling_since: Instant,
    /// Whether they were full from the start, as those of a shard's first owner are.
    pub is_full: bool,
}

/// A change of ownership to be written on condition that the row still has `from_epoch`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardMove {
    /// The shard.
    pub shard: u32,
    /// The epoch that the row must have.
    pub from_epoch: u64,
    /// The new owner.
    pub owner: HostId,
}

impl ShardMove {
    /// Returns the row to write.
    pub fn to_row(&self) -> ShardRow {
        ShardRow {
            shard: self.shard,
            owner: self.owner.address.to_string(),
            owner_incarnation: self.owner.incarnation,
            epoch: self.from_epoch + 1,
        }
    }
}

/// The ownership rows of all shards as known to this host.
#[derive(Clone, Debug)]
pub struct ShardMap {
    me: HostId,
    records: Vec<ShardRecord>,
    digest: u64,
}

impl ShardMap {
    /// Returns a map of `shards` shards without known owners.
    ///
    /// ```
    /// use cuminramp_core::HostId;
    /// use cuminramp_quota::ShardMap;
    /// let me = HostId { address: "127.0.0.1:1".into(), incarnation: 1 };
    /// assert_eq!(ShardMap::new(me, 8).owned_count(), 0);
    /// ```
    pub fn new(me: HostId, shards: u32) -> Self {
        ShardMap { me, records: vec![ShardRecord::default(); shards as usize], digest: 0 }
    }

    /// Returns the incarnation that this map belongs to.
    pub fn me(&self) -> &HostId {
        &self.me
    }

    /// Returns the record of a shard; an empty one if the number is out of range.
    pub fn record(&self, shard: u32) -> ShardRecord {
        self.records.get(shard as usize).cloned().unwrap_or_default()
    }

    /// Returns the incarnation that owns a shard.
    pub fn owner(&self, shard: u32) -> Option<&HostId> {
        self.records.get(shard as usize)?.owner.as_ref()
    }

    /// Returns whether this incarnation owns a shard and has not released it.
    pub fn is_mine(&self, shard: u32) -> bool {
        let record = self.records.get(shard as usize);
        record.is_some_and(|record| !record.released && record.owner.as_ref() == Some(&self.me))
    }

    /// Returns whether every shard has a known owner.
    pub fn is_complete(&self) -> bool {
        self.records.iter().all(|record| record.owner.is_some())
    }

    /// Returns the number of shards that this incarnation owns and has not released.
    pub fn owned_count(&self) -> usize {
        (0..self.records.len() as u32).filter(|shard| self.is_mine(*shard)).count()
    }

    /// Continues as another incarnation, which owns no shards.
    pub(crate) fn renew(&mut self, me: HostId) {
        self.me = me;
    }

    /// Applies a row that was read from the table or received from a peer, which forwards only rows
    /// that it read or wrote. Returns whether the row was newer than the record.
    ///
    /// Other rows are late and are ignored. Even if the table still names this incarnation as the
    /// owner of a released shard, the write that moves the shard may still take effect.
    pub fn apply_row(&mut self, row: &ShardRow, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(row.shard as usize) else {
            return false;
        };
        if row.epoch <= record.epoch {
            return false;
        }
        self.digest ^= record_hash(row.shard, record.epoch) ^ record_hash(row.shard, row.epoch);
        let address = Name::from(row.owner.as_str());
        let owner = HostId { address, incarnation: row.owner_incarnation };
        *record = ShardRecord {
            owner: Some(owner),
            epoch: row.epoch,
            observed_at: Some(now),
            released: false,
            handover: None,
        };
        true
    }

    /// Records the state handed over by the earlier owner. Returns `false` and changes nothing if
    /// this incarnation doesn't own the shard in `epoch` or already has a handover for it.
    pub(crate) fn record_handover(&mut self, shard: u32, epoch: u64, state: HandoverState) -> bool {
        if !self.is_mine(shard) {
            return false;
        }
        let record = &mut self.records[shard as usize];
        let is_first = record.epoch == epoch && record.handover.is_none();
        if is_first {
            record.handover = Some(state);
        }
        is_first
    }

    /// Returns all known rows, to be sent to a peer.
    pub fn to_rows(&self) -> Vec<ShardRow> {
        let records = self.records.iter().enumerate();
        records
            .filter_map(|(shard, record)| {
                let owner = record.owner.as_ref()?;
                Some(ShardRow {
                    shard: shard as u32,
                    owner: owner.address.to_string(),
                    owner_incarnation: owner.incarnation,
                    epoch: record.epoch,
                })
            })
            .collect()
    }

    /// Returns a hash that differs between maps with different rows. It is sent with every probe,
    /// so it is updated incrementally: each row that changes replaces its own part.
    pub fn digest_hash(&self) -> u64 {
        self.digest
    }

    /// Returns moves that claim shards for this host: those whose desired owner is this host and
    /// that have no owner or one that is certainly dead, and own ones that were released but, as
    /// far as this map shows, not moved. Claiming the latter again, under the next epoch, makes
    /// the pending write that would move them fail.
    ///
    /// `hosts` are the live hosts that are not leaving, including this one. `is_confirmed_dead`
    /// must return `false` unless the owner has certainly ended: a mere suspicion must never change
    /// ownership, since a live owner would go on spending.
    pub fn plan_claims(
        &self,
        hosts: &[Host],
        is_confirmed_dead: impl Fn(&HostId) -> bool,
    ) -> Vec<ShardMove> {
        let zones = zones_of(hosts);
        let claimable = self.enumerate_records().filter(|(_, record)| match &record.owner {
            None => true,
            Some(owner) => *owner != self.me && is_confirmed_dead(owner),
        });
        let desired = claimable.filter(|(shard, _)| {
            desired_owner(*shard, hosts, &zones).is_some_and(|host| host.id == self.me)
        });
        let released = self
            .enumerate_records()
            .filter(|(_, record)| record.released && record.owner.as_ref() == Some(&self.me));
        let claims = desired.chain(released);
        claims
            .map(|(shard, record)| ShardMove {
                shard,
                from_epoch: record.epoch,
                owner: self.me.clone(),
            })
            .collect()
    }

    /// Releases up to `max_moves` own shards whose desired owner is another host, and returns the
    /// moves to write.
    ///
    /// From this call on, this incarnation spends none of their tokens, whether or not the write
    /// succeeds.
    pub fn release_moves(&mut self, hosts: &[Host], max_moves: usize) -> Vec<ShardMove> {
        let moves: Vec<ShardMove> = self.misplaced(hosts).take(max_moves).collect();
        for change in &moves {
            self.records[change.shard as usize].released = true;
        }
        moves
    }

    /// Returns whether another host is the desired owner of any own shard.
    pub fn has_moves(&self, hosts: &[Host]) -> bool {
        self.misplaced(hosts).next().is_some()
    }

    /// Returns moves for own shards whose desired owner is another host.
    fn misplaced<'a>(&'a self, hosts: &'a [Host]) -> impl Iterator<Item = ShardMove> + 'a {
        let zones = zones_of(hosts);
        let own = self.enumerate_records().filter(|(shard, _)| self.is_mine(*shard));
        own.filter_map(move |(shard, record)| {
            let host = desired_owner(shard, hosts, &zones)?;
            let owner = host.id.clone();
            (owner != self.me).then_some(ShardMove { shard, from_epoch: record.epoch, owner })
        })
    }

    fn enumerate_records(&self) -> impl Iterator<Item = (u32, &ShardRecord)> {
        self.records.iter().enumerate().map(|(shard, record)| (shard as u32, record))
    }
}

/// Returns a shard's part of the digest; 0 while it has never had an owner.
fn record_hash(shard: u32, epoch: u64) -> u64 {
    if epoch == 0 { 0 } else { hash_parts(&[&shard.to_string(), &epoch.to_string()]) }
}

fn zones_of(hosts: &[Host]) -> Vec<Name> {
    let mut zones: Vec<Name> = hosts.iter().map(|host| host.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Number of shards of one zone that are placed as a group, each on a host of its own if the zone
/// has enough hosts.
const SHARDS_PER_GROUP: usize = 8;

/// Returns the host that should own a shard.
///
/// Consecutive shards are placed in different zones, and nearby shards of one zone on different
/// hosts. A team's slices are in consecutive shards, so the loss of a host or a zone costs a team
/// as small a part of its limit as possible. Each group of shards ranks the hosts of its zone by
/// rendezvous hashing and assigns its shards to them in that order, so a host that joins or leaves
/// moves only the shards ranked behind it.
fn desired_owner<'h>(shard: u32, hosts: &'h [Host], zones: &[Name]) -> Option<&'h Host> {
    let zone_count = zones.len().max(1);
    let zone = zones.get(shard as usize % zone_count)?;
    let index_in_zone = shard as usize / zone_count;
    let key = format!("group-{}", index_in_zone / SHARDS_PER_GROUP);
    let mut ranked: Vec<&Host> = hosts.iter().filter(|host| host.zone == *zone).collect();
    ranked.sort_by_cached_key(|host| Reverse(rendezvous_score(&key, &host.id.address)));
    let rank = index_in_zone % SHARDS_PER_GROUP % ranked.len().max(1);
    ranked.get(rank).copied()
}

#[cfg(test)]
mod tests;
