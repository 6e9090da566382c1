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

/// Three ledgers, each of which owns one of the team's three shards.
fn ledgers(now: Instant) -> Vec<QuotaLedger> {
    let policy = LedgerPolicy { shards: 8, ..LedgerPolicy::default() };
    let mut ledgers: Vec<QuotaLedger> =
        (0..3).map(|number| QuotaLedger::new(host(number), policy.clone(), now)).collect();
    for (number, shard) in slice_shards("team", 3, 8).enumerate() {
        let row = ShardMove { shard, from_epoch: 0, owner: host(number as u64) }.to_row();
        for ledger in &mut ledgers {
            ledger.shards_mut().observe(&row, now);
        }
    }
    ledgers
}

/// Asks every lender of a plan, as the daemon does.
fn borrow(ledgers: &mut [QuotaLedger], plan: &BorrowPlan, now: Instant) {
    let mut missing = plan.missing + plan.ahead;
    for lender in &plan.lenders {
        let index = ledgers.iter().position(|ledger| *ledger.shards.me() == lender.owner).unwrap();
        let loan = LoanRequest { team: team(), shard: lender.shard, amount: missing };
        let answer = ledgers[index].lend(&loan, LIMITS, now);
        ledgers[0].credit(&team(), lender, answer, now, now);
        missing = missing.saturating_sub(answer.amount);
        if missing == 0 {
            return;
        }
    }
}

/// Runs one request at the first ledger, borrowing where it has to.
fn run(ledgers: &mut [QuotaLedger], now: Instant) -> bool {
    match ledgers[0].admit(&team(), LIMITS, TOKEN, false, now) {
        Admission::Admitted(_) => true,
        Admission::Refused(_) => false,
        Admission::Borrow(plan) => {
            borrow(ledgers, &plan, now);
            matches!(ledgers[0].admit(&team(), LIMITS, TOKEN, true, now), Admission::Admitted(_))
        }
    }
}

// All callers of a team connect to one host. Refused there for tokens that other hosts hold, the
// team would get a third of what it pays for. The answers to what is asked for ahead never come.
#[test]
fn one_host_can_spend_the_whole_burst() {
    let now = Instant::now();
    let mut ledgers = ledgers(now);

    let admitted = (0..40).filter(|_| run(&mut ledgers, now)).count();

    assert_eq!(admitted, 30);
}

// A team at several times its rate is refused most of the time. If each refusal cost calls to all
// owners, the team would load every host without being served.
#[test]
fn owners_without_tokens_are_not_asked_again_at_once() {
    let now = Instant::now();
    let mut ledgers = ledgers(now);
    while run(&mut ledgers, now) {}

    let next = ledgers[0].admit(&team(), LIMITS, TOKEN, false, now);

    let Admission::Refused(wait) = next else { panic!("{next:?}") };
    assert!(wait >= Duration::from_millis(10) && wait <= Duration::from_secs(1));
}

fn admits(ledger: &mut QuotaLedger, now: Instant) -> bool {
    matches!(ledger.admit(&team(), LIMITS, TOKEN, true, now), Admission::Admitted(_))
}

// The process is paused; others find it dead, take its shards and spend them. Once it wakes it
// would spend the same tokens again, also before it has looked at the clock.
#[test]
fn a_host_that_was_paused_for_long_goes_on_as_a_new_run() {
    let now = Instant::now();
    let mut ledgers = ledgers(now);
    let woken = now + Duration::from_secs(11);

    let before_tick = admits(&mut ledgers[0], woken);
    let outcome = ledgers[0].tick(true, woken);
    ledgers[0].renew(HostId { incarnation: 2, ..host(0) }, true, woken);
    let after_renewal = admits(&mut ledgers[0], woken);

    assert_eq!((before_tick, outcome, after_renewal), (false, TickOutcome::Lost, false));
}

// A short pause, or a short time without word from anybody: nobody can have taken anything over,
// so the host need not give up what it owns.
#[test_case(Duration::from_secs(3), true; "paused")]
#[test_case(Duration::from_millis(200), false; "cut off")]
fn a_short_doubt_passes(gap: Duration, confirmed: bool) {
    let now = Instant::now();
    let mut ledgers = ledgers(now);

    let first = ledgers[0].tick(confirmed, now + gap);
    let in_doubt = admits(&mut ledgers[0], now + gap);
    let second = ledgers[0].tick(true, now + gap + Duration::from_millis(200));
    let after = admits(&mut ledgers[0], now + gap + Duration::from_millis(200));

    assert_eq!((first, in_doubt), (TickOutcome::Doubtful, false));
    assert_eq!((second, after), (TickOutcome::Sure, true));
}
