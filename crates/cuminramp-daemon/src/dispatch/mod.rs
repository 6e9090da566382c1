//! Takes a request from admission to its answer.

mod attempt;
mod events;
mod online;
mod queue;
mod relay;
mod target_caller;

pub(crate) use attempt::{AttemptResult, SilenceBoard, TargetLease, start_attempt};
pub(crate) use online::{OnlineRequest, dispatch_online};
pub(crate) use queue::{PoolQueues, pump_queues};
pub(crate) use target_caller::HttpTargets;

use cuminramp_routes::{Pool, Target};
use cuminramp_targets::TargetSpec;

/// What the choice of target looks at.
pub(crate) fn target_specs(pool: &Pool) -> Vec<TargetSpec> {
    pool.targets.iter().map(target_spec).collect()
}

/// What the choice looks at of one target.
pub(crate) fn target_spec(target: &Target) -> TargetSpec {
    TargetSpec { name: target.name.clone(), slots: target.slots, leaving: target.leaving }
}
