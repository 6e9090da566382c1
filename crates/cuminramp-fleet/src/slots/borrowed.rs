//! Targets that a host knows only because owners granted it slots of them.

use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

/// Time after the last grant for which a target is kept, so that its connections can be used again.
const BORROWED_TARGET_TTL: Duration = Duration::from_secs(10);

/// The targets that a host got with grants, and when it got each of them last.
#[derive(Debug, Default)]
pub struct BorrowedTargets {
    granted_at: SortedMap<Name, Instant>,
}

impl BorrowedTargets {
    /// Records a target that came with a grant.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread", start_paused = true)] async fn main() {
    /// use cuminramp_fleet::BorrowedTargets;
    /// let mut borrowed = BorrowedTargets::default();
    /// borrowed.record("t".into(), tokio::time::Instant::now());
    /// assert!(borrowed.expired(tokio::time::Instant::now()).is_empty());
    /// # }
    /// ```
    pub fn record(&mut self, id: Name, now: Instant) {
        self.granted_at.insert(id, now);
    }

    /// Returns the targets of which no slot was granted for a while: their owners know whether they are still
    /// there.
    pub fn expired(&self, now: Instant) -> Vec<Name> {
        let old =
            self.granted_at.iter().filter(|(_, at)| now.duration_since(**at) > BORROWED_TARGET_TTL);
        old.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets a target.
    pub fn forget(&mut self, id: &str) {
        self.granted_at.remove(id);
    }

    /// Ends the borrowing because the host has read the table of targets, whose identities are `listed`. Returns
    /// the targets that the table lacks: they are gone, and no row will ever say so.
    pub fn end(&mut self, mut listed: Vec<Name>) -> Vec<Name> {
        listed.sort_unstable();
        let borrowed = std::mem::take(&mut self.granted_at);
        borrowed.keys().filter(|id| listed.binary_search(id).is_err()).cloned().collect()
    }
}
