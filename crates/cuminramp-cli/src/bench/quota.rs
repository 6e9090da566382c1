//! `cuminramp bench quota`.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::bench::caller::{BenchCaller, CallFailure, chat_body};
use crate::bench::record::record;
use crate::connection::CommandError;
use crate::flags::Quota;

/// Duration in seconds if `--seconds` is not given.
const DEFAULT_SECONDS: u64 = 10;
/// Maximum duration of a run in seconds.
const MAX_SECONDS: u64 = 60;
/// Number of `ResultCode::RateExceeded`.
const RATE_EXCEEDED_CODE: u64 = 1200;

/// Admitted request. The time of its admission is unknown, but lies between `sent` and `answered`.
#[derive(Clone, Copy)]
struct AdmittedCall {
    /// Seconds from the start of the run until the request was sent.
    sent: f64,
    /// Seconds from the start of the run until the response was received.
    answered: f64,
}

/// Outcome of one request.
enum CallOutcome {
    /// The request was admitted and answered.
    Admitted(AdmittedCall),
    /// The request was refused because the team exceeded its rate.
    RateExceeded,
    /// The request failed for another reason, so whether it was admitted is unknown.
    Other,
}

/// Sends requests at a constant rate to each host in turn, and computes how far the admitted ones exceed
/// the team's rate and burst.
pub(crate) async fn execute(flags: Quota) -> Result<(), CommandError> {
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS).min(MAX_SECONDS);
    let caller = Arc::new(BenchCaller::new(&flags.callers, &flags.key));
    let offered = flags.rate * flags.offer;
    let count = (offered * seconds as f64) as usize;
    let mut calls = JoinSet::new();
    let started = Instant::now();
    for number in 0..count {
        tokio::time::sleep_until(started + Duration::from_secs_f64(number as f64 / offered)).await;
        let (caller, model) = (caller.clone(), flags.model.clone());
        calls.spawn(async move { call_once(&caller, number, &model, started).await });
    }
    let mut admitted = Vec::new();
    let (mut rate_exceeded, mut other) = (0, 0);
    while let Some(outcome) = calls.join_next().await {
        match outcome {
            Ok(CallOutcome::Admitted(call)) => admitted.push(call),
            Ok(CallOutcome::RateExceeded) => rate_exceeded += 1,
            Ok(CallOutcome::Other) | Err(_) => other += 1,
        }
    }
    let excess = proven_excess(&admitted, flags.rate, flags.burst);
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "quota", "name": flags.name.unwrap_or_default(),
            "rate": flags.rate, "burst": flags.burst, "offer": flags.offer, "seconds": seconds,
            "offered": count, "admitted": admitted.len(), "refused-for-rate": rate_exceeded,
            "other": other, "refused-share": f64::from(rate_exceeded) / count.max(1) as f64,
            "over-admitted": excess,
        }),
    )
}

async fn call_once(
    caller: &BenchCaller,
    number: usize,
    model: &str,
    started: Instant,
) -> CallOutcome {
    let body = chat_body(model, &format!("call {number}"), 1, false).to_string().into();
    let sent = started.elapsed().as_secs_f64();
    let path = "/v1/chat/completions";
    match caller.call(number, Method::POST, path, "application/json", body).await {
        Ok(_) => {
            CallOutcome::Admitted(AdmittedCall { sent, answered: started.elapsed().as_secs_f64() })
        }
        Err(CallFailure::Refused(RATE_EXCEEDED_CODE)) => CallOutcome::RateExceeded,
        Err(_) => CallOutcome::Other,
    }
}

/// Returns the maximum, over all windows of time, of the number of requests that were certainly admitted
/// above burst and rate.
///
/// A request counts towards a window only if it was sent after the window's start and answered before
/// its end, so the time that calls take can't cause an apparent excess.
fn proven_excess(admitted: &[AdmittedCall], rate: f64, burst: f64) -> f64 {
    let mut by_answer_time = admitted.to_vec();
    by_answer_time.sort_by(|left, right| left.answered.total_cmp(&right.answered));
    let mut max_excess: f64 = 0.0;
    for from in admitted.iter().map(|call| call.sent) {
        let mut count = 0.0;
        for call in by_answer_time.iter().filter(|call| call.sent >= from) {
            count += 1.0;
            max_excess = max_excess.max(count - burst - rate * (call.answered - from));
        }
    }
    max_excess
}
