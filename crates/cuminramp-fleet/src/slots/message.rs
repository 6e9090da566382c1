//! What hosts and the owners of groups tell each other.

use cuminramp_core::{AvailabilityZone, HostId, Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::demand::ItemDemand;
use crate::heartbeat::{ReportedLoad, TargetLoad, name_hash};
use crate::outliers::TargetOutcomes;

/// The targets of one pool in one availability zone.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlotGroup {
    /// The pool.
    pub pool: Name,
    /// The zone of the targets.
    pub zone: AvailabilityZone,
}

impl SlotGroup {
    /// The short form of the group in messages.
    ///
    /// ```
    /// use cuminramp_fleet::SlotGroup;
    /// let group = SlotGroup { pool: "p".into(), zone: "z1".into() };
    /// assert_ne!(group.hash(), SlotGroup { zone: "z2".into(), ..group.clone() }.hash());
    /// ```
    pub fn hash(&self) -> u32 {
        name_hash(&self.key())
    }

    /// The text by which owners are ranked.
    pub(super) fn key(&self) -> String {
        format!("{}/{}", self.pool, self.zone)
    }
}

/// What a host has in flight at the targets of a group, told to the owner. Replaces the report before
/// it, so a lost, repeated or late one does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotReport {
    /// The reporting host's run.
    pub incarnation: Incarnation,
    /// Grows with each report of a run; a lower one came late and is dropped.
    pub sequence: u64,
    /// The group, as [`SlotGroup::hash`] gives it.
    pub group: u32,
    /// The last grant of the receiver that this host has; earlier ones are in `loads` or were not used.
    pub acknowledged_grant: u64,
    /// What it has in flight; targets with nothing are left out.
    pub loads: Vec<TargetLoad>,
    /// What targets said of their load since the last report.
    pub reported_loads: Vec<ReportedLoad>,
    /// What came of its sends to targets that failed any host lately.
    pub outcomes: Vec<TargetOutcomes>,
    /// Targets that it sends nothing for a while: they refused it, or can't be reached from it.
    pub avoided: Vec<u32>,
    /// Batch items that wait for a slot of the pool, the most urgent first.
    pub demand: Vec<ItemDemand>,
}

/// A request's question for a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
    /// The asking host's run.
    pub incarnation: Incarnation,
    /// Names the question among those of the run; the same one again gets the same answer.
    pub request: u64,
    /// The group.
    pub group: u32,
    /// Targets that are no use to the request: it was there, or they can't be reached.
    pub avoided: Vec<u32>,
    /// Whether it takes a place in a target's queue where no slot is free.
    pub may_queue: bool,
}

/// What an owner says to a question.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotOutcome {
    /// The slot is the asking host's; the target, as [`name_hash`] gives it.
    Granted {
        /// The target.
        target: u32,
        /// The number of the grant.
        grant: u64,
    },
    /// No slot is free, and no batch item can give way; one comes free after about so long.
    Busy {
        /// Milliseconds.
        wait_ms: u32,
    },
    /// The group has no target that takes work.
    Empty,
}

/// The answer to a question.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotResponse {
    /// The question.
    pub request: u64,
    /// What the owner decided.
    pub outcome: SlotOutcome,
}

/// What an owner tells a host to do with its batch items.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotCommand {
    /// Start items at a target.
    Start {
        /// The group.
        group: u32,
        /// The number of the grant.
        grant: u64,
        /// The target.
        target: u32,
        /// How many, at the most.
        items: u16,
    },
    /// Keep no more items than this at a target: the others give way to callers.
    Limit {
        /// The target.
        target: u32,
        /// How many, at the most.
        items: u16,
    },
}

/// Said by the owner that takes the place of a silent one, so that all report to it at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerFailure {
    /// The group.
    pub group: u32,
    /// The address of the host that was found silent.
    pub failed_address: Name,
    /// Its run.
    pub failed_incarnation: Incarnation,
}

impl OwnerFailure {
    /// The run that was found silent.
    pub fn failed_host(&self) -> HostId {
        HostId { address: self.failed_address.clone(), incarnation: self.failed_incarnation }
    }
}
