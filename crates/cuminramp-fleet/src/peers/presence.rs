//! Hosts that were declared lost, so that they no longer count among all hosts.
//!
//! A host that falls silent may be lost, or cut off from the local host only. The table of hosts tells these apart:
//! a silent host is suspected there, and one that still runs and reaches the store writes its row again. One that
//! does not is declared lost.

use std::time::Duration;

use cuminramp_core::{HostId, Name, hash_parts};
use tokio::time::Instant;

use super::{PeerRecord, PeerTable};
use crate::heartbeat::KnownHost;
use crate::presence::{HostSight, LOST_RETENTION, SUSPICION_SILENCE};

/// Time for which a host without a row is silent before it is declared lost. One that runs reads the rows, and writes its
/// own again, in this time.
const MISSING_SILENCE: Duration = Duration::from_secs(8);

impl PeerTable {
    /// Returns what this host hears of another one; `None` if that one is not known.
    pub fn sight_of(&self, address: &str, now: Instant) -> Option<HostSight> {
        let record = self.peers.get(address)?;
        if record.declared_lost_at.is_some() {
            return Some(HostSight::Lost);
        }
        if record.has_left {
            return Some(HostSight::Left);
        }
        Some(self.silence(record, now).map_or(HostSight::Heard, HostSight::Silent))
    }

    fn silence(&self, record: &PeerRecord, now: Instant) -> Option<Duration> {
        if self.is_alive(record, now) {
            return None;
        }
        // After a pause of this process no host has been heard; they are silent from then on.
        let since = self.last_seen(record).unwrap_or(record.discovered_at);
        Some(now.saturating_duration_since(since.max(self.liveness_reset_at)))
    }

    /// Returns whether a host that counts among all hosts has been silent for so long that it is to be suspected.
    pub fn has_suspects(&self, now: Instant) -> bool {
        let present = self.peers.values().filter(|record| !record.has_left);
        present.filter_map(|record| self.silence(record, now)).any(|it| it >= SUSPICION_SILENCE)
    }

    /// Returns whether this host is the one to change the row of a silent host. In a large fleet few hosts read the
    /// rows, and each of them may, unless hardly any host answers its probes.
    pub fn is_judge_of(&self, address: &str, now: Instant) -> bool {
        if self.uses_probes() {
            return !self.probes.is_cut_off();
        }
        self.ranks_first(hash_parts(&[address]), now)
    }

    /// Records that a host was declared lost, unless it is alive as far as this host knows. Returns whether that is
    /// news.
    pub fn declare_lost(&mut self, id: &HostId, now: Instant) -> bool {
        let Some(record) = self.peers.get(&id.address) else { return false };
        let is_other = record.host.incarnation != id.incarnation;
        if is_other || record.has_left || self.is_alive(record, now) {
            return false;
        }
        self.set_declared_lost(&id.address, Some(now), now);
        true
    }

    /// Declares hosts lost that have no row, and returns them. Such a host began to leave, and ended before it could say
    /// that it has left; one that runs would have written its row again. `lists` tells whether the rows that were read
    /// include that of a host, or would not include it in any case.
    pub fn declare_missing(
        &mut self,
        lists: impl Fn(&KnownHost) -> bool,
        now: Instant,
    ) -> Vec<HostId> {
        let is_gone = |record: &&PeerRecord| {
            let silence = self.silence(record, now).unwrap_or_default();
            !record.has_left && silence >= MISSING_SILENCE && !lists(&record.host)
        };
        let missing: Vec<HostId> =
            self.peers.values().filter(is_gone).map(PeerRecord::id).collect();
        for id in &missing {
            self.set_declared_lost(&id.address, Some(now), now);
        }
        missing
    }

    /// Takes back that a host was declared lost: it has written its row again, though it may still be silent here.
    /// Returns whether that is news.
    pub fn restore(&mut self, id: &HostId, now: Instant) -> bool {
        let is_lost = self.peers.get(&id.address).is_some_and(|record| {
            record.host.incarnation == id.incarnation && record.declared_lost_at.is_some()
        });
        // In a large fleet the host refutes it with its next revision, which all others receive.
        if !is_lost || self.uses_probes() {
            return false;
        }
        self.set_declared_lost(&id.address, None, now);
        true
    }

    fn set_declared_lost(&mut self, address: &str, at: Option<Instant>, now: Instant) {
        let uses_probes = self.uses_probes();
        let Some(record) = self.peers.get_mut(address) else { return };
        record.declared_lost_at = at;
        record.has_left = at.is_some();
        if at.is_some() && uses_probes {
            record.silent_since.get_or_insert(now);
        }
        self.schedule = self.compute_schedule();
        self.record_change(address, true, now);
    }

    /// Returns the number of alive hosts and of all hosts for which a part of each rate is reserved. Both include the
    /// local host.
    ///
    /// These are more than [`count_alive`](Self::count_alive) counts: a host that was declared lost may be cut off
    /// from the store and from the others, and still admit its part.
    pub fn count_rate_shares(&self, now: Instant) -> (usize, usize) {
        let (alive, all) = self.count_alive(now);
        let lost = self.peers.values().filter(|record| record.declared_lost_at.is_some());
        (alive, all + lost.count())
    }

    /// Forgets hosts that were declared lost long ago, and whose rows are deleted therefore. In a large fleet others
    /// would name them again.
    pub fn forget_lost(&mut self, now: Instant) {
        if self.uses_probes() {
            return;
        }
        let is_old = |at: Instant| now.duration_since(at) >= LOST_RETENTION;
        let lost = self.peers.values().filter(|record| record.declared_lost_at.is_some_and(is_old));
        let old: Vec<Name> = lost.map(|record| record.host.address.clone()).collect();
        for address in old {
            self.forget(&address);
        }
    }
}
