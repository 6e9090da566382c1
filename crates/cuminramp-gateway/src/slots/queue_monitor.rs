//! Logs which admission queues of this host are crowded, and exports the number of waiting requests.

use cuminramp_fleet::{QueueStatus, name_hash};
use tokio::time::Instant;

use super::crowding::{CrowdChange, CrowdDetector};
use crate::state::{GatewayState, lock};

/// Logs which queues are crowded, and records the number of waiting requests.
#[derive(Default)]
pub(super) struct QueueMonitor {
    crowds: CrowdDetector,
    recorded: usize,
}

impl QueueMonitor {
    /// Logs the queues that became crowded or relieved since the last call.
    pub(super) fn update(&mut self, state: &GatewayState) {
        let now = Instant::now();
        let waiting: Vec<(u32, usize)> = {
            let ledger = lock(&state.slots.ledger);
            ledger.owned().into_iter().map(|group| (group, ledger.waiting(group))).collect()
        };
        let total = waiting.iter().map(|(_, requests)| requests).sum();
        if total != self.recorded {
            state.metrics.record_waiting(total);
            self.recorded = total;
        }
        for (hash, change) in self.crowds.update(&waiting, now) {
            log_crowd_change(state, hash, change, now);
        }
    }
}

fn log_crowd_change(state: &GatewayState, hash: u32, change: CrowdChange, now: Instant) {
    let placement = lock(&state.placement);
    let Some(group) = placement.group_by_hash(hash).cloned() else { return };
    let capacity = placement.group_capacity(&group, now);
    let pace_age = placement.oldest_pace_age(hash, now);
    drop(placement);
    let status = lock(&state.slots.ledger).queue_status(hash, now);
    let (waiting, teams) = status.as_ref().map_or((0, 0), |status| (status.waiting, status.teams));
    let usage = status.map_or_else(String::new, |status| describe_usage(state, &status));
    let pace_age_ms = pace_age.map_or_else(|| "-".to_owned(), |age| age.as_millis().to_string());
    let message = match change {
        CrowdChange::Crowded => "group-crowded",
        CrowdChange::Relieved => "group-relieved",
    };
    log::info!(
        pool = &*group.pool, zone = &*group.zone, waiting = waiting, teams = teams,
        usage = usage.as_str(), slots = capacity.slots, freed_per_s = capacity.freed_per_s,
        pace_age_ms = pace_age_ms.as_str();
        "{message}"
    );
}

/// Returns the teams with the highest usage of a group, such as `team-a=12.5/1.00,team-b=3.0/1.00`: the usage
/// in slots and the weight. A team that the declarations don't name is given by its hash.
fn describe_usage(state: &GatewayState, status: &QueueStatus) -> String {
    let declarations = state.current_declarations();
    let name_of = |hash: u32| {
        let mut teams = declarations.iter().flat_map(|declarations| declarations.teams());
        let team = teams.find(|team| name_hash(&team.name) == hash);
        team.map_or_else(|| format!("{hash:08x}"), |team| team.name.to_string())
    };
    let described = status.highest_usage.iter().map(|share| {
        let weight = f64::from(share.weight_milli) / 1_000.0;
        format!("{}={:.1}/{weight:.2}", name_of(share.team), share.usage)
    });
    described.collect::<Vec<String>>().join(",")
}
