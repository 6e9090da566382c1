use std::time::Duration;

use cuminramp_core::{HostId, Name};
use test_case::test_case;
use tokio::time::Instant;

use super::*;
use crate::ShardMove;

const LIMITS: TeamLimits = TeamLimits { rate: 9 * TOKEN, burst: 30 * TOKEN };

fn host(number: u64) -> HostId {
    HostId { address: format!("10.0.0.{number}:1").into(), incarnation: 1 }
}

fn team() -> Name {
    "team".into()
}

/// Returns three ledgers, each of which owns one of the team's three shards.
fn ledgers(now: Instant) -> Vec<QuotaLedger> {
    let policy = LedgerPolicy { shards: 8, ..LedgerPolicy::default() };
    let mut ledgers: Vec<QuotaLedger> =
        (0..3).map(|number| QuotaLedger::new(host(number), policy.clone(), now)).collect();
    for (number, shard) in slice_shards("team", 3, 8).enumerate() {
        let row = ShardMove { shard, from_epoch: 0, owner: host(number as u64) }.to_row();
        for ledger in &mut ledgers {
            ledger.shards_mut().apply_row(&row, now);
        }
    }
    ledgers
}

/// Asks the lenders of a plan in order, as the daemon does.
fn borrow(ledgers: &mut [QuotaLedger], plan: &BorrowPlan, now: Instant) {
    let mut missing = plan.missing + plan.prefetch;
    for lender in &plan.lenders {
        let index = ledgers.iter().position(|ledger| *ledger.shards.me() == lender.owner).unwrap();
        let loan = LoanRequest { team: team(), shard: lender.shard, amount: missing };
        let response = ledgers[index].lend(&loan, LIMITS, now);
        ledgers[0].credit(&team(), lender, response, now, now);
        missing = missing.saturating_sub(response.amount);
        if missing == 0 {
            return;
        }
    }
}

/// Admits one request at the first ledger, which borrows if it has to.
fn admit_or_borrow(ledgers: &mut [QuotaLedger], now: Instant) -> bool {
    match ledgers[0].admit(&team(), LIMITS, TOKEN, false, now) {
        Admission::Admitted(_) => true,
        Admission::Refused(_) => false,
        Admission::Borrow(plan) => {
            borrow(ledgers, &plan, now);
            matches!(ledgers[0].admit(&team(), LIMITS, TOKEN, true, now), Admission::Admitted(_))
        }
    }
}

// All callers of a team connect to one host. If it refused them for tokens that other hosts hold,
// the team would get only a third of its limit. The test ignores the plans of admitted requests to
// borrow in advance.
#[test]
fn one_host_can_spend_the_whole_burst() {
    let now = Instant::now();
    let mut ledgers = ledgers(now);

    let admitted = (0..40).filter(|_| admit_or_borrow(&mut ledgers, now)).count();

    assert_eq!(admitted, 30);
}

// A team at several times its rate is refused most of the time. If each refusal cost calls to all
// owners, the team would load every host without being served.
#[test]
fn owners_without_tokens_are_not_asked_again_at_once() {
    let now = Instant::now();
    let mut ledgers = ledgers(now);
    while admit_or_borrow(&mut ledgers, now) {}

    let next = ledgers[0].admit(&team(), LIMITS, TOKEN, false, now);

    let Admission::Refused(wait) = next else { panic!("{next:?}") };
    assert!(wait >= Duration::from_millis(10) && wait <= Duration::from_secs(1));
}

fn admits(ledger: &mut QuotaLedger, now: Instant) -> bool {
    matches!(ledger.admit(&team(), LIMITS, TOKEN, true, now), Admission::Admitted(_))
}

// The process is paused; other hosts declare it dead, claim its shards and spend their tokens. When
// it resumes it would spend the same tokens again, even before its next tick.
#[test]
fn a_host_that_was_paused_for_long_continues_as_a_new_incarnation() {
    let now = Instant::now();
    let mut ledgers = ledgers(now);
    let resumed = now + Duration::from_secs(11);

    let before_tick = admits(&mut ledgers[0], resumed);
    let outcome = ledgers[0].tick(true, resumed);
    ledgers[0].renew(HostId { incarnation: 2, ..host(0) }, true, resumed);
    let after_renewal = admits(&mut ledgers[0], resumed);

    assert_eq!((before_tick, outcome, after_renewal), (false, TickOutcome::Lost, false));
}

// After a short pause, or a short time without contact, no other host can have claimed the host's
// shards yet, so it need not give them up.
#[test_case(Duration::from_secs(3), true; "paused")]
#[test_case(Duration::from_millis(200), false; "cut off")]
fn a_short_unreliable_period_ends(gap: Duration, confirmed: bool) {
    let now = Instant::now();
    let mut ledgers = ledgers(now);

    let first = ledgers[0].tick(confirmed, now + gap);
    let while_unreliable = admits(&mut ledgers[0], now + gap);
    let second = ledgers[0].tick(true, now + gap + Duration::from_millis(200));
    let after = admits(&mut ledgers[0], now + gap + Duration::from_millis(200));

    assert_eq!((first, while_unreliable), (TickOutcome::Unreliable, false));
    assert_eq!((second, after), (TickOutcome::Reliable, true));
}
