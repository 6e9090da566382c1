//! `cuminramp job`.

use std::time::Duration;

use crate::cmd::new_progress_bar;
use crate::connection::{CommandError, OperatorClient};
use crate::flags::Job;
use crate::output::print_json;

/// Interval at which a job is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Prints a job; with `--follow`, shows its progress and prints it when it has ended.
pub(crate) async fn execute(operator: &OperatorClient, flags: &Job) -> Result<(), CommandError> {
    let path = format!("/operator/jobs/{}/{}", flags.team, flags.job);
    let bar = new_progress_bar();
    loop {
        let job = operator.get(&path).await?;
        let count = |name: &str| job["request_counts"][name].as_u64().unwrap_or_default();
        bar.set_length(count("total"));
        bar.set_position(count("completed") + count("failed"));
        if !flags.follow || job["status"] != "in_progress" {
            bar.finish_and_clear();
            print_json(&job);
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
