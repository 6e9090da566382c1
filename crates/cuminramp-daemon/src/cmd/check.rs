//! `cuminrampd check`.

use std::process::ExitCode;

use crate::cmd::load_settings;
use crate::flags;

/// Says whether settings can be used.
pub(crate) fn execute(flags: &flags::Check) -> ExitCode {
    match load_settings(&flags.settings) {
        Ok(_) => {
            println!("{}: ok", flags.settings.display());
            ExitCode::SUCCESS
        }
        Err(status) => status,
    }
}
