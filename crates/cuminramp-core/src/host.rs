//! Hosts and their incarnations.

use crate::{AvailabilityZone, Name};

/// Number of one run of a daemon on a host; later runs have higher numbers.
pub type Incarnation = u64;

/// Identity of one run of the daemon at a peer address.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HostId {
    /// Address at which other daemons reach it, as `ip:port`.
    pub address: Name,
    /// Number of the run.
    pub incarnation: Incarnation,
}

/// Host as it is advertised to other hosts and to callers.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Host {
    /// Identity of the daemon's current run.
    pub id: HostId,
    /// Address to which callers connect, as `ip:port`.
    pub caller_address: Name,
    /// Availability zone of the host.
    pub zone: AvailabilityZone,
}
