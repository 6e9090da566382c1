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
pub fn note_suspects(
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
mod tests {
    use cuminramp_core::HostId;
    use cuminramp_wire::rows::{ChunkRow, SuspectItem};
    use proptest::prelude::*;

    use super::*;

    fn host(number: u64) -> HostId {
        HostId { address: format!("10.0.0.{number}:1").into(), incarnation: 1 }
    }

    #[derive(Clone, Debug)]
    enum Step {
        Lease(u64),
        Commit(usize),
        Release(usize),
        Suspect(usize),
    }

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let step = prop_oneof![
            (0..3u64).prop_map(Step::Lease),
            (0..6usize).prop_map(Step::Commit),
            (0..6usize).prop_map(Step::Release),
            (0..6usize).prop_map(Step::Suspect),
        ];
        proptest::collection::vec(step, 0..40)
    }

    proptest! {
        // Hosts are paused with a lease in hand, others take over, and all of them try to commit, in
        // any order. A second commit would give an item two results.
        #[test]
        fn only_the_last_lease_commits_and_only_once(steps in steps()) {
            let mut row = ChunkRow::default();
            let mut leases: Vec<LeaseHolder> = Vec::new();
            let mut commits = 0;
            for step in steps {
                match step {
                    Step::Lease(number) => {
                        if let Ok(next) = lease_chunk(&row, &host(number)) {
                            leases.push(LeaseHolder { host: host(number), fence: next.fence });
                            row = next;
                        }
                    }
                    Step::Commit(index) => {
                        let Some(lease) = leases.get(index) else { continue };
                        if let Ok(next) = commit_chunk(&row, lease, "s", ChunkTally::default()) {
                            prop_assert_eq!(lease.fence, row.fence);
                            commits += 1;
                            row = next;
                        }
                    }
                    Step::Release(index) => {
                        let Some(lease) = leases.get(index) else { continue };
                        row = release_chunk(&row, lease).unwrap_or(row);
                    }
                    Step::Suspect(index) => {
                        let Some(lease) = leases.get(index) else { continue };
                        let suspects = [SuspectItem { index: 1, crashes: 1 }];
                        row = note_suspects(&row, lease, &suspects).unwrap_or(row);
                    }
                }
            }
            prop_assert!(commits <= 1);
        }
    }

    // A poison item kills the engine of one host after another. Were its crashes counted by each
    // host for itself, every host would lose engines to it.
    #[test]
    fn crashes_are_remembered_by_the_next_holder() {
        let row = lease_chunk(&ChunkRow::default(), &host(1)).unwrap();
        let lease = LeaseHolder { host: host(1), fence: row.fence };
        let row = note_suspects(&row, &lease, &[SuspectItem { index: 4, crashes: 1 }]).unwrap();

        let row = lease_chunk(&row, &host(2)).unwrap();

        assert_eq!(row.suspects, [SuspectItem { index: 4, crashes: 1 }]);
    }
}
