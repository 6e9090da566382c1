//! The steps of a chunk's row.

use std::fmt;

use cuminramp_core::HostId;
use cuminramp_wire::rows::{ChunkRow, ChunkState, SuspectItem};

/// Why a step can't be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkError {
    /// Its results are committed.
    Done,
    /// Another run holds it, or this run under another fencing number.
    NotHolder,
}

impl fmt::Display for ChunkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ChunkError::Done => "the chunk is done",
            ChunkError::NotHolder => "the lease is another's",
        })
    }
}

impl std::error::Error for ChunkError {}

/// A lease as its holder remembers it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseHolder {
    /// The run that holds it.
    pub host: HostId,
    /// The fencing number it was given.
    pub fence: u64,
}

/// How many items of a chunk ended how.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChunkTally {
    /// With a result.
    pub completed: u32,
    /// With an error.
    pub failed: u32,
}

/// The run that a row names as holder.
fn holder_of(row: &ChunkRow) -> HostId {
    HostId { address: row.holder.as_str().into(), incarnation: row.holder_incarnation }
}

/// Whether a chunk may be leased: it is free, or its holder is gone.
///
/// `is_gone` may err: a holder that lives after all loses its lease, and its commit then fails by
/// the fencing number, so the worst is work done twice, never a result kept twice.
///
/// ```
/// use cuminramp_wire::rows::ChunkRow;
/// assert!(cuminramp_batch::is_claimable(&ChunkRow::default(), |_| false));
/// ```
pub fn is_claimable(row: &ChunkRow, is_gone: impl Fn(&HostId) -> bool) -> bool {
    match row.state() {
        ChunkState::Free => true,
        ChunkState::Leased => is_gone(&holder_of(row)),
        ChunkState::Done => false,
    }
}

/// The row after `host` has leased it, under the next fencing number.
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

fn check_holder(row: &ChunkRow, holder: &LeaseHolder) -> Result<(), ChunkError> {
    match row.state() {
        ChunkState::Done => Err(ChunkError::Done),
        ChunkState::Leased if row.fence == holder.fence && holder_of(row) == holder.host => Ok(()),
        _ => Err(ChunkError::NotHolder),
    }
}

/// The row after the results in `segment` were committed.
///
/// A holder that was paused past the takeover finds another fencing number and commits nothing.
///
/// ```
/// use cuminramp_batch::*;
/// use cuminramp_core::HostId;
/// use cuminramp_wire::rows::ChunkRow;
/// let first = HostId { address: "10.0.0.1:1".into(), incarnation: 1 };
/// let second = HostId { address: "10.0.0.2:1".into(), incarnation: 1 };
/// let row = lease_chunk(&ChunkRow::default(), &first).unwrap();
/// let late = LeaseHolder { host: first, fence: row.fence };
/// let row = lease_chunk(&row, &second).unwrap();
/// assert_eq!(commit_chunk(&row, &late, "s", ChunkTally::default()), Err(ChunkError::NotHolder));
/// ```
pub fn commit_chunk(
    row: &ChunkRow,
    holder: &LeaseHolder,
    segment: &str,
    tally: ChunkTally,
) -> Result<ChunkRow, ChunkError> {
    check_holder(row, holder)?;
    Ok(ChunkRow {
        state: ChunkState::Done.into(),
        segment: segment.to_owned(),
        completed: tally.completed,
        failed: tally.failed,
        suspects: Vec::new(),
        ..row.clone()
    })
}

/// The row after its holder gave it back undone, as a host that leaves does.
pub fn release_chunk(row: &ChunkRow, holder: &LeaseHolder) -> Result<ChunkRow, ChunkError> {
    check_holder(row, holder)?;
    Ok(ChunkRow { state: ChunkState::Free.into(), ..row.clone() })
}

/// The row after targets died under items: the counts are kept, so that the next holder, too, runs
/// them alone and they end after a bounded number of crashes, whoever runs them.
pub fn record_crashes(
    row: &ChunkRow,
    holder: &LeaseHolder,
    suspects: &[SuspectItem],
) -> Result<ChunkRow, ChunkError> {
    check_holder(row, holder)?;
    let mut merged = row.suspects.clone();
    for suspect in suspects {
        match merged.iter_mut().find(|known| known.index == suspect.index) {
            Some(known) => known.crashes = known.crashes.max(suspect.crashes),
            None => merged.push(*suspect),
        }
    }
    merged.sort_by_key(|suspect| suspect.index);
    Ok(ChunkRow { suspects: merged, ..row.clone() })
}

#[cfg(test)]
mod tests;
