//! State shared by the parts of a daemon.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use cuminramp_core::{Host, RandomSource};
use cuminramp_membership::{MemberTable, SteeringPlanner};
use cuminramp_quota::{QuotaLedger, StaticSplit};
use cuminramp_settings::{DaemonSettings, QuotaPolicy};
use cuminramp_targets::{CrashTable, RetryBudget, TargetTable};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::batch::BatchState;
use crate::dispatch::{PoolQueues, SilenceSignals};
use crate::interfaces::{PeerCaller, PlatformInterfaces, TargetCaller};
use crate::marks::MarkWriter;
use crate::metrics::DaemonMetrics;
use crate::sync::ConfigurationStore;

/// Acquires a lock, even if a holder panicked: the state behind these locks remains usable after a partial
/// update.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State shared by the parts of a daemon. Each state machine has its own lock, which is held only while the
/// state machine decides, never across an await.
pub(crate) struct DaemonState {
    pub(crate) settings: DaemonSettings,
    pub(crate) me: Host,
    pub(crate) platform: PlatformInterfaces,
    pub(crate) peers: Arc<dyn PeerCaller>,
    pub(crate) target_caller: Arc<dyn TargetCaller>,
    pub(crate) configuration: ConfigurationStore,
    pub(crate) ledger: Mutex<QuotaLedger>,
    pub(crate) split: Mutex<StaticSplit>,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) steering: SteeringPlanner,
    pub(crate) targets: Mutex<TargetTable>,
    pub(crate) silence_signals: SilenceSignals,
    pub(crate) crashes: Mutex<CrashTable>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) queues: PoolQueues,
    pub(crate) marks: MarkWriter,
    pub(crate) batch: BatchState,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) random: Mutex<Box<dyn RandomSource>>,
    /// Latest time at which the table answered this host or one that reported it in a probe.
    pub(crate) contact: TableContact,
    /// Latest time at which the table answered this host.
    pub(crate) own_contact: TableContact,
    pub(crate) tasks: TaskTracker,
    /// Cancelled when the host begins to leave.
    pub(crate) drain: CancellationToken,
    /// When a draining host breaks off what is still open, at the earliest; empty until it drains.
    pub(crate) exit_at: OnceLock<Instant>,
    /// Cancelled when the daemon stops.
    pub(crate) stop: CancellationToken,
    pub(crate) ready: AtomicBool,
    pub(crate) next_number: AtomicU64,
}

impl DaemonState {
    /// Returns a number that is unique within this incarnation.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns an id for a write that no other write has, on this host or another.
    pub(crate) fn unique_writer_id(&self) -> String {
        format!("{}/{}/{}", self.me.id.address, self.me.id.incarnation, self.next_number())
    }

    /// Returns whether the configuration on this host counts as current: the table answered this host, or one
    /// that reported it in a probe, within `unconfirmed_after`. Also true if a majority of the hosts answers
    /// this host, or if it is the only one: then the table is down for all.
    pub(crate) fn is_confirmed(&self, now: Instant) -> bool {
        let limit = self.settings.configuration.unconfirmed_after();
        if self.contact.age(now) <= limit {
            return true;
        }
        let members = lock(&self.members);
        let alone = members.members().next().is_none();
        alone || members.has_majority()
    }
}

impl DaemonState {
    /// Records that the table answered this host at `at`.
    pub(crate) fn record_table_contact(&self, at: Instant) {
        self.contact.record(at);
        self.own_contact.record(at);
    }

    /// Returns whether this host may spend the tokens of shards that it owns. With
    /// `QuotaPolicy::ExpiringLease`, a baseline for comparison, the table must have answered this host within
    /// the lease.
    pub(crate) fn may_spend(&self, now: Instant) -> bool {
        match self.settings.quota.policy {
            QuotaPolicy::ExpiringLease => {
                self.own_contact.age(now) <= self.settings.quota.lease_duration()
            }
            QuotaPolicy::Shards | QuotaPolicy::StaticSplit => self.is_confirmed(now),
        }
    }
}

/// Latest time at which the table is known to have answered.
#[derive(Debug)]
pub(crate) struct TableContact {
    started: Instant,
    /// Milliseconds after `started`, plus one; 0 if the table never answered.
    latest: AtomicU64,
}

/// Age of the contact if the table never answered.
const NEVER_ANSWERED_AGE: Duration = Duration::from_secs(1 << 24);

impl TableContact {
    pub(crate) fn new(now: Instant) -> Self {
        TableContact { started: now, latest: AtomicU64::new(0) }
    }

    /// Records that the table answered at `at`.
    pub(crate) fn record(&self, at: Instant) {
        let millis = at.saturating_duration_since(self.started).as_millis() as u64;
        self.latest.fetch_max(millis + 1, Ordering::Relaxed);
    }

    /// Records that the table answered another host `age_ms` ago.
    pub(crate) fn record_age(&self, age_ms: u64, now: Instant) {
        let at = now.checked_sub(Duration::from_millis(age_ms));
        if let Some(at) = at.filter(|at| *at >= self.started) {
            self.record(at);
        }
    }

    pub(crate) fn age(&self, now: Instant) -> Duration {
        match self.latest.load(Ordering::Relaxed) {
            0 => NEVER_ANSWERED_AGE,
            millis => {
                let answered_at = self.started + Duration::from_millis(millis - 1);
                now.saturating_duration_since(answered_at)
            }
        }
    }
}
