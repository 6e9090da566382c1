//! Exchange of host states with other hosts.

use cuminramp_core::Name;
use cuminramp_wire::peer::HostState;
use tokio::time::Instant;

use super::MemberTable;
use crate::member::{Member, MemberStatus};

/// Number of messages that carry an update, as a multiple of `ilog2(hosts) + 1`.
const RETRANSMIT_FACTOR: u32 = 3;

/// A member whose state is still to be sent to other hosts.
#[derive(Debug)]
pub(super) struct PendingUpdate {
    address: Name,
    /// Number of messages that are still to carry the update.
    remaining: u32,
}

impl MemberTable {
    /// Applies the state that a host sent about itself in a probe or an answer. If it is recorded as
    /// suspect or dead, or with a later incarnation, the next message to it includes that state (see
    /// [`take_updates`](Self::take_updates)), and the host refutes it.
    pub fn on_message(&mut self, state: &HostState, now: Instant) {
        if let Some(known) = self.members.get(&*state.address)
            && known.host.id.incarnation > state.incarnation
            && !self.runs_behind.contains(&known.host.id.address)
        {
            self.runs_behind.push(known.host.id.address.clone());
        }
        self.merge(state, now);
    }

    /// Applies an update about any host that another host sent. Refutes a wrong one about this host.
    pub fn on_update(&mut self, state: &HostState, now: Instant) {
        if state.address == *self.local.host.id.address {
            self.refute(state, now);
        } else {
            self.merge(state, now);
        }
    }

    /// Returns the updates for the next message and counts them as sent. If the receiver at `address` is
    /// not recorded as alive, or with a later incarnation, its recorded state comes first, so that it can refute it at
    /// once.
    pub fn take_updates(&mut self, address: Option<&str>) -> Vec<HostState> {
        self.pending_updates.sort_by_key(|update| std::cmp::Reverse(update.remaining));
        let mut states = Vec::new();
        if let Some(member) = address.and_then(|address| self.members.get(address)) {
            let is_behind = self.runs_behind.contains(&member.host.id.address);
            if is_behind || member.status != MemberStatus::Alive {
                states.push(member.to_state());
            }
            self.runs_behind.retain(|behind| *behind != member.host.id.address);
        }
        for update in self.pending_updates.iter_mut().take(self.policy.max_updates_per_message) {
            update.remaining -= 1;
            if let Some(member) = self.members.get(&*update.address) {
                states.push(member.to_state());
            }
        }
        self.pending_updates.retain(|update| update.remaining > 0);
        states
    }

    /// Records the state of another host if it is newer than the recorded one.
    fn merge(&mut self, state: &HostState, now: Instant) {
        if state.address.is_empty() || state.address == *self.local.host.id.address {
            return;
        }
        let mut update = Member::from_state(state, now);
        let address = update.host.id.address.clone();
        if let Some(known) = self.members.get(&*address) {
            if !known.is_older_than(&update) {
                return;
            }
            update.unlisted_since = known.unlisted_since;
            update.listed_leaving = known.listed_leaving;
        } else if self.is_listed(&address) {
            update.unlisted_since = None;
        }
        self.members.insert(address.clone(), update);
        self.enqueue_update(address);
    }

    /// Refutes a received state that contains a wrong status of this host: raises this host's sequence
    /// number above that of the state, so that its own state wins. Records the incarnation that others know.
    fn refute(&mut self, state: &HostState, now: Instant) {
        self.latest_own_run = self.latest_own_run.max(state.incarnation);
        let local = &mut self.local;
        let is_same_incarnation = state.incarnation == local.host.id.incarnation;
        let is_wrong = MemberStatus::from_wire(state.status()) != local.status;
        if is_same_incarnation && is_wrong && state.sequence >= local.sequence {
            local.sequence = state.sequence + 1;
            local.since = now;
        }
    }

    /// Queues the state of a host to be sent to others.
    pub(super) fn enqueue_update(&mut self, address: Name) {
        let hosts = self.members.len() as u32 + 1;
        let remaining = RETRANSMIT_FACTOR * (hosts.ilog2() + 1);
        self.pending_updates.retain(|update| update.address != address);
        self.pending_updates.push(PendingUpdate { address, remaining });
    }
}
