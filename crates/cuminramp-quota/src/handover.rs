//! Handover of a shard's tokens to its next owner.

use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_wire::peer::{Handover, HandoverBucket};
use cuminramp_wire::rows::ShardRow;
use cuminramp_wire::{decode_row, encode_row};
use tokio::time::Instant;

use crate::ledger::slice_index;
use crate::{HandoverState, QuotaLedger, ShardMove, TeamLimits};

impl QuotaLedger {
    /// Returns the handover for the next owner of a shard, to be sent once the row names that
    /// owner.
    ///
    /// This incarnation has released the shard and spends none of its tokens, so what is in the
    /// buckets now belongs to the next owner, and to nobody if the message is lost.
    ///
    /// Returns `None` while tokens lent by an owner before this one may still be spent and this
    /// incarnation has no record of them: the next owner would not wait for their expiry either.
    pub fn collect_handover(&mut self, shard_move: &ShardMove, now: Instant) -> Option<Handover> {
        let record = self.shards.record(shard_move.shard);
        let loans_ended =
            record.observed_at.is_some_and(|at| at + self.policy().max_loan_validity <= now);
        if record.epoch > 1 && record.handover.is_none() && !loans_ended {
            return None;
        }
        let filling_since = record.handover.map(|state| state.filling_since).or(record.observed_at);
        let filling =
            filling_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let first_owner = match record.handover {
            Some(state) => state.is_full,
            None => record.epoch == 1,
        };
        let policy = self.policy().clone();
        let mut buckets = Vec::new();
        for (team, quota) in self.teams.iter_mut() {
            let index = slice_index(team, shard_move.shard, &policy);
            let Some(slice) = quota.buckets.get_mut(&index) else { continue };
            if slice.epoch == record.epoch {
                let level = slice.bucket.level(now);
                let on_loan = slice.bucket.on_loan(now);
                buckets.push(HandoverBucket { team: team.to_string(), level, on_loan });
            }
        }
        Some(Handover {
            row: encode_row(&shard_move.to_row()),
            owned_ms: filling.as_millis() as u64,
            first_owner,
            buckets,
        })
    }

    /// Applies the handover from the earlier owner of a shard and returns whether it was applied. A
    /// repeated handover, one of another epoch, or one for a shard that this incarnation does not
    /// own changes nothing.
    ///
    /// `limits_of` returns a team's limits, `None` for a team that is no longer declared.
    pub fn accept_handover(
        &mut self,
        handover: &Handover,
        limits_of: impl Fn(&str) -> Option<(Name, TeamLimits)>,
        now: Instant,
    ) -> bool {
        let Ok(row) = decode_row::<ShardRow>(&handover.row) else { return false };
        self.shards.apply_row(&row, now);
        let filling = Duration::from_millis(handover.owned_ms);
        let filling_since = now.checked_sub(filling).unwrap_or(now);
        let state = HandoverState { filling_since, is_full: handover.first_owner };
        if !self.shards.record_handover(row.shard, row.epoch, state) {
            return false;
        }
        self.discard_unused_buckets(row.shard);
        for received in &handover.buckets {
            let Some((team, limits)) = limits_of(&received.team) else { continue };
            self.accept_bucket(row.shard, &team, limits, received, now);
        }
        true
    }

    /// Drops the buckets of a shard that were created before the handover arrived and have not been
    /// used. They are created again from the state handed over, which replaces the fewer tokens
    /// that they accrued in the meantime.
    fn discard_unused_buckets(&mut self, shard: u32) {
        let policy = self.policy().clone();
        for (team, quota) in self.teams.iter_mut() {
            let index = slice_index(team, shard, &policy);
            if quota.buckets.get(&index).is_some_and(|slice| !slice.used) {
                quota.buckets.remove(&index);
            }
        }
    }

    /// Replaces the tokens of a bucket by those that the earlier owner handed over, unless the
    /// bucket has been used.
    fn accept_bucket(
        &mut self,
        shard: u32,
        team: &Name,
        limits: TeamLimits,
        received: &HandoverBucket,
        now: Instant,
    ) {
        self.prepare(team, limits, now);
        let policy = self.policy().clone();
        let index = slice_index(team, shard, &policy);
        let Some(quota) = self.teams.get_mut(team) else { return };
        let Some(slice) = quota.buckets.get_mut(&index) else { return };
        // Tokens already spent from this bucket did not come from the earlier owner's bucket.
        // Adding the earlier owner's tokens too could exceed what a single bucket would have held.
        if slice.used {
            return;
        }
        let accrued = slice.bucket.level(now);
        slice.bucket.take(accrued, now);
        slice.bucket.add_handover(received.level, received.on_loan, policy.max_loan_validity, now);
    }
}

#[cfg(test)]
mod tests;
