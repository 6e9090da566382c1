//! Messages between hosts and the owners of groups.

use cuminramp_core::{AvailabilityZone, HostId, Incarnation, Name};
use serde::{Deserialize, Serialize};

use crate::admission::{RejectionReason, ShareReport};
use crate::demand::ItemDemand;
use crate::heartbeat::{ReportedLoad, TargetLoad, name_hash};
use crate::outliers::TargetOutcomes;
use crate::software::SoftwareVersion;

/// The targets of one pool in one availability zone.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlotGroup {
    /// The pool.
    pub pool: Name,
    /// The zone of the targets.
    pub zone: AvailabilityZone,
}

impl SlotGroup {
    /// Returns the hash that stands for the group in messages.
    ///
    /// ```
    /// use cuminramp_fleet::SlotGroup;
    /// let group = SlotGroup { pool: "p".into(), zone: "z1".into() };
    /// assert_ne!(group.hash(), SlotGroup { zone: "z2".into(), ..group.clone() }.hash());
    /// ```
    pub fn hash(&self) -> u32 {
        name_hash(&self.key())
    }

    /// Returns the key for selecting the group's owner by rendezvous hashing.
    pub(super) fn key(&self) -> String {
        format!("{}/{}", self.pool, self.zone)
    }
}

/// Report of a host to a group's owner: what the host has in flight at the group's targets, and which items
/// wait. Each report replaces the previous one, so lost, repeated or late reports do no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotReport {
    /// Incarnation of the reporting host.
    pub incarnation: Incarnation,
    /// Increases with each report of an incarnation. A report without a higher number than the one before is
    /// late or repeated, and is dropped.
    pub sequence: u64,
    /// The group, as returned by [`SlotGroup::hash`].
    pub group: u32,
    /// The last grant that the host received from the owner. Grants up to it are in `loads` or were not used.
    pub acknowledged_grant: u64,
    /// Work in flight at each target; targets without any are left out.
    pub loads: Vec<TargetLoad>,
    /// Loads that targets reported to the host since its last report.
    pub reported_loads: Vec<ReportedLoad>,
    /// Outcomes of the host's sends to targets that recently failed requests of any host.
    pub outcomes: Vec<TargetOutcomes>,
    /// Targets to which the host sends nothing for a while: they refused a request, or it cannot reach them.
    pub avoided: Vec<u32>,
    /// Batch items of the host that wait for a slot of the pool, the most urgent first.
    pub demand: Vec<ItemDemand>,
}

/// Pace of one target, as the target reported it in a response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetPaceReport {
    /// Hash of the target's name, see [`name_hash`].
    pub target: u32,
    /// Time that work takes at the target, in percent of the usual time.
    pub pace: u16,
    /// Time since the response arrived, in milliseconds.
    pub age_ms: u16,
}

/// Report of a host to a group's owner of the paces that targets reported to the host since its last report.
/// It accompanies a [`SlotReport`], and only if there is a pace to report.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PaceReport {
    /// Incarnation of the reporting host.
    pub incarnation: Incarnation,
    /// The group, as returned by [`SlotGroup::hash`].
    pub group: u32,
    /// The paces, at most one for each target.
    pub paces: Vec<TargetPaceReport>,
}

/// Request to a group's owner for a slot, sent on behalf of one online request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotRequest {
    /// Incarnation of the requesting host.
    pub incarnation: Incarnation,
    /// Number of the slot request, unique within the incarnation. A repeated slot request keeps its number
    /// and gets the same response.
    pub request_id: u64,
    /// The group, as returned by [`SlotGroup::hash`].
    pub group: u32,
    /// Targets that the owner must not choose: the request was sent there before, or the host cannot reach
    /// them.
    pub avoided: Vec<u32>,
    /// Whether the request accepts a place in a target's queue if no slot is free.
    pub may_queue: bool,
}

/// Slot request for a target with the software that began the request's stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedSlotRequest {
    /// The slot request.
    pub slot_request: SlotRequest,
    /// Software that the target must have.
    pub software: SoftwareVersion,
}

/// Decision of an owner on a slot request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotOutcome {
    /// The slot is granted to the requesting host.
    Granted {
        /// The target, as returned by [`name_hash`].
        target: u32,
        /// The number of the grant.
        grant: u64,
    },
    /// No slot is free, and no batch item can be preempted.
    Busy {
        /// Estimated time until a slot becomes free, in milliseconds.
        wait_ms: u32,
    },
    /// The group has no target that accepts work.
    NoTarget,
    /// The request waits in the owner's admission queue. Another response with the same number follows.
    Waiting {
        /// Estimated time until the request gets a slot, in milliseconds.
        wait_ms: u32,
    },
    /// The owner's admission queue did not accept the request.
    Rejected {
        /// Delay after which the caller should retry, in milliseconds.
        retry_after_ms: u32,
        /// Why the request was rejected.
        reason: RejectionReason,
        /// Figures on which the decision is based.
        report: ShareReport,
    },
    /// The slot is granted to the requesting host, for a request that waited in the owner's admission queue.
    GrantedAfterWait {
        /// The target, as returned by [`name_hash`].
        target: u32,
        /// The number of the grant.
        grant: u64,
        /// Figures on which the decision is based.
        report: ShareReport,
    },
}

impl SlotOutcome {
    /// Returns the number of the grant; `None` if no slot is granted.
    ///
    /// ```
    /// use cuminramp_fleet::SlotOutcome;
    /// assert_eq!(SlotOutcome::Granted { target: 1, grant: 2 }.grant(), Some(2));
    /// assert_eq!(SlotOutcome::NoTarget.grant(), None);
    /// ```
    pub fn grant(self) -> Option<u64> {
        match self {
            SlotOutcome::Granted { grant, .. } | SlotOutcome::GrantedAfterWait { grant, .. } => {
                Some(grant)
            }
            _ => None,
        }
    }

    /// Returns the figures on which an admission queue based its decision, if the outcome carries them.
    ///
    /// ```
    /// use cuminramp_fleet::SlotOutcome;
    /// assert_eq!(SlotOutcome::Waiting { wait_ms: 90 }.report(), None);
    /// ```
    pub fn report(self) -> Option<ShareReport> {
        match self {
            SlotOutcome::Rejected { report, .. } | SlotOutcome::GrantedAfterWait { report, .. } => {
                Some(report)
            }
            _ => None,
        }
    }
}

/// Response to a slot request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotResponse {
    /// Number of the slot request.
    pub request_id: u64,
    /// The owner's decision.
    pub outcome: SlotOutcome,
}

/// Command from an owner to a host about the host's batch items.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SlotCommand {
    /// Start items at a target.
    Start {
        /// The group, as returned by [`SlotGroup::hash`].
        group: u32,
        /// The number of the grant.
        grant: u64,
        /// The target, as returned by [`name_hash`].
        target: u32,
        /// Maximum number of items to start.
        items: u16,
    },
    /// Limit the items at a target; those beyond the limit are preempted by callers.
    Limit {
        /// The target, as returned by [`name_hash`].
        target: u32,
        /// Maximum number of items to keep.
        items: u16,
    },
}

/// Owner failure report: an owner was found silent. Hosts that exclude it because of such reports send their
/// slot reports to the next owner at once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerFailure {
    /// The group, as returned by [`SlotGroup::hash`].
    pub group: u32,
    /// Address of the silent host.
    pub failed_address: Name,
    /// Incarnation of the silent host.
    pub failed_incarnation: Incarnation,
}

impl OwnerFailure {
    /// Returns the silent host, with its incarnation.
    pub fn failed_host(&self) -> HostId {
        HostId { address: self.failed_address.clone(), incarnation: self.failed_incarnation }
    }
}
