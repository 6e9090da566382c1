//! `cuminramp bench once`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::caller::{BenchCaller, NonIdempotentFailure};
use crate::bench::record::record;
use crate::connection::CommandError;
use crate::flags::Once;

/// Number of calls if `--calls` is not given.
const DEFAULT_CALLS: usize = 1_000;
/// Calls per second if `--rate` is not given.
const DEFAULT_RATE: f64 = 200.0;
/// Maximum number of attempts of a call.
const MAX_ATTEMPTS: usize = 8;
/// Delay before the next attempt of a call.
const RETRY_DELAY: Duration = Duration::from_millis(700);
/// Path of the service that is called.
const SERVICE_PATH: &str = "/bookings/confirm";

/// Final outcome of a call, as reported to the caller.
enum CallOutcome {
    /// An attempt was answered.
    Answered,
    /// Every attempt was refused as "not run".
    NotRun,
    /// An attempt was refused as "may have run" or its connection failed, and none was answered.
    Unknown,
}

/// Sends calls, retrying each through the next host until it is answered or has used up its attempts.
pub(crate) async fn execute(flags: Once) -> Result<(), CommandError> {
    let count = flags.calls.unwrap_or(DEFAULT_CALLS);
    let rate = flags.rate.unwrap_or(DEFAULT_RATE);
    let caller = Arc::new(BenchCaller::new(&flags.callers, &flags.key));
    let mut calls = JoinSet::new();
    let started = Instant::now();
    for number in 0..count {
        tokio::time::sleep_until(started + Duration::from_secs_f64(number as f64 / rate)).await;
        let caller = caller.clone();
        calls.spawn(async move { (number, send_until_answered(&caller, number).await) });
    }
    let (mut answered, mut unknown) = (0, 0);
    let mut not_run = Vec::new();
    while let Some(Ok((number, outcome))) = calls.join_next().await {
        match outcome {
            CallOutcome::Answered => answered += 1,
            CallOutcome::Unknown => unknown += 1,
            CallOutcome::NotRun => not_run.push(number),
        }
    }
    let runs = read_runs(&flags.service).await?;
    let max_runs = runs.iter().map(|run| run.count).max().unwrap_or(0);
    let false_not_run =
        not_run.iter().filter(|number| runs.iter().any(|run| run.number == **number));
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "once", "name": flags.name.unwrap_or_default(), "calls": count, "rate": rate,
            "answered": answered, "unknown": unknown, "not-run": not_run.len(),
            "untrue-not-run": false_not_run.count(),
            "ran": runs.len(), "most-runs-of-one": max_runs,
            "ran-more-than-once": runs.iter().filter(|run| run.count > 1).count(),
            "seconds": started.elapsed().as_secs_f64(),
        }),
    )
}

/// Sends a call through one host after another until it is answered, at most [`MAX_ATTEMPTS`] times.
async fn send_until_answered(caller: &BenchCaller, number: usize) -> CallOutcome {
    let idempotency_key = format!("call-{number}");
    let body = Bytes::from(format!("number={number}"));
    let mut outcome = CallOutcome::Unknown;
    let mut all_not_run = true;
    for attempt in 0..MAX_ATTEMPTS {
        match caller
            .call_non_idempotent(number + attempt, SERVICE_PATH, &idempotency_key, body.clone())
            .await
        {
            Ok(()) => return CallOutcome::Answered,
            Err(failure) => {
                all_not_run &= failure == NonIdempotentFailure::NotRun;
                outcome = if all_not_run { CallOutcome::NotRun } else { CallOutcome::Unknown };
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    outcome
}

/// Number of times that the service ran a call.
struct RunCount {
    /// Number of the call, from its body.
    number: usize,
    /// Number of runs.
    count: u64,
}

/// Reads from the service stand-in how often it ran each call.
async fn read_runs(service: &str) -> Result<Vec<RunCount>, CommandError> {
    let client = BenchCaller::new(service, "");
    let body = client
        .call(0, Method::GET, "/runs", "application/json", Bytes::new())
        .await
        .map_err(|_| CommandError::Unreachable(format!("{service}: can't read /runs")))?;
    let runs: Vec<(String, u64)> =
        serde_json::from_slice(&body).map_err(|error| CommandError::Failed(error.to_string()))?;
    let counts = runs.into_iter().filter_map(|(call, count)| {
        let (_, number) = call.rsplit_once("number=")?;
        Some(RunCount { number: number.parse().ok()?, count })
    });
    Ok(counts.collect())
}
