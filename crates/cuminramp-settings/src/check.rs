//! Parses settings and collects every error in them.

use std::fmt;
use std::net::SocketAddr;

use cuminramp_core::ResultCode;
use serde_json::Value;

use crate::DaemonSettings;

/// Valid values of `log-level`.
pub(crate) const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Minimum of `platform.list-lag-ms`. A host whose tasks did not run for a fraction of that time treats
/// itself as paused; with a value below this minimum, a host that is only busy would do so.
const MIN_LIST_LAG_MS: u64 = 2_000;

/// An invalid setting and its place.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// Path of the setting, such as `peers.probe-interval-ms`, or line and column of malformed JSON.
    pub place: String,
    /// Description of the error.
    pub reason: String,
}

impl SettingsError {
    pub(crate) fn new(place: impl Into<String>, reason: impl Into<String>) -> Self {
        SettingsError { place: place.into(), reason: reason.into() }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = ResultCode::SettingsInvalid;
        write!(formatter, "{code}: {}: {}", self.place, self.reason)
    }
}

/// Parses the settings of a daemon, in JSON with comments; a setting that is not given has its default.
///
/// On failure, returns every unknown key and wrong type, or, if there are none, every value that is
/// out of bounds.
///
/// ```
/// let errors = cuminramp_settings::parse_settings(r#"{ "peers": {"probe-ms": 1}, "log-level": 3 }"#)
///     .unwrap_err();
/// assert_eq!(errors.len(), 2);
/// assert_eq!(errors[0].place, "log-level");
/// ```
pub fn parse_settings(text: &str) -> Result<DaemonSettings, Vec<SettingsError>> {
    let given: Value = serde_jsonc::from_str(text).map_err(|error| syntax_error(&error))?;
    let defaults = serde_json::to_value(DaemonSettings::default())
        .map_err(|error| vec![SettingsError::new("defaults", error.to_string())])?;
    let mut errors = Vec::new();
    check_shape(&defaults, &given, "", &mut errors);
    if !errors.is_empty() {
        return Err(errors);
    }
    let settings: DaemonSettings = serde_json::from_value(given)
        .map_err(|error| vec![SettingsError::new("settings", error.to_string())])?;
    check_values(&settings, &mut errors);
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

pub(crate) fn syntax_error(error: &serde_jsonc::Error) -> Vec<SettingsError> {
    let place = format!("line {} column {}", error.line(), error.column());
    vec![SettingsError::new(place, error.to_string())]
}

/// Adds an error for each key of `given` that the defaults don't have, and for each value whose type
/// differs from the default's.
pub(crate) fn check_shape(
    default: &Value,
    given: &Value,
    place: &str,
    errors: &mut Vec<SettingsError>,
) {
    let (Value::Object(default_map), Value::Object(given_map)) = (default, given) else {
        if !same_type(default, given) {
            let reason = format!("must be {}, not {}", type_name(default), type_name(given));
            errors.push(SettingsError::new(place, reason));
        }
        return;
    };
    for (key, value) in given_map {
        let inner = if place.is_empty() { key.clone() } else { format!("{place}.{key}") };
        match default_map.get(key) {
            Some(default) => check_shape(default, value, &inner, errors),
            None => errors.push(SettingsError::new(inner, "is not a setting")),
        }
    }
}

fn same_type(default: &Value, given: &Value) -> bool {
    match (default, given) {
        (Value::Number(default), Value::Number(given)) => default.is_f64() || given.is_u64(),
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

fn check_values(settings: &DaemonSettings, errors: &mut Vec<SettingsError>) {
    check_addresses(settings, errors);
    check_numbers(settings, errors);
    if !LOG_LEVELS.contains(&settings.log_level.as_str()) {
        let reason =
            format!("must be one of {}, not {:?}", LOG_LEVELS.join(", "), settings.log_level);
        errors.push(SettingsError::new("log-level", reason));
    }
    if settings.availability_zone.is_empty() {
        errors.push(SettingsError::new("availability-zone", "must not be empty"));
    }
    if settings.batch.min_chunk_items > settings.batch.max_chunk_items {
        let reason = format!(
            "must be at most batch.max-chunk-items ({}), not {}",
            settings.batch.max_chunk_items, settings.batch.min_chunk_items
        );
        errors.push(SettingsError::new("batch.min-chunk-items", reason));
    }
}

fn check_addresses(settings: &DaemonSettings, errors: &mut Vec<SettingsError>) {
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
            errors.push(SettingsError::new(place, format!("{address:?} is not ip:port")));
        }
    }
}

fn check_numbers(settings: &DaemonSettings, errors: &mut Vec<SettingsError>) {
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
    ];
    for (place, value) in above_zero {
        if value == 0 {
            errors.push(SettingsError::new(place, "must be above 0, not 0"));
        }
    }
    if settings.platform.list_lag_ms < MIN_LIST_LAG_MS {
        let given = settings.platform.list_lag_ms;
        let reason = format!("must be at least {MIN_LIST_LAG_MS}, not {given}");
        errors.push(SettingsError::new("platform.list-lag-ms", reason));
    }
    let shares = [
        ("targets.eject-share", settings.targets.eject_share),
        ("batch.window-share", settings.batch.window_share),
        ("retries.budget-share", settings.retries.budget_share),
    ];
    for (place, value) in shares {
        if !(0.0..=1.0).contains(&value) {
            errors.push(SettingsError::new(place, format!("must be from 0 to 1, not {value:?}")));
        }
    }
    if settings.quota.slice_rate <= 0.0 {
        let reason = format!("must be above 0, not {:?}", settings.quota.slice_rate);
        errors.push(SettingsError::new("quota.slice-rate", reason));
    }
    if settings.targets.slot_factor <= 0.0 {
        let reason = format!("must be above 0, not {:?}", settings.targets.slot_factor);
        errors.push(SettingsError::new("targets.slot-factor", reason));
    }
}

#[cfg(test)]
mod tests;
