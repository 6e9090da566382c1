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

/// Callers at once where none are named.
const DEFAULT_CONCURRENCY: usize = 64;
/// Seconds of a turn where none are named.
const DEFAULT_SECONDS: u64 = 4;
/// The longest turn.
const MOST_SECONDS: u64 = 15;
/// Turns of each side; the two take turns, so that both see the same machine.
const TURNS: usize = 2;

/// What one side did in its turns.
#[derive(Default)]
struct SideCount {
    answered: u64,
    failed: u64,
    seconds: f64,
}

impl SideCount {
    fn rate(&self) -> f64 {
        self.answered as f64 / self.seconds
    }
}

/// Compares requests a second through the daemons with those of an engine called directly.
pub(crate) async fn execute(flags: Throughput) -> Result<(), CommandError> {
    let concurrency = flags.concurrency.unwrap_or(DEFAULT_CONCURRENCY);
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS).min(MOST_SECONDS);
    let through = Arc::new(BenchCaller::new(&flags.callers, &flags.key));
    let direct = Arc::new(BenchCaller::new(&flags.direct, ""));
    let mut sides = [SideCount::default(), SideCount::default()];
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

async fn run_turn(
    side: &mut SideCount,
    caller: &Arc<BenchCaller>,
    model: &str,
    concurrency: usize,
    time: Duration,
) {
    let started = Instant::now();
    let mut callers = JoinSet::new();
    for number in 0..concurrency {
        let (caller, model) = (caller.clone(), model.to_owned());
        callers.spawn(async move { call_until(&caller, number, &model, started + time).await });
    }
    while let Some(Ok(count)) = callers.join_next().await {
        side.answered += count.answered;
        side.failed += count.failed;
    }
    side.seconds += started.elapsed().as_secs_f64();
}

async fn call_until(caller: &BenchCaller, number: usize, model: &str, end: Instant) -> SideCount {
    let mut count = SideCount::default();
    while Instant::now() < end {
        let prompt = format!("caller {number} asks for {}", count.answered);
        let body = chat_body(model, &prompt, 1, false).to_string().into();
        let path = "/v1/chat/completions";
        match caller.call(number, Method::POST, path, "application/json", body).await {
            Ok(_) => count.answered += 1,
            Err(_) => count.failed += 1,
        }
    }
    count
}
