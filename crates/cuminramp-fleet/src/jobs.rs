//! Items of the jobs that this host holds, and the order in which they run.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap, hash_parts};
use tokio::time::Instant;

mod checkpoint;
mod item;

pub use checkpoint::UnsavedProgress;
pub use item::{
    FinishedItem, ItemFailure, ItemOutcome, ItemProgress, ItemSpec, ItemStart, JobSpec,
};

use checkpoint::SavedProgress;

use crate::demand::{ItemDemand, MAX_DEMAND_GROUPS};
use crate::software::SoftwareVersion;

/// Retry delays and run time estimates for items.
#[derive(Clone, Copy, Debug)]
pub struct JobPolicy {
    /// Initial estimate of the time that an item runs on a target; completed items adjust it.
    pub initial_run_time: Duration,
    /// Delay before an item is retried after a failed run, or after fewer than `crash_threshold`
    /// crashes.
    pub failure_delay: Duration,
    /// Delay before an item is tried again that was held back.
    pub held_delay: Duration,
    /// Mean delay before an item is retried after `crash_threshold` crashes. Targets that crash in a wave are back by
    /// then. Items wait 0.75 to 1.25 times as long, so that they do not all return in the same instant. The delay does
    /// not grow with further crashes: items never crash targets by themselves.
    pub crash_delay: Duration,
    /// Number of consecutive crashes without a new event after which `crash_delay` applies.
    pub crash_threshold: u32,
    /// Time after which the items of a job are given up whose route is not declared any more. An operator who removed
    /// it by mistake has this long to declare it again.
    pub route_end_delay: Duration,
}

impl Default for JobPolicy {
    fn default() -> Self {
        JobPolicy {
            initial_run_time: Duration::from_secs(5),
            failure_delay: Duration::from_millis(150),
            held_delay: Duration::from_secs(2),
            crash_delay: Duration::from_secs(1),
            crash_threshold: 3,
            route_end_delay: Duration::from_secs(5),
        }
    }
}

impl JobPolicy {
    /// Returns the delay of an item after the given number of consecutive crashes without a new event.
    fn delay_after_crashes(&self, item: &str, crashes: u32) -> Duration {
        if crashes < self.crash_threshold {
            return self.failure_delay;
        }
        let quarter = self.crash_delay / 4;
        let steps = hash_parts(&[item]) % CRASH_DELAY_STEPS;
        quarter * 3 + quarter * 2 * steps as u32 / CRASH_DELAY_STEPS as u32
    }
}

/// Number of different delays after crashes, by which items are spread.
const CRASH_DELAY_STEPS: u64 = 64;

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
    /// Last event received before the current run started.
    resumed_after: Option<u64>,
    /// When this host first sent the item to a target, and how long it had run before that.
    first_started: Option<(Instant, Duration)>,
    failures: u32,
    /// Consecutive crashes without a new event.
    crashes: u32,
    /// Earliest time of the next run.
    not_before: Option<Instant>,
}

/// A job that this host holds.
#[derive(Debug)]
pub struct HeldJob {
    spec: JobSpec,
    items: Vec<ItemEntry>,
    unfinished: usize,
    /// Since when the job's route is not declared.
    route_ended_at: Option<Instant>,
}

impl HeldJob {
    /// Returns the job as it was accepted.
    pub fn spec(&self) -> &JobSpec {
        &self.spec
    }

    /// Returns the sum of the tokens of all unfinished items.
    pub fn unfinished_tokens(&self) -> u64 {
        let open = self.items.iter().filter(|entry| entry.phase != ItemPhase::Finished);
        open.map(|entry| entry.item.tokens).sum()
    }

    /// Returns whether any item can be sent to a target now.
    pub fn has_waiting(&self, now: Instant) -> bool {
        self.items.iter().any(|entry| is_ready(entry, now))
    }

    /// Returns whether every item is finished.
    pub fn is_finished(&self) -> bool {
        self.unfinished == 0
    }

    /// Returns the index and progress of each waiting item of which at least one event was received.
    pub fn waiting_progress(&self) -> impl Iterator<Item = (usize, &ItemProgress)> {
        let started = self.items.iter().enumerate().filter(|(_, entry)| {
            entry.phase == ItemPhase::Waiting && entry.progress.last_event.is_some()
        });
        started.map(|(index, entry)| (index, &entry.progress))
    }
}

/// All jobs that this host holds.
#[derive(Debug)]
pub struct JobTable {
    policy: JobPolicy,
    jobs: SortedMap<Name, HeldJob>,
    /// Moving average of the time that an item runs on targets.
    average_run_time: Duration,
    /// Moving average of the time from an item's first start to its end, divided by its run time.
    slowdown: f64,
}

/// Weight of a new sample in the moving averages of run time and slowdown.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Range to which a slowdown sample is clamped. After an outage, the samples also contain the time that
/// items waited for targets to return.
const SLOWDOWN_RANGE: (f64, f64) = (1.0, 2.5);

impl JobTable {
    /// Returns a table without jobs.
    pub fn new(policy: JobPolicy) -> Self {
        JobTable {
            policy,
            jobs: SortedMap::new(),
            average_run_time: policy.initial_run_time,
            slowdown: 1.0,
        }
    }

    /// Adds a job that this host now holds. `finished` lists the items that are already done, `partial`
    /// the progress of others.
    pub fn add(
        &mut self,
        spec: JobSpec,
        finished: &[Name],
        mut partial: Vec<(Name, ItemProgress)>,
    ) {
        let entry = |item: &Arc<ItemSpec>| {
            let at = partial.iter().position(|(id, _)| *id == item.id);
            let progress = at.map(|at| partial.swap_remove(at).1).unwrap_or_default();
            let is_finished = finished.contains(&item.id);
            ItemEntry {
                item: item.clone(),
                phase: if is_finished { ItemPhase::Finished } else { ItemPhase::Waiting },
                saved: SavedProgress::of(&progress),
                progress,
                resumed_after: None,
                first_started: None,
                failures: 0,
                crashes: 0,
                not_before: None,
            }
        };
        let items: Vec<ItemEntry> = spec.items.iter().map(entry).collect();
        let unfinished = items.iter().filter(|e| e.phase != ItemPhase::Finished).count();
        let job = HeldJob { spec, items, unfinished, route_ended_at: None };
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Removes a job that its caller ended, that completed, or that another host now holds.
    pub fn remove(&mut self, id: &str) -> Option<HeldJob> {
        self.jobs.remove(id)
    }

    /// Returns a job that this host holds.
    pub fn get(&self, id: &str) -> Option<&HeldJob> {
        self.jobs.get(id)
    }

    /// Returns all held jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &HeldJob> {
        self.jobs.values()
    }

    /// Returns the number of items that can be sent to a target now.
    pub fn waiting(&self, now: Instant) -> u32 {
        let items = self.jobs.values().flat_map(|job| &job.items);
        items.filter(|entry| is_ready(entry, now)).count() as u32
    }

    /// Returns the items that can be sent to a target now, for the jobs that `accepts` selects,
    /// grouped by urgency.
    ///
    /// If there are more than [`MAX_DEMAND_GROUPS`] groups, the least urgent ones are merged into a single
    /// group with the urgency of the last. With the urgency of the first merged group, items that are
    /// already late would get slots ahead of items of other hosts that can still be in time.
    pub fn demand(&self, accepts: impl Fn(&JobSpec) -> bool, now: Instant) -> Vec<ItemDemand> {
        let mut groups: Vec<ItemDemand> = Vec::new();
        for job in self.jobs.values().filter(|job| accepts(&job.spec)) {
            let waiting = || job.items.iter().filter(|entry| is_ready(entry, now));
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

    /// Returns whether an item can no longer finish before its job is due.
    ///
    /// Callers preempt items, so an item needs more time than a target works on it; the slowdown
    /// accounts for that. Without it, items with slightly too little time would run first, be preempted
    /// at the next peak and finish late, and then the items behind them would be late as well.
    fn is_late(&self, spec: &JobSpec, entry: &ItemEntry, now: Instant) -> bool {
        now + self.average_run_time.saturating_sub(entry.progress.run_time).mul_f64(self.slowdown)
            > spec.due
    }

    /// Updates the average slowdown with an item that completed after `run_time` on targets.
    fn record_slowdown(&mut self, job: &str, index: usize, run_time: Duration, now: Instant) {
        let entry = self.jobs.get(job).and_then(|job| job.items.get(index));
        let Some((since, run_time_before)) = entry.and_then(|entry| entry.first_started) else {
            return;
        };
        let run_time = run_time.saturating_sub(run_time_before);
        if run_time.is_zero() {
            return;
        }
        let (min, max) = SLOWDOWN_RANGE;
        let sample = now.duration_since(since).as_secs_f64() / run_time.as_secs_f64();
        let sample = sample.clamp(min, max);
        self.slowdown = self.slowdown * (1.0 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT;
    }

    /// Returns the next item to run of the jobs that `accepts` selects, and marks it as running.
    ///
    /// Items of jobs that are due sooner run first, so that some jobs complete instead of all jobs
    /// being half done. An item that can no longer finish in time waits behind those that can:
    /// run first, it would only make another one late as well.
    ///
    /// The item is to run at a target with `software`. One that other software has begun starts anew there,
    /// since the two texts would not fit together, and waits behind the other items of its job.
    pub fn start_next(
        &mut self,
        accepts: impl Fn(&JobSpec) -> bool,
        software: SoftwareVersion,
        now: Instant,
    ) -> Option<ItemStart> {
        let mut best: Option<((bool, Instant, bool, usize), Name)> = None;
        for (id, job) in self.jobs.iter().filter(|(_, job)| accepts(&job.spec)) {
            for (index, entry) in job.items.iter().enumerate() {
                if !is_ready(entry, now) {
                    continue;
                }
                let starts_anew = !entry.progress.can_resume(software);
                let rank = (self.is_late(&job.spec, entry, now), job.spec.due, starts_anew, index);
                if best.as_ref().is_none_or(|(best_rank, _)| rank < *best_rank) {
                    best = Some((rank, id.clone()));
                }
            }
        }
        let ((.., starts_anew, index), id) = best?;
        let entry = &mut self.jobs.get_mut(&id)?.items[index];
        entry.phase = ItemPhase::Running;
        let mut progress = std::mem::take(&mut entry.progress);
        if starts_anew {
            progress = ItemProgress::default();
        }
        progress.software = Some(software);
        entry.resumed_after = progress.last_event;
        entry.first_started = entry.first_started.or(Some((now, progress.run_time)));
        Some(ItemStart { job: id, index, item: entry.item.clone(), progress })
    }

    /// Marks an item as finished with its complete output. Returns `None` if this host no longer holds
    /// the job or the item was already finished.
    pub fn complete(
        &mut self,
        job: &str,
        index: usize,
        progress: ItemProgress,
        now: Instant,
    ) -> Option<FinishedItem> {
        self.record_slowdown(job, index, progress.run_time, now);
        let average = self.average_run_time.as_secs_f64() * (1.0 - SAMPLE_WEIGHT)
            + progress.run_time.as_secs_f64() * SAMPLE_WEIGHT;
        self.average_run_time = Duration::from_secs_f64(average);
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

    /// Records that a run ended before the item was complete.
    ///
    /// The item waits for another run and `None` is returned, unless it is given up: when a target
    /// answers that the item can never be processed, or after as many failed runs as its route allows.
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
        let max_failures = held.spec.max_failures;
        let entry = held.items.get_mut(index)?;
        if entry.phase == ItemPhase::Finished {
            return None;
        }
        entry.phase = ItemPhase::Waiting;
        let has_progressed = progress.last_event > entry.resumed_after;
        entry.progress = progress;
        match failure {
            ItemFailure::Preempted => {}
            ItemFailure::Held => entry.not_before = Some(now + policy.held_delay),
            ItemFailure::Lost => entry.not_before = Some(now + policy.failure_delay),
            ItemFailure::Impossible => return self.finish(job, index, ItemOutcome::GivenUp),
            ItemFailure::Failed => {
                entry.failures += 1;
                entry.not_before = Some(now + policy.failure_delay);
                if entry.failures >= max_failures {
                    return self.finish(job, index, ItemOutcome::GivenUp);
                }
            }
            ItemFailure::Crashed => {
                entry.crashes = if has_progressed { 0 } else { entry.crashes + 1 };
                entry.not_before =
                    Some(now + policy.delay_after_crashes(&entry.item.id, entry.crashes));
            }
        }
        None
    }

    /// Gives up the waiting items of all jobs past their `expires` time, and returns each with the
    /// identifier of its job.
    pub fn give_up_expired(&mut self, now: Instant) -> Vec<(Name, FinishedItem)> {
        self.give_up(|job| job.spec.expires <= now)
    }

    /// Gives up the waiting items of all jobs whose route has not been declared for
    /// [`JobPolicy::route_end_delay`], and returns each with the identifier of its job. `has_route` tells whether the
    /// route of a job is declared.
    pub fn give_up_without_route(
        &mut self,
        has_route: impl Fn(&JobSpec) -> bool,
        now: Instant,
    ) -> Vec<(Name, FinishedItem)> {
        for (_, job) in self.jobs.iter_mut() {
            let ended_at = job.route_ended_at.unwrap_or(now);
            job.route_ended_at = (!has_route(&job.spec)).then_some(ended_at);
        }
        let delay = self.policy.route_end_delay;
        self.give_up(|job| job.route_ended_at.is_some_and(|at| now.duration_since(at) >= delay))
    }

    fn give_up(&mut self, is_over: impl Fn(&HeldJob) -> bool) -> Vec<(Name, FinishedItem)> {
        let mut given_up = Vec::new();
        for (id, job) in self.jobs.iter_mut() {
            if !is_over(job) {
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

/// Returns whether an item waits and its retry delay, if any, is over.
fn is_ready(entry: &ItemEntry, now: Instant) -> bool {
    entry.phase == ItemPhase::Waiting && entry.not_before.is_none_or(|at| at <= now)
}

#[cfg(test)]
mod tests;
