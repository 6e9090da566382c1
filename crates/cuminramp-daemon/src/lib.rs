//! The daemon that runs on every entry host.
//!
//! It feeds the decision crates with events and carries their actions out:
//!
//! - `entry` serves callers, `operator` serves operators and scrapers, `peer` serves other daemons;
//! - `dispatch` takes a request from admission to its answer;
//! - `sync` keeps declarations, shards and the list of hosts up to date;
//! - `batch` works on jobs.
//!
//! [`Daemon::start`] runs one; its borders to the platform, to targets and to peers are traits.

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
    PeerCaller, PlatformInterfaces, TargetAnswer, TargetBody, TargetCaller, TargetRequest,
};
pub use logging::{BoundedOutput, start_logging};
