//! `cuminramp bench throughput`.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::caller::{BenchCaller, chat_body};
use crate::bench::record::record;
use crate::connection::CommandError;
use crate::flags::Throughput;

/// Number of concurrent callers if `--concurrency` is not given.
const DEFAULT_CONCURRENCY: usize = 64;
/// Seconds of each turn if `--seconds` is not given.
const DEFAULT_SECONDS: u64 = 4;
/// Maximum duration of a turn in seconds.
const MAX_SECONDS: u64 = 15;
/// Number of turns of each side. The sides alternate, so that both are measured under the same load of the
/// machine.
const TURNS: usize = 2;

/// Totals of one side, through the daemons or to the engine directly, over its turns.
#[derive(Default)]
struct SideTotals {
    answered: u64,
    failed: u64,
    seconds: f64,
}

impl SideTotals {
    /// Returns the answered requests per second.
    fn rate(&self) -> f64 {
        self.answered as f64 / self.seconds
    }
}

/// Compares the requests per second through the daemons with those of an engine called directly.
pub(crate) async fn execute(flags: Throughput) -> Result<(), CommandError> {
    let concurrency = flags.concurrency.unwrap_or(DEFAULT_CONCURRENCY);
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS).min(MAX_SECONDS);
    let through = Arc::new(BenchCaller::new(&flags.callers, &flags.key));
    let direct = Arc::new(BenchCaller::new(&flags.direct, ""));
    let mut sides = [SideTotals::default(), SideTotals::default()];
    for _ in 0..TURNS {
        for (side, caller) in sides.iter_mut().zip([&through, &direct]) {
            run_turn(side, caller, &flags.model, concurrency, Duration::from_secs(seconds)).await;
        }
    }
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "throughput", "concurrency": concurrency, "turns": TURNS, "seconds": seconds,
            "through-per-second": sides[0].rate(), "direct-per-second": sides[1].rate(),
            "ratio": sides[0].rate() / sides[1].rate(),
            "through-failed": sides[0].failed, "direct-failed": sides[1].failed,
        }),
    )
}

/// Runs one turn of a side and adds its counts to the totals.
async fn run_turn(
    side: &mut SideTotals,
    caller: &Arc<BenchCaller>,
    model: &str,
    concurrency: usize,
    duration: Duration,
) {
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..concurrency {
        let (caller, model) = (caller.clone(), model.to_owned());
        callers.spawn(async move { call_until(&caller, number, &model, started + duration).await });
    }
    while let Some(Ok(totals)) = callers.join_next().await {
        side.answered += totals.answered;
        side.failed += totals.failed;
    }
    side.seconds += started.elapsed().as_secs_f64();
}

/// Sends requests one after the other until `end` and counts their outcomes.
async fn call_until(caller: &BenchCaller, number: usize, model: &str, end: Instant) -> SideTotals {
    let mut totals = SideTotals::default();
    while Instant::now() < end {
        let prompt = format!("caller {number} asks for {}", totals.answered);
        let body = chat_body(model, &prompt, 1, false).to_string().into();
        let path = "/v1/chat/completions";
        match caller.call(number, Method::POST, path, "application/json", body).await {
            Ok(_) => totals.answered += 1,
            Err(_) => totals.failed += 1,
        }
    }
    totals
}
