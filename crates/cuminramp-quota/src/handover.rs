//! Passes a shard's tokens on to its next owner.

use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_wire::peer::{Handover, HandoverBucket};
use cuminramp_wire::rows::ShardRow;
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use crate::ledger::slice_number;
use crate::{Inheritance, QuotaLedger, ShardMove, TeamLimits};

impl QuotaLedger {
    /// What the next owner of a shard gets, to be sent once the row says that it is the owner.
    ///
    /// This run has released the shard and spends none of it, so what is in the buckets now belongs
    /// to whom it is sent to, and to nobody if that is lost.
    ///
    /// Nothing is passed on while tokens that an owner before this one lent may still be spent and this
    /// run does not know of them: the next owner would not wait for them either.
    pub fn collect_handover(&mut self, change: &ShardMove, now: Instant) -> Option<Handover> {
        let record = self.shards.record(change.shard);
        let waited = record.since.is_some_and(|at| at + self.policy().borrow_valid <= now);
        if record.epoch > 1 && record.inherited.is_none() && !waited {
            return None;
        }
        let since = record.inherited.map(|inherited| inherited.since).or(record.since);
        let owned = since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let first_owner = match record.inherited {
            Some(inherited) => inherited.is_full,
            None => record.epoch == 1,
        };
        let policy = self.policy().clone();
        let mut buckets = Vec::new();
        for (team, quota) in self.teams.iter_mut() {
            let index = slice_number(team, change.shard, &policy);
            let Some(slice) = quota.buckets.get_mut(&index) else { continue };
            if slice.epoch == record.epoch {
                let level = slice.bucket.level(now);
                let on_loan = slice.bucket.on_loan(now);
                buckets.push(HandoverBucket { team: team.to_string(), level, on_loan });
            }
        }
        Some(Handover {
            row: encode_row(&change.to_row()),
            owned_ms: owned.as_millis() as u64,
            first_owner,
            buckets,
        })
    }

    /// Takes what the earlier owner of a shard passed on; says whether it was taken. A second copy,
    /// one of another epoch or one for a shard that this run does not own changes nothing.
    ///
    /// `limits_of` gives a team's limits, `None` for one that is not declared any more.
    pub fn take_handover(
        &mut self,
        handover: &Handover,
        limits_of: impl Fn(&str) -> Option<(Name, TeamLimits)>,
        now: Instant,
    ) -> bool {
        let Ok(row) = decode_row::<ShardRow>(&handover.row) else { return false };
        self.shards.observe(&row, now);
        let owned = Duration::from_millis(handover.owned_ms);
        let since = now.checked_sub(owned).unwrap_or(now);
        let inherited = Inheritance { since, is_full: handover.first_owner };
        if !self.shards.inherit(row.shard, row.epoch, inherited) {
            return false;
        }
        self.drop_started(row.shard);
        for given in &handover.buckets {
            let Some((team, limits)) = limits_of(&given.team) else { continue };
            self.take_bucket(row.shard, &team, limits, given, now);
        }
        true
    }

    /// Forgets buckets that were begun before the handover came and not used: what they had since
    /// then is less than what comes.
    fn drop_started(&mut self, shard: u32) {
        let policy = self.policy().clone();
        for (team, quota) in self.teams.iter_mut() {
            let index = slice_number(team, shard, &policy);
            if quota.buckets.get(&index).is_some_and(|slice| !slice.used) {
                quota.buckets.remove(&index);
            }
        }
    }

    fn take_bucket(
        &mut self,
        shard: u32,
        team: &Name,
        limits: TeamLimits,
        given: &HandoverBucket,
        now: Instant,
    ) {
        self.prepare(team, limits, now);
        let policy = self.policy().clone();
        let index = slice_number(team, shard, &policy);
        let Some(quota) = self.teams.get_mut(team) else { return };
        let Some(slice) = quota.buckets.get_mut(&index) else { return };
        // What was spent of a bucket since it began was not in the earlier one: taking that too would
        // be too much.
        if slice.used {
            return;
        }
        let begun = slice.bucket.level(now);
        slice.bucket.take(begun, now);
        slice.bucket.add_handover(given.level, given.on_loan, policy.borrow_valid, now);
    }
}

#[cfg(test)]
mod tests;
