//! Batch windows of engines, and the batch items that wait and run on this host.

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

use crate::batch::leased::{ItemRef, LeasedChunk};
use crate::state::{DaemonState, lock};

/// A batch item that runs on an engine.
pub(crate) struct RunningItem {
    /// Identifies the run, as an item may run more than once.
    pub(crate) number: u64,
    pub(crate) cancel: CancellationToken,
    /// Whether this host must run no other batch item on the engine, because a target crashed while it
    /// ran this item.
    pub(crate) isolated: bool,
}

/// An engine's batch window on this host, and the items that this host runs there.
pub(crate) struct EngineWindow {
    pub(crate) window: BatchWindow,
    pub(crate) running: Vec<RunningItem>,
}

/// Items that wait for free capacity in a window, by pool.
#[derive(Default)]
pub(crate) struct WaitingItems {
    pub(crate) ready: SortedMap<Name, FairQueue<ItemRef>>,
    /// Items that ran on a target when it crashed: each runs alone.
    pub(crate) isolated: SortedMap<Name, VecDeque<ItemRef>>,
}

impl WaitingItems {
    /// Returns whether any items wait for a pool.
    pub(crate) fn has_items_for(&self, pool: &str) -> bool {
        let ready = self.ready.get(pool).is_some_and(|queue| !queue.is_empty());
        ready || self.isolated.get(pool).is_some_and(|queue| !queue.is_empty())
    }

    /// Returns the number of waiting items.
    pub(crate) fn len(&self) -> usize {
        let ready: usize = self.ready.values().map(FairQueue::len).sum();
        let isolated: usize = self.isolated.values().map(VecDeque::len).sum();
        ready + isolated
    }
}

/// State shared by the claiming and the running of batch work.
pub(crate) struct BatchState {
    policy: WindowPolicy,
    pub(crate) engines: Mutex<SortedMap<Name, EngineWindow>>,
    pub(crate) waiting: Mutex<WaitingItems>,
    /// Chunks that this host holds the lease of.
    pub(crate) leased: Mutex<Vec<Arc<LeasedChunk>>>,
    /// When this host last reported online work on a target to the target's batch owner.
    reported: Mutex<SortedMap<Name, Instant>>,
    packings: Mutex<SortedMap<Name, OnlinePacking>>,
    /// Whether any job is open.
    pub(crate) has_open_jobs: AtomicBool,
    /// Wakes the task that runs items.
    pub(crate) runner_wakeup: Notify,
    /// Wakes the task that leases chunks.
    pub(crate) claim_wakeup: Notify,
}

impl BatchState {
    pub(crate) fn new(policy: WindowPolicy) -> Self {
        BatchState {
            policy,
            engines: Mutex::default(),
            waiting: Mutex::default(),
            leased: Mutex::default(),
            reported: Mutex::default(),
            packings: Mutex::default(),
            has_open_jobs: AtomicBool::new(false),
            runner_wakeup: Notify::new(),
            claim_wakeup: Notify::new(),
        }
    }

    /// Calls `access` with an engine's window, which is created closed if there is none yet.
    pub(crate) fn with_engine<R>(
        &self,
        target: &Name,
        slots: u32,
        access: impl FnOnce(&mut EngineWindow) -> R,
    ) -> R {
        let mut engines = lock(&self.engines);
        let new_engine = || EngineWindow {
            window: BatchWindow::new(self.policy.clone(), slots, Instant::now()),
            running: Vec::new(),
        };
        access(engines.get_or_insert_with(target.clone(), new_engine))
    }

    /// Closes the windows of engines that online work is being sent to, and cancels the batch items that
    /// run there, as they would slow the online work. Engines without a window on this host are left out.
    pub(crate) fn preempt_for_online(&self, targets: &[Name], now: Instant) {
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

    /// Returns whether this host runs batch items on any of the targets.
    pub(crate) fn runs_items_on(&self, targets: &[Target]) -> bool {
        let engines = lock(&self.engines);
        let runs_items = |target: &Target| {
            engines.get(&*target.name).is_some_and(|engine| !engine.running.is_empty())
        };
        targets.iter().any(runs_items)
    }

    /// Returns whether any job is open or any batch item waits or runs on this host.
    pub(crate) fn has_work(&self) -> bool {
        self.has_open_jobs.load(Ordering::Relaxed)
            || lock(&self.waiting).len() > 0
            || lock(&self.engines).values().any(|engine| !engine.running.is_empty())
    }

    /// Returns the targets of a pool that online work should prefer, so that batch work has the others;
    /// `None` while no job is open, when online work uses all targets.
    pub(crate) fn preferred_online_targets(
        &self,
        state: &DaemonState,
        pool: &Name,
        specs: &[TargetSpec],
    ) -> Option<Vec<TargetSpec>> {
        if !self.has_open_jobs.load(Ordering::Relaxed) {
            return None;
        }
        let now = Instant::now();
        let local: u32 = {
            let targets = lock(&state.targets);
            specs.iter().map(|spec| targets.in_flight(&spec.name).0).sum()
        };
        // Callers are spread over all hosts, so each host probably has about as many in flight.
        let hosts = lock(&state.members).usable_hosts().len();
        let in_flight = f64::from(local) * hosts as f64 + 1.0;
        let mut packings = lock(&self.packings);
        let packing = packings.get_or_insert_with(pool.clone(), || OnlinePacking::new(now));
        Some(packing.choose(specs, in_flight, now))
    }

    /// Reports online work on a target to the target's batch owner, at most once per half of the yield
    /// time.
    pub(crate) fn report_online(&self, state: &Arc<DaemonState>, target: &Name) {
        let now = Instant::now();
        let Some(batch_owner) = batch_owner_of(state, target) else {
            return;
        };
        if batch_owner == state.me.id.address {
            return self.preempt_for_online(std::slice::from_ref(target), now);
        }
        let interval = self.policy.online_cooldown / 2;
        {
            let mut reported = lock(&self.reported);
            let last = reported.get(&**target).copied();
            if last.is_some_and(|at| now.saturating_duration_since(at) < interval) {
                return;
            }
            reported.insert(target.clone(), now);
        }
        let (state, target) = (state.clone(), target.clone());
        state.metrics.count_peer_call("yield");
        tokio::spawn(async move {
            let notice = YieldNotice { targets: vec![target.to_string()] };
            state.peers.yield_targets(&batch_owner, notice).await;
        });
    }
}

/// Returns the batch owner of a target: the one host that admits batch items to it.
///
/// While hosts have different lists of usable hosts, two of them may both act as batch owner of a
/// target. The engine's load reports then show each the other's items, and both shrink their windows.
pub(crate) fn batch_owner_of(state: &DaemonState, target: &str) -> Option<Name> {
    let hosts = lock(&state.members).usable_hosts();
    let batch_owner = hosts.iter().max_by_key(|host| rendezvous_score(target, &host.id.address))?;
    Some(batch_owner.id.address.clone())
}

/// Returns whether this host is the batch owner of any target of a pool.
pub(crate) fn owns_any_batch(state: &DaemonState, pool: &Pool) -> bool {
    let is_owned = |target: &Target| {
        batch_owner_of(state, &target.name)
            .is_some_and(|batch_owner| batch_owner == state.me.id.address)
    };
    pool.targets.iter().any(is_owned)
}
