//! `cuminramp bench changes`.

use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Method;
use serde_json::json;
use tokio::time::Instant;

use crate::bench::caller::BenchCaller;
use crate::bench::record::{new_histogram, record, summarize};
use crate::connection::{CommandError, OperatorConnection};
use crate::flags::Changes;

/// Keys where none are named.
const DEFAULT_COUNT: usize = 20;
/// Waits between looks.
const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// The longest time that a change may take.
const CHANGE_LIMIT: Duration = Duration::from_secs(30);

/// Times from an operator's call to the moment at which every host goes by it.
pub(crate) async fn execute(flags: Changes) -> Result<(), CommandError> {
    let count = flags.count.unwrap_or(DEFAULT_COUNT);
    let operators: Vec<OperatorConnection> = flags
        .operators
        .split(',')
        .map(|address| OperatorConnection::new(Some(address.to_owned()), None))
        .collect();
    let hosts = operators.len();
    let (mut granted, mut withdrawn) = (new_histogram()?, new_histogram()?);
    for number in 0..count {
        let operator = &operators[number % hosts];
        let body = json!({"team": flags.team, "label": format!("bench-{number}")}).to_string();
        let started = Instant::now();
        let answer = operator.send(Method::POST, "/operator/keys", body.into()).await?;
        let key = answer["key"].as_str().unwrap_or_default().to_owned();
        let caller = BenchCaller::new(&flags.callers, &key);
        wait_for_all(&caller, hosts, true, started, &mut granted).await?;
        let started = Instant::now();
        let path = format!("/operator/keys/{key}");
        let other = &operators[(number + 1) % hosts];
        other.send(Method::DELETE, &path, Bytes::new()).await?;
        wait_for_all(&caller, hosts, false, started, &mut withdrawn).await?;
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

/// Waits until every host takes the key, or none does.
async fn wait_for_all(
    caller: &BenchCaller,
    hosts: usize,
    wanted: bool,
    started: Instant,
    times: &mut Histogram<u64>,
) -> Result<(), CommandError> {
    for host in 0..hosts {
        loop {
            let call = caller
                .call(host, Method::GET, "/v1/models", "application/json", Bytes::new())
                .await;
            if call.is_ok() == wanted {
                break;
            }
            if started.elapsed() > CHANGE_LIMIT {
                return Err(CommandError::Failed(format!("host {host} does not go by the change")));
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
    times.saturating_record(started.elapsed().as_micros() as u64);
    Ok(())
}
