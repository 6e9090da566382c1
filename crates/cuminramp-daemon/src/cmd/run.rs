//! `cuminrampd run`.

use std::process::ExitCode;

use cuminramp_daemon::{Daemon, start_logging};

use crate::cmd::{EXIT_SETTINGS, load_settings, reload_on_signal, wait_for_signal};
use crate::flags;

/// Runs a daemon until SIGTERM or SIGINT, then drains it.
pub(crate) async fn execute(flags: flags::Run) -> ExitCode {
    let settings = match load_settings(&flags.settings) {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    start_logging(&settings.log_level);
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let path = flags.settings;
    tokio::spawn(reload_on_signal(move || {
        load_settings(&path).map(drop).map_err(|_| format!("{}: invalid settings", path.display()))
    }));
    wait_for_signal().await;
    daemon.leave().await;
    log::logger().flush();
    ExitCode::SUCCESS
}
