//! State shared by the parts of a gateway.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use cuminramp_core::{AvailabilityZone, HostId, Incarnation, Name, RandomSource};
use cuminramp_fleet::{
    DeclarationStore, DrainTable, FleetDeclarations, FleetKnowledge, JobTable, KnownHost,
    LocalReadiness, PeerTable, PlacementTable, QuotaTable, RegionMap, RouteDurations, TeamWeights,
};
use cuminramp_settings::{GatewaySettings, QueueMode};
use cuminramp_targets::{CrashTable, RetryBudget};
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::interfaces::{CallFormat, FleetFormat, FleetStore};
use crate::jobs::{JobDirectory, JobWriters, RunningItems};
use crate::metrics::GatewayMetrics;
use crate::online::ResponseBudget;
use crate::parts::PartState;
use crate::peers::{HostSocket, PeerClients};
use crate::readers::ReaderBudget;
use crate::slots::SlotState;
use crate::streams::StreamState;
use crate::sync::{RelayedStore, TableMirrors, UpdateRows};
use crate::targets::TargetConnections;
use crate::tokens::TokenState;

/// Timeout for checking whether the store answers a host that receives heartbeats from few others. Callers
/// expect the acceptance of a job within about half a second, and another host needs the rest of that time.
const STORE_CHECK_TIMEOUT: Duration = Duration::from_millis(150);

/// Locks a mutex, even a poisoned one: a thread that panicked leaves no partial change that matters here.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Addresses, zone and size of this host.
#[derive(Clone, Debug)]
pub(crate) struct LocalHost {
    /// Address for other hosts.
    pub(crate) address: Name,
    /// Address for callers.
    pub(crate) caller_address: Name,
    pub(crate) zone: AvailabilityZone,
    /// Share of a processor core that the host may use, in percent.
    pub(crate) core_percent: u16,
}

impl LocalHost {
    /// Returns the host as its heartbeats describe it.
    pub(crate) fn with_incarnation(&self, incarnation: Incarnation) -> KnownHost {
        let LocalHost { address, caller_address, zone, core_percent } = self.clone();
        KnownHost { address, incarnation, caller_address, zone, core_percent }
    }
}

/// State shared by the parts of a gateway. Each lock is held only for a decision, never across an `await`.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) local_host: LocalHost,
    /// Incarnation of this run. It is raised if an earlier run turns out to have had a higher one.
    pub(crate) incarnation: AtomicU64,
    /// The store, called through other hosts while it does not answer this one.
    pub(crate) store: Arc<dyn FleetStore>,
    /// The same object as `store`, by its own type, for checks of whether the store answers this host.
    pub(crate) relayed_store: Arc<RelayedStore>,
    /// The store, called by this host alone.
    pub(crate) direct_store: Arc<dyn FleetStore>,
    pub(crate) peer_clients: PeerClients,
    pub(crate) call_format: Arc<dyn CallFormat>,
    pub(crate) fleet_format: Arc<dyn FleetFormat>,
    pub(crate) declarations: Mutex<DeclarationStore>,
    pub(crate) drains: Mutex<DrainTable>,
    pub(crate) regions: RegionMap,
    /// Where the owners of slots queue requests.
    pub(crate) queue_mode: QueueMode,
    /// Weights of teams that the settings name.
    pub(crate) team_weights: TeamWeights,
    pub(crate) quota: Mutex<QuotaTable>,
    pub(crate) placement: Mutex<PlacementTable>,
    /// Crash counts of requests, from which poison requests are detected.
    pub(crate) crashes: Mutex<CrashTable>,
    /// Parts of prompts that crash targets.
    pub(crate) parts: PartState,
    /// Limits sends beside those whose targets are silent.
    pub(crate) failover_budget: Mutex<RetryBudget>,
    /// Bounds the memory of responses that are buffered until they are complete.
    pub(crate) response_budget: Arc<ResponseBudget>,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) jobs: Mutex<JobTable>,
    pub(crate) directory: JobDirectory,
    pub(crate) writers: JobWriters,
    pub(crate) running_items: RunningItems,
    pub(crate) connections: TargetConnections,
    pub(crate) updates: Mutex<UpdateRows>,
    /// Copies of the followed tables, from which other hosts follow them.
    pub(crate) mirrors: TableMirrors,
    pub(crate) random: Mutex<Box<dyn RandomSource>>,
    pub(crate) metrics: GatewayMetrics,
    /// Memory held for callers that don't read; `None` if the settings set no bound.
    pub(crate) readers: Option<Mutex<ReaderBudget>>,
    pub(crate) slots: SlotState,
    pub(crate) tokens: TokenState,
    pub(crate) streams: StreamState,
    pub(crate) socket: OnceLock<HostSocket>,
    pub(crate) heartbeat_sequence: AtomicU64,
    /// Whether this host's row has been written since the start.
    pub(crate) is_announced: watch::Sender<bool>,
    /// Whether the store lists so few hosts that each of them reads all tables itself. Unknown at a start, and then
    /// `false`.
    pub(crate) is_small_fleet: watch::Sender<bool>,
    /// Whether declarations are known.
    pub(crate) has_declarations: watch::Sender<bool>,
    /// Whether the table of hosts was read after this host's row was written. Until then, join requests ask
    /// for known hosts, and there may be hosts that neither know this one nor are known to it.
    pub(crate) has_read_host_table: AtomicBool,
    /// Whether the rows of hosts of all zones were read, and not only those of this host's zone.
    pub(crate) has_read_all_zones: AtomicBool,
    /// Whether this host has read the table of targets. In a large fleet only the hosts that may own groups do.
    pub(crate) holds_targets: AtomicBool,
    /// Limits requests for updates to one at a time.
    pub(crate) update_request_permit: Semaphore,
    /// Notified when the next heartbeats are to be sent soon.
    pub(crate) heartbeat_requested: Notify,
    /// Notified when slots are to be requested for waiting items.
    pub(crate) item_slots_requested: Notify,
    pub(crate) started_at: Instant,
    /// When a draining host breaks off what is still open; empty until it drains.
    pub(crate) exit_at: OnceLock<Instant>,
    /// How long recent requests took.
    pub(crate) route_durations: Mutex<RouteDurations>,
    /// Whether the drain has ended; the last heartbeats report it.
    pub(crate) has_left: AtomicBool,
    /// Tracks calls and requests in progress, so that the drain can wait for them.
    pub(crate) tasks: TaskTracker,
    /// Cancelled when the host starts to drain: batch work ends, callers are still served.
    pub(crate) drain: CancellationToken,
    /// Cancelled during the drain, to close callers' connections from then on as soon as they are idle.
    pub(crate) drain_idle: CancellationToken,
    /// Cancelled when a draining host has no call in progress: connections close once their responses are written.
    pub(crate) closing: CancellationToken,
    /// Tracks connections, so that the drain can wait until their responses are written.
    pub(crate) connection_tasks: TaskTracker,
    /// Cancelled when the gateway stops.
    pub(crate) stop: CancellationToken,
}

impl GatewayState {
    /// Returns the address and incarnation of this run.
    pub(crate) fn id(&self) -> HostId {
        HostId { address: self.local_host.address.clone(), incarnation: self.incarnation() }
    }

    /// Returns the incarnation of this run.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Relaxed)
    }

    /// Returns this host as its heartbeats describe it.
    pub(crate) fn known_host(&self) -> KnownHost {
        self.local_host.with_incarnation(self.incarnation())
    }

    /// Returns the declarations in force; `None` until some were read.
    pub(crate) fn current_declarations(&self) -> Option<Arc<FleetDeclarations>> {
        lock(&self.declarations).current().cloned()
    }

    /// Returns whether the host is ready for callers: it has declarations and does not drain.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && lock(&self.declarations).current().is_some()
    }

    /// Returns whether this host accepts requests, and whether others can adopt its token levels.
    pub(crate) fn readiness(&self, now: Instant) -> LocalReadiness {
        LocalReadiness { is_ready: self.is_ready(), is_settled: lock(&self.quota).is_settled(now) }
    }

    /// Returns whether this host knows enough of the others to ask for tokens of teams.
    pub(crate) fn knows_fleet(&self) -> bool {
        let now = Instant::now();
        let peers = lock(&self.peers);
        let knowledge = FleetKnowledge {
            uptime: self.started_at.elapsed(),
            has_read_hosts: self.has_read_host_table.load(Ordering::Relaxed),
            hears_others: peers.count_alive(now).0 > 1,
            hears_settled: peers.knows_settled_host(now),
            has_read_all_zones: self.has_read_all_zones.load(Ordering::Relaxed),
        };
        knowledge.allows_tokens()
    }

    /// Returns whether this host knows the targets only of which owners granted it slots.
    pub(crate) fn borrows_targets(&self) -> bool {
        !self.holds_targets.load(Ordering::Relaxed) && lock(&self.peers).uses_probes()
    }

    /// Returns whether this host has read all targets.
    pub(crate) fn knows_targets(&self) -> bool {
        !self.borrows_targets() && lock(&self.updates).targets_version() > 0
    }

    /// Returns whether this host is cut off from most hosts and from the store, so that another host probably
    /// can do what this one can't.
    ///
    /// While at least half of the hosts are alive, this returns `false` even if the store does not answer: if
    /// the store answers none of these hosts, waiting is better than sending the caller to another one.
    pub(crate) async fn is_cut_off(&self) -> bool {
        if lock(&self.peers).has_at_least_half(Instant::now()) {
            return false;
        }
        !self.relayed_store.is_reachable()
            || !self.relayed_store.check_within(STORE_CHECK_TIMEOUT).await
    }

    /// Returns whether the host drains before it leaves.
    pub(crate) fn is_draining(&self) -> bool {
        self.exit_at.get().is_some()
    }

    /// Returns the time until a draining host breaks off what is still open; `None` if the host does not drain.
    pub(crate) fn time_until_exit(&self) -> Option<Duration> {
        self.exit_at.get().map(|exit_at| exit_at.saturating_duration_since(Instant::now()))
    }

    /// Sends heartbeats to the other hosts soon, to report a change.
    pub(crate) fn request_heartbeat(&self) {
        self.heartbeat_requested.notify_one();
    }

    /// Returns a random number below `bound`, used to spread work.
    pub(crate) fn random_below(&self, bound: usize) -> usize {
        lock(&self.random).below(bound)
    }
}
