//! Hosts and their incarnations.

use crate::{AvailabilityZone, Name};

/// The number of one run of a daemon on a host; a later run has a higher number.
pub type Incarnation = u64;

/// One run of the daemon at one peer address.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct HostId {
    /// The address other daemons reach it at, `ip:port`.
    pub address: Name,
    /// Which run this is.
    pub incarnation: Incarnation,
}

/// What other hosts and callers need to know of a host.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Host {
    /// The run.
    pub id: HostId,
    /// Where callers connect, `ip:port`.
    pub caller_address: Name,
    /// The availability zone it stands in.
    pub zone: AvailabilityZone,
}
