//! Requests that crash the targets that run them.

use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;

/// Most fingerprints remembered.
const MOST_RECORDS: usize = 10_000;

/// What is known of one fingerprint.
#[derive(Clone, Debug)]
struct CrashRecord {
    crashes: u32,
    last: Instant,
    running: u32,
    /// Where it runs, while it does.
    target: Option<Name>,
    /// When this host saw it take a target last; `None` where only others did.
    seen_here: Option<Instant>,
}

impl CrashRecord {
    fn new(now: Instant) -> Self {
        CrashRecord { crashes: 0, last: now, running: 0, target: None, seen_here: None }
    }
}

/// Counts crashes by the fingerprint of the request.
///
/// A request that kills each target that runs it takes the whole pool down if it is retried, or if
/// its caller sends it again. One would notice targets failing one after another. So a request whose
/// target died is a suspect: it runs no more than once at a time, and after `limit` crashes not at
/// all for a while.
#[derive(Clone, Debug)]
pub struct CrashTable {
    limit: u32,
    quarantine: Duration,
    records: SortedMap<u64, CrashRecord>,
}

impl CrashTable {
    /// Allows `limit` crashes, then `quarantine` without a run.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// let now = tokio::time::Instant::now();
    /// let mut table = cuminramp_targets::CrashTable::new(2, std::time::Duration::from_secs(60));
    /// table.on_crash(7, now);
    /// assert!(table.begin(7, now));
    /// table.end(7);
    /// table.on_crash(7, now);
    /// assert!(!table.begin(7, now));
    /// # }
    /// ```
    pub fn new(limit: u32, quarantine: Duration) -> Self {
        CrashTable { limit, quarantine, records: SortedMap::new() }
    }

    /// Whether an attempt may begin now. A suspect that is running on another target has to wait
    /// for its outcome: two at once could take two targets more.
    pub fn begin(&mut self, fingerprint: u64, now: Instant) -> bool {
        let (limit, quarantine) = (self.limit, self.quarantine);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return true;
        };
        if now.saturating_duration_since(record.last) > quarantine {
            self.records.remove(&fingerprint);
            return true;
        }
        let allowed = record.crashes < limit && record.running == 0;
        if allowed {
            record.running += 1;
        }
        allowed
    }

    /// An attempt that [`begin`](Self::begin) allowed is over, however it ended.
    pub fn end(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.running = record.running.saturating_sub(1);
        }
    }

    /// A target died under this request; the request ran alone there, or nothing tells it from its
    /// neighbours. Returns how many it took so far.
    pub fn on_crash(&mut self, fingerprint: u64, now: Instant) -> u32 {
        if self.records.len() >= MOST_RECORDS {
            let quarantine = self.quarantine;
            self.records.retain(|_, record| {
                now.saturating_duration_since(record.last) <= quarantine && record.crashes > 1
            });
        }
        let record = self.records.get_or_insert_with(fingerprint, || CrashRecord::new(now));
        record.crashes += 1;
        record.last = now;
        record.seen_here = Some(now);
        record.crashes
    }

    /// It ran to its end: whatever took its target was something else.
    pub fn on_success(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// A suspect that [`begin`](Self::begin) allowed goes to this target.
    pub fn place(&mut self, fingerprint: u64, target: &Name) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.running > 0
        {
            record.target = Some(target.clone());
        }
    }

    /// Targets on which suspects run. Another suspect goes elsewhere: were two on one target that
    /// dies, the harmless one would be blamed again.
    pub fn suspect_targets(&self) -> Vec<Name> {
        let running = self.records.values().filter(|record| record.running > 0);
        running.filter_map(|record| record.target.clone()).collect()
    }

    /// How many targets a fingerprint took so far.
    pub fn crashes(&self, fingerprint: u64) -> u32 {
        self.records.get(&fingerprint).map_or(0, |record| record.crashes)
    }

    /// How long a request is not to be run, since it took as many targets as are allowed. Unlike
    /// [`begin`](Self::begin) this holds back no suspect that has taken fewer: where callers often
    /// send the same bytes, one broken connection would hold back all of them.
    pub fn quarantine_left(&self, fingerprint: u64, now: Instant) -> Option<Duration> {
        let record = self.records.get(&fingerprint)?;
        let left = self.quarantine.checked_sub(now.saturating_duration_since(record.last))?;
        (record.crashes >= self.limit).then_some(left)
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What this host saw within the last `within`, to be told to others: each fingerprint, and how
    /// many targets it took by all that is known here. What only others saw is left out, or hosts
    /// would tell each other the same for ever. At most `most` are named, those that took most
    /// first.
    pub fn seen_lately(&self, within: Duration, most: usize, now: Instant) -> Vec<(u64, u32)> {
        let is_late = |record: &CrashRecord| {
            record.seen_here.is_some_and(|at| now.duration_since(at) < within)
        };
        let lately = self.records.iter().filter(|(_, record)| is_late(record));
        let mut seen: Vec<(u64, u32)> =
            lately.map(|(fingerprint, record)| (*fingerprint, record.crashes)).collect();
        seen.sort_by_key(|(_, crashes)| std::cmp::Reverse(*crashes));
        seen.truncate(most);
        seen
    }

    /// Takes in what another host counted.
    pub fn merge(&mut self, fingerprint: u64, crashes: u32, now: Instant) {
        let record = self.records.get_or_insert_with(fingerprint, || CrashRecord::new(now));
        record.crashes = record.crashes.max(crashes);
        record.last = now;
    }
}

#[cfg(test)]
mod tests;
