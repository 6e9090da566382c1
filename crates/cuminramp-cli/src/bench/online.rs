//! `cuminramp bench online`.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::SortedMap;
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::caller::{BenchCaller, CallFailure, StreamTimes, chat_body};
use crate::bench::record::{new_histogram, record, summarize};
use crate::connection::CommandError;
use crate::flags::Online;

/// Requests per second if `--rate` is not given.
const DEFAULT_RATE: f64 = 50.0;
/// Duration in seconds if `--seconds` is not given.
const DEFAULT_SECONDS: u64 = 10;
/// Maximum duration of a run in seconds.
const MAX_SECONDS: u64 = 60;
/// Tokens of each response if `--tokens` is not given.
const DEFAULT_TOKENS: usize = 16;

/// Outcomes of the requests of one side, through the daemons or to the engine directly.
///
/// Times are in microseconds.
struct SideResult {
    /// Times to the first event.
    first_event: Histogram<u64>,
    /// Times between consecutive events.
    gaps: Histogram<u64>,
    /// Number of streams that ended with the final `[DONE]` event.
    complete: u64,
    /// Number of streams that ended without it.
    truncated: u64,
    connection_failures: u64,
    /// Number of refusals by result code.
    refused: SortedMap<u64, u64>,
}

impl SideResult {
    fn new() -> Result<Self, CommandError> {
        Ok(SideResult {
            first_event: new_histogram()?,
            gaps: new_histogram()?,
            complete: 0,
            truncated: 0,
            connection_failures: 0,
            refused: SortedMap::new(),
        })
    }

    fn add(&mut self, outcome: Result<StreamTimes, CallFailure>) {
        match outcome {
            Ok(times) => {
                self.first_event.saturating_record(times.first_event.as_micros() as u64);
                for gap in &times.gaps {
                    self.gaps.saturating_record(gap.as_micros() as u64);
                }
                self.complete += u64::from(times.is_complete);
                self.truncated += u64::from(!times.is_complete);
            }
            Err(CallFailure::Refused(code)) => *self.refused.get_or_insert_with(code, || 0) += 1,
            Err(CallFailure::ConnectionFailed(_)) => self.connection_failures += 1,
        }
    }

    fn to_json(&self, side: &str, rate: f64, tokens: usize) -> serde_json::Value {
        let refused: Vec<_> = self
            .refused
            .iter()
            .map(|(code, count)| json!({"code": code, "count": count}))
            .collect();
        json!({
            "bench": "online", "side": side, "rate": rate, "tokens": tokens,
            "whole": self.complete, "cut": self.truncated, "broken": self.connection_failures,
            "refused": refused,
            "first-token": summarize(&self.first_event), "between-tokens": summarize(&self.gaps),
        })
    }
}

/// Sends requests at a constant rate, without waiting for earlier ones.
///
/// With `--direct`, every second request is sent to the engine directly, so that both sides are measured
/// under the same conditions.
pub(crate) async fn execute(flags: Online) -> Result<(), CommandError> {
    let rate = flags.rate.unwrap_or(DEFAULT_RATE);
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS).min(MAX_SECONDS);
    let tokens = flags.tokens.unwrap_or(DEFAULT_TOKENS);
    let through = Arc::new(BenchCaller::new(&flags.callers, &flags.key));
    let direct = flags.direct.as_deref().map(|address| Arc::new(BenchCaller::new(address, "")));
    let mut sides = [SideResult::new()?, SideResult::new()?];
    let mut running = JoinSet::new();
    let started = Instant::now();
    let count = (rate * seconds as f64) as usize;
    for number in 0..count {
        let due = started + Duration::from_secs_f64(number as f64 / rate);
        tokio::time::sleep_until(due).await;
        let is_direct = direct.is_some() && number % 2 == 1;
        let caller = if is_direct { direct.clone() } else { Some(through.clone()) };
        let Some(caller) = caller else { continue };
        let prompt = format!("request {number} of a run");
        let body = chat_body(&flags.model, &prompt, tokens, true).to_string().into();
        running.spawn(async move { (is_direct, caller.stream(number / 2, body).await) });
        while let Some(Ok((side, outcome))) = running.try_join_next() {
            sides[usize::from(side)].add(outcome);
        }
    }
    while let Some(Ok((side, outcome))) = running.join_next().await {
        sides[usize::from(side)].add(outcome);
    }
    let out = flags.out.as_deref();
    record(out, &sides[0].to_json("through", rate, tokens))?;
    if direct.is_some() {
        record(out, &sides[1].to_json("direct", rate, tokens))?;
        record(out, &compare(&sides))?;
    }
    Ok(())
}

/// Compares the time to the first event of both sides, as a ratio and as a difference in milliseconds.
fn compare(sides: &[SideResult; 2]) -> serde_json::Value {
    let ratio = |quantile: f64| {
        let [through, direct] = [&sides[0].first_event, &sides[1].first_event]
            .map(|side| side.value_at_quantile(quantile));
        through as f64 / direct.max(1) as f64
    };
    let added = |quantile: f64| {
        let [through, direct] = [&sides[0].first_event, &sides[1].first_event]
            .map(|side| side.value_at_quantile(quantile));
        (through as f64 - direct as f64) / 1_000.0
    };
    json!({
        "bench": "online", "side": "through against direct",
        "first-token-ratio": {"p50": ratio(0.5), "p99": ratio(0.99)},
        "first-token-added-ms": {"p50": added(0.5), "p99": added(0.99)},
    })
}
