//! Replays loads and faults against the decisions of hosts, without I/O.
//!
//! [`run_replay`] lets the boards and the ledger of slots of `cuminramp-fleet` decide for a number of
//! hosts, and emulates what is outside of them: callers, targets that admit in order of arrival, and
//! reports of hosts that come at fixed times. Nothing waits for a clock, so minutes of a fleet take a second, and the same plan
//! gives the same figures. It compares policies; times of one step of a target, memory and prefix
//! caches are left out.

mod plan;
mod report;
mod target;
mod world;

pub use plan::{LoadPattern, ReplayPlan};
pub use report::ReplayReport;
pub use world::run_replay;

#[cfg(test)]
mod tests;
