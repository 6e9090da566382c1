//! What hosts tell each other many times a second.

use cuminramp_core::{AvailabilityZone, Incarnation, Name, hash_parts};
use serde::{Deserialize, Serialize};

use crate::drains::ZoneDrain;

/// The short form of a name in heartbeats; the names themselves would make up most of a heartbeat's bytes.
///
/// ```
/// assert_eq!(cuminramp_fleet::name_hash("a"), cuminramp_fleet::name_hash("a"));
/// assert_ne!(cuminramp_fleet::name_hash("a"), cuminramp_fleet::name_hash("b"));
/// ```
pub fn name_hash(name: &str) -> u32 {
    hash_parts(&[name]) as u32
}

/// What one host has in flight at one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// The target, as [`name_hash`] gives it.
    pub target: u32,
    /// Online requests.
    pub online: u16,
    /// Batch items.
    pub batch: u16,
}

/// What a target said of its own load in an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedLoad {
    /// The target, as [`name_hash`] gives it.
    pub target: u32,
    /// Requests that it ran or let wait.
    pub busy: u16,
}

/// What one host has admitted of one team since its start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamUsage {
    /// The team, as [`name_hash`] gives it.
    pub team: u32,
    /// Requests admitted since the host's start; it only grows.
    pub admitted: u32,
    /// Tokens of the whole fleet that are left, as the host sees it; negative where it owes some.
    pub level: i32,
}

/// A request that broke targets, told to others so that it does not break theirs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashCount {
    /// The request's team, path and body, hashed.
    pub fingerprint: u64,
    /// Targets that it took.
    pub crashes: u32,
}

/// A job that its caller ended, told to others: the host that works on it may not hear of its row for
/// seconds while the store is slow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedJob {
    /// The job.
    pub job: Name,
    /// The version of its row that ended it.
    pub version: u64,
}

/// Where a host can be reached, passed on by hosts that know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownHost {
    /// Where other hosts reach it, `ip:port`.
    pub address: Name,
    /// Its latest run.
    pub incarnation: Incarnation,
    /// Where callers reach it, `ip:port`.
    pub caller_address: Name,
    /// Its availability zone.
    pub zone: AvailabilityZone,
}

/// The whole of what a host tells of itself. A heartbeat replaces the one before it, so a lost, repeated
/// or late one does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostHeartbeat {
    /// The sender.
    pub host: KnownHost,
    /// Grows with each heartbeat of a run; a lower one came late and is dropped.
    pub sequence: u64,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it has ended its last admission and will not admit again in this run.
    pub has_left: bool,
    /// Whether the receiver should answer with a heartbeat of its own at once, as a new host asks.
    pub wants_answer: bool,
    /// Whether that answer should name hosts: the sender knows hardly any.
    pub wants_hosts: bool,
    /// Whether the store answers it.
    pub reaches_store: bool,
    /// Version of the declarations that it has in force.
    pub declarations: u64,
    /// Version up to which it knows the targets.
    pub targets: u64,
    /// What it has admitted of teams, all of them or those that asked lately.
    pub usage: Vec<TeamUsage>,
    /// Whether `usage` names every team of which it admitted anything.
    pub is_usage_full: bool,
    /// Whether it has been up for long enough to know the levels.
    pub is_settled: bool,
    /// Some of the hosts it knows.
    pub known_hosts: Vec<KnownHost>,
    /// Requests that broke targets under its eyes lately.
    pub crash_counts: Vec<CrashCount>,
    /// Jobs that were ended through it lately.
    pub ended: Vec<EndedJob>,
    /// Zones that are drained, and those that were lately.
    pub drains: Vec<ZoneDrain>,
}
