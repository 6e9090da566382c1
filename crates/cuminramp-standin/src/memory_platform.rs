//! In-memory platform with fault injection: table, object store and host list.

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
    /// Delay until a change of the hosts appears in the host list, in milliseconds.
    pub list_lag_ms: u64,
    /// Time for which a host stays listed after its last announcement, in milliseconds, in addition to
    /// `list_lag_ms`.
    pub host_ttl_ms: u64,
    /// Maximum number of transactions per second; the table rejects further ones.
    pub writes_per_second: f64,
    /// Maximum number of reads and scans per second; the table rejects further ones.
    pub reads_per_second: f64,
    /// Seed of the random faults.
    pub seed: u64,
    /// Faults that are active from the start.
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

/// Injected faults of the platform.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformFaults {
    /// Whether the table and the object store reject every call.
    pub down: bool,
    /// Whether the table rejects every call.
    pub table_down: bool,
    /// Whether the host list rejects every call.
    pub list_down: bool,
    /// Delay before each call is processed, in milliseconds. Object deletes, host announcements and
    /// watches are not delayed.
    pub slow_ms: u64,
    /// Number of commits per thousand that take effect but whose response is lost.
    pub lost_answers_permille: u32,
    /// Delay of each commit before it takes effect, in milliseconds.
    pub slow_commits_ms: u64,
    /// Delay of the response to each commit, in milliseconds; the commit itself takes effect at once.
    pub late_answers_ms: u64,
}

/// Counters of the calls to the platform since it started.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PlatformStats {
    /// Reads and scans of the table.
    pub table_reads: u64,
    /// Transactions that took effect.
    pub table_commits: u64,
    /// Transactions that failed because of a conflict.
    pub table_conflicts: u64,
    /// Rows written or deleted.
    pub table_rows: u64,
    /// Objects written.
    pub object_puts: u64,
    /// Objects read.
    pub object_gets: u64,
    /// Table calls rejected by a rate limit.
    pub throttled: u64,
}

/// In-memory platform with fault injection.
pub struct MemoryPlatform {
    settings: PlatformSettings,
    state: Mutex<PlatformState>,
    /// Version of the last commit; wakes waiting watches.
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
    /// Changes in commit order, for watches.
    history: Vec<RowChange>,
    /// Version up to which changes are discarded; a watch from an earlier version can't be served.
    discarded_up_to: Version,
    faults: PlatformFaults,
    stats: PlatformStats,
    random: SeededRandom,
    writes: TokenBucket,
    reads: TokenBucket,
}

/// Rate limiter that admits `rate` calls per second, with a burst of up to one second's worth of calls.
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: f64, now: Instant) -> Self {
        TokenBucket { rate, tokens: rate, refilled_at: now }
    }

    fn admit(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.refilled_at = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}

impl MemoryPlatform {
    /// Creates an empty platform.
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
            discarded_up_to: 0,
            faults: settings.faults.clone(),
            stats: PlatformStats::default(),
            random: SeededRandom::new(settings.seed),
            writes: TokenBucket::new(settings.writes_per_second, now),
            reads: TokenBucket::new(settings.reads_per_second, now),
        };
        MemoryPlatform { settings, state: Mutex::new(state), committed: watch::Sender::new(0) }
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Discards the recorded changes, so that every watch from an earlier version returns
    /// [`WatchResponse::HistoryLost`].
    pub fn drop_history(&self) {
        let mut state = self.lock();
        state.history.clear();
        state.discarded_up_to = state.version;
        drop(state);
        self.committed.send_modify(|_| {});
    }

    /// Returns the active faults.
    pub fn faults(&self) -> PlatformFaults {
        self.lock().faults.clone()
    }

    /// Returns the counters.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn inject_delay(&self) {
        let delay_ms = self.lock().faults.slow_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
    }
}

fn unavailable() -> StoreError {
    StoreError::Unavailable("the platform stand-in is down".into())
}

impl PlatformState {
    fn check_read(&mut self) -> Result<(), StoreError> {
        if self.faults.down || self.faults.table_down {
            return Err(unavailable());
        }
        if !self.reads.admit(Instant::now()) {
            self.stats.throttled += 1;
            return Err(StoreError::Unavailable("read rate limit exceeded".into()));
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
            return Err(unavailable());
        }
        if after < self.discarded_up_to {
            return Ok(WatchResponse::HistoryLost);
        }
        let newer = self.history.iter().filter(|change| change.row.version > after);
        let of_table = newer.filter(|change| change.row.key.starts_with(prefix));
        Ok(WatchResponse::Changes { changes: of_table.cloned().collect(), version: self.version })
    }

    fn conflicts(&self, transaction: &Transaction) -> Vec<String> {
        let conditions = transaction.conditions.iter();
        conditions
            .filter(|condition| {
                self.rows.get(condition.key.as_str()).map_or(0, |row| row.version)
                    != condition.version
            })
            .map(|condition| condition.key.clone())
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
        self.inject_delay().await;
        let mut state = self.lock();
        state.check_read()?;
        Ok(keys.iter().map(|key| state.read_row(key)).collect())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, StoreError> {
        self.inject_delay().await;
        let mut state = self.lock();
        state.check_read()?;
        let keys = state.rows.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let keys: Vec<String> = keys.take(limit).cloned().collect();
        Ok(keys.iter().filter_map(|key| state.read_row(key)).collect())
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError> {
        self.inject_delay().await;
        let (delay_ms, response_delay_ms) = {
            let faults = &self.lock().faults;
            (faults.slow_commits_ms, faults.late_answers_ms)
        };
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let response_delay = Duration::from_millis(response_delay_ms);
        let outcome = self.commit_now(transaction);
        if !response_delay.is_zero() {
            tokio::time::sleep(response_delay).await;
        }
        outcome
    }
}

impl MemoryPlatform {
    fn commit_now(&self, transaction: Transaction) -> Result<CommitOutcome, StoreError> {
        let mut state = self.lock();
        if state.faults.down || state.faults.table_down {
            return Err(unavailable());
        }
        if !state.writes.admit(Instant::now()) {
            state.stats.throttled += 1;
            return Err(StoreError::Unavailable("write rate limit exceeded".into()));
        }
        let conflicts = state.conflicts(&transaction);
        if !conflicts.is_empty() {
            state.stats.table_conflicts += 1;
            return Ok(CommitOutcome::Conflict(conflicts));
        }
        let version = state.apply(transaction);
        self.committed.send_replace(version);
        let lost_permille = state.faults.lost_answers_permille as usize;
        if state.random.below(1000) < lost_permille {
            return Err(StoreError::Unknown("the response was lost".into()));
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
            let result = self.lock().changes_after(&prefix, after)?;
            let is_empty =
                matches!(&result, WatchResponse::Changes { changes, .. } if changes.is_empty());
            if !is_empty || tokio::time::timeout_at(until, committed.changed()).await.is_err() {
                return Ok(result);
            }
        }
    }
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        self.inject_delay().await;
        let mut state = self.lock();
        if state.faults.down {
            return Err(unavailable());
        }
        state.stats.object_puts += 1;
        state.objects.insert(name.into(), body);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.inject_delay().await;
        let mut state = self.lock();
        if state.faults.down {
            return Err(unavailable());
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
        let object = self.get(name).await?;
        Ok(object.map(|body| {
            let end = (end as usize).min(body.len());
            body.slice((start as usize).min(end)..end)
        }))
    }

    async fn delete(&self, name: &str) -> Result<(), StoreError> {
        let mut state = self.lock();
        if state.faults.down {
            return Err(unavailable());
        }
        state.objects.remove(name);
        Ok(())
    }
}

#[async_trait]
impl HostList for MemoryPlatform {
    async fn list(&self) -> Result<Vec<HostEntry>, StoreError> {
        self.inject_delay().await;
        let now = Instant::now();
        let lag = Duration::from_millis(self.settings.list_lag_ms);
        let retention = Duration::from_millis(self.settings.host_ttl_ms) + lag;
        let mut state = self.lock();
        if state.faults.list_down {
            return Err(unavailable());
        }
        state.hosts.retain(|_, host| now.saturating_duration_since(host.last_seen) < retention);
        let listed = state.hosts.iter();
        Ok(listed
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
            return Err(unavailable());
        }
        let new_host = || ListedHost { first_seen: now, last_seen: now, leaving_since: None };
        let host = state.hosts.get_or_insert_with(entry.address.clone(), new_host);
        host.last_seen = now;
        host.leaving_since = match (entry.leaving, host.leaving_since) {
            (true, since) => since.or(Some(now)),
            (false, _) => None,
        };
        Ok(())
    }
}
