//! Queue of the requests that wait for a slot of one group.
//!
//! - `submission` decides whether a request is queued or rejected;
//! - `granting` gives free slots to the waiting requests;
//! - `expiry` removes requests that no longer wait or can no longer be served.

use std::time::Duration;

use cuminramp_core::{HostId, SortedMap};
use tokio::time::Instant;

use self::entry::{DueKey, QueueEntry};
use super::message::{AdmissionRequest, RejectionReason, ShareReport};
use super::order::{QueuePlace, RequestKey, RequestOrder};
use super::returns::ReturnSchedule;
use super::shares::{ShareTable, TeamShare};

mod entry;
mod expiry;
mod granting;
mod submission;

/// Number of teams in a [`QueueStatus`].
const STATUS_TEAMS: usize = 3;

/// Slots of a group's usable targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupCapacity {
    /// Number of slots.
    pub slots: u32,
    /// Expected number of slots that become free in a second while all are in use.
    pub freed_per_s: f64,
}

/// Decision on a request for which no slot is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// The request is in the queue.
    Waiting {
        /// Expected time until it gets a slot.
        wait: Duration,
    },
    /// The request is not queued.
    Rejected {
        /// Delay after which its caller should retry.
        retry_after: Duration,
        /// Why it was rejected.
        reason: RejectionReason,
    },
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct WaitingRequest {
    /// Host that sent the request.
    pub host: HostId,
    /// The latest request of the host; its times count from `received_at`.
    pub request: AdmissionRequest,
    /// Time at which the request was queued.
    pub queued_at: Instant,
    /// Time at which the host last sent the request.
    pub received_at: Instant,
}

/// A request that was in the queue and can't get a slot any more.
#[derive(Clone, Debug)]
pub struct RejectedRequest {
    /// The request.
    pub waiting: WaitingRequest,
    /// Delay after which its caller should retry.
    pub retry_after: Duration,
    /// Why it was rejected.
    pub reason: RejectionReason,
}

/// State of a queue for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueStatus {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of teams with waiting requests.
    pub teams: usize,
    /// Teams with the highest usage of the group's slots, the highest first.
    pub highest_usage: Vec<TeamShare>,
}

/// Requests that wait for a slot of one group.
///
/// The most urgent priority goes first, then requests that can still be in time, then the team with the
/// lowest usage relative to its weight. Within a team, retries go before first attempts, and the request with
/// the earliest latest start goes first. One slot of 16 goes to the late requests of teams below half of their
/// share.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    entries: SortedMap<RequestKey, Box<QueueEntry>>,
    order: RequestOrder,
    shares: ShareTable,
    returns: ReturnSchedule,
    /// Number of grants to requests that could be in time since the last one to a late request.
    grants_since_late: u32,
    /// Keys of the entries by due time, so that those that pass it are found without a search.
    by_due_time: SortedMap<DueKey, ()>,
    /// Requests that left the queue and whose hosts have not been told yet.
    rejected: Vec<RejectedRequest>,
}

impl AdmissionQueue {
    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the usage and the share of a request's team, with the age of the oldest pace of the group.
    pub(crate) fn report_share(
        &self,
        request: &AdmissionRequest,
        pace_age: Option<Duration>,
        now: Instant,
    ) -> ShareReport {
        let team = self.shares.share(request.team, request.weight_milli, now);
        let share = self.shares.mean_relative_usage(now) * f64::from(team.weight_milli);
        ShareReport {
            share_centi: (share * 100.0).round() as u32,
            usage_centi: (team.usage * 100.0).round() as u32,
            pace_age_ms: pace_age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
        }
    }

    /// Returns the state of the queue for logs.
    pub fn status(&self, now: Instant) -> QueueStatus {
        QueueStatus {
            waiting: self.entries.len(),
            teams: self.order.team_count(),
            highest_usage: self.shares.highest_usage(STATUS_TEAMS, now),
        }
    }

    /// Returns the place of an entry, queued or not, among the waiting requests.
    fn place_of(&self, entry: &QueueEntry, now: Instant) -> QueuePlace {
        let request = &entry.waiting.request;
        let share = self.shares.share(request.team, request.weight_milli, now);
        self.order.place(entry.class, share, entry.position())
    }

    fn insert(&mut self, key: RequestKey, entry: Box<QueueEntry>) {
        self.by_due_time.insert(DueKey { due: entry.due(), key: key.clone() }, ());
        self.order.insert(entry.class, entry.waiting.request.team, entry.position());
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &RequestKey) -> Option<Box<QueueEntry>> {
        let entry = self.entries.remove(key)?;
        self.by_due_time.remove(&DueKey { due: entry.due(), key: key.clone() });
        self.order.remove(entry.class, entry.waiting.request.team, &entry.position());
        Some(entry)
    }
}
