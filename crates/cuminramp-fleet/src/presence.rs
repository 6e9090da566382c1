//! Decides from the row of another host whether it is suspected, declared lost or deleted.

use std::time::Duration;

/// Time for which a host is silent before it is suspected: longer than it takes a process to start again.
pub(crate) const SUSPICION_SILENCE: Duration = Duration::from_secs(3);
/// Number of reads of the rows in which a suspected host, or one that hears it, has to write its row again.
const REFUTATION_READS: u32 = 3;
/// Interval between two reads of the rows in a small fleet while a host is to be suspected.
pub const SUSPICION_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which the row of a lost host is deleted, and no part of a rate is reserved for it any more. A host that
/// is cut off from all others and from the store admits its part for as long as the cut lasts; regions lose each other
/// for an hour.
pub(crate) const LOST_RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// Whether a host is known to run, as its row says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowPresence {
    /// Nobody doubts that it runs.
    Present,
    /// Another host does not hear it.
    Suspected,
    /// It did not write its row again, and was declared lost this long ago.
    Lost(Duration),
}

/// What the local host hears of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostSight {
    /// It is alive.
    Heard,
    /// Nothing for this long.
    Silent(Duration),
    /// It has reported that it left.
    Left,
    /// It was declared lost, and not heard since.
    Lost,
}

/// The row of another host, as the local host sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PresenceView {
    /// What the row says.
    pub presence: RowPresence,
    /// For how long the local host has known the row as it is.
    pub unchanged_for: Duration,
    /// What the local host hears of the other one.
    pub sight: HostSight,
    /// Whether the local host is the one to change the row.
    pub is_judge: bool,
    /// Whether the fleet is so large that few hosts read the rows, also for those that they hear.
    pub is_large_fleet: bool,
    /// Interval at which hosts read the rows while one of them is silent.
    pub read_interval: Duration,
}

/// What the local host does about the row of another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PresenceStep {
    /// Leaves it.
    Keep,
    /// Writes that the host is suspected.
    Suspect,
    /// Writes that the host is lost.
    DeclareLost,
    /// Writes that the host runs, for a host that may not read its row.
    Confirm,
    /// Deletes the row.
    Delete,
}

impl PresenceView {
    /// Returns what to do.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::{HostSight, PresenceStep, PresenceView, RowPresence};
    /// let view = PresenceView {
    ///     presence: RowPresence::Present,
    ///     unchanged_for: Duration::from_secs(60),
    ///     sight: HostSight::Silent(Duration::from_secs(4)),
    ///     is_judge: true,
    ///     is_large_fleet: false,
    ///     read_interval: Duration::from_secs(1),
    /// };
    /// assert_eq!(view.next_step(), PresenceStep::Suspect);
    /// ```
    pub fn next_step(&self) -> PresenceStep {
        match (self.presence, self.sight) {
            (RowPresence::Suspected, HostSight::Heard) if self.is_large_fleet => {
                PresenceStep::Confirm
            }
            _ if !self.is_judge => PresenceStep::Keep,
            (RowPresence::Lost(lost_for), _) if lost_for >= LOST_RETENTION => PresenceStep::Delete,
            (RowPresence::Lost(_), _) => PresenceStep::Keep,
            // The host could not delete its row.
            (_, HostSight::Left) if self.unchanged_for >= SUSPICION_SILENCE => PresenceStep::Delete,
            (_, HostSight::Silent(silence)) if silence >= SUSPICION_SILENCE => self.next_doubt(),
            _ => PresenceStep::Keep,
        }
    }

    /// Returns what to do about the row of a host that has been silent for long.
    fn next_doubt(&self) -> PresenceStep {
        match self.presence {
            // A host that refuted a suspicion is not suspected again at once.
            RowPresence::Present if self.unchanged_for >= SUSPICION_SILENCE => {
                PresenceStep::Suspect
            }
            RowPresence::Suspected
                if self.unchanged_for >= self.read_interval * REFUTATION_READS =>
            {
                PresenceStep::DeclareLost
            }
            _ => PresenceStep::Keep,
        }
    }
}

#[cfg(test)]
mod tests;
