//! `cuminramp bench`: benchmarks of running daemons over loopback, and of components in this process.

mod batch;
mod caller;
mod changes;
mod control;
mod once;
mod online;
mod quota;
mod record;
mod replay;
mod roles;
mod throughput;

use crate::connection::CommandError;
use crate::flags::{Bench, BenchCmd};

/// Runs one benchmark.
pub(crate) async fn execute(flags: Bench) -> Result<(), CommandError> {
    match flags.subcommand {
        BenchCmd::Online(flags) => online::execute(flags).await,
        BenchCmd::Batch(flags) => batch::execute(flags).await,
        BenchCmd::Throughput(flags) => throughput::execute(flags).await,
        BenchCmd::Changes(flags) => changes::execute(flags).await,
        BenchCmd::Quota(flags) => quota::execute(flags).await,
        BenchCmd::Once(flags) => once::execute(flags).await,
        BenchCmd::Control(flags) => control::execute(flags).await,
        BenchCmd::Replay(flags) => replay::execute(&flags),
        BenchCmd::Roles(flags) => roles::execute(&flags),
    }
}
