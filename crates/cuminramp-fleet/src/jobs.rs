//! The items of the jobs that this host holds, and which of them goes next.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

mod checkpoint;
mod item;

pub use checkpoint::UnsavedJob;
pub use item::{
    FinishedItem, ItemFailure, ItemOutcome, ItemProgress, ItemSpec, ItemStart, JobSpec,
};

use checkpoint::SavedProgress;

use crate::demand::{ItemDemand, MAX_DEMAND_GROUPS};

/// Pauses and estimates for items.
#[derive(Clone, Copy, Debug)]
pub struct JobPolicy {
    /// Time an item takes on a target, assumed until items have been seen.
    pub first_run: Duration,
    /// Pause before a failed item is tried again.
    pub failure_pause: Duration,
    /// First pause before an item is tried again at which several targets broke: it may have broken
    /// them. Targets that break for reasons of their own are mostly back by then.
    pub crash_pause: Duration,
    /// How many times longer each further such pause is. An item that breaks what it runs on gets
    /// two targets in the half minute after the first three.
    pub crash_growth: u32,
    /// The longest such pause.
    pub max_crash_pause: Duration,
    /// Breaks before the first event after which an item is paused so.
    pub crash_limit: u32,
}

impl Default for JobPolicy {
    fn default() -> Self {
        JobPolicy {
            first_run: Duration::from_secs(5),
            failure_pause: Duration::from_millis(150),
            crash_pause: Duration::from_millis(2_500),
            crash_growth: 3,
            max_crash_pause: Duration::from_secs(60),
            crash_limit: 3,
        }
    }
}

impl JobPolicy {
    /// Pause after so many breaks in a row without an event.
    fn pause_after_breaks(&self, breaks: u32) -> Duration {
        match breaks.checked_sub(self.crash_limit) {
            None => self.failure_pause,
            Some(further) => {
                let factor = self.crash_growth.saturating_pow(further);
                self.crash_pause.saturating_mul(factor).min(self.max_crash_pause)
            }
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ItemPhase {
    Waiting,
    Running,
    Finished,
}

#[derive(Debug)]
struct ItemEntry {
    item: Arc<ItemSpec>,
    phase: ItemPhase,
    progress: ItemProgress,
    saved: SavedProgress,
    /// The last event that was known when the present run began.
    begun_after: Option<u64>,
    /// When this host first sent it to a target, and how long it had run before.
    begun: Option<(Instant, Duration)>,
    failures: u32,
    breaks: u32,
    not_before: Option<Instant>,
}

/// A job that this host holds.
#[derive(Debug)]
pub struct HeldJob {
    spec: JobSpec,
    items: Vec<ItemEntry>,
    unfinished: usize,
}

impl HeldJob {
    /// What was accepted.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Tokens of the items that are not finished.
    pub fn unfinished_tokens(&self) -> u64 {
        let open = self.items.iter().filter(|entry| entry.phase != ItemPhase::Finished);
        open.map(|entry| entry.item.tokens).sum()
    }

    /// Whether any item waits for a place now.
    pub fn has_waiting(&self, now: Instant) -> bool {
        self.items.iter().any(|entry| is_due_to_run(entry, now))
    }

    /// Whether every item is finished.
    pub fn is_finished(&self) -> bool {
        self.unfinished == 0
    }

    /// What is known of items that are under way, by index.
    pub fn progress(&self) -> impl Iterator<Item = (usize, &ItemProgress)> {
        let begun = self.items.iter().enumerate().filter(|(_, entry)| {
            entry.phase == ItemPhase::Waiting && entry.progress.last_event.is_some()
        });
        begun.map(|(index, entry)| (index, &entry.progress))
    }
}

/// All jobs that this host holds.
#[derive(Debug)]
pub struct JobTable {
    policy: JobPolicy,
    jobs: SortedMap<Name, HeldJob>,
    run: Duration,
    /// Time from an item's first start to its end, for each second that a target works on it.
    stretch: f64,
}

/// How much a new sample weighs in the average time that an item takes.
const RUN_WEIGHT: f64 = 0.1;
/// The least and largest stretch that is believed: after an outage items wait for as long as it took.
const STRETCH_BOUNDS: (f64, f64) = (1.0, 2.5);

impl JobTable {
    /// Holds nothing yet.
    pub fn new(policy: JobPolicy) -> Self {
        JobTable { policy, jobs: SortedMap::new(), run: policy.first_run, stretch: 1.0 }
    }

    /// Takes a job over, with the items that are finished already and what is known of others.
    pub fn add(&mut self, spec: JobSpec, finished: &[Name], mut known: Vec<(Name, ItemProgress)>) {
        let entry = |item: &Arc<ItemSpec>| {
            let at = known.iter().position(|(id, _)| *id == item.id);
            let progress = at.map(|at| known.swap_remove(at).1).unwrap_or_default();
            let is_finished = finished.contains(&item.id);
            ItemEntry {
                item: item.clone(),
                phase: if is_finished { ItemPhase::Finished } else { ItemPhase::Waiting },
                saved: SavedProgress::of(&progress),
                progress,
                begun_after: None,
                begun: None,
                failures: 0,
                breaks: 0,
                not_before: None,
            }
        };
        let items: Vec<ItemEntry> = spec.items.iter().map(entry).collect();
        let unfinished = items.iter().filter(|e| e.phase != ItemPhase::Finished).count();
        self.jobs.insert(spec.id.clone(), HeldJob { spec, items, unfinished });
    }

    /// Lets a job go: it ended, is done, or another host holds it now.
    pub fn remove(&mut self, id: &str) -> Option<HeldJob> {
        self.jobs.remove(id)
    }

    /// A job that this host holds.
    pub fn get(&self, id: &str) -> Option<&HeldJob> {
        self.jobs.get(id)
    }

    /// All held jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &HeldJob> {
        self.jobs.values()
    }

    /// How many items wait for a place now.
    pub fn waiting(&self, now: Instant) -> u32 {
        let items = self.jobs.values().flat_map(|job| &job.items);
        items.filter(|entry| is_due_to_run(entry, now)).count() as u32
    }

    /// Items of some jobs that wait for a place now, by urgency. Beyond [`MAX_DEMAND_GROUPS`] the others count as
    /// one group, as urgent as its last: counted as urgent as its first, items that are late already
    /// would take the room of those of other hosts that can still be in time.
    pub fn demand(&self, accepts: impl Fn(&JobSpec) -> bool, now: Instant) -> Vec<ItemDemand> {
        let mut groups: Vec<ItemDemand> = Vec::new();
        for job in self.jobs.values().filter(|job| accepts(&job.spec)) {
            let waiting = || job.items.iter().filter(|entry| is_due_to_run(entry, now));
            let late = waiting().filter(|entry| self.is_late(&job.spec, entry, now)).count() as u32;
            let in_time = waiting().count() as u32 - late;
            groups.push(ItemDemand::new(false, job.spec.due, in_time, now));
            groups.push(ItemDemand::new(true, job.spec.due, late, now));
        }
        groups.retain(|group| group.items > 0);
        groups.sort_by_key(|group| (group.is_late, group.due_in_ms));
        while groups.len() > MAX_DEMAND_GROUPS {
            let before_last = groups.remove(groups.len() - 2);
            if let Some(last) = groups.last_mut() {
                last.items += before_last.items;
            }
        }
        groups
    }

    /// Whether an item can't be done by when it is due.
    ///
    /// Items give way to callers on their way, so they take longer than a target works on them. Were
    /// that left out, items with just too little time would go first, break off at the next crest and
    /// be late, and then those behind them in turn.
    fn is_late(&self, spec: &JobSpec, entry: &ItemEntry, now: Instant) -> bool {
        now + self.run.saturating_sub(entry.progress.ran).mul_f64(self.stretch) > spec.due
    }

    fn note_stretch(&mut self, job: &str, index: usize, ran: Duration, now: Instant) {
        let entry = self.jobs.get(job).and_then(|job| job.items.get(index));
        let Some((since, ran_before)) = entry.and_then(|entry| entry.begun) else { return };
        let ran = ran.saturating_sub(ran_before);
        if ran.is_zero() {
            return;
        }
        let (least, most) = STRETCH_BOUNDS;
        let seen = now.duration_since(since).as_secs_f64() / ran.as_secs_f64();
        let seen = seen.clamp(least, most);
        self.stretch = self.stretch * (1.0 - RUN_WEIGHT) + seen * RUN_WEIGHT;
    }

    /// The next item of a job on `route`, and counts it as running.
    ///
    /// Jobs that are due sooner go first, so that whole jobs finish rather than all jobs half. An
    /// item that can't be done in time any more waits behind those that still can: it would only
    /// make another late as well.
    pub fn next(&mut self, accepts: impl Fn(&JobSpec) -> bool, now: Instant) -> Option<ItemStart> {
        let mut best: Option<((bool, Instant, usize), Name)> = None;
        for (id, job) in self.jobs.iter().filter(|(_, job)| accepts(&job.spec)) {
            for (index, entry) in job.items.iter().enumerate() {
                if !is_due_to_run(entry, now) {
                    continue;
                }
                let rank = (self.is_late(&job.spec, entry, now), job.spec.due, index);
                if best.as_ref().is_none_or(|(held, _)| rank < *held) {
                    best = Some((rank, id.clone()));
                }
            }
        }
        let ((_, _, index), id) = best?;
        let entry = &mut self.jobs.get_mut(&id)?.items[index];
        entry.phase = ItemPhase::Running;
        let progress = std::mem::take(&mut entry.progress);
        entry.begun_after = progress.last_event;
        entry.begun = entry.begun.or(Some((now, progress.ran)));
        Some(ItemStart { job: id, index, item: entry.item.clone(), progress })
    }

    /// An item's whole output is there. `None` where the job is no longer held or the item was
    /// finished before.
    pub fn complete(
        &mut self,
        job: &str,
        index: usize,
        progress: ItemProgress,
        now: Instant,
    ) -> Option<FinishedItem> {
        self.note_stretch(job, index, progress.ran, now);
        let run =
            self.run.as_secs_f64() * (1.0 - RUN_WEIGHT) + progress.ran.as_secs_f64() * RUN_WEIGHT;
        self.run = Duration::from_secs_f64(run);
        self.finish(job, index, ItemOutcome::Complete(progress.text))
    }

    fn finish(&mut self, job: &str, index: usize, outcome: ItemOutcome) -> Option<FinishedItem> {
        let job = self.jobs.get_mut(job)?;
        let entry = job.items.get_mut(index)?;
        if entry.phase == ItemPhase::Finished {
            return None;
        }
        entry.phase = ItemPhase::Finished;
        entry.progress = ItemProgress::default();
        job.unfinished -= 1;
        Some(FinishedItem { index, outcome, is_saved: entry.saved.is_some() })
    }

    /// A run ended early. The item waits again, or is given up: when a target says that it can never
    /// be done, or when it has failed as often as its route allows.
    pub fn fail(
        &mut self,
        job: &str,
        index: usize,
        failure: ItemFailure,
        progress: ItemProgress,
        now: Instant,
    ) -> Option<FinishedItem> {
        let policy = self.policy;
        let held = self.jobs.get_mut(job)?;
        let most = held.spec.max_attempts;
        let entry = held.items.get_mut(index)?;
        if entry.phase == ItemPhase::Finished {
            return None;
        }
        entry.phase = ItemPhase::Waiting;
        let has_moved = progress.last_event > entry.begun_after;
        entry.progress = progress;
        match failure {
            ItemFailure::GaveWay => {}
            ItemFailure::Impossible => return self.finish(job, index, ItemOutcome::GivenUp),
            ItemFailure::Failed => {
                entry.failures += 1;
                entry.not_before = Some(now + policy.failure_pause);
                if entry.failures >= most {
                    return self.finish(job, index, ItemOutcome::GivenUp);
                }
            }
            ItemFailure::Broken => {
                entry.breaks = if has_moved { 0 } else { entry.breaks + 1 };
                entry.not_before = Some(now + policy.pause_after_breaks(entry.breaks));
            }
        }
        None
    }

    /// Gives up what may be given up by now; returns each with its job.
    pub fn drop_expired(&mut self, now: Instant) -> Vec<(Name, FinishedItem)> {
        let mut given_up = Vec::new();
        for (id, job) in self.jobs.iter_mut() {
            if job.spec.give_up > now {
                continue;
            }
            for (index, entry) in job.items.iter_mut().enumerate() {
                if entry.phase == ItemPhase::Waiting {
                    entry.phase = ItemPhase::Finished;
                    job.unfinished -= 1;
                    let outcome = ItemOutcome::GivenUp;
                    let is_saved = entry.saved.is_some();
                    given_up.push((id.clone(), FinishedItem { index, outcome, is_saved }));
                }
            }
        }
        given_up
    }
}

fn is_due_to_run(entry: &ItemEntry, now: Instant) -> bool {
    entry.phase == ItemPhase::Waiting && entry.not_before.is_none_or(|at| at <= now)
}

#[cfg(test)]
mod tests;
