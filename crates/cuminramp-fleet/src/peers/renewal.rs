//! Incarnations of hosts that ran before with their clock ahead.
//!
//! A run takes its incarnation from the clock and from its host's row. If the clock was ahead during the run before, and
//! the row could not be read or names neither, other hosts take the messages of the present run for late ones of an
//! earlier run. They tell the host which run they know, and it takes a higher incarnation.

use cuminramp_core::{Incarnation, RandomSource};

use super::PeerTable;
use crate::heartbeat::{HostStatus, KnownHost};

/// Maximum difference between the incarnations of a run and of the one before it, in microseconds, where the clock does
/// not decide. It is drawn at random: two runs after the same one, of which the first did not write its row, differ.
const INCARNATION_SPREAD: usize = 1_000_000;

/// Returns an incarnation for the run that follows an earlier one.
///
/// ```
/// use cuminramp_core::SeededRandom;
/// use cuminramp_fleet::incarnation_after;
/// assert!(incarnation_after(7, &mut SeededRandom::new(1)) > 7);
/// assert_eq!(incarnation_after(u64::MAX, &mut SeededRandom::new(1)), u64::MAX);
/// ```
pub fn incarnation_after(earlier: Incarnation, random: &mut dyn RandomSource) -> Incarnation {
    earlier.saturating_add(1 + random.below(INCARNATION_SPREAD) as u64)
}

impl PeerTable {
    /// Records the incarnation of a run of the local host that the store or another host names.
    pub fn record_own_run(&mut self, incarnation: Incarnation) {
        self.latest_own_run = self.latest_own_run.max(incarnation);
    }

    /// Raises the incarnation of the local host above that of each of its earlier runs that the store or another host has
    /// named. Returns the new one; `None` if the present one is the highest.
    pub fn renew_incarnation(&mut self, random: &mut dyn RandomSource) -> Option<Incarnation> {
        if self.latest_own_run <= self.local.incarnation {
            return None;
        }
        self.local.incarnation = incarnation_after(self.latest_own_run, random);
        self.update_local_hash();
        Some(self.local.incarnation)
    }

    /// Returns the status to send to a host whose message has a lower incarnation than the one that is known here; `None`
    /// if it has none.
    pub fn later_run_of(&self, heard: &KnownHost) -> Option<HostStatus> {
        let record = self.peers.get(&heard.address)?;
        if record.host.incarnation <= heard.incarnation {
            return None;
        }
        let unknown = HostStatus {
            host: record.host.clone(),
            revision: record.revision,
            is_ready: false,
            has_left: record.has_left,
            is_settled: false,
            reaches_store: false,
            is_silent: false,
        };
        Some(self.status_of(&heard.address).unwrap_or(unknown))
    }
}
