//! `cuminramp bench control`.

use std::time::Duration;

use cuminramp_core::SortedMap;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::bench::record::record;
use crate::connection::{CommandError, OperatorClient};
use crate::flags::Control;

/// Duration in seconds if `--seconds` is not given.
const DEFAULT_SECONDS: u64 = 10;
/// Maximum duration of a run in seconds.
const MAX_SECONDS: u64 = 60;
/// Clock ticks per second in /proc; Linux reports this unit to programs whatever the kernel's tick rate.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes per page, the unit of /proc/PID/statm.
const PAGE_BYTES: f64 = 4_096.0;

/// Resource usage of a process since it started.
struct ProcessUsage {
    cpu_seconds: f64,
    resident_bytes: f64,
}

/// Measures the CPU, memory and peer calls of daemons over the duration of the run.
pub(crate) async fn execute(flags: Control) -> Result<(), CommandError> {
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS).min(MAX_SECONDS);
    let pids: Vec<&str> = flags.pids.split(',').collect();
    let operators: Vec<&str> = flags.operators.split(',').collect();
    let started = Instant::now();
    let before = read_all_usage(&pids)?;
    let calls_before = count_calls(&operators).await?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = read_all_usage(&pids)?;
    let calls_after = count_calls(&operators).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let core_shares = before
        .iter()
        .zip(&after)
        .map(|(before, after)| (after.cpu_seconds - before.cpu_seconds) / elapsed);
    let core_shares: Vec<f64> = core_shares.collect();
    let hosts = pids.len() as f64;
    let calls: Vec<Value> = calls_after
        .iter()
        .map(|(call, count)| {
            let before = calls_before.get(&**call).copied().unwrap_or(0.0);
            json!({"call": call, "per-host-second": (count - before) / elapsed / hosts})
        })
        .collect();
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "control", "name": flags.name.unwrap_or_default(), "hosts": pids.len(),
            "core-share-mean": core_shares.iter().sum::<f64>() / hosts,
            "core-share-max": core_shares.iter().copied().fold(0.0, f64::max),
            "resident-mb-mean": after.iter().map(|usage| usage.resident_bytes).sum::<f64>() / hosts / 1e6,
            "peer-calls": calls,
        }),
    )
}

fn read_all_usage(pids: &[&str]) -> Result<Vec<ProcessUsage>, CommandError> {
    pids.iter().map(|pid| read_usage(pid)).collect()
}

fn read_usage(pid: &str) -> Result<ProcessUsage, CommandError> {
    let read = |file: &str| {
        std::fs::read_to_string(format!("/proc/{pid}/{file}"))
            .map_err(|error| CommandError::Input(format!("process {pid}: {error}")))
    };
    let unreadable = || CommandError::Failed(format!("process {pid} can't be read"));
    let stat = read("stat")?;
    // The program name, in parentheses, may contain spaces, so fields are counted after the last `)`.
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().collect())
        .unwrap_or_default();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    let cpu =
        ticks(11).zip(ticks(12)).map(|(user, system)| user + system).ok_or_else(unreadable)?;
    let pages = read("statm")?;
    let resident = pages.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    Ok(ProcessUsage {
        cpu_seconds: cpu / TICKS_PER_SECOND,
        resident_bytes: resident.ok_or_else(unreadable)? * PAGE_BYTES,
    })
}

/// Returns the number of calls between daemons so far, summed over all daemons, by kind of call.
async fn count_calls(operators: &[&str]) -> Result<SortedMap<String, f64>, CommandError> {
    let mut counts = SortedMap::new();
    for operator in operators {
        let client = OperatorClient::new(Some((*operator).to_owned()), None);
        let text = client.get_text("/metrics").await?;
        for line in text.lines().filter(|line| line.starts_with("cuminramp_peer_calls_total{")) {
            let Some((labels, value)) = line.rsplit_once(' ') else { continue };
            let call = labels.split('"').nth(1).unwrap_or_default().to_owned();
            *counts.get_or_insert_with(call, || 0.0) += value.parse::<f64>().unwrap_or_default();
        }
    }
    Ok(counts)
}
