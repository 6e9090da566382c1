//! What the parts of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use cuminramp_core::{HostId, RandomSource};
use cuminramp_fleet::{
    DeclarationStore, DrainTable, FleetDeclarations, JobTable, KnownHost, PeerTable,
    PlacementTable, QuotaTable, RegionMap,
};
use cuminramp_settings::GatewaySettings;
use cuminramp_targets::CrashTable;
use tokio::sync::{Notify, Semaphore};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::interfaces::{CallFormat, FleetFormat, FleetStore};
use crate::jobs::{JobDirectory, JobWriters, RunningItems};
use crate::metrics::GatewayMetrics;
use crate::peers::{HostSocket, PeerClients};
use crate::slots::SlotState;
use crate::sync::{RelayedStore, UpdateRows};
use crate::targets::TargetConnections;

/// How long the store is asked whether it answers a host that hears few others: callers want to know of
/// a job's acceptance within half a second or so, and another host needs the rest of it.
const CUT_OFF_CHECK: Duration = Duration::from_millis(150);

/// Takes a lock; a holder that panicked left nothing half done that matters here.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Everything the parts share. Each lock is held only while something is decided, never across a
/// wait.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) me: KnownHost,
    /// The store, by way of other hosts where it does not answer this one.
    pub(crate) store: Arc<dyn FleetStore>,
    /// The same, to ask whether the store answers this host.
    pub(crate) relay: Arc<RelayedStore>,
    /// The store itself.
    pub(crate) direct_store: Arc<dyn FleetStore>,
    pub(crate) clients: PeerClients,
    pub(crate) calls: Arc<dyn CallFormat>,
    pub(crate) fleet: Arc<dyn FleetFormat>,
    pub(crate) declarations: Mutex<DeclarationStore>,
    pub(crate) drains: Mutex<DrainTable>,
    pub(crate) regions: RegionMap,
    pub(crate) quota: Mutex<QuotaTable>,
    pub(crate) placement: Mutex<PlacementTable>,
    /// Requests that broke targets.
    pub(crate) crashes: Mutex<CrashTable>,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) jobs: Mutex<JobTable>,
    pub(crate) directory: JobDirectory,
    pub(crate) writers: JobWriters,
    pub(crate) running: RunningItems,
    pub(crate) connections: TargetConnections,
    pub(crate) updates: Mutex<UpdateRows>,
    pub(crate) random: Mutex<Box<dyn RandomSource>>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) slots: SlotState,
    pub(crate) socket: OnceLock<HostSocket>,
    pub(crate) heartbeat_sequence: AtomicU64,
    /// Whether the table of hosts was read since the start; until then others are asked for hosts.
    pub(crate) has_read_hosts: AtomicBool,
    /// One question for news at a time.
    pub(crate) asks_for_updates: Semaphore,
    pub(crate) heartbeat_wanted: Notify,
    pub(crate) items_wanted: Notify,
    pub(crate) started: Instant,
    pub(crate) is_draining: AtomicBool,
    pub(crate) has_left: AtomicBool,
    pub(crate) tasks: TaskTracker,
    /// Cancelled when the host leaves: batch work ends, callers are served on.
    pub(crate) drain: CancellationToken,
    /// Cancelled when connections of callers close as soon as they are idle.
    pub(crate) drain_idle: CancellationToken,
    /// Cancelled when the process ends.
    pub(crate) stop: CancellationToken,
}

impl GatewayState {
    /// This run.
    pub(crate) fn id(&self) -> HostId {
        HostId { address: self.me.address.clone(), incarnation: self.me.incarnation }
    }

    /// The declarations in force.
    pub(crate) fn declared(&self) -> Option<Arc<FleetDeclarations>> {
        lock(&self.declarations).current().cloned()
    }

    /// Whether the host takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && lock(&self.declarations).current().is_some()
    }

    /// Whether this host is cut off from most hosts and from the store, so that another one is likely to do
    /// what it can't. Where most hosts are heard and the store answers none of them, waiting is better.
    pub(crate) async fn is_cut_off(&self) -> bool {
        if lock(&self.peers).has_majority(Instant::now()) {
            return false;
        }
        !self.relay.is_reached() || !self.relay.answers_within(CUT_OFF_CHECK).await
    }

    /// Whether the host is about to leave.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Tells other hosts soon that something changed.
    pub(crate) fn request_heartbeat(&self) {
        self.heartbeat_wanted.notify_one();
    }

    /// A number to spread work by.
    pub(crate) fn draw(&self, bound: usize) -> usize {
        lock(&self.random).below(bound)
    }
}
