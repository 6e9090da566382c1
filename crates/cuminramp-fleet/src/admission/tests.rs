use std::time::Duration;

use cuminramp_core::{HostId, SeededRandom};
use tokio::time::Instant;

use super::{AdmissionQueue, AdmissionRequest, GroupCapacity, QueueDecision};

mod fairness;
mod group;
mod limits;
mod order;
mod returns;

/// Capacity of a group with 64 slots that are held for 0.7 s.
const CAPACITY: GroupCapacity = GroupCapacity { slots: 64, freed_per_s: 91.4 };

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn host() -> HostId {
    HostId { address: "h".into(), incarnation: 1 }
}

/// Returns a first attempt that may wait for 180 ms.
fn first_attempt(request_id: u64, team: u32) -> AdmissionRequest {
    AdmissionRequest {
        incarnation: 1,
        request_id,
        group: 1,
        avoided: vec![],
        team,
        weight_milli: 1_000,
        priority: 0,
        is_retry: false,
        max_wait_ms: 180,
        deadline_ms: 5_000,
        may_wait: true,
    }
}

/// Returns a second attempt that can no longer be in time.
fn late_retry(request_id: u64, team: u32) -> AdmissionRequest {
    AdmissionRequest { is_retry: true, max_wait_ms: 0, ..first_attempt(request_id, team) }
}

fn submit(queue: &mut AdmissionQueue, request: &AdmissionRequest, now: Instant) -> QueueDecision {
    queue.submit(&host(), request, CAPACITY, &mut SeededRandom::new(1), now)
}

/// Grants a slot and returns the number of the request that gets it.
fn grant(queue: &mut AdmissionQueue, now: Instant) -> Option<u64> {
    queue.grant_next(&mut |_| Some(1), now).map(|(granted, _)| granted.request.request_id)
}
