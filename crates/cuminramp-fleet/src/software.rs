//! Software of targets: what versions write does not fit together.

use serde::{Deserialize, Serialize};

use crate::heartbeat::name_hash;
use crate::placement::FleetTarget;

/// Pool and software version of a target, as returned by [`name_hash`].
///
/// A stream or an item that has begun goes on only at a target with the same software. Targets don't check
/// that.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SoftwareVersion {
    /// The pool.
    pub pool: u32,
    /// The version.
    pub version: u32,
}

impl SoftwareVersion {
    /// Returns the software of a target of `pool` that registered `version`.
    ///
    /// ```
    /// use cuminramp_fleet::SoftwareVersion;
    /// assert_ne!(SoftwareVersion::new("p", "v1"), SoftwareVersion::new("p", "v2"));
    /// ```
    pub fn new(pool: &str, version: &str) -> Self {
        SoftwareVersion { pool: name_hash(pool), version: name_hash(version) }
    }
}

impl FleetTarget {
    /// Returns the software of the target.
    pub fn software(&self) -> SoftwareVersion {
        SoftwareVersion::new(&self.pool, &self.version)
    }
}
