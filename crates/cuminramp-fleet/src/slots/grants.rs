//! Which grants of an owner a host has, and which it has told of.

/// The numbers of one owner's grants as the host that gets them sees them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GrantNumbers {
    last: u64,
    told: u64,
}

impl GrantNumbers {
    /// Takes a grant; `false` where it must not be used any more.
    ///
    /// A report says that all grants up to the last one are in use or came to nothing. A grant that was
    /// overtaken on its way arrives after such a report; its slot may be another caller's by then.
    ///
    /// ```
    /// use cuminramp_fleet::GrantNumbers;
    /// let mut numbers = GrantNumbers::default();
    /// assert!(numbers.take(2));
    /// assert_eq!(numbers.tell(), 2);
    /// assert!(!numbers.take(1));
    /// assert!(numbers.take(3));
    /// ```
    pub fn take(&mut self, grant: u64) -> bool {
        self.last = self.last.max(grant);
        grant > self.told
    }

    /// The number that a report carries now.
    pub fn tell(&mut self) -> u64 {
        self.told = self.last;
        self.told
    }
}
