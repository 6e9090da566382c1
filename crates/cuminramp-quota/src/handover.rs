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
    /// run was not told of them: the next owner would not wait for them either.
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
        slice.bucket.take_over(given.level, given.on_loan, policy.borrow_valid, now);
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use cuminramp_core::{HostId, Name};
    use tokio::time::Instant;

    use crate::{
        Admission, LedgerPolicy, LoanRequest, QuotaLedger, ShardMove, TOKEN, TeamLimits,
        slice_shards,
    };

    const LIMITS: TeamLimits = TeamLimits { rate: 10 * TOKEN, burst: 12 * TOKEN };

    fn host(number: u64) -> HostId {
        HostId { address: format!("10.0.0.{number}:1").into(), incarnation: 1 }
    }

    fn policy() -> LedgerPolicy {
        LedgerPolicy { shards: 8, slices: 1, slice_rate: 1_000 * TOKEN, ..LedgerPolicy::default() }
    }

    fn shard() -> u32 {
        slice_shards("team", 1, 8).next().unwrap()
    }

    fn take_ownership(ledger: &mut QuotaLedger, change: &ShardMove, now: Instant) {
        ledger.shards_mut().observe(&change.to_row(), now);
    }

    /// Two ledgers, the first of which owns the team's one shard.
    fn ledgers(now: Instant) -> (QuotaLedger, QuotaLedger) {
        let mut giver = QuotaLedger::new(host(1), policy(), now);
        let mut taker = QuotaLedger::new(host(2), policy(), now);
        let first = ShardMove { shard: shard(), from_epoch: 0, owner: host(1) };
        take_ownership(&mut giver, &first, now);
        take_ownership(&mut taker, &first, now);
        (giver, taker)
    }

    fn admitted(ledger: &mut QuotaLedger, tries: usize, now: Instant) -> usize {
        let team: Name = "team".into();
        let admit = |_: &usize| {
            matches!(ledger.admit(&team, LIMITS, TOKEN, true, now), Admission::Admitted(_))
        };
        (0..tries).filter(admit).count()
    }

    fn limits_of(team: &str) -> Option<(Name, TeamLimits)> {
        Some((team.into(), LIMITS))
    }

    fn next_owner() -> ShardMove {
        ShardMove { shard: shard(), from_epoch: 1, owner: host(2) }
    }

    // Hosts are replaced all day. If each new owner started empty, a team would be refused its burst
    // whenever one of its hosts is replaced.
    #[test]
    fn the_next_owner_has_what_the_earlier_left() {
        let now = Instant::now();
        let (mut giver, mut taker) = ledgers(now);
        let before = admitted(&mut giver, 5, now);

        let handover = giver.collect_handover(&next_owner(), now).unwrap();
        let taken = taker.take_handover(&handover, limits_of, now);
        let after = admitted(&mut taker, 20, now);

        assert!(taken);
        assert_eq!((before, after), (5, 7));
    }

    // The message is repeated by the network, or comes late. Taken twice it would mint a burst.
    #[test]
    fn a_repeated_handover_changes_nothing() {
        let now = Instant::now();
        let (mut giver, mut taker) = ledgers(now);
        let handover = giver.collect_handover(&next_owner(), now).unwrap();

        let taken = taker.take_handover(&handover, limits_of, now);
        let first = admitted(&mut taker, 20, now);
        let again = taker.take_handover(&handover, limits_of, now);
        let second = admitted(&mut taker, 20, now);

        assert_eq!((taken, first, again, second), (true, 12, false, 0));
    }

    // The message is lost, and tokens that the earlier owner lent are still being spent.
    #[test]
    fn without_a_handover_the_next_owner_starts_empty_once_loans_have_ended() {
        let now = Instant::now();
        let (mut giver, mut taker) = ledgers(now);
        let loan = LoanRequest { team: "team".into(), shard: shard(), amount: 12 * TOKEN };
        let lent = giver.lend(&loan, LIMITS, now);

        take_ownership(&mut taker, &next_owner(), now);
        let while_lent = admitted(&mut taker, 20, now + lent.valid);
        let after = admitted(&mut taker, 20, now + lent.valid + Duration::from_millis(500));

        assert_eq!(lent.amount, 12 * TOKEN);
        assert_eq!((while_lent, after), (0, 5));
    }

    // A host lends tokens and gives its shard away, the message is lost, and the next owner gives the
    // shard back at once. Told of an empty bucket only, the first would fill it while its loans are
    // still being spent: a trace that the model check found.
    #[test]
    fn loans_are_waited_for_over_two_moves() {
        let now = Instant::now();
        let (mut giver, mut taker) = ledgers(now);
        let loan = LoanRequest { team: "team".into(), shard: shard(), amount: 12 * TOKEN };
        giver.lend(&loan, LIMITS, now);
        take_ownership(&mut taker, &next_owner(), now);

        let back = ShardMove { shard: shard(), from_epoch: 2, owner: host(1) };
        let handover = taker.collect_handover(&back, now);

        assert_eq!(handover, None);
    }

    // The message comes late, after the next owner has spent what flowed in since. Both together are
    // more than one bucket would have held: a trace that the model check found.
    #[test]
    fn a_late_handover_adds_nothing_to_a_bucket_in_use() {
        let now = Instant::now();
        let (mut giver, mut taker) = ledgers(now);
        let handover = giver.collect_handover(&next_owner(), now).unwrap();
        take_ownership(&mut taker, &next_owner(), now);
        let later = now + Duration::from_secs(1);

        let spent = admitted(&mut taker, 2, later);
        taker.take_handover(&handover, limits_of, later);
        let more = admitted(&mut taker, 20, later);

        assert_eq!(spent, 2);
        assert!(spent + more <= 10, "{spent} and {more}");
    }

    // Loans of the earlier owner may be spent while the next one admits: both count.
    #[test]
    fn loans_of_the_earlier_owner_count_for_the_next() {
        let now = Instant::now();
        let (mut giver, mut taker) = ledgers(now);
        let loan = LoanRequest { team: "team".into(), shard: shard(), amount: 10 * TOKEN };
        giver.lend(&loan, LIMITS, now);

        let handover = giver.collect_handover(&next_owner(), now).unwrap();
        taker.take_handover(&handover, limits_of, now);
        let soon = admitted(&mut taker, 20, now + Duration::from_millis(200));

        assert_eq!(soon, 2);
    }
}
