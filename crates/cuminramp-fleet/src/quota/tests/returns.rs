//! Load of one team that sends five times its rate for eight seconds, whose callers return once when they are
//! told to, and after a third of their deadline at the latest.

use std::time::Duration;

use cuminramp_core::{RandomSource, SeededRandom};
use test_case::test_case;
use tokio::time::{Instant, advance};

use super::{declarations_with, table_of, team};
use crate::quota::{AttemptKind, QuotaDecision, QuotaTable, QuotaTolerance};

const STEP: Duration = Duration::from_millis(1);
const LENGTH: Duration = Duration::from_secs(8);
/// Longest time for which callers wait before they return.
const MAX_RETURN: Duration = Duration::from_millis(1_660);
/// Delay up to which a return counts as scheduled.
const MAX_SCHEDULED: Duration = Duration::from_millis(1_600);

/// Numbers of requests by outcome.
#[derive(Debug, Default)]
struct ReturnCounts {
    first: u32,
    scheduled: u32,
    unscheduled: u32,
    /// Scheduled returns that were refused again.
    refused_again: u32,
}

impl ReturnCounts {
    fn admitted(&self) -> u32 {
        self.first + self.scheduled + self.unscheduled
    }
}

fn settled_table(rate: f64) -> QuotaTable {
    let tolerance = QuotaTolerance { share: 0.1, extra_requests: 20.0, window: MAX_RETURN };
    table_of(1, &declarations_with((rate, rate)), tolerance)
}

/// Returns the delay that a refused request is told, or `None` if it is admitted.
fn decide(table: &mut QuotaTable, attempt: AttemptKind) -> Option<Duration> {
    match table.admit(&team(), attempt, Instant::now()) {
        QuotaDecision::Admitted => None,
        QuotaDecision::Exceeded(_) => Some(table.retry_after(&team(), Instant::now())),
    }
}

async fn replay(rate: f64, limits_retries: bool) -> ReturnCounts {
    let mut table = settled_table(rate);
    table.limit_retries(limits_retries);
    advance(Duration::from_secs(3)).await;
    let (mut random, start) = (SeededRandom::new(1), Instant::now());
    let mut returns: Vec<(Instant, AttemptKind)> = Vec::new();
    let mut counts = ReturnCounts::default();
    while start.elapsed() < LENGTH {
        let now = Instant::now();
        let due: Vec<AttemptKind> =
            returns.iter().filter(|(at, _)| *at <= now).map(|(_, attempt)| *attempt).collect();
        returns.retain(|(at, _)| *at > now);
        for attempt in due {
            let is_scheduled = attempt == AttemptKind::Retry;
            match (decide(&mut table, attempt), is_scheduled) {
                (None, true) => counts.scheduled += 1,
                (None, false) => counts.unscheduled += 1,
                (Some(_), true) => counts.refused_again += 1,
                (Some(_), false) => {}
            }
        }
        if random.unit_interval() < 5.0 * rate * STEP.as_secs_f64() {
            match decide(&mut table, AttemptKind::First) {
                None => counts.first += 1,
                Some(delay) if delay <= MAX_SCHEDULED => {
                    returns.push((now + delay, AttemptKind::Retry));
                }
                Some(_) => returns.push((now + MAX_RETURN, AttemptKind::UnscheduledRetry)),
            }
        }
        advance(STEP).await;
    }
    counts
}

/// Guards against a team at five times its rate that gets nearly all of its answers on the second attempt,
/// 1.5 s late, because every token is promised to a caller who was refused before.
#[test_case(30.0; "small team")]
#[test_case(190.0; "large team")]
#[tokio::test(start_paused = true)]
async fn most_tokens_of_a_team_above_its_rate_go_to_first_attempts(rate: f64) {
    let limited = replay(rate, true).await;
    let unlimited = replay(rate, false).await;

    let of_first = |counts: &ReturnCounts| f64::from(counts.first) / f64::from(counts.admitted());
    assert!(of_first(&limited) >= 0.7, "{limited:?}");
    assert!(of_first(&unlimited) < 0.5, "{unlimited:?}");
    assert!(f64::from(limited.admitted()) >= 0.97 * f64::from(unlimited.admitted()));
}

/// Guards against callers who were told when to return and are refused again.
#[test_case(30.0; "small team")]
#[test_case(190.0; "large team")]
#[tokio::test(start_paused = true)]
async fn scheduled_returns_are_admitted(rate: f64) {
    let counts = replay(rate, true).await;

    assert!(counts.scheduled >= 9 * counts.refused_again, "{counts:?}");
}
