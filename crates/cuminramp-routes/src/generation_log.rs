//! The last change sets, kept so that a peer that is a little behind gets only what it lacks.

use std::collections::VecDeque;
use std::sync::Arc;

use cuminramp_wire::rows::ChangeSet;

use crate::Configuration;

/// What brings a peer up to date.
#[derive(Clone, Debug, PartialEq)]
pub enum CatchUp {
    /// It lacks nothing.
    Nothing,
    /// These sets, in order.
    Changes(Vec<Arc<ChangeSet>>),
    /// It is too far behind: everything.
    Snapshot,
}

/// The last change sets that were taken, oldest first, without a gap.
#[derive(Clone, Debug, Default)]
pub struct GenerationLog {
    sets: VecDeque<Arc<ChangeSet>>,
    capacity: usize,
}

impl GenerationLog {
    /// A log of the last `capacity` sets.
    ///
    /// ```
    /// use cuminramp_routes::{CatchUp, Configuration, GenerationLog};
    /// let log = GenerationLog::new(8);
    /// assert_eq!(log.catch_up(&Configuration::default(), 0), CatchUp::Nothing);
    /// ```
    pub fn new(capacity: usize) -> Self {
        GenerationLog { sets: VecDeque::new(), capacity }
    }

    /// Adds the set that was just taken; a gap, as after a snapshot, empties the log first.
    pub fn push(&mut self, set: Arc<ChangeSet>) {
        if self.sets.back().is_some_and(|last| last.generation + 1 != set.generation) {
            self.sets.clear();
        }
        self.sets.push_back(set);
        if self.sets.len() > self.capacity {
            self.sets.pop_front();
        }
    }

    /// What a peer lacks that has everything up to `after`.
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
