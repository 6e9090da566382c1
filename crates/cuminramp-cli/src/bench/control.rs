//! `cuminramp bench control`.

use std::time::Duration;

use cuminramp_core::SortedMap;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::bench::record::record;
use crate::connection::{CommandError, OperatorConnection};
use crate::flags::Control;

/// Seconds where none are named.
const DEFAULT_SECONDS: u64 = 10;
/// The longest run.
const MOST_SECONDS: u64 = 60;
/// Clock ticks a second in /proc, which Linux fixes for programs.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page in /proc.
const PAGE_BYTES: f64 = 4_096.0;

/// What a process has used so far.
struct ProcessUse {
    cpu_seconds: f64,
    resident_bytes: f64,
}

/// Watches daemons for a while.
pub(crate) async fn execute(flags: Control) -> Result<(), CommandError> {
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS).min(MOST_SECONDS);
    let pids: Vec<&str> = flags.pids.split(',').collect();
    let operators: Vec<&str> = flags.operators.split(',').collect();
    let started = Instant::now();
    let before = read_uses(&pids)?;
    let calls_before = count_calls(&operators).await?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = read_uses(&pids)?;
    let calls_after = count_calls(&operators).await?;
    let took = started.elapsed().as_secs_f64();
    let shares = before
        .iter()
        .zip(&after)
        .map(|(before, after)| (after.cpu_seconds - before.cpu_seconds) / took);
    let shares: Vec<f64> = shares.collect();
    let hosts = pids.len() as f64;
    let calls: Vec<Value> = calls_after
        .iter()
        .map(|(call, count)| {
            let before = calls_before.get(&**call).copied().unwrap_or(0.0);
            json!({"call": call, "per-host-second": (count - before) / took / hosts})
        })
        .collect();
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "control", "name": flags.name.unwrap_or_default(), "hosts": pids.len(),
            "core-share-mean": shares.iter().sum::<f64>() / hosts,
            "core-share-max": shares.iter().copied().fold(0.0, f64::max),
            "resident-mb-mean": after.iter().map(|use_of| use_of.resident_bytes).sum::<f64>() / hosts / 1e6,
            "peer-calls": calls,
        }),
    )
}

fn read_uses(pids: &[&str]) -> Result<Vec<ProcessUse>, CommandError> {
    pids.iter().map(|pid| read_use(pid)).collect()
}

fn read_use(pid: &str) -> Result<ProcessUse, CommandError> {
    let read = |file: &str| {
        std::fs::read_to_string(format!("/proc/{pid}/{file}"))
            .map_err(|error| CommandError::Input(format!("process {pid}: {error}")))
    };
    let unusable = || CommandError::Failed(format!("process {pid} can't be read"));
    let stat = read("stat")?;
    // The name of the program may hold spaces; what follows its bracket does not.
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().collect())
        .unwrap_or_default();
    let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok());
    let cpu = ticks(11).zip(ticks(12)).map(|(user, system)| user + system).ok_or_else(unusable)?;
    let pages = read("statm")?;
    let resident = pages.split_whitespace().nth(1).and_then(|field| field.parse::<f64>().ok());
    Ok(ProcessUse {
        cpu_seconds: cpu / TICKS_PER_SECOND,
        resident_bytes: resident.ok_or_else(unusable)? * PAGE_BYTES,
    })
}

/// Calls between daemons so far, over all daemons, by kind.
async fn count_calls(operators: &[&str]) -> Result<SortedMap<String, f64>, CommandError> {
    let mut counts = SortedMap::new();
    for operator in operators {
        let connection = OperatorConnection::new(Some((*operator).to_owned()), None);
        let text = connection.get_text("/metrics").await?;
        for line in text.lines().filter(|line| line.starts_with("cuminramp_peer_calls_total{")) {
            let Some((labels, value)) = line.rsplit_once(' ') else { continue };
            let call = labels.split('"').nth(1).unwrap_or_default().to_owned();
            *counts.get_or_insert_with(call, || 0.0) += value.parse::<f64>().unwrap_or_default();
        }
    }
    Ok(counts)
}
