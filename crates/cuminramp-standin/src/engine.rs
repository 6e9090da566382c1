//! An engine process: it serves, crashes and comes back.

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
    ServeLimits { head: Duration::from_secs(60), connections: 10_000 };

/// Settings of an engine stand-in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct EngineSettings {
    /// The model it serves.
    pub model: String,
    /// Sequences that run at once.
    pub slots: usize,
    /// A step's time without sequences, in microseconds.
    pub step_base_us: u64,
    /// A step's added time for each sequence, in microseconds.
    pub step_sequence_us: u64,
    /// Steps a prompt takes before its first token, unless its prefix is cached.
    pub prefill_steps: usize,
    /// Prefixes the cache holds.
    pub prefix_entries: usize,
    /// Whether it reports its load at all.
    pub reports_load: bool,
    /// How late load reports are, in milliseconds.
    pub report_lag_ms: u64,
    /// How long a crashed engine is away, in milliseconds.
    pub restart_ms: u64,
    /// A prompt that holds this text crashes the engine; empty: none does.
    pub crash_marker: String,
    /// Whether it refuses an order with an old fencing number.
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

/// What is wrong with an engine just now, and the order it last took.
#[derive(Debug, Default)]
pub(crate) struct EngineSwitches {
    /// Takes connections and answers nothing.
    pub(crate) silent: AtomicBool,
    /// Fails each request with status 500 before running it.
    pub(crate) failing: AtomicBool,
    /// The highest fencing number of an order.
    pub(crate) fence: AtomicU64,
    /// Orders that came with a lower number and were refused or, unchecked, carried out.
    pub(crate) late_orders: AtomicU64,
}

pub(crate) struct EngineShared {
    pub(crate) settings: EngineSettings,
    pub(crate) core: EngineCore,
    pub(crate) switches: EngineSwitches,
    pub(crate) crash: tokio::sync::Notify,
}

/// A running engine.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<EngineShared>,
    stop: CancellationToken,
}

impl Engine {
    /// Starts an engine on `listen`; port 0 takes a free one.
    pub async fn start(listen: SocketAddr, settings: EngineSettings) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(EngineShared {
            core: EngineCore::new(settings.clone()),
            settings,
            switches: EngineSwitches::default(),
            crash: tokio::sync::Notify::new(),
        });
        let stop = CancellationToken::new();
        let (running, ended) = (shared.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = live(running.clone(), listener, address) => {}
                () = running.core.run() => {}
                () = ended.cancelled() => {}
            }
        });
        Ok(Engine { address, shared, stop })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Crashes it now; it comes back after `restart_ms`.
    pub fn crash(&self) {
        self.shared.crash.notify_one();
    }

    /// Makes it take connections and answer nothing, or answer again.
    pub fn set_silent(&self, silent: bool) {
        self.shared.switches.silent.store(silent, Ordering::Relaxed);
    }

    /// How often each prompt or service call ran, sorted by its text.
    pub fn runs(&self) -> Vec<(String, u32)> {
        self.shared.core.runs()
    }

    /// What it has done.
    pub fn stats(&self) -> EngineStats {
        self.shared.core.stats()
    }

    /// The late report of its load.
    pub fn late_report(&self) -> crate::LoadReport {
        self.shared.core.late_report()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Serves until a crash, stays away for a while, and serves again.
async fn live(shared: Arc<EngineShared>, listener: TcpListener, address: SocketAddr) {
    let mut listener = Some(listener);
    loop {
        let Some(current) = listener.take() else {
            return;
        };
        let abort = CancellationToken::new();
        let router = build_router(shared.clone());
        let never = CancellationToken::new();
        tokio::select! {
            () = serve_router(current, router, SERVE_LIMITS, never, abort.clone()) => {}
            () = shared.crash.notified() => {}
        }
        abort.cancel();
        shared.core.crash();
        tokio::time::sleep(Duration::from_millis(shared.settings.restart_ms)).await;
        listener = TcpListener::bind(address).await.ok();
    }
}
