//! Starts, drains and stops a daemon.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cuminramp_core::{Host, HostId, Name, RandomSource, SeededRandom};
use cuminramp_http::{CallTimeouts, ServeLimits, serve_router};
use cuminramp_membership::{MemberPolicy, MemberTable, SteeringPlanner};
use cuminramp_platform::HttpPlatform;
use cuminramp_quota::{LedgerPolicy, QuotaLedger, StaticSplit, TOKEN};
use cuminramp_settings::DaemonSettings;
use cuminramp_targets::{CrashTable, RetryBudget, TargetPolicy, TargetTable, WindowPolicy};
use rand::Rng;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::batch::{BatchState, release_chunks, run_claims, run_items};
use crate::dispatch::{HttpTargets, PoolQueues, SilenceSignals, wake_waiting_requests};
use crate::interfaces::PlatformInterfaces;
use crate::marks::{MarkWriter, run_marks};
use crate::metrics::DaemonMetrics;
use crate::peer::{TarpcPeers, run_probes, serve_peers, spread_updates};
use crate::state::{DaemonState, TableContact, lock};
use crate::sync::{
    ConfigurationStore, announce_host, hand_over_all_shards, poll_generations, poll_hosts,
    poll_loads, poll_shards, publish_withdrawals, sync_targets, tick_ledger,
};
use crate::{entry, operator};

/// Maximum number of concurrent connections of operators and scrapers.
const MAX_OPERATOR_CONNECTIONS: usize = 256;
/// Divisor of the host list's lag that gives the maximum pause of a host. After the lag, other hosts may take
/// over the shards of a silent host, so a host that was paused for longer than the quotient no longer relies
/// on its ownership of shards.
const MAX_PAUSE_DIVISOR: u32 = 4;
/// Delay for which a leaving host still accepts new callers, since callers cache steering answers that name
/// it.
const DRAIN_DELAY: Duration = Duration::from_secs(1);

/// Error that prevents a daemon from starting.
#[derive(Debug)]
pub enum StartError {
    /// The daemon can't listen on an address.
    Listen {
        /// Name of the setting that holds the address.
        setting: &'static str,
        /// The address, empty if the bound address can't be read.
        address: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The metrics registry can't be set up.
    Metrics(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen { setting, address, source } => {
                write!(
                    formatter,
                    "1502 SettingsInvalid: {setting}: can't listen on {address}: {source}"
                )
            }
            StartError::Metrics(reason) => write!(formatter, "1900 Internal: metrics: {reason}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct DaemonAddresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For other daemons.
    pub peer: SocketAddr,
}

struct DaemonListeners {
    caller: TcpListener,
    operator: TcpListener,
    peer: TcpListener,
}

/// Handle to a running daemon.
pub struct Daemon {
    state: Arc<DaemonState>,
    addresses: DaemonAddresses,
    drain_callers: CancellationToken,
    callers: tokio::task::JoinHandle<()>,
}

async fn listen(setting: &'static str, address: &str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen {
        setting,
        address: address.to_owned(),
        source,
    })
}

fn advertised(setting: &str, bound: &TcpListener) -> Name {
    if !setting.is_empty() {
        return setting.into();
    }
    bound.local_addr().map(|address| address.to_string()).unwrap_or_default().into()
}

/// Returns a number for a new incarnation of this host, higher than that of earlier ones as long as the
/// clock was not set back.
pub(crate) fn new_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |passed| passed.as_micros() as u64)
}

impl Daemon {
    /// Starts a daemon on the platform at the address in the settings.
    pub async fn start(settings: DaemonSettings) -> Result<Self, StartError> {
        let platform =
            Arc::new(HttpPlatform::new(&settings.platform.address, settings.platform.timeout()));
        let interfaces = PlatformInterfaces {
            table: platform.clone(),
            objects: platform.clone(),
            hosts: platform,
        };
        Self::start_with(settings, interfaces).await
    }

    /// Starts a daemon on the given platform.
    pub async fn start_with(
        settings: DaemonSettings,
        platform: PlatformInterfaces,
    ) -> Result<Self, StartError> {
        let listeners = DaemonListeners {
            caller: listen("caller-address", &settings.caller_address).await?,
            operator: listen("operator-address", &settings.operator_address).await?,
            peer: listen("peer-address", &settings.peer_address).await?,
        };
        let me = Host {
            id: HostId {
                address: advertised(&settings.advertised_peer_address, &listeners.peer),
                incarnation: new_incarnation(),
            },
            caller_address: advertised(&settings.advertised_caller_address, &listeners.caller),
            zone: settings.availability_zone.as_str().into(),
        };
        let addresses = listeners.addresses()?;
        let state = Arc::new(make_state(settings, platform, me)?);
        log::info!(
            host = &*state.me.id.address, incarnation = state.me.id.incarnation,
            zone = &*state.me.zone, callers = addresses.caller.to_string().as_str();
            "started"
        );
        let drain_callers = CancellationToken::new();
        let callers = spawn_servers(&state, listeners, &drain_callers);
        spawn_loops(&state);
        state.ready.store(true, Ordering::Relaxed);
        Ok(Daemon { state, addresses, drain_callers, callers })
    }

    /// Returns the addresses that the daemon listens on.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Drains and stops the daemon: removes it from steering answers, hands over its shards, releases its
    /// chunks, and lets requests in flight finish within the drain timeout.
    pub async fn leave(self) {
        let state = &self.state;
        log::info!(host = &*state.me.id.address, decision = "leaving"; "drain");
        lock(&state.members).leave(Instant::now());
        let drain_timeout = state.settings.limits.drain_timeout();
        // Can't fail: a daemon leaves once.
        let _ = state.exit_at.set(Instant::now() + DRAIN_DELAY + drain_timeout);
        state.drain.cancel();
        if state.settings.platform.announce {
            announce_host(state).await;
        }
        spread_updates(state).await;
        hand_over_all_shards(state).await;
        release_chunks(state).await;
        tokio::time::sleep(DRAIN_DELAY).await;
        self.drain_callers.cancel();
        let mut callers = self.callers;
        state.tasks.close();
        let finished = async {
            let _ = (&mut callers).await;
            state.tasks.wait().await;
        };
        let in_time = tokio::time::timeout(drain_timeout, finished).await.is_ok();
        state.stop.cancel();
        log::info!(host = &*state.me.id.address, whole = in_time, decision = "left"; "drain");
    }

    /// Stops the daemon at once without draining, which simulates a crash within the process.
    pub fn kill(self) {
        self.state.stop.cancel();
    }
}

impl DaemonListeners {
    fn addresses(&self) -> Result<DaemonAddresses, StartError> {
        let address = |setting, listener: &TcpListener| {
            listener.local_addr().map_err(|source| StartError::Listen {
                setting,
                address: String::new(),
                source,
            })
        };
        Ok(DaemonAddresses {
            caller: address("caller-address", &self.caller)?,
            operator: address("operator-address", &self.operator)?,
            peer: address("peer-address", &self.peer)?,
        })
    }
}

fn make_state(
    settings: DaemonSettings,
    platform: PlatformInterfaces,
    me: Host,
) -> Result<DaemonState, StartError> {
    let now = Instant::now();
    let metrics = DaemonMetrics::new().map_err(|error| StartError::Metrics(error.to_string()))?;
    let seed =
        if settings.random_seed == 0 { rand::rng().next_u64() } else { settings.random_seed };
    let random: Box<dyn RandomSource> = Box::new(SeededRandom::new(seed));
    let timeouts = CallTimeouts {
        connect: settings.targets.connect_timeout(),
        response_head: settings.targets.first_byte_timeout(),
    };
    let retries = &settings.retries;
    Ok(DaemonState {
        peers: Arc::new(TarpcPeers::new(settings.peers.call_timeout())),
        target_caller: Arc::new(HttpTargets::new(timeouts)),
        configuration: ConfigurationStore::new(settings.configuration.log_generations),
        ledger: QuotaLedger::new(me.id.clone(), ledger_policy(&settings), now).into(),
        split: StaticSplit::new().into(),
        members: MemberTable::new(me.clone(), member_policy(&settings), now).into(),
        steering: SteeringPlanner {
            max_hosts: settings.steering.homes,
            ttl: settings.steering.answer_ttl(),
        },
        targets: TargetTable::new(target_policy(&settings)).into(),
        silence_signals: SilenceSignals::default(),
        crashes: CrashTable::new(retries.quarantine_after, retries.quarantine_duration()).into(),
        budget: RetryBudget::new(retries.budget_share, retries.budget_burst).into(),
        queues: PoolQueues::default(),
        marks: MarkWriter::new(),
        batch: BatchState::new(window_policy(&settings)),
        metrics,
        random: random.into(),
        contact: TableContact::new(now),
        own_contact: TableContact::new(now),
        tasks: TaskTracker::new(),
        drain: CancellationToken::new(),
        exit_at: Default::default(),
        stop: CancellationToken::new(),
        ready: AtomicBool::new(false),
        next_number: AtomicU64::new(1),
        settings,
        me,
        platform,
    })
}

fn ledger_policy(settings: &DaemonSettings) -> LedgerPolicy {
    let quota = &settings.quota;
    LedgerPolicy {
        shards: quota.shards,
        slices: quota.slices,
        rate_per_slice: (quota.slice_rate * TOKEN as f64) as u64,
        max_slices: quota.max_slices,
        max_loan_validity: quota.loan_validity(),
        borrow_attempts: quota.borrow_attempts,
        max_pause: settings.platform.list_lag() / MAX_PAUSE_DIVISOR,
        claim_delay: settings.platform.list_lag(),
        ..LedgerPolicy::default()
    }
}

fn member_policy(settings: &DaemonSettings) -> MemberPolicy {
    let peers = &settings.peers;
    MemberPolicy {
        indirect_probes: peers.indirect_probes,
        suspicion_timeout: peers.suspicion_timeout(),
        list_lag: settings.platform.list_lag(),
        max_updates_per_message: peers.updates_per_probe,
        dead_member_ttl: peers.dead_host_ttl(),
    }
}

fn target_policy(settings: &DaemonSettings) -> TargetPolicy {
    let targets = &settings.targets;
    TargetPolicy {
        max_failures: targets.eject_after,
        ejection_duration: targets.ejection_duration(),
        max_ejected_share: targets.eject_share,
        slot_factor: targets.slot_factor,
    }
}

fn window_policy(settings: &DaemonSettings) -> WindowPolicy {
    WindowPolicy {
        share: settings.batch.window_share,
        online_cooldown: settings.batch.online_cooldown(),
        ..WindowPolicy::default()
    }
}

fn spawn_servers(
    state: &Arc<DaemonState>,
    listeners: DaemonListeners,
    drain_callers: &CancellationToken,
) -> tokio::task::JoinHandle<()> {
    let limits = &state.settings.limits;
    let header_timeout = limits.head_timeout();
    let caller_limits = ServeLimits { header_timeout, max_connections: limits.connections };
    let operator_limits = ServeLimits { header_timeout, max_connections: MAX_OPERATOR_CONNECTIONS };
    let operators = operator::build_router(state.clone());
    let stop = state.stop.clone();
    tokio::spawn(serve_router(
        listeners.operator,
        operators,
        operator_limits,
        stop.clone(),
        stop.clone(),
    ));
    tokio::spawn(serve_peers(state.clone(), listeners.peer));
    let callers = entry::build_router(state.clone());
    tokio::spawn(serve_router(
        listeners.caller,
        callers,
        caller_limits,
        drain_callers.clone(),
        stop,
    ))
}

/// Spawns a background loop, which is cancelled when the daemon stops.
fn spawn_loop(state: &Arc<DaemonState>, running: impl Future<Output = ()> + Send + 'static) {
    let stop = state.stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = running => {}
            () = stop.cancelled() => {}
        }
    });
}

fn spawn_loops(state: &Arc<DaemonState>) {
    spawn_loop(state, run_probes(state.clone()));
    spawn_loop(state, poll_hosts(state.clone()));
    spawn_loop(state, poll_generations(state.clone()));
    spawn_loop(state, publish_withdrawals(state.clone()));
    spawn_loop(state, poll_shards(state.clone()));
    spawn_loop(state, tick_ledger(state.clone()));
    spawn_loop(state, sync_targets(state.clone()));
    spawn_loop(state, poll_loads(state.clone()));
    spawn_loop(state, wake_waiting_requests(state.clone()));
    spawn_loop(state, run_marks(state.clone()));
    if state.settings.batch.enabled {
        spawn_loop(state, run_claims(state.clone()));
        spawn_loop(state, run_items(state.clone()));
    }
}
