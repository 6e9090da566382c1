//! `cuminrampd`: parses its command line and dispatches.

use std::process::ExitCode;

mod cmd;
mod flags;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Cuminrampd::from_env_or_exit();
    match flags.subcommand {
        flags::CuminrampdCmd::Run(flags) => cmd::run::execute(flags).await,
        flags::CuminrampdCmd::Check(flags) => cmd::check::execute(&flags),
        flags::CuminrampdCmd::Quickstart(flags) => cmd::quickstart::execute(flags).await,
    }
}
