//! Settings of a daemon: JSON with comments, checked as a whole.
//!
//! Every address, interval, limit and endpoint is a setting with a default; `examples/reference.jsonc`
//! shows them all. An unknown key or a wrong type is an error that names its place.

mod check;
mod gateway;
mod settings;

pub use check::{SettingsFault, parse_settings};
pub use gateway::{GatewaySettings, ZoneRegion, parse_gateway_settings};
pub use settings::{
    BatchSettings, ConfigurationSettings, DaemonSettings, LimitSettings, MarkSettings,
    PeerSettings, PlatformAccess, QuotaPolicy, QuotaSettings, RetrySettings, SteeringSettings,
    TargetSettings,
};
