//! Interface to the platform's host list, which lags behind the actual set of hosts.

use async_trait::async_trait;
use cuminramp_core::Name;

use crate::StoreError;

/// Entry of the platform's host list.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HostEntry {
    /// Address on which the host's daemon listens for other daemons, `ip:port`.
    pub address: Name,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// The platform's host list; it may be out of date.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the hosts that the platform currently lists.
    async fn list(&self) -> Result<Vec<HostEntry>, StoreError>;

    /// Reports to the platform that this host is up, and whether it is leaving.
    ///
    /// A platform that tracks its hosts itself ignores the report.
    async fn announce(&self, entry: &HostEntry) -> Result<(), StoreError>;
}
