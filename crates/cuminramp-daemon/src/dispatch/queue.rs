//! Requests that wait for a target with room, served team by team.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::{Name, Refusal, ResultCode, SortedMap};
use cuminramp_targets::FairQueue;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::state::{DaemonState, lock};

/// How often waiting requests are looked at when nothing wakes them, since reports age meanwhile.
const PUMP_PAUSE: Duration = Duration::from_millis(20);

/// The queues of all pools.
#[derive(Default)]
pub(crate) struct PoolQueues {
    queues: Mutex<SortedMap<Name, FairQueue<oneshot::Sender<()>>>>,
}

impl PoolQueues {
    fn push(
        &self,
        pool: &Name,
        team: &Name,
        weight: u32,
        most: usize,
    ) -> Option<oneshot::Receiver<()>> {
        let mut queues = lock(&self.queues);
        let queue = queues.get_or_insert_with(pool.clone(), FairQueue::new);
        if queue.len() >= most {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        queue.push(team, weight, 1, sender);
        Some(receiver)
    }

    /// Whether nobody of the pool waits.
    pub(crate) fn is_empty(&self, pool: &str) -> bool {
        lock(&self.queues).get(pool).is_none_or(FairQueue::is_empty)
    }

    /// Lets the next request of the pool try; those whose callers went away are passed over.
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

    fn waiting_pools(&self) -> Vec<Name> {
        let queues = lock(&self.queues);
        let waiting = queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(pool, _)| pool.clone()).collect()
    }
}

/// Waits for a turn at a pool, at most until `deadline`.
pub(crate) async fn wait_turn(
    state: &DaemonState,
    pool: &Name,
    team: &Name,
    weight: u32,
    deadline: Instant,
) -> Result<(), Refusal> {
    let most = state.settings.targets.queue_length;
    let Some(turn) = state.queues.push(pool, team, weight, most) else {
        let refusal =
            Refusal::not_run(ResultCode::QueueFull, "too many requests wait for this pool");
        return Err(refusal.with_retry_after(Duration::from_secs(1)));
    };
    match tokio::time::timeout_at(deadline, turn).await {
        Ok(Ok(())) => Ok(()),
        _ => {
            let message = "no target of the pool had room in time";
            let refusal = Refusal::not_run(ResultCode::TargetsUnavailable, message);
            Err(refusal.with_retry_after(Duration::from_secs(1)))
        }
    }
}

/// Wakes waiting requests now and then: room also comes when reports age or targets come back.
pub(crate) async fn pump_queues(state: Arc<DaemonState>) {
    loop {
        tokio::time::sleep(PUMP_PAUSE).await;
        for pool in state.queues.waiting_pools() {
            state.queues.wake_next(&pool);
        }
    }
}
