use std::time::Duration;

use proptest::prelude::*;
use tokio::time::Instant;

use super::TokenBucket;

const RATE: u64 = 20_000;
const BURST: u64 = 10_000;
const LOAN_VALIDITY: Duration = Duration::from_millis(200);

#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Take(u64),
    Lend(u64),
    SpendLoan(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..300u64).prop_map(Step::Wait),
        (0..8_000u64).prop_map(Step::Take),
        (0..8_000u64).prop_map(Step::Lend),
        (0..4usize).prop_map(Step::SpendLoan),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    // A host lends tokens and its own bucket refills. If the bucket ignored its loans, the borrower
    // could wait until just before the loan expires and spend it together with the refilled bucket,
    // and the team would get twice its burst.
    #[test]
    fn no_window_holds_more_than_burst_and_rate(steps in steps()) {
        let start = Instant::now();
        let mut now = start;
        let mut bucket = TokenBucket::full(RATE, BURST, now);
        let mut spent: Vec<(Instant, u64)> = Vec::new();
        let mut loans: Vec<(Instant, u64)> = Vec::new();

        for step in steps {
            match step {
                Step::Wait(millis) => now += Duration::from_millis(millis),
                Step::Take(amount) => spent.push((now, bucket.take(amount, now))),
                Step::Lend(amount) => loans.push((now + LOAN_VALIDITY, bucket.lend(amount, LOAN_VALIDITY, now))),
                Step::SpendLoan(index) if index < loans.len() => {
                    let (expires_at, amount) = loans.remove(index);
                    if now < expires_at {
                        spent.push((now, amount));
                    }
                }
                Step::SpendLoan(_) => {}
            }
        }

        for (first, (from, _)) in spent.iter().enumerate() {
            let mut total = 0;
            for (to, amount) in &spent[first..] {
                total += amount;
                let window = to.duration_since(*from).as_millis() as u64;
                prop_assert!(total <= BURST + RATE * window / 1_000 + 1);
            }
        }
    }
}
