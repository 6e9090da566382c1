//! The lagging list of hosts.

use async_trait::async_trait;
use cuminramp_core::Name;

use crate::StoreError;

/// A host as the platform lists it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HostEntry {
    /// Where its daemon listens for other daemons, `ip:port`.
    pub address: Name,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// The platform's list of hosts, some time late.
#[async_trait]
pub trait HostList: Send + Sync {
    /// The hosts as the platform shows them now.
    async fn list(&self) -> Result<Vec<HostEntry>, StoreError>;

    /// Tells the platform that this host stands, and whether it is leaving. A platform that knows
    /// its hosts by itself ignores it.
    async fn announce(&self, entry: &HostEntry) -> Result<(), StoreError>;
}
