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

/// Seconds where none are named.
const DEFAULT_SECONDS: u64 = 10;
/// The longest run.
const MOST_SECONDS: u64 = 60;
/// The code of a refusal for rate.
const RATE_EXCEEDED: u64 = 1200;

/// An admitted request: it was admitted at some moment between these.
#[derive(Clone, Copy)]
struct AdmittedCall {
    sent: f64,
    answered: f64,
}

enum CallEnd {
    Admitted(AdmittedCall),
    OverRate,
    Other,
}

/// Offers requests at a steady rate, host after host, and judges what was admitted.
pub(crate) async fn execute(flags: Quota) -> Result<(), CommandError> {
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS).min(MOST_SECONDS);
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
    let (mut over_rate, mut other) = (0, 0);
    while let Some(end) = calls.join_next().await {
        match end {
            Ok(CallEnd::Admitted(call)) => admitted.push(call),
            Ok(CallEnd::OverRate) => over_rate += 1,
            Ok(CallEnd::Other) | Err(_) => other += 1,
        }
    }
    let excess = surest_excess(&admitted, flags.rate, flags.burst);
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "quota", "name": flags.name.unwrap_or_default(),
            "rate": flags.rate, "burst": flags.burst, "offer": flags.offer, "seconds": seconds,
            "offered": count, "admitted": admitted.len(), "refused-for-rate": over_rate,
            "other": other, "refused-share": f64::from(over_rate) / count.max(1) as f64,
            "over-admitted": excess,
        }),
    )
}

async fn call_once(caller: &BenchCaller, number: usize, model: &str, started: Instant) -> CallEnd {
    let body = chat_body(model, &format!("call {number}"), 1, false).to_string().into();
    let sent = started.elapsed().as_secs_f64();
    let path = "/v1/chat/completions";
    match caller.call(number, Method::POST, path, "application/json", body).await {
        Ok(_) => {
            CallEnd::Admitted(AdmittedCall { sent, answered: started.elapsed().as_secs_f64() })
        }
        Err(CallFailure::Refused(RATE_EXCEEDED)) => CallEnd::OverRate,
        Err(_) => CallEnd::Other,
    }
}

/// How many requests were surely admitted above burst and rate, in the window where it is most.
///
/// A request counts for a window only if it was sent after the window's start and answered before its
/// end, so what is found is no effect of the time that calls take.
fn surest_excess(admitted: &[AdmittedCall], rate: f64, burst: f64) -> f64 {
    let mut by_answer = admitted.to_vec();
    by_answer.sort_by(|left, right| left.answered.total_cmp(&right.answered));
    let mut worst: f64 = 0.0;
    for from in admitted.iter().map(|call| call.sent) {
        let mut count = 0.0;
        for call in by_answer.iter().filter(|call| call.sent >= from) {
            count += 1.0;
            worst = worst.max(count - burst - rate * (call.answered - from));
        }
    }
    worst
}
