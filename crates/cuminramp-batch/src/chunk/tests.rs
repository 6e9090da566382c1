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
    RecordCrash(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        (0..3u64).prop_map(Step::Lease),
        (0..6usize).prop_map(Step::Commit),
        (0..6usize).prop_map(Step::Release),
        (0..6usize).prop_map(Step::RecordCrash),
    ];
    proptest::collection::vec(step, 0..40)
}

proptest! {
    // Guards against a second commit of a chunk, which would give an item two results. Hosts are
    // paused while they hold a lease, others take the chunk over, and all of them commit in any order.
    #[test]
    fn only_the_latest_lease_commits_and_only_once(steps in steps()) {
        let mut row = ChunkRow::default();
        let mut leases: Vec<HeldLease> = Vec::new();
        let mut commits = 0;
        for step in steps {
            match step {
                Step::Lease(number) => {
                    if let Ok(next) = lease_chunk(&row, &host(number)) {
                        leases.push(HeldLease { host: host(number), fence: next.fence });
                        row = next;
                    }
                }
                Step::Commit(index) => {
                    let Some(lease) = leases.get(index) else { continue };
                    if let Ok(next) = commit_chunk(&row, lease, "s", ChunkCounts::default()) {
                        prop_assert_eq!(lease.fence, row.fence);
                        commits += 1;
                        row = next;
                    }
                }
                Step::Release(index) => {
                    let Some(lease) = leases.get(index) else { continue };
                    row = release_chunk(&row, lease).unwrap_or(row);
                }
                Step::RecordCrash(index) => {
                    let Some(lease) = leases.get(index) else { continue };
                    let crashed = [SuspectItem { index: 1, crashes: 1 }];
                    row = record_crashes(&row, lease, &crashed).unwrap_or(row);
                }
            }
        }
        prop_assert!(commits <= 1);
    }
}

// Guards against crash counts that are lost when a lease changes hands. A poison item crashes an
// engine under each holder; if each host kept its own count, every host would lose engines to it.
#[test]
fn crash_counts_carry_over_to_the_next_holder() {
    let row = lease_chunk(&ChunkRow::default(), &host(1)).unwrap();
    let lease = HeldLease { host: host(1), fence: row.fence };
    let row = record_crashes(&row, &lease, &[SuspectItem { index: 4, crashes: 1 }]).unwrap();

    let row = lease_chunk(&row, &host(2)).unwrap();

    assert_eq!(row.suspects, [SuspectItem { index: 4, crashes: 1 }]);
}
