//! Tracks poison requests: requests that crash the targets that run them.

use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

/// Maximum number of records. When it is reached, expired records and those with a single crash are dropped,
/// then the oldest.
const MAX_RECORDS: usize = 10_000;
/// Part of the records that is dropped if none is expired: dropping one at a time would sort all of them for
/// each crash.
const DROPPED_SHARE: usize = 10;

/// Crashes of the requests with one fingerprint.
#[derive(Clone, Debug)]
struct CrashRecord {
    /// Crash count: the highest that any host reported, plus those observed here since.
    crashes: u32,
    /// Time of the last crash that this host observed or received a report of.
    last_crash_at: Instant,
    /// Running attempts of this host that began after the record was created.
    running: u32,
    /// Target of the last attempt. Meaningful only while `running` is not 0.
    target: Option<Name>,
    /// Time of the last crash that this host observed itself; `None` if only other hosts observed one.
    observed_here_at: Option<Instant>,
}

impl CrashRecord {
    fn new(now: Instant) -> Self {
        CrashRecord {
            crashes: 0,
            last_crash_at: now,
            running: 0,
            target: None,
            observed_here_at: None,
        }
    }
}

/// Counts crashes of targets by the fingerprint of the request that they ran.
///
/// A poison request crashes every target that runs it. Retried by a host or sent again by its caller,
/// it would crash the targets of a pool one after another. So a request whose target crashed runs at
/// most once at a time, and after `limit` crashes it is quarantined.
#[derive(Clone, Debug)]
pub struct CrashTable {
    limit: u32,
    quarantine: Duration,
    records: SortedMap<u64, CrashRecord>,
}

impl CrashTable {
    /// Creates a table that quarantines a request for `quarantine` once it has crashed `limit` targets.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// let now = tokio::time::Instant::now();
    /// let mut table = cuminramp_targets::CrashTable::new(2, std::time::Duration::from_secs(60));
    /// table.record_crash(7, now);
    /// assert!(table.begin(7, now));
    /// table.end(7);
    /// table.record_crash(7, now);
    /// assert!(!table.begin(7, now));
    /// # }
    /// ```
    pub fn new(limit: u32, quarantine: Duration) -> Self {
        CrashTable { limit, quarantine, records: SortedMap::new() }
    }

    /// Starts an attempt, if it is allowed, and returns whether it is. A request with a recorded crash
    /// is not allowed while another attempt of it runs: two at once could crash two more targets.
    pub fn begin(&mut self, fingerprint: u64, now: Instant) -> bool {
        let (limit, quarantine) = (self.limit, self.quarantine);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return true;
        };
        if now.saturating_duration_since(record.last_crash_at) > quarantine {
            self.records.remove(&fingerprint);
            return true;
        }
        let allowed = record.crashes < limit && record.running == 0;
        if allowed {
            record.running += 1;
        }
        allowed
    }

    /// Ends an attempt that [`begin`](Self::begin) allowed, whatever its outcome.
    pub fn end(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// Records that a target crashed while it ran this request. Other requests may have run there too:
    /// the crash is then recorded for each, as nothing shows which one caused it. Returns the crash
    /// count of the request.
    pub fn record_crash(&mut self, fingerprint: u64, now: Instant) -> u32 {
        self.make_room(now);
        let record = self.records.get_or_insert_with(fingerprint, || CrashRecord::new(now));
        record.crashes += 1;
        record.last_crash_at = now;
        record.observed_here_at = Some(now);
        record.crashes
    }

    /// Drops records if the table is full.
    fn make_room(&mut self, now: Instant) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let quarantine = self.quarantine;
        self.records.retain(|_, record| {
            now.saturating_duration_since(record.last_crash_at) <= quarantine && record.crashes > 1
        });
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let mut crash_times: Vec<Instant> =
            self.records.values().map(|record| record.last_crash_at).collect();
        crash_times.sort_unstable();
        let mut excess = self.records.len() / DROPPED_SHARE;
        let newest_dropped = crash_times[excess];
        self.records.retain(|_, record| {
            let is_dropped = excess > 0 && record.last_crash_at <= newest_dropped;
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }

    /// Clears a request that ran to completion: its earlier crashes had another cause.
    pub fn record_success(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Records the target of an attempt that [`begin`](Self::begin) allowed.
    pub fn set_target(&mut self, fingerprint: u64, target: &Name) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.running > 0
        {
            record.target = Some(target.clone());
        }
    }

    /// Returns the targets on which requests with recorded crashes run. Another request with a crash should
    /// avoid them: if the target crashed, the harmless one of the two would be counted again too.
    pub fn poison_targets(&self) -> Vec<Name> {
        let running = self.records.values().filter(|record| record.running > 0);
        running.filter_map(|record| record.target.clone()).collect()
    }

    /// Returns the crash count of a fingerprint.
    pub fn crashes(&self, fingerprint: u64) -> u32 {
        self.records.get(&fingerprint).map_or(0, |record| record.crashes)
    }

    /// Returns how long a request stays quarantined; `None` if it is not. Unlike [`begin`](Self::begin),
    /// this does not stop requests below the crash limit: where callers often send identical requests,
    /// one broken connection would stop all of them.
    pub fn remaining_quarantine(&self, fingerprint: u64, now: Instant) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let left =
            self.quarantine.checked_sub(now.saturating_duration_since(record.last_crash_at))?;
        (record.crashes >= self.limit).then_some(left)
    }

    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the fingerprints of crashes that this host observed in the last `within`, with their crash
    /// counts, to be reported to other hosts. Crashes that only others observed are left out; otherwise
    /// hosts would report them to each other forever. Returns at most `max_records`, the highest counts
    /// first.
    pub fn recent_local_crashes(
        &self,
        within: Duration,
        max_records: usize,
        now: Instant,
    ) -> Vec<(u64, u32)> {
        let is_recent = |record: &CrashRecord| {
            record.observed_here_at.is_some_and(|at| now.duration_since(at) < within)
        };
        let recent = self.records.iter().filter(|(_, record)| is_recent(record));
        let mut counts: Vec<(u64, u32)> =
            recent.map(|(fingerprint, record)| (*fingerprint, record.crashes)).collect();
        counts.sort_by_key(|(_, crashes)| std::cmp::Reverse(*crashes));
        counts.truncate(max_records);
        counts
    }

    /// Merges the crash count that another host reported: the higher count wins.
    pub fn merge(&mut self, fingerprint: u64, crashes: u32, now: Instant) {
        self.make_room(now);
        let record = self.records.get_or_insert_with(fingerprint, || CrashRecord::new(now));
        record.crashes = record.crashes.max(crashes);
        record.last_crash_at = now;
    }
}

#[cfg(test)]
mod tests;
