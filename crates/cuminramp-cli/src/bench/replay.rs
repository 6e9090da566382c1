//! `cuminramp bench replay`: replays a load pattern against the hosts' decision logic.

use std::time::Duration;

use cuminramp_replay::{LoadPattern, ReplayPlan, run_replay};
use serde_json::json;

use super::record::record;
use crate::connection::CommandError;
use crate::flags::Replay;

/// Maximum number of hosts; a replay of more hosts would run for minutes.
const MAX_HOSTS: usize = 1_000;

/// Replays one plan and records its report.
pub(crate) fn execute(flags: &Replay) -> Result<(), CommandError> {
    let pattern: LoadPattern = flags.pattern.parse().map_err(CommandError::Failed)?;
    let defaults = ReplayPlan::new(pattern, flags.seed.unwrap_or(1));
    let hosts = flags.hosts.unwrap_or(defaults.hosts);
    if !(1..=MAX_HOSTS).contains(&hosts) || flags.targets == Some(0) {
        let reason = format!("--hosts must be 1 to {MAX_HOSTS}, and --targets at least 1");
        return Err(CommandError::Failed(reason));
    }
    let plan = ReplayPlan {
        hosts,
        targets: flags.targets.unwrap_or(hosts),
        report_interval: flags.news_ms.map_or(defaults.report_interval, Duration::from_millis),
        ..defaults
    };
    let result = json!({
        "replay": flags.pattern,
        "hosts": plan.hosts,
        "targets": plan.targets,
        "news-ms": plan.report_interval.as_millis() as u64,
        "seed": plan.seed,
        "report": run_replay(&plan),
    });
    record(flags.out.as_deref(), &result)
}
