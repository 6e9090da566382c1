//! Which progress of items is worth a write, so that a lost host's items go on instead of beginning anew.

use std::time::Duration;

use cuminramp_core::Name;

use super::{ItemPhase, ItemProgress, JobTable};

/// What the store has of an item under way.
#[derive(Clone, Debug, Default)]
pub(super) struct SavedProgress {
    last_event: Option<u64>,
    ran: Duration,
}

impl SavedProgress {
    /// The store has exactly this.
    pub(super) fn of(progress: &ItemProgress) -> Self {
        SavedProgress { last_event: progress.last_event, ran: progress.ran }
    }

    /// Whether the store has anything of the item.
    pub(super) fn is_some(&self) -> bool {
        self.last_event.is_some()
    }

    fn lacks(&self, progress: &ItemProgress, least: Duration) -> bool {
        progress.last_event > self.last_event && progress.ran.saturating_sub(self.ran) >= least
    }
}

/// Progress of one job's items that the store does not have.
#[derive(Clone, Debug)]
pub struct UnsavedJob {
    /// The job.
    pub job: Name,
    /// Its team.
    pub team: Name,
    /// Each item's index and identity, and how far it came.
    pub items: Vec<(usize, Name, ItemProgress)>,
}

impl JobTable {
    /// Takes note of how far a running item came.
    pub fn record_progress(&mut self, job: &str, index: usize, progress: &ItemProgress) {
        let entry = self.jobs.get_mut(job).and_then(|job| job.items.get_mut(index));
        if let Some(entry) = entry.filter(|entry| entry.phase == ItemPhase::Running) {
            entry.progress = progress.clone();
        }
    }

    /// Items that a lost host would repeat for at least `least` of a target's time, job by job.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::{JobTable, JobPolicy};
    /// let table = JobTable::new(JobPolicy::default());
    /// assert!(table.unsaved(Duration::from_millis(500)).is_empty());
    /// ```
    pub fn unsaved(&self, least: Duration) -> Vec<UnsavedJob> {
        let mut unsaved = Vec::new();
        for job in self.jobs.values() {
            let lacking = job.items.iter().enumerate().filter(|(_, entry)| {
                entry.phase != ItemPhase::Finished && entry.saved.lacks(&entry.progress, least)
            });
            let items: Vec<(usize, Name, ItemProgress)> = lacking
                .map(|(index, entry)| (index, entry.item.id.clone(), entry.progress.clone()))
                .collect();
            if !items.is_empty() {
                let (id, team) = (job.spec.id.clone(), job.spec.team.clone());
                unsaved.push(UnsavedJob { job: id, team, items });
            }
        }
        unsaved
    }

    /// The store has this progress of an item now.
    pub fn mark_saved(&mut self, job: &str, index: usize, progress: &ItemProgress) {
        let entry = self.jobs.get_mut(job).and_then(|job| job.items.get_mut(index));
        if let Some(entry) = entry {
            entry.saved = SavedProgress::of(progress);
        }
    }
}
