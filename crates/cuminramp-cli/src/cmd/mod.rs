//! Subcommands: one module each, except the read-only ones, most of which share [`views`].

mod apply;
mod cancel;
mod check;
mod grant;
mod job;
mod views;
mod withdraw;

pub(crate) use apply::new_progress_bar;

use crate::bench;
use crate::connection::{CommandError, OperatorClient};
use crate::flags::{Cuminramp, CuminrampCmd};

/// Runs the subcommand of the command line.
pub(crate) async fn execute(flags: Cuminramp) -> Result<(), CommandError> {
    let json = flags.json;
    let operator = OperatorClient::new(flags.operator, flags.token);
    match flags.subcommand {
        CuminrampCmd::Check(flags) => check::execute(&flags),
        CuminrampCmd::Show(_) => views::show(&operator).await,
        CuminrampCmd::Apply(flags) => apply::execute(&operator, json, flags).await,
        CuminrampCmd::Generations(_) => views::generations(&operator, json).await,
        CuminrampCmd::Keys(_) => views::keys(&operator, json).await,
        CuminrampCmd::Grant(flags) => grant::execute(&operator, json, flags).await,
        CuminrampCmd::Withdraw(flags) => withdraw::execute(&operator, json, flags).await,
        CuminrampCmd::Hosts(_) => views::hosts(&operator, json).await,
        CuminrampCmd::Targets(_) => views::targets(&operator, json).await,
        CuminrampCmd::Teams(_) => views::teams(&operator, json).await,
        CuminrampCmd::Jobs(_) => views::jobs(&operator, json).await,
        CuminrampCmd::Job(flags) => job::execute(&operator, &flags).await,
        CuminrampCmd::Cancel(flags) => cancel::execute(&operator, &flags).await,
        CuminrampCmd::Bench(flags) => bench::execute(flags).await,
    }
}

/// Reads a file named on the command line.
fn read_file(path: &std::path::Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|error| CommandError::Input(format!("{}: {error}", path.display())))
}
