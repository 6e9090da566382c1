//! Reads settings and lists everything that is wrong with them.

use std::fmt;
use std::net::SocketAddr;

use cuminramp_core::ResultCode;
use serde_json::Value;

use crate::DaemonSettings;

/// The levels a log can have.
pub(crate) const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Under this a host that is merely busy would take itself for paused.
const LEAST_LIST_LAG_MS: u64 = 2_000;

/// Something wrong with a setting, and where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFault {
    /// The place, as `peers.probe-interval-ms`, or the line and column of broken JSON.
    pub place: String,
    /// What is wrong.
    pub reason: String,
}

impl SettingsFault {
    pub(crate) fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        SettingsFault { place: place.into(), reason: reason.into() }
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = ResultCode::SettingsInvalid;
        write!(formatter, "{code}: {}: {}", self.place, self.reason)
    }
}

/// Reads JSON with comments; what is not named has its default. Fails with every fault found.
///
/// ```
/// let faults = cuminramp_settings::parse_settings(r#"{ "peers": {"probe-ms": 1}, "log-level": 3 }"#)
///     .unwrap_err();
/// assert_eq!(faults.len(), 2);
/// assert_eq!(faults[0].place, "log-level");
/// ```
pub fn parse_settings(text: &str) -> Result<DaemonSettings, Vec<SettingsFault>> {
    let given: Value = serde_jsonc::from_str(text).map_err(|error| syntax_fault(&error))?;
    let usual = serde_json::to_value(DaemonSettings::default())
        .map_err(|error| vec![SettingsFault::new("defaults", error.to_string())])?;
    let mut faults = Vec::new();
    check_shape(&usual, &given, "", &mut faults);
    if !faults.is_empty() {
        return Err(faults);
    }
    let settings: DaemonSettings = serde_json::from_value(given)
        .map_err(|error| vec![SettingsFault::new("settings", error.to_string())])?;
    check_values(&settings, &mut faults);
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}

pub(crate) fn syntax_fault(error: &serde_jsonc::Error) -> Vec<SettingsFault> {
    let place = format!("line {} column {}", error.line(), error.column());
    vec![SettingsFault::new(place, error.to_string())]
}

/// Compares the shape of what is given with that of the defaults.
pub(crate) fn check_shape(
    usual: &Value,
    given: &Value,
    place: &str,
    faults: &mut Vec<SettingsFault>,
) {
    let (Value::Object(usual_map), Value::Object(given_map)) = (usual, given) else {
        if !same_type(usual, given) {
            let reason = format!("must be {}, not {}", type_name(usual), type_name(given));
            faults.push(SettingsFault::new(place, reason));
        }
        return;
    };
    for (key, value) in given_map {
        let inner = if place.is_empty() { key.clone() } else { format!("{place}.{key}") };
        match usual_map.get(key) {
            Some(known) => check_shape(known, value, &inner, faults),
            None => faults.push(SettingsFault::new(inner, "is no setting")),
        }
    }
}

fn same_type(usual: &Value, given: &Value) -> bool {
    match (usual, given) {
        (Value::Number(usual), Value::Number(given)) => usual.is_f64() || given.is_u64(),
        (Value::String(_), Value::String(_))
        | (Value::Bool(_), Value::Bool(_))
        | (Value::Array(_), Value::Array(_)) => true,
        _ => false,
    }
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "true or false",
        Value::Number(number) if number.is_u64() => "a whole number from 0",
        Value::Number(_) => "a number",
        Value::String(_) => "a text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a section",
    }
}

fn check_values(settings: &DaemonSettings, faults: &mut Vec<SettingsFault>) {
    check_addresses(settings, faults);
    check_numbers(settings, faults);
    if !LOG_LEVELS.contains(&settings.log_level.as_str()) {
        let reason = format!("must be one of {}", LOG_LEVELS.join(", "));
        faults.push(SettingsFault::new("log-level", reason));
    }
    if settings.availability_zone.is_empty() {
        faults.push(SettingsFault::new("availability-zone", "must not be empty"));
    }
    if settings.batch.min_chunk_items > settings.batch.max_chunk_items {
        let reason = "must not be above batch.max-chunk-items";
        faults.push(SettingsFault::new("batch.min-chunk-items", reason));
    }
}

fn check_addresses(settings: &DaemonSettings, faults: &mut Vec<SettingsFault>) {
    let needed = [
        ("caller-address", &settings.caller_address),
        ("operator-address", &settings.operator_address),
        ("peer-address", &settings.peer_address),
        ("platform.address", &settings.platform.address),
    ];
    let optional = [
        ("advertised-caller-address", &settings.advertised_caller_address),
        ("advertised-peer-address", &settings.advertised_peer_address),
    ];
    let given = optional.into_iter().filter(|(_, address)| !address.is_empty());
    for (place, address) in needed.into_iter().chain(given) {
        if address.parse::<SocketAddr>().is_err() {
            faults.push(SettingsFault::new(place, format!("{address:?} is not ip:port")));
        }
    }
}

fn check_numbers(settings: &DaemonSettings, faults: &mut Vec<SettingsFault>) {
    let above_zero = [
        ("platform.timeout-ms", settings.platform.timeout_ms),
        ("limits.max-body-bytes", settings.limits.max_body_bytes as u64),
        ("limits.head-timeout-ms", settings.limits.head_timeout_ms),
        ("limits.body-timeout-ms", settings.limits.body_timeout_ms),
        ("limits.connections", settings.limits.connections as u64),
        ("peers.probe-interval-ms", settings.peers.probe_interval_ms),
        ("peers.probe-timeout-ms", settings.peers.probe_timeout_ms),
        ("peers.list-poll-ms", settings.peers.list_poll_ms),
        ("peers.call-timeout-ms", settings.peers.call_timeout_ms),
        ("configuration.poll-ms", settings.configuration.poll_ms),
        ("configuration.snapshot-every", settings.configuration.snapshot_every),
        ("quota.shards", settings.quota.shards.into()),
        ("quota.slices", settings.quota.slices.into()),
        ("quota.max-slices", settings.quota.max_slices.into()),
        ("quota.shard-poll-ms", settings.quota.shard_poll_ms),
        ("steering.homes", settings.steering.homes as u64),
        ("targets.connect-timeout-ms", settings.targets.connect_timeout_ms),
        ("targets.first-byte-timeout-ms", settings.targets.first_byte_timeout_ms),
        ("targets.progress-timeout-ms", settings.targets.progress_timeout_ms),
        ("retries.attempts", settings.retries.attempts.into()),
        ("retries.quarantine-after", settings.retries.quarantine_after.into()),
        ("marks.group-size", settings.marks.group_size as u64),
        ("batch.poll-ms", settings.batch.poll_ms),
        ("batch.min-chunk-items", settings.batch.min_chunk_items.into()),
        ("batch.item-attempts", settings.batch.item_attempts.into()),
        ("batch.item-crashes", settings.batch.item_crashes.into()),
    ];
    for (place, value) in above_zero {
        if value == 0 {
            faults.push(SettingsFault::new(place, "must be above 0"));
        }
    }
    if settings.platform.list_lag_ms < LEAST_LIST_LAG_MS {
        let reason = format!("must be at least {LEAST_LIST_LAG_MS}");
        faults.push(SettingsFault::new("platform.list-lag-ms", reason));
    }
    let shares = [
        ("targets.eject-share", settings.targets.eject_share),
        ("batch.window-share", settings.batch.window_share),
        ("retries.budget-share", settings.retries.budget_share),
    ];
    for (place, value) in shares {
        if !(0.0..=1.0).contains(&value) {
            faults.push(SettingsFault::new(place, "must be from 0 to 1"));
        }
    }
    if settings.quota.slice_rate <= 0.0 {
        faults.push(SettingsFault::new("quota.slice-rate", "must be above 0"));
    }
    if settings.targets.slot_factor <= 0.0 {
        faults.push(SettingsFault::new("targets.slot-factor", "must be above 0"));
    }
}

#[cfg(test)]
mod tests;
