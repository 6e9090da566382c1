//! `cuminramp job`.

use std::time::Duration;

use crate::cmd::make_bar;
use crate::connection::{CommandError, OperatorConnection};
use crate::flags::Job;
use crate::output::print_json;

/// Waits between looks at a job.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Shows a job, and follows it until it ends where asked to.
pub(crate) async fn execute(
    operator: &OperatorConnection,
    flags: &Job,
) -> Result<(), CommandError> {
    let path = format!("/operator/jobs/{}/{}", flags.team, flags.job);
    let bar = make_bar();
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
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
