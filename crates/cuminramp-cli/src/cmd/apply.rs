//! `cuminramp apply`.

use std::io::IsTerminal;
use std::time::Duration;

use http::Method;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::Value;
use tokio::time::Instant;

use crate::cmd::read_file;
use crate::connection::{CommandError, OperatorConnection};
use crate::flags::Apply;
use crate::output::print_json;

/// Waits between looks at which hosts have a generation in force.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Makes a file the next generation, and waits for it if asked to.
pub(crate) async fn execute(
    operator: &OperatorConnection,
    json: bool,
    flags: Apply,
) -> Result<(), CommandError> {
    let text = read_file(&flags.file)?;
    let mut path = format!("/operator/declarations?dry_run={}", flags.dry_run);
    if let Some(generation) = flags.expect {
        path.push_str(&format!("&expect={generation}"));
    }
    let answer = operator.send(Method::PUT, &path, text.into()).await?;
    if json {
        print_json(&answer);
    } else {
        print_changes(&answer);
    }
    let generation = answer["generation"].as_u64().unwrap_or_default();
    match flags.wait {
        Some(seconds) => wait_for(operator, generation, Duration::from_secs(seconds)).await,
        None => Ok(()),
    }
}

fn print_changes(answer: &Value) {
    for change in answer["changes"].as_array().into_iter().flatten() {
        let field = |name: &str| change[name].as_str().unwrap_or_default().to_owned();
        println!("{} {} {}", field("change"), field("table"), field("name"));
    }
    let applied = answer["applied"].as_bool().unwrap_or_default();
    println!("generation {}{}", answer["generation"], if applied { "" } else { " (unchanged)" });
}

async fn wait_for(
    operator: &OperatorConnection,
    generation: u64,
    limit: Duration,
) -> Result<(), CommandError> {
    let started = Instant::now();
    let bar = make_bar();
    loop {
        let answer = operator.get("/operator/generations").await?;
        let hosts = answer["hosts"].as_array().cloned().unwrap_or_default();
        let behind: Vec<String> = hosts
            .iter()
            .filter(|host| host["generation"].as_u64().unwrap_or_default() < generation)
            .map(|host| host["host"].as_str().unwrap_or_default().to_owned())
            .collect();
        bar.set_length(hosts.len() as u64);
        bar.set_position((hosts.len() - behind.len()) as u64);
        if behind.is_empty() {
            bar.finish_and_clear();
            println!(
                "in force on {} hosts after {} ms",
                hosts.len(),
                started.elapsed().as_millis()
            );
            return Ok(());
        }
        if started.elapsed() > limit {
            bar.finish_and_clear();
            return Err(CommandError::Failed(format!("not in force on {}", behind.join(" "))));
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// A bar where a person looks on.
pub(crate) fn make_bar() -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {msg}");
    ProgressBar::new(0).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}
