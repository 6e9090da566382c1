//! An emulated target that admits attempts in order of arrival, without priorities.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of attempts in a target's queue; more are refused.
const MAX_QUEUED: usize = 24;

/// An attempt that a target runs or queues.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// Index of the attempt among those of the replay.
    pub(crate) attempt: usize,
    /// Time at which the target started the attempt; `None` while it is queued.
    pub(crate) started_at: Option<Instant>,
    /// Time for which the attempt occupies a slot.
    pub(crate) duration: Duration,
}

/// How a target handles connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetHealth {
    /// Serves requests.
    Healthy,
    /// Breaks every new connection.
    Failing,
    /// Has failed permanently; hosts no longer list it.
    Lost,
}

/// A target with a fixed number of slots and a bounded queue.
#[derive(Debug)]
pub(crate) struct EmulatedTarget {
    pub(crate) health: TargetHealth,
    /// Number of runs started so far.
    pub(crate) started: u32,
    slots: usize,
    running: Vec<Run>,
    queue: VecDeque<Run>,
}

impl EmulatedTarget {
    pub(crate) fn new(slots: u32) -> Self {
        EmulatedTarget {
            health: TargetHealth::Healthy,
            started: 0,
            slots: slots as usize,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Queues an attempt; returns `false` if the queue is full.
    pub(crate) fn admit(&mut self, attempt: usize, duration: Duration) -> bool {
        if self.queue.len() >= MAX_QUEUED {
            return false;
        }
        self.queue.push_back(Run { attempt, started_at: None, duration });
        true
    }

    /// Removes an attempt whose sender closed the connection.
    pub(crate) fn cancel(&mut self, attempt: usize) -> Option<Run> {
        if let Some(index) = self.queue.iter().position(|run| run.attempt == attempt) {
            return self.queue.remove(index);
        }
        let index = self.running.iter().position(|run| run.attempt == attempt)?;
        Some(self.running.swap_remove(index))
    }

    /// Returns the attempts that are running or queued.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = usize> {
        self.running.iter().chain(&self.queue).map(|run| run.attempt)
    }

    /// Removes and returns all running and queued attempts.
    pub(crate) fn take_all(&mut self) -> Vec<Run> {
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }

    /// Ends runs that are complete and starts queued ones in free slots; returns the attempts that
    /// started and those that ended.
    pub(crate) fn advance(&mut self, now: Instant) -> (Vec<usize>, Vec<usize>) {
        let is_complete =
            |run: &Run| run.started_at.is_some_and(|started_at| started_at + run.duration <= now);
        let ended =
            self.running.iter().filter(|run| is_complete(run)).map(|run| run.attempt).collect();
        self.running.retain(|run| !is_complete(run));
        let mut started = Vec::new();
        while self.running.len() < self.slots {
            let Some(mut run) = self.queue.pop_front() else { break };
            run.started_at = Some(now);
            started.push(run.attempt);
            self.started += 1;
            self.running.push(run);
        }
        (started, ended)
    }
}
