//! `cuminramp bench replay`: policies of hosts on one load.

use std::time::Duration;

use cuminramp_replay::{LoadPattern, ReplayPlan, run_replay};
use serde_json::json;

use super::record::record;
use crate::connection::CommandError;
use crate::flags::Replay;

/// More hosts take minutes.
const MOST_HOSTS: usize = 1_000;

/// Replays one plan and prints its figures.
pub(crate) fn execute(flags: &Replay) -> Result<(), CommandError> {
    let pattern: LoadPattern = flags.pattern.parse().map_err(CommandError::Failed)?;
    let usual = ReplayPlan::new(pattern, flags.seed.unwrap_or(1));
    let hosts = flags.hosts.unwrap_or(usual.hosts);
    if !(1..=MOST_HOSTS).contains(&hosts) || flags.targets == Some(0) {
        let reason = format!("hosts are 1 to {MOST_HOSTS}, targets at least 1");
        return Err(CommandError::Failed(reason));
    }
    let plan = ReplayPlan {
        hosts,
        targets: flags.targets.unwrap_or(hosts),
        news: flags.news_ms.map_or(usual.news, Duration::from_millis),
        ..usual
    };
    let result = json!({
        "replay": flags.pattern,
        "hosts": plan.hosts,
        "targets": plan.targets,
        "news-ms": plan.news.as_millis() as u64,
        "seed": plan.seed,
        "report": run_replay(&plan),
    });
    record(flags.out.as_deref(), &result)
}
