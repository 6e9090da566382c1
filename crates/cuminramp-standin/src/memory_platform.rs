//! The platform in memory: table, objects and host list, with faults.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminramp_core::{Name, RandomSource, SeededRandom, SortedMap};
use cuminramp_platform::{
    CommitOutcome, HostEntry, HostList, ObjectStore, Row, RowChange, StoreError, TableSnapshot,
    TableStore, Transaction, Version, WatchResponse, WatchedTable,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

/// Settings of the platform stand-in.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformSettings {
    /// How late the host list is, in milliseconds.
    pub list_lag_ms: u64,
    /// How long after its last word a host stays listed, in milliseconds.
    pub host_ttl_ms: u64,
    /// Transactions a second that the table takes; more are refused.
    pub writes_per_second: f64,
    /// Reads a second that the table takes; more are refused.
    pub reads_per_second: f64,
    /// Seed of the faults.
    pub seed: u64,
    /// Faults from the start.
    pub faults: PlatformFaults,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            list_lag_ms: 2_000,
            host_ttl_ms: 5_000,
            writes_per_second: 400.0,
            reads_per_second: 2_000.0,
            seed: 1,
            faults: PlatformFaults::default(),
        }
    }
}

/// What is wrong with the platform just now.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformFaults {
    /// The table and the objects refuse every call.
    pub down: bool,
    /// The table alone refuses every call.
    pub table_down: bool,
    /// The host list refuses every call.
    pub list_down: bool,
    /// Each call takes so much longer, in milliseconds.
    pub slow_ms: u64,
    /// Of a thousand commits, so many take effect and lose their answer.
    pub lost_answers_permille: u32,
    /// Commits take effect at once, and their answers come so much later, in milliseconds.
    pub late_answers_ms: u64,
}

/// What was asked of the platform since it started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformStats {
    /// Reads and scans of the table.
    pub table_reads: u64,
    /// Transactions that took effect.
    pub table_commits: u64,
    /// Transactions that met a conflict.
    pub table_conflicts: u64,
    /// Rows written or deleted.
    pub table_rows: u64,
    /// Objects written.
    pub object_puts: u64,
    /// Objects read.
    pub object_gets: u64,
    /// Calls refused as over the limit.
    pub throttled: u64,
}

/// The platform in memory.
pub struct MemoryPlatform {
    settings: PlatformSettings,
    state: Mutex<PlatformState>,
    committed: watch::Sender<Version>,
}

struct StoredRow {
    value: Bytes,
    version: Version,
}

struct ListedHost {
    first_seen: Instant,
    last_seen: Instant,
    leaving_since: Option<Instant>,
}

struct PlatformState {
    rows: SortedMap<String, StoredRow>,
    objects: SortedMap<String, Bytes>,
    hosts: SortedMap<Name, ListedHost>,
    version: Version,
    /// Changes in their order, for watches.
    history: Vec<RowChange>,
    /// Changes up to this version are no longer kept.
    forgotten: Version,
    faults: PlatformFaults,
    stats: PlatformStats,
    random: SeededRandom,
    writes: CallMeter,
    reads: CallMeter,
}

/// Lets through a number of calls a second, with one second's worth at once.
struct CallMeter {
    rate: f64,
    level: f64,
    at: Instant,
}

impl CallMeter {
    fn new(rate: f64, now: Instant) -> Self {
        CallMeter { rate, level: rate, at: now }
    }

    fn admit(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.rate);
        self.at = now;
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }
}

impl MemoryPlatform {
    /// An empty platform.
    ///
    /// ```
    /// use cuminramp_standin::{MemoryPlatform, PlatformSettings};
    /// let platform = MemoryPlatform::new(PlatformSettings::default());
    /// assert_eq!(platform.stats().table_commits, 0);
    /// ```
    pub fn new(settings: PlatformSettings) -> Self {
        let now = Instant::now();
        let state = PlatformState {
            rows: SortedMap::new(),
            objects: SortedMap::new(),
            hosts: SortedMap::new(),
            version: 0,
            history: Vec::new(),
            forgotten: 0,
            faults: settings.faults.clone(),
            stats: PlatformStats::default(),
            random: SeededRandom::new(settings.seed),
            writes: CallMeter::new(settings.writes_per_second, now),
            reads: CallMeter::new(settings.reads_per_second, now),
        };
        MemoryPlatform { settings, state: Mutex::new(state), committed: watch::Sender::new(0) }
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Drops the changes that watches go on from.
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.forgotten = state.version;
        drop(state);
        self.committed.send_modify(|_| {});
    }

    /// The faults in force.
    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults.clone()
    }

    /// What was asked so far.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn be_slow(&self) {
        let slow = self.lock().faults.slow_ms;
        if slow > 0 {
            tokio::time::sleep(Duration::from_millis(slow)).await;
        }
    }
}

fn refused() -> StoreError {
    StoreError::Unavailable("the platform stand-in is down".into())
}

impl PlatformState {
    fn read_gate(&mut self) -> Result<(), StoreError> {
        if self.faults.down || self.faults.table_down {
            return Err(refused());
        }
        if !self.reads.admit(Instant::now()) {
            self.stats.throttled += 1;
            return Err(StoreError::Unavailable("too many reads".into()));
        }
        self.stats.table_reads += 1;
        Ok(())
    }

    fn read_row(&self, key: &str) -> Option<Row> {
        let stored = self.rows.get(key)?;
        Some(Row { key: key.into(), value: stored.value.clone(), version: stored.version })
    }

    fn changes_after(&self, prefix: &str, after: Version) -> Result<WatchResponse, StoreError> {
        if self.faults.down || self.faults.table_down {
            return Err(refused());
        }
        if after < self.forgotten {
            return Ok(WatchResponse::HistoryLost);
        }
        let newer = self.history.iter().filter(|change| change.row.version > after);
        let of_table = newer.filter(|change| change.row.key.starts_with(prefix));
        Ok(WatchResponse::Changes { changes: of_table.cloned().collect(), version: self.version })
    }

    fn conflicts(&self, transaction: &Transaction) -> Vec<String> {
        let conditions = transaction.conditions.iter();
        conditions
            .filter(|held| {
                self.rows.get(held.key.as_str()).map_or(0, |row| row.version) != held.version
            })
            .map(|held| held.key.clone())
            .collect()
    }

    fn apply(&mut self, transaction: Transaction) -> Version {
        self.version += 1;
        let version = self.version;
        self.stats.table_commits += 1;
        self.stats.table_rows += (transaction.puts.len() + transaction.deletes.len()) as u64;
        for (key, value) in transaction.puts {
            let row = Row { key: key.clone(), value: value.clone(), version };
            self.history.push(RowChange { row, is_deleted: false });
            self.rows.insert(key, StoredRow { value, version });
        }
        for key in transaction.deletes {
            self.rows.remove(key.as_str());
            let row = Row { key, value: Bytes::new(), version };
            self.history.push(RowChange { row, is_deleted: true });
        }
        version
    }
}

#[async_trait]
impl TableStore for MemoryPlatform {
    async fn read(&self, keys: &[String]) -> Result<Vec<Option<Row>>, StoreError> {
        self.be_slow().await;
        let mut state = self.lock();
        state.read_gate()?;
        Ok(keys.iter().map(|key| state.read_row(key)).collect())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        self.be_slow().await;
        let mut state = self.lock();
        state.read_gate()?;
        let keys = state.rows.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let keys: Vec<String> = keys.take(limit).cloned().collect();
        Ok(keys.iter().filter_map(|key| state.read_row(key)).collect())
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError> {
        self.be_slow().await;
        let late = Duration::from_millis(self.lock().faults.late_answers_ms);
        let outcome = self.commit_now(transaction);
        if !late.is_zero() {
            tokio::time::sleep(late).await;
        }
        outcome
    }
}

impl MemoryPlatform {
    fn commit_now(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError> {
        let mut state = self.lock();
        if state.faults.down || state.faults.table_down {
            return Err(refused());
        }
        if !state.writes.admit(Instant::now()) {
            state.stats.throttled += 1;
            return Err(StoreError::Unavailable("too many writes".into()));
        }
        let conflicts = state.conflicts(&transaction);
        if !conflicts.is_empty() {
            state.stats.table_conflicts += 1;
            return Ok(CommitOutcome::Conflict(conflicts));
        }
        let version = state.apply(transaction);
        self.committed.send_replace(version);
        let lost = state.faults.lost_answers_permille as usize;
        if state.random.below(1000) < lost {
            return Err(StoreError::Unknown("the answer was lost".into()));
        }
        Ok(CommitOutcome::Committed(version))
    }
}

#[async_trait]
impl WatchedTable for MemoryPlatform {
    async fn snapshot(&self, table: &str) -> Result<TableSnapshot, StoreError> {
        let rows = self.scan(&format!("{table}/"), "", usize::MAX).await?;
        Ok(TableSnapshot { rows, version: self.lock().version })
    }

    async fn watch(
        &self,
        table: &str,
        after: Version,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        let prefix = format!("{table}/");
        let until = Instant::now() + wait;
        let mut committed = self.committed.subscribe();
        loop {
            let answer = self.lock().changes_after(&prefix, after)?;
            let is_empty =
                matches!(&answer, WatchResponse::Changes { changes, .. } if changes.is_empty());
            if !is_empty || tokio::time::timeout_at(until, committed.changed()).await.is_err() {
                return Ok(answer);
            }
        }
    }
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        self.be_slow().await;
        let mut state = self.lock();
        if state.faults.down {
            return Err(refused());
        }
        state.stats.object_puts += 1;
        state.objects.insert(name.into(), body);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.be_slow().await;
        let mut state = self.lock();
        if state.faults.down {
            return Err(refused());
        }
        state.stats.object_gets += 1;
        Ok(state.objects.get(name).cloned())
    }

    async fn get_range(
        &self,
        name: &str,
        start: u64,
        end: u64,
    ) -> Result<Option<Bytes>, StoreError> {
        let whole = self.get(name).await?;
        Ok(whole.map(|body| {
            let end = (end as usize).min(body.len());
            body.slice((start as usize).min(end)..end)
        }))
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        let mut state = self.lock();
        if state.faults.down {
            return Err(refused());
        }
        state.objects.remove(name);
        Ok(())
    }
}

#[async_trait]
impl HostList for MemoryPlatform {
    async fn list(&self) -> Result<Vec<HostEntry>, StoreError> {
        self.be_slow().await;
        let now = Instant::now();
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        let kept = Duration::from_millis(self.settings.host_ttl_ms) + lag;
        let mut state = self.lock();
        if state.faults.list_down {
            return Err(refused());
        }
        state.hosts.retain(|_, host| now.saturating_duration_since(host.last_seen) < kept);
        let shown = state.hosts.iter();
        Ok(shown
            .filter(|(_, host)| now.saturating_duration_since(host.first_seen) >= lag)
            .map(|(address, host)| HostEntry {
                address: address.clone(),
                leaving: host
                    .leaving_since
                    .is_some_and(|since| now.saturating_duration_since(since) >= lag),
            })
            .collect())
    }

    async fn announce(&self, entry: &HostEntry) -> Result<(), StoreError> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.faults.list_down {
            return Err(refused());
        }
        let fresh = || ListedHost { first_seen: now, last_seen: now, leaving_since: None };
        let host = state.hosts.get_or_insert_with(entry.address.clone(), fresh);
        host.last_seen = now;
        host.leaving_since = match (entry.leaving, host.leaving_since) {
            (true, since) => since.or(Some(now)),
            (false, _) => None,
        };
        Ok(())
    }
}
