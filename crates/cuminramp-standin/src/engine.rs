//! Engine stand-in that serves requests, crashes on demand and restarts.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use cuminramp_http::{ServeLimits, serve_router};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::engine_core::{EngineCore, EngineStats};
use crate::engine_http::build_router;

const SERVE_LIMITS: ServeLimits =
    ServeLimits { header_timeout: Duration::from_secs(60), max_connections: 10_000 };

/// Settings of an engine stand-in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineSettings {
    /// Name of the model that the engine serves.
    pub model: String,
    /// Maximum number of sequences (requests that generate tokens) that run concurrently.
    pub slots: usize,
    /// Base duration of a step, which generates at most one token for each running sequence, in
    /// microseconds.
    pub step_base_us: u64,
    /// Additional duration of a step for each running sequence, in microseconds.
    pub step_sequence_us: u64,
    /// Number of steps before the first token of a prompt, unless its prefix is cached.
    pub prefill_steps: usize,
    /// Maximum number of prefixes in the cache.
    pub prefix_entries: usize,
    /// Whether `GET /load` is available; if not, it returns 404.
    pub reports_load: bool,
    /// Delay of load reports, in milliseconds.
    pub report_lag_ms: u64,
    /// Time from a crash to the restart, in milliseconds.
    pub restart_ms: u64,
    /// Text that crashes the engine when a prompt contains it; if empty, no prompt does.
    pub crash_marker: String,
    /// Whether the engine rejects a command whose fencing number is lower than that of an earlier one.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            model: "villancico-llm".into(),
            slots: 16,
            step_base_us: 4_000,
            step_sequence_us: 200,
            prefill_steps: 3,
            prefix_entries: 64,
            reports_load: true,
            report_lag_ms: 500,
            restart_ms: 1_000,
            crash_marker: "CRASH-THE-ENGINE".into(),
            checks_fencing: true,
        }
    }
}

/// Injected faults of an engine, and the fencing state of its commands.
#[derive(Debug, Default)]
pub(crate) struct EngineControl {
    /// Whether the engine accepts connections but sends no response.
    pub(crate) unresponsive: AtomicBool,
    /// Whether the engine rejects each chat completion with status 500 before running it.
    pub(crate) failing: AtomicBool,
    /// Highest fencing number of all commands received.
    pub(crate) fence: AtomicU64,
    /// Number of commands with a lower fencing number, which are rejected or, if fencing isn't checked,
    /// accepted.
    pub(crate) stale_commands: AtomicU64,
}

pub(crate) struct EngineShared {
    pub(crate) settings: EngineSettings,
    pub(crate) core: EngineCore,
    pub(crate) control: EngineControl,
    pub(crate) crash: tokio::sync::Notify,
}

/// A running engine stand-in; it stops when it is dropped.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<EngineShared>,
    stop: CancellationToken,
}

impl Engine {
    /// Starts an engine on `listen`; port 0 selects a free port.
    pub async fn start(listen: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(EngineShared {
            core: EngineCore::new(settings.clone()),
            settings,
            control: EngineControl::default(),
            crash: tokio::sync::Notify::new(),
        });
        let stop = CancellationToken::new();
        let (task_shared, stop_requested) = (shared.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serve_with_restarts(task_shared.clone(), listener, address) => {}
                () = task_shared.core.run() => {}
                () = stop_requested.cancelled() => {}
            }
        });
        Ok(Engine { address, shared, stop })
    }

    /// Returns the address on which the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Crashes the engine; it restarts after `restart_ms`.
    pub fn crash(&self) {
        self.shared.crash.notify_one();
    }

    /// Sets whether the engine accepts connections but sends no response.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.shared.control.unresponsive.store(unresponsive, Ordering::Relaxed);
    }

    /// Makes the engine silent for `duration`: it accepts connections, generates and sends nothing, and goes
    /// on after that, like a process that is paused.
    pub fn fall_silent(&self, duration: Duration) {
        self.shared.core.fall_silent(duration);
    }

    /// Returns how often each prompt or service call ran, sorted by its text.
    pub fn runs(&self) -> Vec<(String, u32)> {
        self.shared.core.runs()
    }

    /// Returns the counters since the engine was started, crashes included.
    pub fn stats(&self) -> EngineStats {
        self.shared.core.stats()
    }

    /// Returns the engine's load report, delayed by `report_lag_ms`.
    pub fn delayed_report(&self) -> crate::LoadReport {
        self.shared.core.delayed_report()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Serves until a crash, waits for `restart_ms` and serves again on the same address.
///
/// Returns if the address can't be bound again.
async fn serve_with_restarts(
    shared: Arc<EngineShared>,
    listener: TcpListener,
    address: SocketAddr,
) {
    let mut listener = Some(listener);
    loop {
        let Some(current) = listener.take() else {
            return;
        };
        let abort = CancellationToken::new();
        let router = build_router(shared.clone());
        let no_drain = CancellationToken::new();
        tokio::select! {
            () = serve_router(current, router, SERVE_LIMITS, no_drain, abort.clone()) => {}
            () = shared.crash.notified() => {}
        }
        abort.cancel();
        shared.core.crash();
        tokio::time::sleep(Duration::from_millis(shared.settings.restart_ms)).await;
        listener = TcpListener::bind(address).await.ok();
    }
}
