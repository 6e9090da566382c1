//! The daemon that runs on every entry host.
//!
//! It passes events to the crates that decide, such as membership, quota and targets, and executes the
//! actions that they return:
//!
//! - `entry` serves callers, `operator` serves operators and scrapers, `peer` serves other daemons;
//! - `dispatch` sends admitted requests to targets and forwards their answers;
//! - `sync` keeps declarations, shards and the list of hosts up to date;
//! - `batch` runs jobs.
//!
//! [`Daemon::start`] starts one; its interfaces to the platform, to targets and to other daemons are traits.

mod admission;
mod batch;
mod daemon;
mod dispatch;
mod entry;
mod interfaces;
mod logging;
mod marks;
mod metrics;
mod operator;
mod peer;
mod state;
mod sync;

pub use daemon::{Daemon, DaemonAddresses, StartError};
pub use interfaces::{
    PeerCaller, PlatformInterfaces, TargetCaller, TargetRequest, TargetResponse, TargetResponseBody,
};
pub use logging::{BoundedOutput, start_logging};
