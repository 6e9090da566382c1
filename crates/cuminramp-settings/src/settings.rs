//! Settings of a daemon and their defaults, with a module for each section.

use serde::{Deserialize, Serialize};

/// Implements methods that return settings in milliseconds as [`Duration`](std::time::Duration).
macro_rules! duration_getters {
    ($section:ident { $($(#[$doc:meta])* $name:ident = $field:ident;)* }) => {
        impl $section {
            $($(#[$doc])* pub fn $name(&self) -> std::time::Duration {
                std::time::Duration::from_millis(self.$field)
            })*
        }
    };
}

mod batch;
mod configuration;
mod limits;
mod marks;
mod peers;
mod platform;
mod quota;
mod retries;
mod steering;
mod targets;

pub use self::batch::BatchSettings;
pub use self::configuration::ConfigurationSettings;
pub use self::limits::LimitSettings;
pub use self::marks::MarkSettings;
pub use self::peers::PeerSettings;
pub use self::platform::PlatformAccess;
pub use self::quota::{QuotaPolicy, QuotaSettings};
pub use self::retries::RetrySettings;
pub use self::steering::SteeringSettings;
pub use self::targets::TargetSettings;

/// Settings of a daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DaemonSettings {
    /// Address that callers connect to, as `ip:port`; port 0 selects a free port.
    pub caller_address: String,
    /// Address that operators and metrics scrapers connect to, as `ip:port`.
    pub operator_address: String,
    /// Address that other daemons connect to, as `ip:port`.
    pub peer_address: String,
    /// Address advertised to callers, as `ip:port`; if empty, `caller-address`.
    pub advertised_caller_address: String,
    /// Address advertised to other daemons, as `ip:port`; if empty, `peer-address`.
    pub advertised_peer_address: String,
    /// Availability zone of this host.
    pub availability_zone: String,
    /// Bearer token required from operators; if empty, none is required.
    pub operator_token: String,
    /// Lowest level of log lines: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// Seed of random choices; with 0, the operating system provides the seed.
    pub random_seed: u64,
    /// Access to the platform's services.
    pub platform: PlatformAccess,
    /// Limits on callers' connections and requests.
    pub limits: LimitSettings,
    /// Membership and calls between daemons.
    pub peers: PeerSettings,
    /// Distribution of declarations and keys by generation.
    pub configuration: ConfigurationSettings,
    /// Distribution of teams' rates and bursts over hosts.
    pub quota: QuotaSettings,
    /// Steering answers to callers.
    pub steering: SteeringSettings,
    /// Choice of targets and connections to them.
    pub targets: TargetSettings,
    /// Retries of requests and quarantine of poison requests.
    pub retries: RetrySettings,
    /// Start marks: table rows that record that a request that may not be repeated was started.
    pub marks: MarkSettings,
    /// Batch jobs.
    pub batch: BatchSettings,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        DaemonSettings {
            caller_address: "127.0.0.1:8080".into(),
            operator_address: "127.0.0.1:8081".into(),
            peer_address: "127.0.0.1:8082".into(),
            advertised_caller_address: String::new(),
            advertised_peer_address: String::new(),
            availability_zone: "zone-a".into(),
            operator_token: String::new(),
            log_level: "info".into(),
            random_seed: 0,
            platform: PlatformAccess::default(),
            limits: LimitSettings::default(),
            peers: PeerSettings::default(),
            configuration: ConfigurationSettings::default(),
            quota: QuotaSettings::default(),
            steering: SteeringSettings::default(),
            targets: TargetSettings::default(),
            retries: RetrySettings::default(),
            marks: MarkSettings::default(),
            batch: BatchSettings::default(),
        }
    }
}
