//! Log of the latest change sets, from which a peer that is slightly behind catches up without a
//! snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use cuminramp_wire::rows::ChangeSet;

use crate::Configuration;

/// Updates that bring a peer to the generation in force.
#[derive(Clone, Debug, PartialEq)]
pub enum CatchUp {
    /// The peer is up to date.
    Nothing,
    /// The change sets that the peer is missing, in order.
    Changes(Vec<Arc<ChangeSet>>),
    /// The log doesn't cover every generation that the peer is missing; it needs a snapshot.
    Snapshot,
}

/// The latest change sets that were applied, oldest first, without a gap between generations.
#[derive(Clone, Debug, Default)]
pub struct GenerationLog {
    sets: VecDeque<Arc<ChangeSet>>,
    capacity: usize,
}

impl GenerationLog {
    /// Creates a log that keeps the last `capacity` sets.
    ///
    /// ```
    /// use cuminramp_routes::{CatchUp, Configuration, GenerationLog};
    /// let log = GenerationLog::new(8);
    /// assert_eq!(log.catch_up(&Configuration::default(), 0), CatchUp::Nothing);
    /// ```
    pub fn new(capacity: usize) -> Self {
        GenerationLog { sets: VecDeque::new(), capacity }
    }

    /// Appends the set that was just applied and drops the oldest above the capacity.
    ///
    /// If the set doesn't follow the last one, as after a snapshot, the log is cleared first, because a
    /// peer can't apply sets across a gap.
    pub fn push(&mut self, set: Arc<ChangeSet>) {
        if self.sets.back().is_some_and(|last| last.generation + 1 != set.generation) {
            self.sets.clear();
        }
        self.sets.push_back(set);
        if self.sets.len() > self.capacity {
            self.sets.pop_front();
        }
    }

    /// Returns the updates for a peer whose generation is `after`.
    pub fn catch_up(&self, current: &Configuration, after: u64) -> CatchUp {
        if after >= current.generation {
            return CatchUp::Nothing;
        }
        let first = self.sets.front().map_or(u64::MAX, |set| set.generation);
        let last = self.sets.back().map_or(0, |set| set.generation);
        if first > after + 1 || last != current.generation {
            return CatchUp::Snapshot;
        }
        let missing = self.sets.iter().filter(|set| set.generation > after);
        CatchUp::Changes(missing.cloned().collect())
    }
}
