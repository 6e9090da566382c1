//! One module for each subcommand.

pub(crate) mod check;
pub(crate) mod gateway;
pub(crate) mod quickstart;
pub(crate) mod run;

use std::path::Path;
use std::process::ExitCode;

use cuminramp_settings::{DaemonSettings, parse_settings};
use tokio::signal::unix::{SignalKind, signal};

/// The exit status for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

fn run_on(mut builder: tokio::runtime::Builder, work: impl Future<Output = ExitCode>) -> ExitCode {
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(work),
        Err(error) => {
            eprintln!("1900 Internal: no runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command on a runtime with a thread for each core.
pub(crate) fn on_threads(work: impl Future<Output = ExitCode>) -> ExitCode {
    run_on(tokio::runtime::Builder::new_multi_thread(), work)
}

/// Runs a command on one thread, as suits a host with a part of a core.
pub(crate) fn on_one_thread(work: impl Future<Output = ExitCode>) -> ExitCode {
    run_on(tokio::runtime::Builder::new_current_thread(), work)
}

/// Reads settings, or says what is wrong with them.
fn load_settings(path: &Path) -> Result<DaemonSettings, ExitCode> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        eprintln!("1502 SettingsInvalid: {}: {error}", path.display());
        ExitCode::from(EXIT_SETTINGS)
    })?;
    check_text(&text, &path.display().to_string())
}

fn check_text(text: &str, name: &str) -> Result<DaemonSettings, ExitCode> {
    parse_settings(text).map_err(|faults| {
        for fault in faults {
            eprintln!("{name}: {fault}");
        }
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    match (terminate, interrupt) {
        (Ok(mut terminate), Ok(mut interrupt)) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}

/// Checks the settings again at each SIGHUP. Without a handler the signal would end the process and
/// cut off every caller. Addresses and limits hold until the next start, so what is in force stays.
async fn reload_on_signal(check: impl Fn() -> Result<(), String>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    while hangups.recv().await.is_some() {
        match check() {
            Ok(()) => log::info!(outcome = "read, in force from the next start"; "reload"),
            Err(reason) => log::warn!(outcome = "refused", reason = reason.as_str(); "reload"),
        }
    }
}
