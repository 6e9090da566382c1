//! Status of one host and its form on the wire.

use cuminramp_core::{Host, HostId, Name};
use cuminramp_wire::peer::{HostState, Status};
use tokio::time::Instant;

/// Status of a host, as recorded by other hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberStatus {
    /// The host answers probes.
    Alive,
    /// The host answers probes and accepts no new work.
    Leaving,
    /// The host did not answer and may still refute this before the suspicion timeout.
    Suspect,
    /// The host did not refute the suspicion in time.
    Dead,
}

impl MemberStatus {
    /// Returns the precedence of the status: of two states with the same sequence number, the one with
    /// the higher rank wins.
    fn rank(self) -> u8 {
        match self {
            MemberStatus::Alive => 0,
            MemberStatus::Leaving => 1,
            MemberStatus::Suspect => 2,
            MemberStatus::Dead => 3,
        }
    }

    /// Converts the status to its wire type.
    pub fn to_wire(self) -> Status {
        match self {
            MemberStatus::Alive => Status::Alive,
            MemberStatus::Leaving => Status::Leaving,
            MemberStatus::Suspect => Status::Suspect,
            MemberStatus::Dead => Status::Dead,
        }
    }

    /// Converts a status from its wire type.
    pub fn from_wire(status: Status) -> Self {
        match status {
            Status::Alive => MemberStatus::Alive,
            Status::Leaving => MemberStatus::Leaving,
            Status::Suspect => MemberStatus::Suspect,
            Status::Dead => MemberStatus::Dead,
        }
    }
}

/// A host and its status, as recorded by another host.
#[derive(Clone, Debug)]
pub struct Member {
    /// The host's incarnation, addresses and zone.
    pub host: Host,
    /// Current status.
    pub status: MemberStatus,
    /// Version of the host's state. Only the host itself increments it.
    pub sequence: u64,
    /// Time at which this state was recorded or last changed.
    pub since: Instant,
    /// Time since which the host is missing from the platform's list; `None` while it is listed.
    pub unlisted_since: Option<Instant>,
    /// Whether the platform's list marks the host as about to be removed.
    pub listed_leaving: bool,
}

impl Member {
    /// Creates a member from a received state. It counts as unlisted until the caller sets the fields
    /// that come from the platform's list.
    pub(crate) fn from_state(state: &HostState, now: Instant) -> Self {
        let address = Name::from(state.address.as_str());
        Member {
            host: Host {
                id: HostId { address, incarnation: state.incarnation },
                caller_address: Name::from(state.caller_address.as_str()),
                zone: Name::from(state.zone.as_str()),
            },
            status: MemberStatus::from_wire(state.status()),
            sequence: state.sequence,
            since: now,
            unlisted_since: Some(now),
            listed_leaving: false,
        }
    }

    /// Returns whether the host accepts new work.
    pub fn is_usable(&self) -> bool {
        self.status == MemberStatus::Alive && !self.listed_leaving
    }

    /// Returns the state to send to other hosts.
    pub(crate) fn to_state(&self) -> HostState {
        HostState {
            address: self.host.id.address.to_string(),
            incarnation: self.host.id.incarnation,
            caller_address: self.host.caller_address.to_string(),
            zone: self.host.zone.to_string(),
            status: self.status.to_wire().into(),
            sequence: self.sequence,
        }
    }

    /// Returns whether `other` is newer: it has a later incarnation, or a higher sequence number of the
    /// same incarnation, or a status of higher rank with the same sequence number.
    pub(crate) fn is_older_than(&self, other: &Member) -> bool {
        let order =
            |member: &Member| (member.host.id.incarnation, member.sequence, member.status.rank());
        order(self) < order(other)
    }
}
