//! Settings of a daemon or gateway: JSON with comments, checked as a whole.
//!
//! Every address, interval, limit and endpoint is a setting with a default; `examples/reference.jsonc`
//! lists those of a daemon. An unknown key, a wrong type or a value out of bounds is an error that
//! names the key.

mod check;
mod gateway;
mod settings;

pub use check::{SettingsError, parse_settings};
pub use gateway::{GatewaySettings, QueueMode, TeamWeight, ZoneRegion, parse_gateway_settings};
pub use settings::{
    BatchSettings, ConfigurationSettings, DaemonSettings, LimitSettings, MarkSettings,
    PeerSettings, PlatformAccess, QuotaPolicy, QuotaSettings, RetrySettings, SteeringSettings,
    TargetSettings,
};
