//! `cuminramp bench changes`.

use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use serde_json::json;
use tokio::time::Instant;

use crate::bench::caller::BenchCaller;
use crate::bench::record::{new_histogram, record, summarize};
use crate::connection::{CommandError, OperatorClient};
use crate::flags::Changes;

/// Number of keys if `--count` is not given.
const DEFAULT_COUNT: usize = 20;
/// Interval at which a host is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout after which the run fails if a change is not effective on every host.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Measures the time from an operator's call until its change is effective on every host.
pub(crate) async fn execute(flags: Changes) -> Result<(), CommandError> {
    let count = flags.count.unwrap_or(DEFAULT_COUNT);
    let operators: Vec<OperatorClient> = flags
        .operators
        .split(',')
        .map(|address| OperatorClient::new(Some(address.to_owned()), None))
        .collect();
    let hosts = operators.len();
    let (mut granted, mut withdrawn) = (new_histogram()?, new_histogram()?);
    for number in 0..count {
        let operator = &operators[number % hosts];
        let body = json!({"team": flags.team, "label": format!("bench-{number}")}).to_string();
        let started = Instant::now();
        let response = operator.send(Method::POST, "/operator/keys", body.into()).await?;
        let key = response["key"].as_str().unwrap_or_default().to_owned();
        let caller = BenchCaller::new(&flags.callers, &key);
        wait_until_effective(&caller, hosts, true, started, &mut granted).await?;
        let started = Instant::now();
        let path = format!("/operator/keys/{key}");
        let other = &operators[(number + 1) % hosts];
        other.send(Method::DELETE, &path, Bytes::new()).await?;
        wait_until_effective(&caller, hosts, false, started, &mut withdrawn).await?;
    }
    record(
        flags.out.as_deref(),
        &json!({
            "bench": "changes", "name": flags.name.unwrap_or_default(), "hosts": hosts, "count": count,
            "granted-everywhere": summarize(&granted),
            "withdrawn-everywhere": summarize(&withdrawn),
        }),
    )
}

/// Waits until every host accepts the caller's key, or until every host refuses it, and records the time.
async fn wait_until_effective(
    caller: &BenchCaller,
    hosts: usize,
    accepted: bool,
    started: Instant,
    times: &mut Histogram<u64>,
) -> Result<(), CommandError> {
    for host in 0..hosts {
        loop {
            let call = caller
                .call(host, Method::GET, "/v1/models", "application/json", Bytes::new())
                .await;
            if call.is_ok() == accepted {
                break;
            }
            if started.elapsed() > CHANGE_TIMEOUT {
                return Err(CommandError::Failed(format!(
                    "host {host} has not applied the change"
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    times.saturating_record(started.elapsed().as_micros() as u64);
    Ok(())
}
