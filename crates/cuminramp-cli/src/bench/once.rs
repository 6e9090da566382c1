//! `cuminramp bench once`.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::caller::{BenchCaller, NamedFailure};
use crate::bench::record::record;
use crate::connection::CommandError;
use crate::flags::Once;

/// Calls where none are named.
const DEFAULT_CALLS: usize = 1_000;
/// Calls a second where none are named.
const DEFAULT_RATE: f64 = 200.0;
/// How often a call is sent in all.
const TRIES: usize = 8;
/// Waits between tries.
const TRY_PAUSE: Duration = Duration::from_millis(700);
/// The path of the service.
const PATH: &str = "/bookings/confirm";

/// What a caller was told of one call in the end.
enum CallEnd {
    /// It has an answer.
    Answered,
    /// It was told "not run" at last, by every host that spoke.
    NotRun,
    /// It was told "may have run" at last, or nothing.
    Unknown,
}

/// Sends calls, each again through the next host until it has an answer or the tries are used up.
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
    while let Some(Ok((number, end))) = calls.join_next().await {
        match end {
            CallEnd::Answered => answered += 1,
            CallEnd::Unknown => unknown += 1,
            CallEnd::NotRun => not_run.push(number),
        }
    }
    let runs = read_runs(&flags.service).await?;
    let most = runs.iter().map(|run| run.count).max().unwrap_or(0);
    let untrue = not_run.iter().filter(|number| runs.iter().any(|run| run.number == **number));
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "once", "name": flags.name.unwrap_or_default(), "calls": count, "rate": rate,
            "answered": answered, "unknown": unknown, "not-run": not_run.len(),
            "untrue-not-run": untrue.count(),
            "ran": runs.len(), "most-runs-of-one": most,
            "ran-more-than-once": runs.iter().filter(|run| run.count > 1).count(),
            "seconds": started.elapsed().as_secs_f64(),
        }),
    )
}

async fn send_until_answered(caller: &BenchCaller, number: usize) -> CallEnd {
    let name = format!("call-{number}");
    let body = Bytes::from(format!("number={number}"));
    let mut end = CallEnd::Unknown;
    let mut all_not_run = true;
    for attempt in 0..TRIES {
        match caller.call_named(number + attempt, PATH, &name, body.clone()).await {
            Ok(()) => return CallEnd::Answered,
            Err(failure) => {
                all_not_run &= failure == NamedFailure::NotRun;
                end = if all_not_run { CallEnd::NotRun } else { CallEnd::Unknown };
            }
        }
        tokio::time::sleep(TRY_PAUSE).await;
    }
    end
}

/// How often the service ran one call.
struct ServiceRun {
    number: usize,
    count: u64,
}

async fn read_runs(service: &str) -> Result<Vec<ServiceRun>, CommandError> {
    let reader = BenchCaller::new(service, "");
    let body = reader
        .call(0, Method::GET, "/runs", "application/json", Bytes::new())
        .await
        .map_err(|_| CommandError::Unreachable(format!("{service}: no runs")))?;
    let runs: Vec<(String, u64)> =
        serde_json::from_slice(&body).map_err(|error| CommandError::Failed(error.to_string()))?;
    let named = runs.into_iter().filter_map(|(call, count)| {
        let (_, number) = call.rsplit_once("number=")?;
        Some(ServiceRun { number: number.parse().ok()?, count })
    });
    Ok(named.collect())
}
