use std::time::Duration;

use cuminramp_core::{HostId, Name};
use tokio::time::Instant;

use crate::{
    Admission, LedgerPolicy, LoanRequest, QuotaLedger, ShardMove, TOKEN, TeamLimits, slice_shards,
};

const LIMITS: TeamLimits = TeamLimits { rate: 10 * TOKEN, burst: 12 * TOKEN };

fn host(number: u64) -> HostId {
    HostId { address: format!("10.0.0.{number}:1").into(), incarnation: 1 }
}

fn policy() -> LedgerPolicy {
    LedgerPolicy { shards: 8, slices: 1, rate_per_slice: 1_000 * TOKEN, ..LedgerPolicy::default() }
}

fn shard() -> u32 {
    slice_shards("team", 1, 8).next().unwrap()
}

fn apply_move(ledger: &mut QuotaLedger, change: &ShardMove, now: Instant) {
    ledger.shards_mut().apply_row(&change.to_row(), now);
}

/// Returns two ledgers, the first of which owns the team's only shard.
fn ledgers(now: Instant) -> (QuotaLedger, QuotaLedger) {
    let mut previous = QuotaLedger::new(host(1), policy(), now);
    let mut next = QuotaLedger::new(host(2), policy(), now);
    let first = ShardMove { shard: shard(), from_epoch: 0, owner: host(1) };
    apply_move(&mut previous, &first, now);
    apply_move(&mut next, &first, now);
    (previous, next)
}

fn admitted(ledger: &mut QuotaLedger, tries: usize, now: Instant) -> usize {
    let team: Name = "team".into();
    let admit =
        |_: &usize| matches!(ledger.admit(&team, LIMITS, TOKEN, true, now), Admission::Admitted(_));
    (0..tries).filter(admit).count()
}

fn limits_of(team: &str) -> Option<(Name, TeamLimits)> {
    Some((team.into(), LIMITS))
}

fn next_owner() -> ShardMove {
    ShardMove { shard: shard(), from_epoch: 1, owner: host(2) }
}

// Hosts are replaced all day. If each new owner started with empty buckets, a team would be refused
// its burst whenever one of its hosts is replaced.
#[test]
fn the_next_owner_gets_the_tokens_that_are_left() {
    let now = Instant::now();
    let (mut previous, mut next) = ledgers(now);
    let before = admitted(&mut previous, 5, now);

    let handover = previous.collect_handover(&next_owner(), now).unwrap();
    let applied = next.accept_handover(&handover, limits_of, now);
    let after = admitted(&mut next, 20, now);

    assert!(applied);
    assert_eq!((before, after), (5, 7));
}

// The network repeats or delays the handover. If it were applied twice, the team would get its
// burst twice.
#[test]
fn a_repeated_handover_changes_nothing() {
    let now = Instant::now();
    let (mut previous, mut next) = ledgers(now);
    let handover = previous.collect_handover(&next_owner(), now).unwrap();

    let applied = next.accept_handover(&handover, limits_of, now);
    let first = admitted(&mut next, 20, now);
    let again = next.accept_handover(&handover, limits_of, now);
    let second = admitted(&mut next, 20, now);

    assert_eq!((applied, first, again, second), (true, 12, false, 0));
}

// The handover is lost while tokens that the earlier owner lent are still being spent.
#[test]
fn without_a_handover_the_next_owner_starts_empty_once_loans_have_ended() {
    let now = Instant::now();
    let (mut previous, mut next) = ledgers(now);
    let loan = LoanRequest { team: "team".into(), shard: shard(), amount: 12 * TOKEN };
    let lent = previous.lend(&loan, LIMITS, now);

    apply_move(&mut next, &next_owner(), now);
    let while_lent = admitted(&mut next, 20, now + lent.validity);
    let after = admitted(&mut next, 20, now + lent.validity + Duration::from_millis(500));

    assert_eq!(lent.amount, 12 * TOKEN);
    assert_eq!((while_lent, after), (0, 5));
}

// A host lends tokens and moves its shard to another host. The handover is lost, and the next owner
// moves the shard back at once. If the next owner handed over its empty bucket without those loans,
// the first owner would refill it while they are still being spent. The model checker found this
// trace.
#[test]
fn loans_are_waited_for_across_two_moves() {
    let now = Instant::now();
    let (mut previous, mut next) = ledgers(now);
    let loan = LoanRequest { team: "team".into(), shard: shard(), amount: 12 * TOKEN };
    previous.lend(&loan, LIMITS, now);
    apply_move(&mut next, &next_owner(), now);

    let back = ShardMove { shard: shard(), from_epoch: 2, owner: host(1) };
    let handover = next.collect_handover(&back, now);

    assert_eq!(handover, None);
}

// The handover arrives late, after the next owner has spent tokens that accrued in the meantime.
// They and the tokens handed over are more than one bucket would have held. The model checker found
// this trace.
#[test]
fn a_late_handover_adds_nothing_to_a_bucket_in_use() {
    let now = Instant::now();
    let (mut previous, mut next) = ledgers(now);
    let handover = previous.collect_handover(&next_owner(), now).unwrap();
    apply_move(&mut next, &next_owner(), now);
    let later = now + Duration::from_secs(1);

    let spent = admitted(&mut next, 2, later);
    next.accept_handover(&handover, limits_of, later);
    let more = admitted(&mut next, 20, later);

    assert_eq!(spent, 2);
    assert!(spent + more <= 10, "{spent} and {more}");
}

// Loans of the earlier owner may still be spent while the next owner admits requests; both count
// towards the burst.
#[test]
fn loans_of_the_earlier_owner_count_for_the_next() {
    let now = Instant::now();
    let (mut previous, mut next) = ledgers(now);
    let loan = LoanRequest { team: "team".into(), shard: shard(), amount: 10 * TOKEN };
    previous.lend(&loan, LIMITS, now);

    let handover = previous.collect_handover(&next_owner(), now).unwrap();
    next.accept_handover(&handover, limits_of, now);
    let soon = admitted(&mut next, 20, now + Duration::from_millis(200));

    assert_eq!(soon, 2);
}
