//! Which grants of an owner a host has, and which it has told of.

/// The numbers of one owner's grants as the host that gets them sees them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GrantSequence {
    last: u64,
    told: u64,
}

impl GrantSequence {
    /// Takes a grant; `false` where it must not be used any more.
    ///
    /// A report says that all grants up to the last one are in use or came to nothing. A grant that was
    /// overtaken on its way arrives after such a report; its slot may be another caller's by then.
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
        self.last = self.last.max(grant);
        grant > self.told
    }

    /// The number that a report carries now.
    pub fn acknowledge(&mut self) -> u64 {
        self.told = self.last;
        self.told
    }
}
