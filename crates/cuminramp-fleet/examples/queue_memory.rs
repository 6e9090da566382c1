//! Prints the memory of an admission queue for each waiting request, and for each team that asked lately.

use std::time::Duration;

use cuminramp_core::{HostId, SeededRandom};
use cuminramp_fleet::{AdmissionQueue, AdmissionRequest, GroupCapacity, QueueDecision};
use tokio::time::Instant;

/// Number of requests and of teams.
const COUNT: u32 = 100_000;
/// Number of hosts that send the requests.
const HOSTS: u64 = 34;

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> Result<i64, Box<dyn std::error::Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let figure = line.and_then(|line| line.split_whitespace().next());
    Ok(figure.ok_or("no VmRSS")?.parse()?)
}

fn request(request_id: u64, team: u32) -> AdmissionRequest {
    AdmissionRequest {
        incarnation: 1,
        request_id,
        group: 1,
        avoided: vec![],
        team,
        weight_milli: 1_000,
        priority: 0,
        is_retry: false,
        max_wait_ms: 60_000,
        deadline_ms: 60_000,
        may_wait: true,
    }
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let hosts: Vec<HostId> = (0..HOSTS)
        .map(|host| HostId { address: format!("10.0.0.{host}:7004").into(), incarnation: 1 })
        .collect();
    let capacity = GroupCapacity { slots: COUNT, freed_per_s: 1e9 };
    let (mut random, start) = (SeededRandom::new(1), Instant::now());

    let before = resident_kib()?;
    let mut queue = AdmissionQueue::default();
    for number in 0..u64::from(COUNT) {
        let host = &hosts[(number % HOSTS) as usize];
        let now = start + Duration::from_micros(number);
        let decision = queue.submit(host, &request(number, 1), capacity, &mut random, now);
        assert!(matches!(decision, QueueDecision::Waiting { .. }), "{decision:?}");
    }
    let of_requests = resident_kib()? - before;

    let before = resident_kib()?;
    let mut teams = AdmissionQueue::default();
    for team in 0..COUNT {
        teams.record_grant(team, 1_000, start);
    }
    let of_teams = resident_kib()? - before;

    let bytes_each = |kib: i64| kib * 1_024 / i64::from(COUNT);
    println!("{COUNT} waiting requests: {} bytes each", bytes_each(of_requests));
    println!("{COUNT} teams: {} bytes each", bytes_each(of_teams));
    println!("waiting at the end: {} and {}", queue.len(), teams.len());
    Ok(())
}
