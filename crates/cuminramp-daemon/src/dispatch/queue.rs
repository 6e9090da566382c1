//! Queues of requests that wait for a target with a free slot, shared fairly between teams.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::{Name, Refusal, ResultCode, SortedMap};
use cuminramp_targets::FairQueue;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::state::{DaemonState, lock};

/// Interval at which the next waiting request of each pool is woken even if no slot was released on this
/// host, since the load estimated from reports decays with their age.
const WAKE_INTERVAL: Duration = Duration::from_millis(20);

/// Queues of waiting requests, one per pool.
#[derive(Default)]
pub(crate) struct PoolQueues {
    queues: Mutex<SortedMap<Name, FairQueue<oneshot::Sender<()>>>>,
}

impl PoolQueues {
    /// Adds a waiting request. Returns `None` if `max_waiting` requests already wait for the pool.
    fn push(
        &self,
        pool: &Name,
        team: &Name,
        weight: u32,
        max_waiting: usize,
    ) -> Option<oneshot::Receiver<()>> {
        let mut queues = lock(&self.queues);
        let queue = queues.get_or_insert_with(pool.clone(), FairQueue::new);
        if queue.len() >= max_waiting {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        queue.push(team, weight, 1, sender);
        Some(receiver)
    }

    /// Returns whether no request waits for the pool.
    pub(crate) fn is_empty(&self, pool: &str) -> bool {
        lock(&self.queues).get(pool).is_none_or(FairQueue::is_empty)
    }

    /// Wakes the next request that waits for the pool. Requests whose callers have disconnected are
    /// skipped.
    pub(crate) fn wake_next(&self, pool: &str) {
        let mut queues = lock(&self.queues);
        let Some(queue) = queues.get_mut(pool) else {
            return;
        };
        while let Some(waiter) = queue.pop() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
    }

    /// Returns the pools for which requests wait.
    fn waiting_pools(&self) -> Vec<Name> {
        let queues = lock(&self.queues);
        let waiting = queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }
}

/// Waits for a turn to choose a target of the pool, until `deadline` at the latest.
pub(crate) async fn wait_for_turn(
    state: &DaemonState,
    pool: &Name,
    team: &Name,
    weight: u32,
    deadline: Instant,
) -> Result<(), Refusal> {
    let max_waiting = state.settings.targets.queue_length;
    let Some(turn) = state.queues.push(pool, team, weight, max_waiting) else {
        let refusal = Refusal::not_run(ResultCode::QueueFull, "the queue of this pool is full");
        return Err(refusal.with_retry_after(Duration::from_secs(1)));
    };
    match tokio::time::timeout_at(deadline, turn).await {
        Ok(Ok(())) => Ok(()),
        _ => {
            let message = "no target of the pool had a free slot in time";
            let refusal = Refusal::not_run(ResultCode::TargetsUnavailable, message);
            Err(refusal.with_retry_after(Duration::from_secs(1)))
        }
    }
}

/// Wakes the next waiting request of each pool every [`WAKE_INTERVAL`].
///
/// Slots also become free without a release on this host: when the load estimated from reports decays with
/// their age, and when ejected targets are reinstated.
pub(crate) async fn wake_waiting_requests(state: Arc<DaemonState>) {
    loop {
        tokio::time::sleep(WAKE_INTERVAL).await;
        for pool in state.queues.waiting_pools() {
            state.queues.wake_next(&pool);
        }
    }
}
