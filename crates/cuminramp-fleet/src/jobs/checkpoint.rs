//! Selects the progress of items that is saved to the store, so that the items of a lost host resume
//! instead of starting over.

use std::time::Duration;

use cuminramp_core::Name;

use super::{ItemPhase, ItemProgress, JobTable};

/// Progress of an unfinished item that the store has.
#[derive(Clone, Debug, Default)]
pub(super) struct SavedProgress {
    last_event: Option<u64>,
    run_time: Duration,
}

impl SavedProgress {
    /// Returns the record of `progress` as saved.
    pub(super) fn of(progress: &ItemProgress) -> Self {
        SavedProgress { last_event: progress.last_event, run_time: progress.run_time }
    }

    /// Returns whether the store has any progress of the item.
    pub(super) fn is_some(&self) -> bool {
        self.last_event.is_some()
    }

    /// Returns whether `progress` has newer events than the store and at least `min_run_time` more work
    /// of a target.
    fn is_behind(&self, progress: &ItemProgress, min_run_time: Duration) -> bool {
        progress.last_event > self.last_event
            && progress.run_time.saturating_sub(self.run_time) >= min_run_time
    }
}

/// Progress of one job's items that the store does not have.
#[derive(Clone, Debug)]
pub struct UnsavedProgress {
    /// Identifier of the job.
    pub job: Name,
    /// Team of the job.
    pub team: Name,
    /// Index, identifier and progress of each item.
    pub items: Vec<(usize, Name, ItemProgress)>,
}

impl JobTable {
    /// Records the progress of a running item; ignored for items that are not running.
    pub fn record_progress(&mut self, job: &str, index: usize, progress: &ItemProgress) {
        let entry = self.jobs.get_mut(job).and_then(|job| job.items.get_mut(index));
        if let Some(entry) = entry.filter(|entry| entry.phase == ItemPhase::Running) {
            entry.progress = progress.clone();
        }
    }

    /// Returns the unfinished items, by job, of which another host would repeat at least `min_run_time`
    /// of a target's work if this host were lost now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use cuminramp_fleet::{JobTable, JobPolicy};
    /// let table = JobTable::new(JobPolicy::default());
    /// assert!(table.unsaved_progress(Duration::from_millis(500)).is_empty());
    /// ```
    pub fn unsaved_progress(&self, min_run_time: Duration) -> Vec<UnsavedProgress> {
        let mut unsaved = Vec::new();
        for job in self.jobs.values() {
            let to_save = job.items.iter().enumerate().filter(|(_, entry)| {
                entry.phase != ItemPhase::Finished
                    && entry.saved.is_behind(&entry.progress, min_run_time)
            });
            let items: Vec<(usize, Name, ItemProgress)> = to_save
                .map(|(index, entry)| (index, entry.item.id.clone(), entry.progress.clone()))
                .collect();
            if !items.is_empty() {
                let (id, team) = (job.spec.id.clone(), job.spec.team.clone());
                unsaved.push(UnsavedProgress { job: id, team, items });
            }
        }
        unsaved
    }

    /// Records that the store has this progress of an item.
    pub fn mark_saved(&mut self, job: &str, index: usize, progress: &ItemProgress) {
        let entry = self.jobs.get_mut(job).and_then(|job| job.items.get_mut(index));
        if let Some(entry) = entry {
            entry.saved = SavedProgress::of(progress);
        }
    }
}
