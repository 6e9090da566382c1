//! Who owns which shard.

use std::cmp::Reverse;

use cuminramp_core::{Host, HostId, Name, hash_parts, rendezvous_score};
use cuminramp_wire::rows::ShardRow;
use tokio::time::Instant;

/// What is known of one shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardRecord {
    /// The run that owns it.
    pub owner: Option<HostId>,
    /// The number of that ownership; 0: nobody ever owned it.
    pub epoch: u64,
    /// When this host learnt of it.
    pub observed_at: Option<Instant>,
    /// Whether this host has stopped spending it so as to give it away.
    pub released: bool,
    /// What the earlier owner passed on; `None` where nothing came.
    pub handover: Option<HandoverState>,
}

/// What buckets that nobody used have of an earlier owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HandoverState {
    /// Since when they fill.
    pub filling_since: Instant,
    /// Whether they are full.
    pub is_full: bool,
}

/// A change of ownership to write, on the condition that the row still has `from_epoch`.
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
    /// The row to write.
    pub fn to_row(&self) -> ShardRow {
        ShardRow {
            shard: self.shard,
            owner: self.owner.address.to_string(),
            owner_incarnation: self.owner.incarnation,
            epoch: self.from_epoch + 1,
        }
    }
}

/// The rows of all shards as this host knows them.
#[derive(Clone, Debug)]
pub struct ShardMap {
    me: HostId,
    records: Vec<ShardRecord>,
    digest: u64,
}

impl ShardMap {
    /// A map of `shards` shards that nobody is known to own.
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

    /// The run whose map it is.
    pub fn me(&self) -> &HostId {
        &self.me
    }

    /// The record of a shard; an empty one for a number out of range.
    pub fn record(&self, shard: u32) -> ShardRecord {
        self.records.get(shard as usize).cloned().unwrap_or_default()
    }

    /// The run that owns a shard.
    pub fn owner(&self, shard: u32) -> Option<&HostId> {
        self.records.get(shard as usize)?.owner.as_ref()
    }

    /// Whether this run owns a shard and has not begun to give it away.
    pub fn is_mine(&self, shard: u32) -> bool {
        let record = self.records.get(shard as usize);
        record.is_some_and(|record| !record.released && record.owner.as_ref() == Some(&self.me))
    }

    /// Whether every shard is known to have an owner.
    pub fn is_complete(&self) -> bool {
        self.records.iter().all(|record| record.owner.is_some())
    }

    /// How many shards this run owns.
    pub fn owned_count(&self) -> usize {
        (0..self.records.len() as u32).filter(|shard| self.is_mine(*shard)).count()
    }

    /// Goes on as another run, which owns nothing.
    pub(crate) fn renew(&mut self, me: HostId) {
        self.me = me;
    }

    /// Takes in a row, from the table or from a peer, which only passes on rows that it read or
    /// wrote; says whether it was news. A row that is not newer came late and is ignored: that the
    /// table still names this run as owner of a released shard does not show that the write which
    /// gives it away won't land.
    pub fn observe(&mut self, row: &ShardRow, now: Instant) -> bool {
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

    /// Notes what the earlier owner of an own shard passed on; says whether it is the first time.
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

    /// All known rows, for a peer.
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

    /// A number that differs where two maps do. It rides on every probe, so it is kept and not worked
    /// out anew: each row that changes replaces its own part.
    pub fn digest_hash(&self) -> u64 {
        self.digest
    }

    /// Shards to take: those meant for this host that nobody owns or whose owner is surely dead, and
    /// own ones that were released and, as far as this host knows, not given away. Claiming those
    /// anew, under the next epoch, ends the write that would have given them away.
    ///
    /// `hosts` are the live hosts that stay, this one among them. `is_surely_dead` must say `false`
    /// on any doubt: suspicion never moves ownership, since a live owner would go on spending.
    pub fn plan_claims(
        &self,
        hosts: &[Host],
        is_surely_dead: impl Fn(&HostId) -> bool,
    ) -> Vec<ShardMove> {
        let zones = zones_of(hosts);
        let free = self.numbered().filter(|(_, record)| match &record.owner {
            None => true,
            Some(owner) => *owner != self.me && is_surely_dead(owner),
        });
        let meant = free.filter(|(shard, _)| {
            desired_owner(*shard, hosts, &zones).is_some_and(|host| host.id == self.me)
        });
        let stuck = self
            .numbered()
            .filter(|(_, record)| record.released && record.owner.as_ref() == Some(&self.me));
        let mine = meant.chain(stuck);
        mine.map(|(shard, record)| ShardMove {
            shard,
            from_epoch: record.epoch,
            owner: self.me.clone(),
        })
        .collect()
    }

    /// Releases up to `most` own shards that are meant for another host, and says where to.
    ///
    /// From this call on this run spends none of them, whatever becomes of the write.
    pub fn release_moves(&mut self, hosts: &[Host], most: usize) -> Vec<ShardMove> {
        let moves: Vec<ShardMove> = self.misplaced(hosts).take(most).collect();
        for change in &moves {
            self.records[change.shard as usize].released = true;
        }
        moves
    }

    /// Whether own shards are meant for other hosts.
    pub fn has_moves(&self, hosts: &[Host]) -> bool {
        self.misplaced(hosts).next().is_some()
    }

    fn misplaced<'a>(&'a self, hosts: &'a [Host]) -> impl Iterator<Item = ShardMove> + 'a {
        let zones = zones_of(hosts);
        let mine = self.numbered().filter(|(shard, _)| self.is_mine(*shard));
        mine.filter_map(move |(shard, record)| {
            let host = desired_owner(shard, hosts, &zones)?;
            let owner = host.id.clone();
            (owner != self.me).then_some(ShardMove { shard, from_epoch: record.epoch, owner })
        })
    }

    fn numbered(&self) -> impl Iterator<Item = (u32, &ShardRecord)> {
        self.records.iter().enumerate().map(|(shard, record)| (shard as u32, record))
    }
}

/// A shard's part of the digest; none while nobody owned it.
fn record_hash(shard: u32, epoch: u64) -> u64 {
    if epoch == 0 { 0 } else { hash_parts(&[&shard.to_string(), &epoch.to_string()]) }
}

fn zones_of(hosts: &[Host]) -> Vec<Name> {
    let mut zones: Vec<Name> = hosts.iter().map(|host| host.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Shards of one zone that are placed together, each on a host of its own while there are enough.
const GROUP_SHARDS: usize = 8;

/// The host that a shard is meant for.
///
/// Neighbouring shards lie in different zones, and those of one zone that are near each other on
/// different hosts: a team's slices are neighbours, so the loss of a host or of a zone costs it as
/// small a part as can be. A group of shards ranks the hosts of its zone by rendezvous hashing and
/// takes them in turn, so a host that comes or goes moves only the shards ranked behind it.
fn desired_owner<'h>(shard: u32, hosts: &'h [Host], zones: &[Name]) -> Option<&'h Host> {
    let count = zones.len().max(1);
    let zone = zones.get(shard as usize % count)?;
    let place = shard as usize / count;
    let key = format!("group-{}", place / GROUP_SHARDS);
    let mut ranked: Vec<&Host> = hosts.iter().filter(|host| host.zone == *zone).collect();
    ranked.sort_by_cached_key(|host| Reverse(rendezvous_score(&key, &host.id.address)));
    let turn = place % GROUP_SHARDS % ranked.len().max(1);
    ranked.get(turn).copied()
}

#[cfg(test)]
mod tests;
