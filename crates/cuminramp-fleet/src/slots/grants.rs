//! Tracking of an owner's grants on the receiving host.

/// Tracks the numbers of the grants that a host received from one owner and acknowledged to it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GrantSequence {
    last_received: u64,
    acknowledged: u64,
}

impl GrantSequence {
    /// Records a grant. Returns `false` if the grant must not be used any more.
    ///
    /// A report shows the owner that every grant up to the acknowledged one is either in use or unused and
    /// free again. A grant that a later one overtook may arrive after that report, when its slot may already
    /// have been granted to another caller.
    ///
    /// ```
    /// use cuminramp_fleet::GrantSequence;
    /// let mut numbers = GrantSequence::default();
    /// assert!(numbers.accept(2));
    /// assert_eq!(numbers.acknowledge(), 2);
    /// assert!(!numbers.accept(1));
    /// assert!(numbers.accept(3));
    /// ```
    pub fn accept(&mut self, grant: u64) -> bool {
        self.last_received = self.last_received.max(grant);
        grant > self.acknowledged
    }

    /// Acknowledges all grants received so far, and returns the number of the last one for the next report.
    pub fn acknowledge(&mut self) -> u64 {
        self.acknowledged = self.last_received;
        self.acknowledged
    }
}
