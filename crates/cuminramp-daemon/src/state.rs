//! What the parts of a daemon share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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
use crate::dispatch::{PoolQueues, SilenceBoard};
use crate::interfaces::{PeerCaller, PlatformInterfaces, TargetCaller};
use crate::marks::MarkWriter;
use crate::metrics::DaemonMetrics;
use crate::sync::ConfigurationStore;

/// Takes a lock; a holder that panicked left nothing half done that matters here.
pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Everything the parts share. Each decision machine stands behind a lock that is held only while it
/// decides, never across a wait.
pub(crate) struct DaemonState {
    pub(crate) settings: DaemonSettings,
    pub(crate) me: Host,
    pub(crate) platform: PlatformInterfaces,
    pub(crate) peers: Arc<dyn PeerCaller>,
    pub(crate) caller: Arc<dyn TargetCaller>,
    pub(crate) configuration: ConfigurationStore,
    pub(crate) ledger: Mutex<QuotaLedger>,
    pub(crate) split: Mutex<StaticSplit>,
    pub(crate) members: Mutex<MemberTable>,
    pub(crate) steering: SteeringPlanner,
    pub(crate) targets: Mutex<TargetTable>,
    pub(crate) silence: SilenceBoard,
    pub(crate) crashes: Mutex<CrashTable>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) queues: PoolQueues,
    pub(crate) marks: MarkWriter,
    pub(crate) batch: BatchState,
    pub(crate) metrics: DaemonMetrics,
    pub(crate) random: Mutex<Box<dyn RandomSource>>,
    pub(crate) contact: TableContact,
    /// When the table answered this very host.
    pub(crate) own_contact: TableContact,
    pub(crate) tasks: TaskTracker,
    /// Cancelled when the host begins to leave.
    pub(crate) drain: CancellationToken,
    /// Cancelled when everything stops.
    pub(crate) stop: CancellationToken,
    pub(crate) ready: AtomicBool,
    pub(crate) next_grant: AtomicU64,
}

impl DaemonState {
    /// A number that never repeats within this run.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_grant.fetch_add(1, Ordering::Relaxed)
    }

    /// A mark that no other writer uses.
    pub(crate) fn writer_mark(&self) -> String {
        format!("{}/{}/{}", self.me.id.address, self.me.id.incarnation, self.next_number())
    }

    /// Whether this host can know what is in force: it heard from the table lately, itself or
    /// through others, or it hears most other hosts, so that the table is down for all.
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
    /// Notes that the table answered this host at `at`.
    pub(crate) fn note_table(&self, at: Instant) {
        self.contact.note(at);
        self.own_contact.note(at);
    }

    /// Whether this host may spend what it owns. In the baseline with expiring leases that takes an
    /// answer of the table within the lease.
    pub(crate) fn may_spend(&self, now: Instant) -> bool {
        match self.settings.quota.policy {
            QuotaPolicy::ExpiringLease => self.own_contact.age(now) <= self.settings.quota.lease(),
            QuotaPolicy::Shards | QuotaPolicy::StaticSplit => self.is_confirmed(now),
        }
    }
}

/// When the table was last heard from, by this host or by one that said so.
#[derive(Debug)]
pub(crate) struct TableContact {
    started: Instant,
    /// Milliseconds after `started`, plus one; 0: never.
    heard: AtomicU64,
}

/// The age of a contact that never was.
const NEVER: Duration = Duration::from_secs(1 << 24);

impl TableContact {
    pub(crate) fn new(now: Instant) -> Self {
        TableContact { started: now, heard: AtomicU64::new(0) }
    }

    /// The table answered at `at`.
    pub(crate) fn note(&self, at: Instant) {
        let millis = at.saturating_duration_since(self.started).as_millis() as u64;
        self.heard.fetch_max(millis + 1, Ordering::Relaxed);
    }

    /// Another host heard from the table `age_ms` ago.
    pub(crate) fn note_age(&self, age_ms: u64, now: Instant) {
        let at = now.checked_sub(Duration::from_millis(age_ms));
        if let Some(at) = at.filter(|at| *at >= self.started) {
            self.note(at);
        }
    }

    pub(crate) fn age(&self, now: Instant) -> Duration {
        match self.heard.load(Ordering::Relaxed) {
            0 => NEVER,
            millis => {
                let heard = self.started + Duration::from_millis(millis - 1);
                now.saturating_duration_since(heard)
            }
        }
    }
}
