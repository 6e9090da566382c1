//! `cuminrampd check`.

use std::process::ExitCode;

use crate::cmd::load_settings;
use crate::flags;

/// Checks a settings file and prints whether it is valid.
pub(crate) fn execute(flags: &flags::Check) -> ExitCode {
    match load_settings(&flags.settings) {
        Ok(_) => {
            println!("{}: ok", flags.settings.display());
            ExitCode::SUCCESS
        }
        Err(status) => status,
    }
}
