//! Replays the quarantine of prompt parts that crash targets.
//!
//! Each host has a table of its own. Reports between hosts are delayed and lost; callers, targets and hosts are
//! emulated as events in simulated time. Hosts know at once which targets are down, and who tries a part.

mod likelihood;
mod plan;
mod rule;
mod world;

pub use plan::{PartFigures, PartPlan, PartRule, PartScenario};
pub use world::run_part_replay;

#[cfg(test)]
mod tests;
