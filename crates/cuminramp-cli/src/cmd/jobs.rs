//! `cuminramp jobs`.

use std::time::Duration;

use http::Method;
use serde_json::Value;

use crate::cmd::apply::make_bar;
use crate::connection::{CommandError, OperatorConnection};
use crate::flags::{Jobs, JobsCmd, Show};
use crate::output::{print_json, print_rows};

/// Waits between looks at a job.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Lists, shows and cancels jobs.
pub(crate) async fn execute(
    operator: &OperatorConnection,
    json: bool,
    flags: Jobs,
) -> Result<(), CommandError> {
    match flags.subcommand {
        JobsCmd::List(_) => {
            let answer = operator.get("/operator/jobs").await?;
            print_rows(json, &answer, &answer["jobs"], &["id", "team", "status", "request_counts"]);
        }
        JobsCmd::Show(flags) => show(operator, &flags).await?,
        JobsCmd::Cancel(flags) => {
            let path = format!("/operator/jobs/{}/{}/cancel", flags.team, flags.job);
            print_json(&operator.send(Method::POST, &path, Default::default()).await?);
        }
    }
    Ok(())
}

async fn show(operator: &OperatorConnection, flags: &Show) -> Result<(), CommandError> {
    let path = format!("/operator/jobs/{}/{}", flags.team, flags.job);
    let bar = make_bar();
    loop {
        let job = operator.get(&path).await?;
        let counts = &job["request_counts"];
        let count = |name: &str| counts[name].as_u64().unwrap_or_default();
        bar.set_length(count("total"));
        bar.set_position(count("completed") + count("failed"));
        if !flags.follow || job["status"] != Value::from("in_progress") {
            bar.finish_and_clear();
            print_json(&job);
            return Ok(());
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
