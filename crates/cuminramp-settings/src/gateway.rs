//! Settings of a host that serves a shared fleet.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::check::{LOG_LEVELS, SettingsFault, check_shape, syntax_fault};

/// Everything a gateway can be set to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct GatewaySettings {
    /// The host's name in logs.
    pub name: String,
    /// The availability zone that it stands in.
    pub availability_zone: String,
    /// Where callers connect, `ip:port`.
    pub caller_address: String,
    /// Where the platform asks whether it takes callers, `ip:port`.
    pub readiness_address: String,
    /// Where callers ask which hosts to use, `ip:port`.
    pub steering_address: String,
    /// Where other hosts reach it, over UDP for heartbeats and TCP for calls, `ip:port`.
    pub peer_address: String,
    /// Where metrics are served, `ip:port`.
    pub metrics_address: String,
    /// Hosts that may know others, `ip:port`; only the addresses count, ports are those of
    /// `peer-address`.
    pub seeds: Vec<String>,
    /// The platform's store, `ip:port`.
    pub store_address: String,
    /// One of `error`, `warn`, `info`, `debug`, `trace`.
    pub log_level: String,
    /// Seconds from SIGTERM until the process has to be gone.
    pub grace_s: f64,
    /// Seconds that callers may keep a steering answer.
    pub steering_keep_s: f64,
    /// Part by which a team may exceed what its rate and burst allow in a window; 0 for nothing.
    pub rate_tolerance_share: f64,
    /// Requests by which it may exceed that beside.
    pub rate_tolerance_requests: f64,
    /// The window, in seconds.
    pub rate_window_s: f64,
    /// The region of each availability zone. Targets in a zone that is not named run no work of routes or
    /// teams that name home regions.
    pub zone_regions: Vec<ZoneRegion>,
    /// Factor by which a cold target may get more requests a second than declared.
    pub cold_tolerance_factor: f64,
    /// Requests in a second by which it may get more beside.
    pub cold_tolerance_requests: f64,
}

/// The region of one availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneRegion {
    /// The zone.
    pub zone: String,
    /// The region.
    pub region: String,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        GatewaySettings {
            name: "host-1".into(),
            availability_zone: "zone-a".into(),
            caller_address: "127.0.0.1:8080".into(),
            readiness_address: "127.0.0.1:8081".into(),
            steering_address: "127.0.0.1:8082".into(),
            peer_address: "127.0.0.1:8083".into(),
            metrics_address: "127.0.0.1:8084".into(),
            seeds: vec![],
            store_address: "127.0.0.1:8090".into(),
            log_level: "info".into(),
            grace_s: 8.0,
            steering_keep_s: 2.0,
            rate_tolerance_share: 0.0,
            rate_tolerance_requests: 0.0,
            rate_window_s: 5.0,
            zone_regions: vec![],
            cold_tolerance_factor: 1.0,
            cold_tolerance_requests: 0.0,
        }
    }
}

impl GatewaySettings {
    /// How long it has from SIGTERM until it has to be gone.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Reads JSON with comments; what is not named has its default. Fails with every fault found.
///
/// ```
/// let settings = cuminramp_settings::parse_gateway_settings(r#"{ "grace-s": 5 }"#).unwrap();
/// assert_eq!(settings.grace().as_secs(), 5);
/// let faults = cuminramp_settings::parse_gateway_settings(r#"{ "grace": 5 }"#).unwrap_err();
/// assert_eq!(faults[0].place, "grace");
/// ```
pub fn parse_gateway_settings(text: &str) -> Result<GatewaySettings, Vec<SettingsFault>> {
    let given: Value = serde_jsonc::from_str(text).map_err(|error| syntax_fault(&error))?;
    let usual = serde_json::to_value(GatewaySettings::default())
        .map_err(|error| vec![SettingsFault::new("defaults", error.to_string())])?;
    let mut faults = Vec::new();
    check_shape(&usual, &given, "", &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let settings: GatewaySettings = serde_json::from_value(given)
        .map_err(|error| vec![SettingsFault::new("settings", error.to_string())])?;
    check_values(&settings, &mut faults);
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

/// The longest time that can be set, in seconds: a day. Above what a duration can hold, the daemon
/// would stop at its start without saying which setting is wrong.
const LONGEST_TIME_S: f64 = 86_400.0;
/// The shortest, in seconds: what the runtime's timers can tell apart.
const SHORTEST_TIME_S: f64 = 0.001;

fn check_values(settings: &GatewaySettings, faults: &mut Vec<SettingsFault>) {
    let addresses = [
        ("caller-address", &settings.caller_address),
        ("readiness-address", &settings.readiness_address),
        ("steering-address", &settings.steering_address),
        ("peer-address", &settings.peer_address),
        ("metrics-address", &settings.metrics_address),
        ("store-address", &settings.store_address),
    ];
    let seeds = settings.seeds.iter().map(|seed| ("seeds", seed));
    for (place, address) in addresses.into_iter().chain(seeds) {
        if address.parse::<SocketAddr>().is_err() {
            faults.push(SettingsFault::new(place, format!("{address:?} is not ip:port")));
        }
    }
    if !LOG_LEVELS.contains(&settings.log_level.as_str()) {
        let reason = format!("must be one of {}", LOG_LEVELS.join(", "));
        faults.push(SettingsFault::new("log-level", reason));
    }
    if settings.availability_zone.is_empty() {
        faults.push(SettingsFault::new("availability-zone", "must not be empty"));
    }
    let tolerances = [
        ("rate-tolerance-share", settings.rate_tolerance_share),
        ("rate-tolerance-requests", settings.rate_tolerance_requests),
        ("cold-tolerance-factor", settings.cold_tolerance_factor),
        ("cold-tolerance-requests", settings.cold_tolerance_requests),
    ];
    for (place, value) in tolerances {
        if value < 0.0 {
            faults.push(SettingsFault::new(place, "must not be below 0"));
        }
    }
    let times = [
        ("grace-s", settings.grace_s, SHORTEST_TIME_S),
        ("steering-keep-s", settings.steering_keep_s, SHORTEST_TIME_S),
        ("rate-window-s", settings.rate_window_s, 0.0),
    ];
    for (place, seconds, least) in times {
        if !(least..=LONGEST_TIME_S).contains(&seconds) {
            let reason = format!("must be from {least} to {LONGEST_TIME_S}");
            faults.push(SettingsFault::new(place, reason));
        }
    }
}

#[cfg(test)]
mod tests;
