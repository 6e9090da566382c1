//! `cuminramp`, the command-line tool for operators: parses the command line and runs the command.

use std::process::ExitCode;

mod bench;
mod cmd;
mod connection;
mod flags;
mod output;

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Cuminramp::from_env_or_exit();
    match cmd::execute(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cuminramp: {error}");
            error.exit_code()
        }
    }
}
