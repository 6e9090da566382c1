//! Settings of a gateway, a host that serves a shared fleet.

use std::net::SocketAddr;
use std::time::Duration;

use cuminramp_core::SortedMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::check::{LOG_LEVELS, SettingsError, check_shape, syntax_error};

/// Settings of a gateway.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct GatewaySettings {
    /// Name of the host in logs.
    pub name: String,
    /// Availability zone of the host.
    pub availability_zone: String,
    /// Address that callers connect to, as `ip:port`.
    pub caller_address: String,
    /// Address at which the platform checks whether the host accepts callers, as `ip:port`.
    pub readiness_address: String,
    /// Address at which callers look up the hosts to use (steering), as `ip:port`.
    pub steering_address: String,
    /// Address for other hosts, as `ip:port`: UDP for heartbeats, TCP for calls.
    pub peer_address: String,
    /// Address that serves metrics, as `ip:port`.
    pub metrics_address: String,
    /// Hosts through which this host may find others, as `ip:port`. Only the IP addresses are used; the
    /// port is that of `peer-address`.
    pub seeds: Vec<String>,
    /// Whether all hosts of the fleet start for the first time. The host then waits a second for the others
    /// before it reads large tables.
    pub first_start: bool,
    /// Address of the platform's store, as `ip:port`.
    pub store_address: String,
    /// Lowest level of log lines: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// Seconds from SIGTERM until the process must have exited.
    pub grace_s: f64,
    /// Seconds for which callers may cache a steering answer.
    pub steering_keep_s: f64,
    /// Share by which a team's requests in a window may exceed what its rate and burst allow; 0 for none.
    pub rate_tolerance_share: f64,
    /// Number of requests by which a team may exceed its limit in a window, in addition to
    /// `rate-tolerance-share`.
    pub rate_tolerance_requests: f64,
    /// Length of the window in which the rate tolerance applies, in seconds.
    pub rate_window_s: f64,
    /// Region of each availability zone. Targets in a zone that is not listed run no work of routes or
    /// teams with home regions.
    pub zone_regions: Vec<ZoneRegion>,
    /// Factor by which the rate of requests to a cold target (slow start) may exceed the declared rate.
    pub cold_tolerance_factor: f64,
    /// Requests a second that a cold target may get in addition to `cold-tolerance-factor`.
    pub cold_tolerance_requests: f64,
    /// Whether the owner of a pool's slots queues requests while all slots are taken: `auto`, `on` or `off`.
    /// With `auto` it does so for pools whose targets report their pace, and for all pools if `requirements`
    /// lists `pressure`.
    pub admission_queue: String,
    /// Requirements of the platform on the deployment. `pressure` means that callers may compete for slots.
    /// Other names are ignored.
    pub requirements: Vec<String>,
    /// Weights of teams in the shares of crowded pools. A team that is not listed has its declared rate as
    /// its weight. Must be the same on all hosts.
    pub team_weights: Vec<TeamWeight>,
    /// Whether the paces that targets report are used: `auto`, for targets that report one, or `off`.
    pub target_pace: String,
    /// Share of a processor core that the host may use; 0 if it is unknown. In a zone with hosts of several
    /// sizes, the larger ones own the groups of targets and read the tables of the store for the others.
    pub cpu_share: f64,
    /// Memory of the host in MB; 0 if it is unknown.
    pub memory_mb: u64,
    /// Maximum memory in MB that the host holds for callers that don't read their responses. With 0, it is a
    /// quarter of `memory-mb` if `requirements` lists `pressure`, else there is no bound.
    pub stream_buffer_mb: u64,
}

/// Value of a setting that uses a feature where it can.
const AUTO: &str = "auto";
/// Value of a setting that turns a feature off.
const OFF: &str = "off";
/// Values of `target-pace`.
const PACE_VALUES: [&str; 2] = [AUTO, OFF];
/// Values of `admission-queue`.
const QUEUE_VALUES: [&str; 3] = [AUTO, "on", OFF];
/// Requirement that callers may compete for slots.
const PRESSURE: &str = "pressure";
/// Part of the host's memory that may be held for callers that don't read, as a divisor, where
/// `stream-buffer-mb` does not set it.
const STREAM_BUFFER_DIVISOR: u64 = 4;
/// Number of bytes in one MB of a setting.
const BYTES_PER_MB: u64 = 1 << 20;
/// Maximum of a setting in MB: one TB. A larger number is a mistake of the unit, for example bytes.
const MAX_MEMORY_MB: u64 = 1 << 20;

/// Where the owners of slots queue requests while all slots are taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueMode {
    /// Nowhere.
    Off,
    /// For pools whose targets report their pace.
    PacedPools,
    /// For all pools.
    AllPools,
}

impl QueueMode {
    /// Returns whether requests for a pool are queued. `is_paced` tells whether its targets report their pace.
    ///
    /// ```
    /// use cuminramp_settings::QueueMode;
    /// assert!(QueueMode::AllPools.queues(false));
    /// assert!(!QueueMode::PacedPools.queues(false));
    /// ```
    pub fn queues(self, is_paced: bool) -> bool {
        match self {
            QueueMode::Off => false,
            QueueMode::PacedPools => is_paced,
            QueueMode::AllPools => true,
        }
    }
}

/// Region of one availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ZoneRegion {
    /// Name of the availability zone.
    pub zone: String,
    /// Name of the region.
    pub region: String,
}

/// Weight of one team in the shares of crowded pools.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TeamWeight {
    /// Name of the team.
    pub team: String,
    /// Weight of the team, on the scale of declared rates in requests per second.
    pub weight: f64,
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
            first_start: false,
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
            admission_queue: AUTO.into(),
            requirements: vec![],
            team_weights: vec![],
            target_pace: AUTO.into(),
            cpu_share: 0.0,
            memory_mb: 0,
            stream_buffer_mb: 0,
        }
    }
}

impl GatewaySettings {
    /// Returns the time from SIGTERM until the process must have exited.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Returns where the owners of slots queue requests.
    ///
    /// ```
    /// use cuminramp_settings::{QueueMode, parse_gateway_settings};
    /// let settings = parse_gateway_settings(r#"{ "requirements": ["pressure"] }"#).unwrap();
    /// assert_eq!(settings.queue_mode(), QueueMode::AllPools);
    /// ```
    pub fn queue_mode(&self) -> QueueMode {
        match self.admission_queue.as_str() {
            OFF => QueueMode::Off,
            AUTO if !self.requires_pressure() => QueueMode::PacedPools,
            _ => QueueMode::AllPools,
        }
    }

    fn requires_pressure(&self) -> bool {
        self.requirements.iter().any(|name| name == PRESSURE)
    }

    /// Returns the maximum number of bytes that the host holds for callers that don't read their responses;
    /// `None` if there is no bound.
    ///
    /// ```
    /// use cuminramp_settings::parse_gateway_settings;
    /// let text = r#"{ "requirements": ["pressure"], "memory-mb": 160 }"#;
    /// assert_eq!(parse_gateway_settings(text).unwrap().stream_buffer_bytes(), Some(40 << 20));
    /// assert_eq!(parse_gateway_settings("{}").unwrap().stream_buffer_bytes(), None);
    /// ```
    pub fn stream_buffer_bytes(&self) -> Option<u64> {
        let bytes = match self.stream_buffer_mb {
            0 if self.requires_pressure() => self.memory_mb * BYTES_PER_MB / STREAM_BUFFER_DIVISOR,
            mb => mb * BYTES_PER_MB,
        };
        Some(bytes).filter(|bytes| *bytes > 0)
    }

    /// Returns whether the paces that targets report are used.
    ///
    /// ```
    /// use cuminramp_settings::parse_gateway_settings;
    /// assert!(parse_gateway_settings("{}").unwrap().uses_target_pace());
    /// let settings = parse_gateway_settings(r#"{ "target-pace": "off" }"#).unwrap();
    /// assert!(!settings.uses_target_pace());
    /// ```
    pub fn uses_target_pace(&self) -> bool {
        self.target_pace == AUTO
    }
}

/// Parses the settings of a gateway, in JSON with comments; a setting that is not given has its default.
///
/// On failure, returns every unknown key and wrong type, or, if there are none, every value that is
/// out of bounds.
///
/// ```
/// let settings = cuminramp_settings::parse_gateway_settings(r#"{ "grace-s": 5 }"#).unwrap();
/// assert_eq!(settings.grace().as_secs(), 5);
/// let errors = cuminramp_settings::parse_gateway_settings(r#"{ "grace": 5 }"#).unwrap_err();
/// assert_eq!(errors[0].place, "grace");
/// ```
pub fn parse_gateway_settings(text: &str) -> Result<GatewaySettings, Vec<SettingsError>> {
    let given: Value = serde_jsonc::from_str(text).map_err(|error| syntax_error(&error))?;
    let defaults = serde_json::to_value(GatewaySettings::default())
        .map_err(|error| vec![SettingsError::new("defaults", error.to_string())])?;
    let mut errors = Vec::new();
    check_shape(&defaults, &given, "", &mut errors);
    check_team_weight_shapes(&given, &mut errors);
    if !errors.is_empty() {
        return Err(errors);
    }
    let settings: GatewaySettings = serde_json::from_value(given)
        .map_err(|error| vec![SettingsError::new("settings", error.to_string())])?;
    check_values(&settings, &mut errors);
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

/// Maximum of a setting in seconds: one day. A time too long for a `Duration` would cause a panic at
/// startup that does not name the setting.
const MAX_TIME_S: f64 = 86_400.0;
/// Minimum of a setting in seconds that must be above 0: the resolution of the runtime's timers.
const MIN_TIME_S: f64 = 0.001;

/// Maximum share of processor cores; hosts tell each other their shares in percent as 16-bit numbers.
const MAX_CPU_SHARE: f64 = 600.0;

fn check_values(settings: &GatewaySettings, errors: &mut Vec<SettingsError>) {
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
            errors.push(SettingsError::new(place, format!("{address:?} is not ip:port")));
        }
    }
    if !LOG_LEVELS.contains(&settings.log_level.as_str()) {
        let reason =
            format!("must be one of {}, not {:?}", LOG_LEVELS.join(", "), settings.log_level);
        errors.push(SettingsError::new("log-level", reason));
    }
    if settings.availability_zone.is_empty() {
        errors.push(SettingsError::new("availability-zone", "must not be empty"));
    }
    let switches = [
        ("admission-queue", &settings.admission_queue, &QUEUE_VALUES[..]),
        ("target-pace", &settings.target_pace, &PACE_VALUES[..]),
    ];
    for (place, value, valid) in switches {
        if !valid.contains(&value.as_str()) {
            let reason = format!("must be one of {}, not {value:?}", valid.join(", "));
            errors.push(SettingsError::new(place, reason));
        }
    }
    check_team_weights(&settings.team_weights, errors);
    let memory =
        [("memory-mb", settings.memory_mb), ("stream-buffer-mb", settings.stream_buffer_mb)];
    for (place, mb) in memory {
        if mb > MAX_MEMORY_MB {
            let reason = format!("must be from 0 to {MAX_MEMORY_MB}, not {mb}");
            errors.push(SettingsError::new(place, reason));
        }
    }
    if !(0.0..=MAX_CPU_SHARE).contains(&settings.cpu_share) {
        let reason = format!("must be from 0 to {MAX_CPU_SHARE}, not {:?}", settings.cpu_share);
        errors.push(SettingsError::new("cpu-share", reason));
    }
    let tolerances = [
        ("rate-tolerance-share", settings.rate_tolerance_share),
        ("rate-tolerance-requests", settings.rate_tolerance_requests),
        ("cold-tolerance-factor", settings.cold_tolerance_factor),
        ("cold-tolerance-requests", settings.cold_tolerance_requests),
    ];
    for (place, value) in tolerances {
        if value < 0.0 {
            errors.push(SettingsError::new(place, format!("must be at least 0, not {value:?}")));
        }
    }
    let times = [
        ("grace-s", settings.grace_s, MIN_TIME_S),
        ("steering-keep-s", settings.steering_keep_s, MIN_TIME_S),
        ("rate-window-s", settings.rate_window_s, 0.0),
    ];
    for (place, seconds, min) in times {
        if !(min..=MAX_TIME_S).contains(&seconds) {
            let reason = format!("must be from {min} to {MAX_TIME_S}, not {seconds:?}");
            errors.push(SettingsError::new(place, reason));
        }
    }
}

/// Adds an error for each unknown or missing key and each wrong type in the entries of `team-weights`.
fn check_team_weight_shapes(given: &Value, errors: &mut Vec<SettingsError>) {
    let entries = given.get("team-weights").and_then(Value::as_array);
    let expected = serde_json::json!({ "team": "", "weight": 1.0 });
    for (index, entry) in entries.into_iter().flatten().enumerate() {
        let place = format!("team-weights[{index}]");
        check_shape(&expected, entry, &place, errors);
        for key in ["team", "weight"] {
            if entry.is_object() && entry.get(key).is_none() {
                errors.push(SettingsError::new(format!("{place}.{key}"), "is missing"));
            }
        }
    }
}

fn check_team_weights(team_weights: &[TeamWeight], errors: &mut Vec<SettingsError>) {
    let mut first_places = SortedMap::new();
    for (index, TeamWeight { team, weight }) in team_weights.iter().enumerate() {
        let place = format!("team-weights[{index}]");
        if team.is_empty() {
            errors.push(SettingsError::new(format!("{place}.team"), "must not be empty"));
        }
        if !weight.is_finite() || *weight <= 0.0 {
            let reason = format!("must be above 0 and finite, not {weight:?}");
            errors.push(SettingsError::new(format!("{place}.weight"), reason));
        }
        let first = *first_places.get_or_insert_with(team.as_str(), || index);
        if first != index {
            let reason = format!("{team:?} is already set by team-weights[{first}]");
            errors.push(SettingsError::new(format!("{place}.team"), reason));
        }
    }
}

#[cfg(test)]
mod tests;
