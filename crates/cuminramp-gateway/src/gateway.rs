//! Starts, drains and stops a gateway.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cuminramp_core::{HostId, SeededRandom};
use cuminramp_fleet::{
    ColdTolerance, JobPolicy, JobTable, PeerPolicy, PeerTable, PlacementPolicy, PlacementTable,
    QuotaTable, QuotaTolerance, RegionMap, TeamWeights, incarnation_after,
};
use cuminramp_settings::GatewaySettings;
use cuminramp_targets::{CrashTable, RetryBudget};
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::drain::shut_down;
use crate::entry::{serve_callers, serve_metrics, serve_readiness, serve_steering};
use crate::interfaces::{CallFormat, FleetFormat, FleetStore};
use crate::jobs::{JobsFollower, run_items, save_progress, take_over_jobs};
use crate::metrics::GatewayMetrics;
use crate::online::ResponseBudget;
use crate::parts::{exchange_parts, restore_quarantines};
use crate::peers::{HostSocket, PeerClients, receive_datagrams, send_heartbeats, serve_calls};
use crate::readers::ReaderBudget;
use crate::slots::{SlotState, maintain_owned_groups, send_reports};
use crate::state::{GatewayState, LocalHost};
use crate::sync::{
    DeclarationsFollower, RelayedStore, TargetsFollower, announce_host, check_fleet_size,
    follow_hosts, follow_table, read_earlier_run,
};
use crate::targets::TargetConnections;
use crate::upkeep::run_upkeep;

/// Minimum silence after which the jobs of a host are taken over. It is long enough for a process to be
/// killed and started again, and for a host to be frozen briefly.
const PEER_POLICY: PeerPolicy = PeerPolicy { lost_timeout: Duration::from_millis(1_500) };
/// Maximum wait for the row of an earlier run of this host. A start must not take longer if the store does not answer.
const MAX_EARLIER_RUN_WAIT: Duration = Duration::from_millis(300);
/// Why a gateway did not start.
#[derive(Debug)]
pub enum GatewayError {
    /// The gateway can't listen on an address.
    Listen {
        /// Setting that holds the address.
        setting: &'static str,
        /// Address to listen on.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics can't be set up.
    Metrics(String),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewayError::Listen { setting, address, source } => write!(
                formatter,
                "1502 SettingsInvalid: {setting}: can't listen on {address}: {source}"
            ),
            GatewayError::Metrics(reason) => write!(formatter, "1900 Internal: metrics: {reason}"),
        }
    }
}

impl std::error::Error for GatewayError {}

/// A running gateway. Dropping it doesn't stop its tasks.
pub struct Gateway {
    state: Arc<GatewayState>,
}

/// Sends beside silent targets that each request earns, and the number saved up at most. When many targets are
/// silent at once, such sends would otherwise double the load of the others.
const FAILOVER_SHARE: f64 = 0.1;
const FAILOVER_BURST: f64 = 20.0;
/// Number of target crashes at which a request is quarantined as a poison request: one more than a route's
/// usual two attempts, so that two crashes by coincidence quarantine nothing.
const MAX_REQUEST_CRASHES: u32 = 3;
/// Time for which a poison request stays quarantined. Callers give up within seconds, and a target that was
/// replaced by a fixed version is ready within a minute.
const QUARANTINE_TTL: Duration = Duration::from_secs(60);

async fn listen(setting: &'static str, address: &str) -> Result<TcpListener, GatewayError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| GatewayError::Listen { setting, address: address.to_owned(), source })
}

/// Returns the incarnation of this run: the time in microseconds since the Unix epoch, or a higher one than that of the
/// earlier run that the host's row names. The clock may have been ahead during that run.
async fn new_incarnation(settings: &GatewaySettings, store: &dyn FleetStore) -> u64 {
    let passed = SystemTime::now().duration_since(UNIX_EPOCH);
    let by_clock = passed.map_or(1, |passed| passed.as_micros() as u64);
    if settings.first_start {
        return by_clock;
    }
    let earlier = timeout(MAX_EARLIER_RUN_WAIT, read_earlier_run(settings, store)).await;
    let earlier = earlier.ok().flatten().unwrap_or(0);
    if earlier >= by_clock {
        let ahead_ms = (earlier - by_clock) / 1_000;
        log::warn!(earlier = earlier, ahead_ms = ahead_ms; "clock-behind-earlier-run");
    }
    by_clock.max(incarnation_after(earlier, &mut SeededRandom::new(rand::rng().next_u64())))
}

fn build_state(
    settings: GatewaySettings,
    incarnation: u64,
    store: Arc<dyn FleetStore>,
    call_format: Arc<dyn CallFormat>,
    fleet_format: Arc<dyn FleetFormat>,
) -> Result<GatewayState, GatewayError> {
    let now = Instant::now();
    let local_host = LocalHost {
        address: settings.peer_address.as_str().into(),
        caller_address: settings.caller_address.as_str().into(),
        zone: settings.availability_zone.as_str().into(),
        core_percent: (settings.cpu_share * 100.0).round() as u16,
    };
    let id = HostId { address: local_host.address.clone(), incarnation };
    let known_host = local_host.with_incarnation(incarnation);
    let relayed_store = Arc::new(RelayedStore::new(store.clone()));
    let tolerance = QuotaTolerance {
        share: settings.rate_tolerance_share,
        extra_requests: settings.rate_tolerance_requests,
        window: Duration::from_secs_f64(settings.rate_window_s),
    };
    let placement = PlacementPolicy {
        cold_tolerance: ColdTolerance {
            factor: settings.cold_tolerance_factor,
            requests: settings.cold_tolerance_requests,
        },
        uses_pace: settings.uses_target_pace(),
        ..PlacementPolicy::default()
    };
    let zones = settings.zone_regions.iter();
    let regions =
        RegionMap::new(zones.map(|set| (set.zone.as_str().into(), set.region.as_str().into())));
    let weights = settings.team_weights.iter();
    let weights = weights.map(|set| (set.team.as_str().into(), set.weight)).collect();
    let metrics =
        GatewayMetrics::new().map_err(|error| GatewayError::Metrics(error.to_string()))?;
    Ok(GatewayState {
        declarations: Default::default(),
        quota: QuotaTable::new(tolerance, now).into(),
        placement: PlacementTable::new(local_host.zone.clone(), placement).into(),
        drains: Default::default(),
        regions,
        queue_mode: settings.queue_mode(),
        team_weights: TeamWeights::new(weights),
        slots: SlotState::new(id),
        tokens: Default::default(),
        streams: Default::default(),
        crashes: CrashTable::new(MAX_REQUEST_CRASHES, QUARANTINE_TTL).into(),
        parts: Default::default(),
        response_budget: ResponseBudget::new(settings.memory_mb).into(),
        failover_budget: RetryBudget::new(FAILOVER_SHARE, FAILOVER_BURST).into(),
        peers: PeerTable::new(known_host, PEER_POLICY).into(),
        jobs: JobTable::new(JobPolicy::default()).into(),
        directory: Default::default(),
        writers: Default::default(),
        running_items: Default::default(),
        connections: TargetConnections::new(settings.stream_buffer_bytes().is_some()),
        readers: settings.stream_buffer_bytes().map(|bytes| ReaderBudget::new(bytes).into()),
        updates: Default::default(),
        mirrors: Default::default(),
        random: std::sync::Mutex::new(Box::new(SeededRandom::new(rand::rng().next_u64()))),
        metrics,
        socket: OnceLock::new(),
        heartbeat_sequence: AtomicU64::new(1),
        is_announced: watch::Sender::new(false),
        is_small_fleet: watch::Sender::new(false),
        has_declarations: watch::Sender::new(false),
        has_read_host_table: AtomicBool::new(false),
        has_read_all_zones: AtomicBool::new(false),
        holds_targets: AtomicBool::new(false),
        update_request_permit: Semaphore::new(1),
        heartbeat_requested: Notify::new(),
        item_slots_requested: Notify::new(),
        started_at: now,
        exit_at: OnceLock::new(),
        route_durations: Default::default(),
        has_left: AtomicBool::new(false),
        tasks: TaskTracker::new(),
        drain: CancellationToken::new(),
        drain_idle: CancellationToken::new(),
        closing: CancellationToken::new(),
        connection_tasks: TaskTracker::new(),
        stop: CancellationToken::new(),
        settings,
        local_host,
        incarnation: incarnation.into(),
        store: relayed_store.clone(),
        relayed_store,
        direct_store: store,
        peer_clients: PeerClients::default(),
        call_format,
        fleet_format,
    })
}

impl Gateway {
    /// Starts a gateway on the given store and formats.
    pub async fn start(
        settings: GatewaySettings,
        store: Arc<dyn FleetStore>,
        call_format: Arc<dyn CallFormat>,
        fleet_format: Arc<dyn FleetFormat>,
    ) -> Result<Self, GatewayError> {
        let callers = listen("caller-address", &settings.caller_address).await?;
        let readiness = listen("readiness-address", &settings.readiness_address).await?;
        let steering = listen("steering-address", &settings.steering_address).await?;
        let metrics = listen("metrics-address", &settings.metrics_address).await?;
        let peers = listen("peer-address", &settings.peer_address).await?;
        let incarnation = new_incarnation(&settings, &*store).await;
        let state = build_state(settings, incarnation, store, call_format, fleet_format)?;
        let state = Arc::new(state);
        let address = &state.settings.peer_address;
        let socket = HostSocket::bind(address, state.metrics.datagrams()).await;
        let socket = socket.map_err(|source| GatewayError::Listen {
            setting: "peer-address",
            address: address.clone(),
            source,
        })?;
        state.relayed_store.attach(&state);
        // Can't fail: the cell is empty until here.
        let _ = state.socket.set(socket);
        log::info!(
            host = state.settings.name.as_str(), address = &*state.local_host.address,
            incarnation = state.incarnation(), zone = &*state.local_host.zone,
            callers = &*state.local_host.caller_address;
            "started"
        );
        tokio::spawn(serve_callers(state.clone(), callers));
        tokio::spawn(serve_readiness(state.clone(), readiness));
        tokio::spawn(serve_steering(state.clone(), steering));
        tokio::spawn(serve_metrics(state.clone(), metrics));
        tokio::spawn(serve_calls(state.clone(), peers));
        spawn_loops(&state);
        Ok(Gateway { state })
    }

    /// Drains the host and stops the gateway.
    ///
    /// Steering responses stop naming the host at once. Callers that still choose it are served if their
    /// requests are expected to end in time, and refused otherwise. Held jobs are handed over with their
    /// progress, and requests in flight are completed within the grace period.
    pub async fn shut_down(self) {
        shut_down(&self.state).await;
    }

    /// Stops the gateway at once without draining, like a crash that leaves the process running.
    pub fn kill(self) {
        self.state.closing.cancel();
        self.state.stop.cancel();
    }
}

/// Runs a loop until the gateway stops.
fn spawn_loop(state: &Arc<GatewayState>, running: impl Future<Output = ()> + Send + 'static) {
    let stop = state.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = running => {}
            () = stop.cancelled() => {}
        }
    });
}

fn spawn_loops(state: &Arc<GatewayState>) {
    let declarations = DeclarationsFollower { table: state.fleet_format.declarations_table() };
    let targets = TargetsFollower { table: state.fleet_format.targets_table() };
    spawn_loop(state, follow_table(state.clone(), declarations));
    spawn_loop(state, follow_table(state.clone(), targets));
    spawn_loop(state, follow_table(state.clone(), JobsFollower));
    spawn_loop(state, check_fleet_size(state.clone()));
    spawn_loop(state, announce_host(state.clone()));
    spawn_loop(state, follow_hosts(state.clone()));
    spawn_loop(state, send_heartbeats(state.clone()));
    spawn_loop(state, receive_datagrams(state.clone()));
    spawn_loop(state, exchange_parts(state.clone()));
    spawn_loop(state, restore_quarantines(state.clone()));
    spawn_loop(state, send_reports(state.clone()));
    spawn_loop(state, maintain_owned_groups(state.clone()));
    spawn_loop(state, run_items(state.clone()));
    spawn_loop(state, take_over_jobs(state.clone()));
    spawn_loop(state, save_progress(state.clone()));
    spawn_loop(state, run_upkeep(state.clone()));
}
