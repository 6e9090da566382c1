//! Dispatches admitted requests to targets and forwards their answers.
//!
//! `queue` makes requests wait while no target has a free slot, `online` chooses targets and retries,
//! `attempt` runs one attempt, `open_attempts` runs several while targets are silent, which `silence`
//! detects, `answer` reads the answer, and `forward` forwards it, split into server-sent events by
//! `events`.

mod answer;
mod attempt;
mod events;
mod forward;
mod online;
mod open_attempts;
mod queue;
mod silence;
mod target_caller;

pub(crate) use attempt::{AttemptResult, TargetLease, start_attempt};
pub(crate) use online::{OnlineRequest, dispatch_online};
pub(crate) use queue::{PoolQueues, wake_waiting_requests};
pub(crate) use silence::SilenceSignals;
pub(crate) use target_caller::HttpTargets;

use cuminramp_routes::{Pool, Target};
use cuminramp_targets::TargetSpec;

/// Returns the properties of a pool's targets that the choice of a target depends on.
pub(crate) fn target_specs(pool: &Pool) -> Vec<TargetSpec> {
    pool.targets.iter().map(target_spec).collect()
}

/// Returns the properties of one target that the choice of a target depends on.
pub(crate) fn target_spec(target: &Target) -> TargetSpec {
    TargetSpec { name: target.name.clone(), slots: target.slots, is_leaving: target.leaving }
}
