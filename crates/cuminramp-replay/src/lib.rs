//! Replays loads and faults against the decisions of hosts, without I/O.
//!
//! [`run_replay`] runs the placement tables, job tables and slot ledger of `cuminramp-fleet` for a
//! number of hosts and emulates everything around them: callers, targets that admit requests in order
//! of arrival, and load reports that hosts send at a fixed interval. Time is simulated, so minutes of a
//! fleet take about a second, and the same plan always gives the same figures. A replay compares
//! policies: it doesn't model the time of a target's single steps, memory or prefix caches.

mod plan;
mod prompt_parts;
mod report;
mod target;
mod world;

pub use plan::{LoadPattern, ReplayPlan};
pub use prompt_parts::{PartFigures, PartPlan, PartRule, PartScenario, run_part_replay};
pub use report::ReplayReport;
pub use world::run_replay;

#[cfg(test)]
mod tests;
