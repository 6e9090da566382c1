//! The `cuminrampd` binary: parses the command line and runs a subcommand.

use std::process::ExitCode;

mod cmd;
mod flags;

fn main() -> ExitCode {
    let flags = flags::Cuminrampd::from_env_or_exit();
    match flags.subcommand {
        flags::CuminrampdCmd::Run(flags) => cmd::on_threads(cmd::run::execute(flags)),
        flags::CuminrampdCmd::Gateway(flags) => cmd::on_one_thread(cmd::gateway::execute(flags)),
        flags::CuminrampdCmd::Check(flags) => cmd::check::execute(&flags),
        flags::CuminrampdCmd::Quickstart(flags) => cmd::on_threads(cmd::quickstart::execute(flags)),
    }
}
