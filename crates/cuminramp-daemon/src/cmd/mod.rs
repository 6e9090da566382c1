//! Subcommands of `cuminrampd`, one module for each, and what they share.

pub(crate) mod check;
pub(crate) mod gateway;
pub(crate) mod quickstart;
pub(crate) mod run;

use std::path::Path;
use std::process::ExitCode;

use cuminramp_settings::{DaemonSettings, parse_settings};
use tokio::signal::unix::{SignalKind, signal};

/// Exit status for invalid settings, also used when startup fails.
const EXIT_SETTINGS: u8 = 2;

fn run_on(mut builder: tokio::runtime::Builder, work: impl Future<Output = ExitCode>) -> ExitCode {
    match builder.enable_all().build() {
        Ok(runtime) => runtime.block_on(work),
        Err(error) => {
            eprintln!("1900 Internal: can't start the async runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a command on a multi-thread runtime, with one worker thread per core.
pub(crate) fn on_threads(work: impl Future<Output = ExitCode>) -> ExitCode {
    run_on(tokio::runtime::Builder::new_multi_thread(), work)
}

/// Runs a command on a single-thread runtime, for hosts that have only a part of a core.
pub(crate) fn on_one_thread(work: impl Future<Output = ExitCode>) -> ExitCode {
    run_on(tokio::runtime::Builder::new_current_thread(), work)
}

/// Loads a settings file; prints every error in it to standard error if it is invalid.
fn load_settings(path: &Path) -> Result<DaemonSettings, ExitCode> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        eprintln!("1502 SettingsInvalid: {}: {error}", path.display());
        ExitCode::from(EXIT_SETTINGS)
    })?;
    parse_text(&text, &path.display().to_string())
}

fn parse_text(text: &str, name: &str) -> Result<DaemonSettings, ExitCode> {
    parse_settings(text).map_err(|errors| {
        for error in errors {
            eprintln!("{name}: {error}");
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

/// Validates the settings file at each SIGHUP and logs the result; the settings apply from the next start,
/// since addresses and limits are fixed at startup. Without a handler SIGHUP would end the process and
/// cut off every caller.
async fn reload_on_signal(check: impl Fn() -> Result<(), String>) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    while hangups.recv().await.is_some() {
        match check() {
            Ok(()) => log::info!(outcome = "read, in force from the next start"; "reload"),
            Err(reason) => log::warn!(outcome = "refused", reason = reason.as_str(); "reload"),
        }
    }
}
