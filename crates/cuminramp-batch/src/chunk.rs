//! State transitions of a chunk's row.

use std::fmt;

use cuminramp_core::HostId;
use cuminramp_wire::rows::{ChunkRow, ChunkState, SuspectItem};

/// Reason why a transition of a chunk's row is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkError {
    /// The chunk's results are already committed.
    Done,
    /// The chunk is leased to another host or incarnation, leased under another fencing number, or not
    /// leased at all.
    NotHolder,
}

impl fmt::Display for ChunkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ChunkError::Done => "the chunk is done",
            ChunkError::NotHolder => "the lease is no longer held",
        })
    }
}

impl std::error::Error for ChunkError {}

/// A lease as recorded by the host that holds it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// The host that holds the lease, with its incarnation.
    pub host: HostId,
    /// The fencing number under which the lease was granted.
    pub fence: u64,
}

/// Numbers of a chunk's items by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChunkCounts {
    /// Items that a target answered with a 2xx status.
    pub completed: u32,
    /// Items that ended with another status or without a response.
    pub failed: u32,
}

/// Returns the host and incarnation that `row` names as the holder.
fn holder_of(row: &ChunkRow) -> HostId {
    HostId { address: row.holder.as_str().into(), incarnation: row.holder_incarnation }
}

/// Returns whether a chunk may be leased, which is when it is free or its holder is gone.
///
/// `is_dead` may be wrong: a holder that is still alive loses its lease, and its commit is then
/// rejected because of the fencing number. At worst items are run twice, but never committed twice.
///
/// ```
/// use cuminramp_wire::rows::ChunkRow;
/// assert!(cuminramp_batch::is_claimable(&ChunkRow::default(), |_| false));
/// ```
pub fn is_claimable(row: &ChunkRow, is_dead: impl Fn(&HostId) -> bool) -> bool {
    match row.state() {
        ChunkState::Free => true,
        ChunkState::Leased => is_dead(&holder_of(row)),
        ChunkState::Done => false,
    }
}

/// Returns the row leased to `host` under the next fencing number.
pub fn lease_chunk(row: &ChunkRow, host: &HostId) -> Result<ChunkRow, ChunkError> {
    if row.state() == ChunkState::Done {
        return Err(ChunkError::Done);
    }
    Ok(ChunkRow {
        state: ChunkState::Leased.into(),
        holder: host.address.to_string(),
        holder_incarnation: host.incarnation,
        fence: row.fence + 1,
        ..row.clone()
    })
}

fn check_holder(row: &ChunkRow, lease: &HeldLease) -> Result<(), ChunkError> {
    match row.state() {
        ChunkState::Done => Err(ChunkError::Done),
        ChunkState::Leased if row.fence == lease.fence && holder_of(row) == lease.host => Ok(()),
        _ => Err(ChunkError::NotHolder),
    }
}

/// Returns the row as done, with its results stored in `segment`.
///
/// A holder that was paused until another host took the chunk over finds a higher fencing number in
/// the row, and its commit is rejected.
///
/// ```
/// use cuminramp_batch::*;
/// use cuminramp_core::HostId;
/// use cuminramp_wire::rows::ChunkRow;
/// let first = HostId { address: "10.0.0.1:1".into(), incarnation: 1 };
/// let second = HostId { address: "10.0.0.2:1".into(), incarnation: 1 };
/// let row = lease_chunk(&ChunkRow::default(), &first).unwrap();
/// let late = HeldLease { host: first, fence: row.fence };
/// let row = lease_chunk(&row, &second).unwrap();
/// assert_eq!(commit_chunk(&row, &late, "s", ChunkCounts::default()), Err(ChunkError::NotHolder));
/// ```
pub fn commit_chunk(
    row: &ChunkRow,
    lease: &HeldLease,
    segment: &str,
    counts: ChunkCounts,
) -> Result<ChunkRow, ChunkError> {
    check_holder(row, lease)?;
    Ok(ChunkRow {
        state: ChunkState::Done.into(),
        segment: segment.to_owned(),
        completed: counts.completed,
        failed: counts.failed,
        suspects: Vec::new(),
        ..row.clone()
    })
}

/// Returns the row as free, for a holder that gives up its lease without results, as a draining
/// host does.
pub fn release_chunk(row: &ChunkRow, lease: &HeldLease) -> Result<ChunkRow, ChunkError> {
    check_holder(row, lease)?;
    Ok(ChunkRow { state: ChunkState::Free.into(), ..row.clone() })
}

/// Returns the row with the crash counts of items that were in flight when a target crashed.
///
/// Because the counts are in the row, the next holder also runs these items one at a time, and a bound on the crashes of an
/// item holds over all holders.
pub fn record_crashes(
    row: &ChunkRow,
    lease: &HeldLease,
    crashed: &[SuspectItem],
) -> Result<ChunkRow, ChunkError> {
    check_holder(row, lease)?;
    let mut merged = row.suspects.clone();
    for item in crashed {
        match merged.iter_mut().find(|recorded| recorded.index == item.index) {
            Some(recorded) => recorded.crashes = recorded.crashes.max(item.crashes),
            None => merged.push(*item),
        }
    }
    merged.sort_by_key(|item| item.index);
    Ok(ChunkRow { suspects: merged, ..row.clone() })
}

#[cfg(test)]
mod tests;
