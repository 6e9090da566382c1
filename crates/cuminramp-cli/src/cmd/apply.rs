//! `cuminramp apply`.

use std::io::IsTerminal;
use std::time::Duration;

use http::Method;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::Value;
use tokio::time::Instant;

use crate::cmd::read_file;
use crate::connection::{CommandError, OperatorClient};
use crate::flags::Apply;
use crate::output::print_json;

/// Interval at which the generations of the hosts are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Applies a declaration file as the next generation; with `--wait`, waits until every live host has it
/// in force.
pub(crate) async fn execute(
    operator: &OperatorClient,
    json: bool,
    flags: Apply,
) -> Result<(), CommandError> {
    let text = read_file(&flags.file)?;
    let mut path = format!("/operator/declarations?dry_run={}", flags.dry_run);
    if let Some(generation) = flags.expect {
        path.push_str(&format!("&expect={generation}"));
    }
    let response = operator.send(Method::PUT, &path, text.into()).await?;
    if json {
        print_json(&response);
    } else {
        print_changes(&response);
    }
    let generation = response["generation"].as_u64().unwrap_or_default();
    match flags.wait {
        Some(seconds) => await_generation(operator, generation, Duration::from_secs(seconds)).await,
        None => Ok(()),
    }
}

fn print_changes(response: &Value) {
    for change in response["changes"].as_array().into_iter().flatten() {
        let field = |name: &str| change[name].as_str().unwrap_or_default().to_owned();
        println!("{} {} {}", field("change"), field("table"), field("name"));
    }
    let applied = response["applied"].as_bool().unwrap_or_default();
    println!("generation {}{}", response["generation"], if applied { "" } else { " (unchanged)" });
}

/// Waits until every host reports `generation` or a later one. After `timeout`, fails and names the hosts
/// that don't.
async fn await_generation(
    operator: &OperatorClient,
    generation: u64,
    timeout: Duration,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let bar = new_progress_bar();
    loop {
        let response = operator.get("/operator/generations").await?;
        let hosts = response["hosts"].as_array().cloned().unwrap_or_default();
        let pending: Vec<String> = hosts
            .iter()
            .filter(|host| host["generation"].as_u64().unwrap_or_default() < generation)
            .map(|host| host["host"].as_str().unwrap_or_default().to_owned())
            .collect();
        bar.set_length(hosts.len() as u64);
        bar.set_position((hosts.len() - pending.len()) as u64);
        if pending.is_empty() {
            bar.finish_and_clear();
            println!(
                "in force on {} hosts after {} ms",
                hosts.len(),
                started.elapsed().as_millis()
            );
            return Ok(());
        }
        if started.elapsed() > timeout {
            bar.finish_and_clear();
            return Err(CommandError::Failed(format!("not in force on {}", pending.join(" "))));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Creates a progress bar on stderr, hidden unless stderr is a terminal.
pub(crate) fn new_progress_bar() -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg}");
    ProgressBar::new(0).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
