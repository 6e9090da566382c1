//! What is known of one host.

use cuminramp_core::{Host, HostId, Name};
use cuminramp_wire::peer::{HostState, Status};
use tokio::time::Instant;

/// How a host seems to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberStatus {
    /// It answers.
    Alive,
    /// It answers and takes no new work.
    Leaving,
    /// It does not answer, and has not had time to contradict.
    Suspect,
    /// It did not contradict.
    Dead,
}

impl MemberStatus {
    /// Of two statements with one sequence number the later in this order wins.
    fn rank(self) -> u8 {
        match self {
            MemberStatus::Alive => 0,
            MemberStatus::Leaving => 1,
            MemberStatus::Suspect => 2,
            MemberStatus::Dead => 3,
        }
    }

    /// As it travels.
    pub fn to_wire(self) -> Status {
        match self {
            MemberStatus::Alive => Status::Alive,
            MemberStatus::Leaving => Status::Leaving,
            MemberStatus::Suspect => Status::Suspect,
            MemberStatus::Dead => Status::Dead,
        }
    }

    /// As it came.
    pub fn from_wire(status: Status) -> Self {
        match status {
            Status::Alive => MemberStatus::Alive,
            Status::Leaving => MemberStatus::Leaving,
            Status::Suspect => MemberStatus::Suspect,
            Status::Dead => MemberStatus::Dead,
        }
    }
}

/// A host as another one knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The run, its addresses and zone.
    pub host: Host,
    /// How it seems to be.
    pub status: MemberStatus,
    /// The host's own count of its statements.
    pub sequence: u64,
    /// Since when it has this status.
    pub since: Instant,
    /// Since when the platform's list lacks it; `None` while it is listed.
    pub unlisted_since: Option<Instant>,
    /// Whether the platform is about to take it away.
    pub listed_leaving: bool,
}

impl Member {
    /// Reads a statement.
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

    /// Whether it takes new work.
    pub fn is_usable(&self) -> bool {
        self.status == MemberStatus::Alive && !self.listed_leaving
    }

    /// The statement to pass on.
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

    /// Whether `other` is a newer statement: of a later run, or a later one of the same run, or a
    /// stronger one of the same number.
    pub(crate) fn is_older_than(&self, other: &Member) -> bool {
        let order =
            |member: &Member| (member.host.id.incarnation, member.sequence, member.status.rank());
        order(self) < order(other)
    }
}
