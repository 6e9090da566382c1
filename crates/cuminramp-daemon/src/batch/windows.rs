//! Windows of the engines that this host is steward of, and the items that wait and run.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use cuminramp_core::{Name, SortedMap, rendezvous_score};
use cuminramp_routes::{Pool, Target};
use cuminramp_targets::{BatchWindow, FairQueue, OnlinePacking, TargetSpec, WindowPolicy};
use cuminramp_wire::peer::YieldNotice;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::held::{HeldChunk, ItemRef};
use crate::state::{DaemonState, lock};

/// An item that runs on an engine.
pub(crate) struct RunningItem {
    pub(crate) number: u64,
    pub(crate) cancel: CancellationToken,
    /// Whether it is a suspect, beside which nothing else of batch runs.
    pub(crate) alone: bool,
}

/// One engine as its steward sees it.
pub(crate) struct EngineWindow {
    pub(crate) window: BatchWindow,
    pub(crate) running: Vec<RunningItem>,
}

/// Items that wait for a window, by pool.
#[derive(Default)]
pub(crate) struct WaitingItems {
    pub(crate) ready: SortedMap<Name, FairQueue<ItemRef>>,
    /// Items under which a target died: each runs alone.
    pub(crate) suspects: SortedMap<Name, VecDeque<ItemRef>>,
}

impl WaitingItems {
    /// Whether any wait for a pool.
    pub(crate) fn waits_for(&self, pool: &str) -> bool {
        let ready = self.ready.get(pool).is_some_and(|queue| !queue.is_empty());
        ready || self.suspects.get(pool).is_some_and(|queue| !queue.is_empty())
    }

    /// How many items wait.
    pub(crate) fn len(&self) -> usize {
        let ready: usize = self.ready.values().map(FairQueue::len).sum();
        let suspects: usize = self.suspects.values().map(VecDeque::len).sum();
        ready + suspects
    }
}

/// What the parts of batch work share.
pub(crate) struct BatchState {
    policy: WindowPolicy,
    pub(crate) engines: Mutex<SortedMap<Name, EngineWindow>>,
    pub(crate) waiting: Mutex<WaitingItems>,
    pub(crate) held: Mutex<Vec<Arc<HeldChunk>>>,
    announced: Mutex<SortedMap<Name, Instant>>,
    packings: Mutex<SortedMap<Name, OnlinePacking>>,
    /// Whether any job is open.
    pub(crate) has_jobs: AtomicBool,
    /// Wakes the runner.
    pub(crate) work: Notify,
    /// Wakes the claimer.
    pub(crate) hungry: Notify,
}

impl BatchState {
    pub(crate) fn new(policy: WindowPolicy) -> Self {
        BatchState {
            policy,
            engines: Mutex::default(),
            waiting: Mutex::default(),
            held: Mutex::default(),
            announced: Mutex::default(),
            packings: Mutex::default(),
            has_jobs: AtomicBool::new(false),
            work: Notify::new(),
            hungry: Notify::new(),
        }
    }

    /// The engine's window, closed at first.
    pub(crate) fn with_engine<R>(
        &self,
        target: &Name,
        slots: u32,
        use_engine: impl FnOnce(&mut EngineWindow) -> R,
    ) -> R {
        let mut engines = lock(&self.engines);
        let fresh = || EngineWindow {
            window: BatchWindow::new(self.policy.clone(), slots, Instant::now()),
            running: Vec::new(),
        };
        use_engine(engines.get_or_insert_with(target.clone(), fresh))
    }

    /// Online work is on its way to these engines: batch leaves them at once.
    pub(crate) fn note_online(&self, targets: &[Name], now: Instant) {
        let mut engines = lock(&self.engines);
        for target in targets {
            let Some(engine) = engines.get_mut(&**target) else {
                continue;
            };
            engine.window.on_online(now);
            for running in &engine.running {
                running.cancel.cancel();
            }
        }
    }

    /// Whether there is anything of batch to look after.
    pub(crate) fn has_work(&self) -> bool {
        self.has_jobs.load(Ordering::Relaxed)
            || lock(&self.waiting).len() > 0
            || lock(&self.engines).values().any(|engine| !engine.running.is_empty())
    }

    /// The targets of a pool that online work should keep to; `None`, which is all of them, while no
    /// job is open.
    pub(crate) fn pack_online(
        &self,
        state: &DaemonState,
        pool: &Name,
        specs: &[TargetSpec],
    ) -> Option<Vec<TargetSpec>> {
        if !self.has_jobs.load(Ordering::Relaxed) {
            return None;
        }
        let now = Instant::now();
        let here: u32 = {
            let targets = lock(&state.targets);
            specs.iter().map(|spec| targets.in_flight(&spec.name).0).sum()
        };
        // Callers spread over hosts, so others probably have as many.
        let hosts = lock(&state.members).usable_hosts().len();
        let in_flight = f64::from(here) * hosts as f64 + 1.0;
        let mut packings = lock(&self.packings);
        let packing = packings.get_or_insert_with(pool.clone(), || OnlinePacking::new(now));
        Some(packing.choose(specs, in_flight, now))
    }

    /// Tells the engine's steward that online work is on its way, unless it was told just now.
    pub(crate) fn announce_online(&self, state: &Arc<DaemonState>, target: &Name) {
        let now = Instant::now();
        let Some(batch_owner) = batch_owner_of(state, target) else {
            return;
        };
        if batch_owner == state.me.id.address {
            return self.note_online(std::slice::from_ref(target), now);
        }
        let pause = self.policy.yield_time / 2;
        {
            let mut announced = lock(&self.announced);
            let last = announced.get(&**target).copied();
            if last.is_some_and(|at| now.saturating_duration_since(at) < pause) {
                return;
            }
            announced.insert(target.clone(), now);
        }
        let (state, target) = (state.clone(), target.clone());
        state.metrics.count_peer_call("yield");
        tokio::spawn(async move {
            let notice = YieldNotice { targets: vec![target.to_string()] };
            state.peers.yield_targets(&batch_owner, notice).await;
        });
    }
}

/// The one host that lets batch work into an engine.
///
/// Two hosts that see different hosts for a moment may both hold themselves for the steward; the
/// engine's reports then show each the other's items, and both make room.
pub(crate) fn batch_owner_of(state: &DaemonState, target: &str) -> Option<Name> {
    let hosts = lock(&state.members).usable_hosts();
    let batch_owner = hosts.iter().max_by_key(|host| rendezvous_score(target, &host.id.address))?;
    Some(batch_owner.id.address.clone())
}

/// Whether this host is steward of any engine of a pool.
pub(crate) fn owns_any_batch(state: &DaemonState, pool: &Pool) -> bool {
    let is_mine = |target: &Target| {
        batch_owner_of(state, &target.name)
            .is_some_and(|batch_owner| batch_owner == state.me.id.address)
    };
    pool.targets.iter().any(is_mine)
}
