//! `cuminrampd gateway`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use cuminramp_daemon::start_logging;
use cuminramp_gateway::Gateway;
use cuminramp_platform_adapter::{PlatformCalls, PlatformFleet, PlatformStore, SETTINGS_VARIABLE};
use cuminramp_settings::{GatewaySettings, parse_gateway_settings};

use crate::cmd::{EXIT_SETTINGS, reload_on_signal, wait_for_signal};
use crate::flags;

/// Runs a gateway until SIGTERM or SIGINT, then drains it.
pub(crate) async fn execute(flags: flags::Gateway) -> ExitCode {
    let path = flags.settings.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let Some(path) = path else {
        eprintln!("1502 SettingsInvalid: pass --settings or set {SETTINGS_VARIABLE}");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match load(&path) {
        Ok(settings) => settings,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    start_logging(&settings.log_level);
    let store = Arc::new(PlatformStore::new(&settings.store_address));
    let started =
        Gateway::start(settings, store, Arc::new(PlatformCalls), Arc::new(PlatformFleet)).await;
    let gateway = match started {
        Ok(gateway) => gateway,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    tokio::spawn(reload_on_signal(move || load(&path).map(drop)));
    wait_for_signal().await;
    gateway.shut_down().await;
    log::logger().flush();
    ExitCode::SUCCESS
}

fn load(path: &std::path::Path) -> Result<GatewaySettings, String> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| format!("1502 SettingsInvalid: {}: {error}", path.display()))?;
    parse_gateway_settings(&text).map_err(|errors| {
        let lines: Vec<String> =
            errors.iter().map(|error| format!("{}: {error}", path.display())).collect();
        lines.join("\n")
    })
}
