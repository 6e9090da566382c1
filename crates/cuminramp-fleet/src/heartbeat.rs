//! Heartbeats, in which hosts report their state to each other many times a second.

use cuminramp_core::{AvailabilityZone, Incarnation, Name, hash_parts};
use serde::{Deserialize, Serialize};

use crate::drains::ZoneDrain;

/// Returns the hash that stands for a name in heartbeats. The names themselves would make up most of a
/// heartbeat's bytes.
///
/// ```
/// assert_eq!(cuminramp_fleet::name_hash("a"), cuminramp_fleet::name_hash("a"));
/// assert_ne!(cuminramp_fleet::name_hash("a"), cuminramp_fleet::name_hash("b"));
/// ```
pub fn name_hash(name: &str) -> u32 {
    hash_parts(&[name]) as u32
}

/// Requests and items that one host has in flight at one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetLoad {
    /// Hash of the target's name, see [`name_hash`].
    pub target: u32,
    /// Number of online requests.
    pub online: u16,
    /// Number of batch items.
    pub batch: u16,
}

/// Load that a target reported in a response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportedLoad {
    /// Hash of the target's name, see [`name_hash`].
    pub target: u32,
    /// Number of requests that it was running or had queued.
    pub busy: u16,
}

/// Requests of one team that one host has admitted since its start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamUsage {
    /// Hash of the team's name, see [`name_hash`].
    pub team: u32,
    /// Number of requests admitted since the host's start. It only grows.
    pub admitted: u32,
    /// Number of those admitted in the last two to four seconds.
    pub recent: u32,
    /// Tokens left in the team's fleet-wide bucket, as computed by the host; negative if the bucket is in
    /// debt.
    pub level: i32,
}

/// Crash count of a poison request, reported to other hosts so that they don't send the request to more
/// targets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashCount {
    /// Hash of the request's team, path and body.
    pub fingerprint: u64,
    /// Number of targets that it crashed.
    pub crashes: u32,
}

/// Job that its caller ended. It is reported to other hosts because the holder of the job may receive the
/// changed row only seconds later while the store is slow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndedJob {
    /// Name of the job.
    pub job: Name,
    /// Version of its row that ended it.
    pub version: u64,
}

/// Addresses, incarnation and zone of a host, passed on by hosts that know it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownHost {
    /// Address for other hosts, `ip:port`.
    pub address: Name,
    /// Its latest known incarnation.
    pub incarnation: Incarnation,
    /// Address for callers, `ip:port`.
    pub caller_address: Name,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Share of a processor core that it may use, in percent; 0 if it is not known.
    pub core_percent: u16,
}

/// Status of a host as other hosts pass it on, where the fleet is too large for heartbeats from each host to
/// each other one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostStatus {
    /// The host.
    pub host: KnownHost,
    /// Number that the host raises with each change of its status, and to refute that it is silent.
    pub revision: u32,
    /// Whether the host accepts requests.
    pub is_ready: bool,
    /// Whether the host has stopped admitting requests for the rest of this incarnation.
    pub has_left: bool,
    /// Whether the host has been up for long enough that others can adopt its token levels.
    pub is_settled: bool,
    /// Whether the host can reach the store.
    pub reaches_store: bool,
    /// Whether another host found it silent. At the same revision this overrides that it is not.
    pub is_silent: bool,
}

/// State that a host reports about itself. A heartbeat replaces the one before it, so a lost, repeated or
/// late one does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostHeartbeat {
    /// Sender of the heartbeat.
    pub host: KnownHost,
    /// Number that grows with each heartbeat of an incarnation. A heartbeat whose number isn't higher than
    /// that of the latest is late or repeated and is dropped.
    pub sequence: u64,
    /// Whether the sender accepts requests.
    pub is_ready: bool,
    /// Whether the sender has stopped admitting requests for the rest of this incarnation.
    pub has_left: bool,
    /// Whether the receiver should answer with its own heartbeat at once; set in join requests.
    pub is_join_request: bool,
    /// Whether that answer should list known hosts; set if the sender knows hardly any.
    pub wants_hosts: bool,
    /// Whether the receiver should answer with a regular heartbeat, which shows that it is alive.
    pub is_probe: bool,
    /// Revision of the sender's status, see [`HostStatus::revision`].
    pub revision: u32,
    /// Recently changed statuses of other hosts.
    pub statuses: Vec<HostStatus>,
    /// Digest of the statuses of all hosts that the sender knows; 0 if it does not compare them.
    pub status_digest: u64,
    /// Whether the sender can reach the store.
    pub reaches_store: bool,
    /// Version of the declarations that the sender applies.
    pub declarations_version: u64,
    /// Version up to which the sender's rows of targets are complete.
    pub targets_version: u64,
    /// Usage of teams: of all that the sender admitted requests of, or only of those whose usage changed
    /// recently.
    pub usage: Vec<TeamUsage>,
    /// Whether `usage` lists every team that the sender admitted requests of, as in a full heartbeat.
    pub is_full: bool,
    /// Whether the sender has been up for long enough that others can adopt its token levels.
    pub is_settled: bool,
    /// Some of the hosts that the sender knows.
    pub known_hosts: Vec<KnownHost>,
    /// Requests that recently crashed targets to which the sender had sent them.
    pub crash_counts: Vec<CrashCount>,
    /// Jobs that callers recently ended through the sender.
    pub ended: Vec<EndedJob>,
    /// Zones that are drained or were until recently.
    pub drains: Vec<ZoneDrain>,
}
