//! A target that admits in order of arrival and knows no priorities.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Requests that a target lets wait.
const QUEUE: usize = 24;

/// Work on a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    /// Who it is for.
    pub(crate) work: usize,
    /// When it began; `None` in the queue.
    pub(crate) began: Option<Instant>,
    /// How long it takes a slot.
    pub(crate) takes: Duration,
}

/// What a target does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TargetHealth {
    /// It serves.
    Sound,
    /// It breaks every new connection.
    Failing,
    /// It is gone.
    Lost,
}

#[derive(Debug)]
pub(crate) struct EmulatedTarget {
    pub(crate) health: TargetHealth,
    pub(crate) begun: u32,
    slots: usize,
    running: Vec<Run>,
    queue: VecDeque<Run>,
}

impl EmulatedTarget {
    pub(crate) fn new(slots: u32) -> Self {
        EmulatedTarget {
            health: TargetHealth::Sound,
            begun: 0,
            slots: slots as usize,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Takes work; `false` where the queue is full.
    pub(crate) fn admit(&mut self, work: usize, takes: Duration) -> bool {
        if self.queue.len() >= QUEUE {
            return false;
        }
        self.queue.push_back(Run { work, began: None, takes });
        true
    }

    /// Takes work off, because its sender closed the connection.
    pub(crate) fn drop_work(&mut self, work: usize) -> Option<Run> {
        if let Some(at) = self.queue.iter().position(|run| run.work == work) {
            return self.queue.remove(at);
        }
        let at = self.running.iter().position(|run| run.work == work)?;
        Some(self.running.swap_remove(at))
    }

    /// Work that it runs or lets wait.
    pub(crate) fn works(&self) -> impl Iterator<Item = usize> {
        self.running.iter().chain(&self.queue).map(|run| run.work)
    }

    /// Loses everything; returns what it had.
    pub(crate) fn lose_all(&mut self) -> Vec<Run> {
        self.running.drain(..).chain(self.queue.drain(..)).collect()
    }

    /// Ends what is done by now, and begins what waits; returns what began and what ended.
    pub(crate) fn advance(&mut self, now: Instant) -> (Vec<usize>, Vec<usize>) {
        let is_done = |run: &Run| run.began.is_some_and(|began| began + run.takes <= now);
        let ended = self.running.iter().filter(|run| is_done(run)).map(|run| run.work).collect();
        self.running.retain(|run| !is_done(run));
        let mut begun = Vec::new();
        while self.running.len() < self.slots {
            let Some(mut run) = self.queue.pop_front() else { break };
            run.began = Some(now);
            begun.push(run.work);
            self.begun += 1;
            self.running.push(run);
        }
        (begun, ended)
    }
}
