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

/// The row of another host, as the local host sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PresenceView {
    /// What the row says.
    pub presence: RowPresence,
    /// For how long the local host has known the row as it is.
    pub unchanged_for: Duration,
    /// For how long the local host has heard nothing of the host; `None` if it is alive, or has left.
    pub silence: Option<Duration>,
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
    /// use cuminramp_fleet::{PresenceStep, PresenceView, RowPresence};
    /// let view = PresenceView {
    ///     presence: RowPresence::Present,
    ///     unchanged_for: Duration::from_secs(60),
    ///     silence: Some(Duration::from_secs(4)),
    ///     is_judge: true,
    ///     is_large_fleet: false,
    ///     read_interval: Duration::from_secs(1),
    /// };
    /// assert_eq!(view.next_step(), PresenceStep::Suspect);
    /// ```
    pub fn next_step(&self) -> PresenceStep {
        let is_silent = self.silence.is_some_and(|silence| silence >= SUSPICION_SILENCE);
        match self.presence {
            // A host that refuted a suspicion is not suspected again at once.
            RowPresence::Present
                if self.is_judge && is_silent && self.unchanged_for >= SUSPICION_SILENCE =>
            {
                PresenceStep::Suspect
            }
            RowPresence::Suspected
                if self.is_judge
                    && is_silent
                    && self.unchanged_for >= self.read_interval * REFUTATION_READS =>
            {
                PresenceStep::DeclareLost
            }
            RowPresence::Lost(lost_for) if self.is_judge && lost_for >= LOST_RETENTION => {
                PresenceStep::Delete
            }
            RowPresence::Suspected if self.silence.is_none() && self.is_large_fleet => {
                PresenceStep::Confirm
            }
            _ => PresenceStep::Keep,
        }
    }
}

#[cfg(test)]
mod tests;
