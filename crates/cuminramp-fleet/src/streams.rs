//! Which software began a stream, for callers that take the stream up at another host.
//!
//! The host that passes on the first event of a stream sends a record of its software to a few hosts that
//! [`PeerTable::stream_holders`] selects by the stream. The host at which a caller takes the stream up asks
//! the same hosts. A stream without a record goes on only if the pool has had a single version for long
//! enough.

use std::collections::VecDeque;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap, hash_parts, rendezvous_score};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::peers::PeerTable;
use crate::software::SoftwareVersion;

/// Number of hosts to which a record is sent. Of ten hosts of which six are killed at once, one of three
/// holders is left in 88 of 100 cases.
const HOLDERS: usize = 3;
/// Number of hosts that are asked for a record. One more than hold it: the host that began the stream may
/// rank among them and is none of them.
const ASKED_HOLDERS: usize = HOLDERS + 1;
/// Time for which a record is kept. A host renews it while the stream goes on.
const RECORD_LIFETIME: Duration = Duration::from_secs(60);
/// Interval at which a host renews the records of its streams.
pub const RECORD_RENEWAL: Duration = Duration::from_secs(20);
/// Maximum number of records of a host.
const MAX_RECORDS: usize = 16_384;
/// Number of maps that the records are spread over, so that an insertion moves few of them.
const RECORD_MAPS: usize = 256;

/// Returns the key of the stream that request `first_request_id` of a team began.
///
/// ```
/// use cuminramp_fleet::stream_key;
/// assert_ne!(stream_key("t", "r-1"), stream_key("t", "r-2"));
/// ```
pub fn stream_key(team: &str, first_request_id: &str) -> u64 {
    hash_parts(&[team, first_request_id])
}

/// Record of the software that began a stream. Receiving it again or late does no harm.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The stream, as returned by [`stream_key`].
    pub stream: u64,
    /// Software of the target that sent the first event.
    pub software: SoftwareVersion,
    /// The target, as returned by [`name_hash`](crate::name_hash).
    pub target: u32,
}

/// Request for the software that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRequest {
    /// Number of the request, unique at the requesting host for as long as it waits.
    pub request_id: u64,
    /// The stream, as returned by [`stream_key`].
    pub stream: u64,
    /// Pool at which a stream without a record began, as returned by [`name_hash`](crate::name_hash);
    /// `None` if it may have been one of several.
    pub pool: Option<u32>,
    /// Time before now in which the stream may have begun, in milliseconds.
    pub window_ms: u32,
}

/// What one host knows of the software that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum KnownOrigin {
    /// The host has a record of it.
    Recorded(SoftwareVersion),
    /// The host has no record, and has seen a single version in the pool.
    Single {
        /// The software with that version.
        software: SoftwareVersion,
        /// Whether the host has watched the targets for longer than a stream lasts.
        is_watched: bool,
    },
    /// The host has no record, and has seen several versions in the pool.
    Several,
    /// The host has no record and does not know the targets.
    Unknown,
}

/// Response to an [`OriginRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginResponse {
    /// Number of the request.
    pub request_id: u64,
    /// What the host knows.
    pub origin: KnownOrigin,
}

/// Decides from the answers of several hosts which software began a stream.
#[derive(Clone, Copy, Debug)]
pub struct OriginSearch {
    /// Whether the caller names the request that began the stream.
    is_named: bool,
    single: Option<SoftwareVersion>,
    has_several: bool,
}

impl OriginSearch {
    /// Creates a search for a stream. Of a caller that does not name the first request no host can have a
    /// record, so the versions that are there at present decide.
    ///
    /// ```
    /// use cuminramp_fleet::{KnownOrigin, OriginSearch, SoftwareVersion};
    /// let software = SoftwareVersion::new("p", "v1");
    /// let mut search = OriginSearch::new(true);
    /// assert_eq!(search.receive(KnownOrigin::Several), None);
    /// assert_eq!(search.receive(KnownOrigin::Recorded(software)), Some(software));
    /// ```
    pub fn new(is_named: bool) -> Self {
        OriginSearch { is_named, single: None, has_several: false }
    }

    /// Records an answer. Returns the software if no other answer can change it.
    pub fn receive(&mut self, origin: KnownOrigin) -> Option<SoftwareVersion> {
        match origin {
            KnownOrigin::Recorded(software) => return Some(software),
            KnownOrigin::Single { software, is_watched } if is_watched || !self.is_named => {
                self.has_several |= self.single.is_some_and(|single| single != software);
                self.single = Some(software);
            }
            KnownOrigin::Several => self.has_several = true,
            KnownOrigin::Single { .. } | KnownOrigin::Unknown => {}
        }
        None
    }

    /// Returns the software if no more answers come; `None` if it is not known. That is no permission to go
    /// on at any.
    pub fn finish(self) -> Option<SoftwareVersion> {
        self.single.filter(|_| !self.has_several)
    }
}

fn map_index(stream: u64) -> usize {
    stream as usize % RECORD_MAPS
}

#[derive(Clone, Copy, Debug)]
struct StreamRecord {
    /// `None` after records that contradict each other.
    software: Option<SoftwareVersion>,
    target: u32,
    recorded_at: Instant,
}

/// Records of streams that this host began or holds for others, bounded in number and age.
#[derive(Debug)]
pub struct StreamRecords {
    /// Records by stream, spread by the remainder of its key.
    maps: Vec<SortedMap<u64, StreamRecord>>,
    /// Streams in the order in which they were recorded; a stream that was renewed stands there again.
    order: VecDeque<(Instant, u64)>,
}

impl Default for StreamRecords {
    fn default() -> Self {
        let maps = (0..RECORD_MAPS).map(|_| SortedMap::new()).collect();
        StreamRecords { maps, order: VecDeque::new() }
    }
}

impl StreamRecords {
    /// Records the software of a stream, or renews the record.
    ///
    /// ```
    /// use cuminramp_fleet::{SoftwareVersion, StreamOrigin, StreamRecords};
    /// use tokio::time::Instant;
    /// let software = SoftwareVersion::new("p", "v1");
    /// let mut records = StreamRecords::default();
    /// records.record(StreamOrigin { stream: 1, software, target: 2 }, Instant::now());
    /// assert_eq!(records.find(1, Instant::now()), Some(software));
    /// ```
    pub fn record(&mut self, origin: StreamOrigin, now: Instant) {
        self.expire(now);
        let StreamOrigin { stream, software, target } = origin;
        let records = &mut self.maps[map_index(stream)];
        let earlier = records.get(&stream);
        let is_contradicted = earlier.is_some_and(|record| record.software != Some(software));
        let software = Some(software).filter(|_| !is_contradicted);
        records.insert(stream, StreamRecord { software, target, recorded_at: now });
        self.order.push_back((now, stream));
    }

    /// Returns the software that began a stream; `None` if it is not known.
    pub fn find(&self, stream: u64, now: Instant) -> Option<SoftwareVersion> {
        let record = self.maps[map_index(stream)].get(&stream)?;
        let is_kept = now.saturating_duration_since(record.recorded_at) < RECORD_LIFETIME;
        record.software.filter(|_| is_kept)
    }

    /// Forgets streams of a target that has started again under its identity with other software. They may
    /// have begun at either, since its row is read late.
    pub fn forget_target(&mut self, target: u32, software: SoftwareVersion) {
        for (_, record) in self.maps.iter_mut().flat_map(SortedMap::iter_mut) {
            if record.target == target && record.software != Some(software) {
                record.software = None;
            }
        }
    }

    /// Removes records that are too old or too many, the oldest first.
    fn expire(&mut self, now: Instant) {
        while let Some((recorded_at, stream)) = self.order.front().copied() {
            let is_old = now.saturating_duration_since(recorded_at) >= RECORD_LIFETIME;
            if !is_old && self.order.len() < MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            let records = &mut self.maps[map_index(stream)];
            if records.get(&stream).is_some_and(|record| record.recorded_at <= recorded_at) {
                records.remove(&stream);
            }
        }
    }
}

impl PeerTable {
    /// Returns the addresses of the alive hosts to which the record of a stream is sent.
    pub fn stream_holders(&self, stream: u64, now: Instant) -> Vec<Name> {
        self.rank_hosts(stream, HOLDERS, now)
    }

    /// Returns the addresses of the alive hosts that may hold the record of a stream. Those that had it
    /// when all hosts were alive are among them: the hosts that are gone only moved the others up.
    pub fn possible_stream_holders(&self, stream: u64, now: Instant) -> Vec<Name> {
        self.rank_hosts(stream, ASKED_HOLDERS, now)
    }

    /// Returns whether this host ranks before all other alive hosts for a key.
    pub fn ranks_first(&self, key: u64, now: Instant) -> bool {
        self.alive_rank(key, now) == 0
    }

    /// Returns how many alive hosts rank before this one for a key.
    pub fn alive_rank(&self, key: u64, now: Instant) -> usize {
        let key = key.to_string();
        let score = |address: &Name| (rendezvous_score(&key, address), address.clone());
        let own = score(&self.local().address);
        let alive = self.iter().filter(|record| !record.has_left && self.is_alive(record, now));
        alive.filter(|record| score(&record.host.address) > own).count()
    }

    fn rank_hosts(&self, stream: u64, count: usize, now: Instant) -> Vec<Name> {
        let key = stream.to_string();
        let alive = self.iter().filter(|record| !record.has_left && self.is_alive(record, now));
        let mut ranked: Vec<(u64, &Name)> = alive
            .map(|record| (rendezvous_score(&key, &record.host.address), &record.host.address))
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().take(count).map(|(_, address)| address.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
