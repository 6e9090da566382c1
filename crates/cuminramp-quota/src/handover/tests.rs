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
// shard back at once. Knowing of an empty bucket only, the first would fill it while its loans are
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
