//! The table of hosts and the probe protocol.

use std::time::Duration;

use cuminramp_core::{Host, HostId, Incarnation, Name, RandomSource, SortedMap};
use cuminramp_wire::peer::HostState;
use tokio::time::Instant;

use crate::member::{Member, MemberStatus};

/// Number of times that an update is sent, as a multiple of `ilog2(hosts) + 1`.
const RETRANSMIT_FACTOR: u32 = 3;

/// Limits and timeouts of the probe protocol.
#[derive(Clone, Debug)]
pub struct MemberPolicy {
    /// Number of other hosts that are asked to probe a host after a direct probe failed.
    pub indirect_probes: usize,
    /// Time that a suspect host has to refute the suspicion before it counts as dead.
    pub suspicion_timeout: Duration,
    /// Maximum lag of the platform's list behind the actual hosts.
    pub list_lag: Duration,
    /// Maximum number of queued updates in one message.
    pub max_updates_per_message: usize,
    /// Time after which a host that is dead and no longer listed is removed from the table.
    pub dead_member_ttl: Duration,
}

impl Default for MemberPolicy {
    fn default() -> Self {
        MemberPolicy {
            indirect_probes: 2,
            suspicion_timeout: Duration::from_secs(3),
            list_lag: Duration::from_secs(10),
            max_updates_per_message: 8,
            dead_member_ttl: Duration::from_secs(60),
        }
    }
}

/// An entry of the platform's list of hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Address at which other hosts reach it.
    pub address: Name,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// A network call that the daemon must make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Probe the host at this address.
    Probe(Name),
    /// Ask each of `relays` to probe `target`.
    IndirectProbe {
        /// Address of the host that did not answer.
        target: Name,
        /// Addresses of the hosts to ask.
        relays: Vec<Name>,
    },
}

/// A member whose state is still to be sent to other hosts.
#[derive(Debug)]
struct PendingUpdate {
    address: Name,
    /// Number of messages that are still to carry the update.
    remaining: u32,
}

/// Hosts from which or about which this host received state, with their status.
#[derive(Debug)]
pub struct MemberTable {
    policy: MemberPolicy,
    /// This host.
    local: Member,
    /// All other hosts, by peer address.
    members: SortedMap<Name, Member>,
    /// Addresses in the platform's list as last read, sorted.
    listed: Vec<Name>,
    /// Addresses that are still to be probed in this round.
    round: Vec<Name>,
    updates: Vec<PendingUpdate>,
    list_read_at: Option<Instant>,
    started_at: Instant,
}

impl MemberTable {
    /// Creates a table that contains only the host that runs it.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// use cuminramp_core::{Host, HostId};
    /// use cuminramp_membership::{MemberPolicy, MemberTable};
    /// let id = HostId { address: "127.0.0.1:1".into(), incarnation: 1 };
    /// let host = Host { id, caller_address: "127.0.0.1:2".into(), zone: "a".into() };
    /// let table = MemberTable::new(host, MemberPolicy::default(), tokio::time::Instant::now());
    /// assert_eq!(table.usable_hosts().len(), 1);
    /// # }
    /// ```
    pub fn new(local_host: Host, policy: MemberPolicy, now: Instant) -> Self {
        let local = Member {
            host: local_host,
            status: MemberStatus::Alive,
            sequence: 0,
            since: now,
            unlisted_since: None,
            listed_leaving: false,
        };
        MemberTable {
            policy,
            local,
            members: SortedMap::new(),
            listed: Vec::new(),
            round: Vec::new(),
            updates: Vec::new(),
            list_read_at: None,
            started_at: now,
        }
    }

    /// Returns the state of this host, to be sent to other hosts.
    pub fn local_state(&self) -> HostState {
        self.local.to_state()
    }

    /// Returns this host.
    pub fn me(&self) -> &Host {
        &self.local.host
    }

    /// Marks this host as leaving, so that it gets no new work.
    pub fn leave(&mut self, now: Instant) {
        self.local.status = MemberStatus::Leaving;
        self.local.sequence += 1;
        self.local.since = now;
    }

    /// Changes this host's incarnation to a later one. Hosts that receive it treat the earlier
    /// incarnation as ended.
    pub fn set_incarnation(&mut self, incarnation: Incarnation, now: Instant) {
        self.local.host.id.incarnation = incarnation;
        self.local.sequence += 1;
        self.local.since = now;
    }

    /// Returns whether this host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.local.status == MemberStatus::Leaving
    }

    /// Runs one step of the protocol: declares suspect hosts dead and removes old entries when their
    /// timeouts have passed, and returns the next host to probe.
    pub fn tick(&mut self, random: &mut dyn RandomSource, now: Instant) -> Vec<MemberAction> {
        self.declare_suspects_dead(now);
        self.remove_dead_members(now);
        if self.round.is_empty() {
            self.round = self.addresses_to_probe();
        }
        let index = random.below(self.round.len());
        let next = (!self.round.is_empty()).then(|| self.round.swap_remove(index));
        next.map(MemberAction::Probe).into_iter().collect()
    }

    /// Handles a probe that was not answered. Returns a request for indirect probes; if no other host can
    /// be asked, marks the host as suspect.
    pub fn on_probe_failed(
        &mut self,
        address: &str,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Vec<MemberAction> {
        let mut relays = self.answering_peers();
        relays.retain(|relay| &**relay != address);
        let mut chosen = Vec::new();
        while chosen.len() < self.policy.indirect_probes && !relays.is_empty() {
            chosen.push(relays.swap_remove(random.below(relays.len())));
        }
        if chosen.is_empty() {
            self.mark_suspect(address, now);
            return Vec::new();
        }
        vec![MemberAction::IndirectProbe { target: address.into(), relays: chosen }]
    }

    /// Records that indirect probes failed too. Returns whether this makes the host suspect.
    pub fn on_unreachable(&mut self, address: &str, now: Instant) -> bool {
        self.mark_suspect(address, now)
    }

    /// Applies the state that a host sent about itself in a probe or an answer. If it is recorded as
    /// suspect or dead, the next message to it includes that state (see
    /// [`take_updates`](Self::take_updates)), and the host refutes it.
    pub fn on_message(&mut self, state: &HostState, now: Instant) {
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

    /// Applies the platform's list, which may lag behind the actual hosts.
    pub fn on_list(&mut self, hosts: &[ListedHost], now: Instant) {
        self.list_read_at = Some(now);
        self.listed = hosts.iter().map(|host| host.address.clone()).collect();
        self.listed.sort();
        let is_leaving =
            |address: &str| hosts.iter().any(|host| host.leaving && *host.address == *address);
        self.local.listed_leaving = is_leaving(&self.local.host.id.address);
        for (address, member) in self.members.iter_mut() {
            member.listed_leaving = is_leaving(address);
            member.unlisted_since = match self.listed.binary_search(address) {
                Ok(_) => None,
                Err(_) => member.unlisted_since.or(Some(now)),
            };
        }
    }

    fn is_listed(&self, address: &Name) -> bool {
        self.listed.binary_search(address).is_ok()
    }

    /// Returns the listed addresses from which no state has been received.
    fn unidentified_addresses(&self) -> impl Iterator<Item = &Name> {
        self.listed.iter().filter(|address| {
            **address != self.local.host.id.address && !self.members.contains_key(&***address)
        })
    }

    /// Returns the updates for the next message and counts them as sent. If the receiver at `address` is
    /// not recorded as alive, its own state comes first, so that it can refute it at once.
    pub fn take_updates(&mut self, address: Option<&str>) -> Vec<HostState> {
        self.updates.sort_by_key(|update| std::cmp::Reverse(update.remaining));
        let mut states = Vec::new();
        if let Some(member) = address.and_then(|address| self.members.get(address))
            && member.status != MemberStatus::Alive
        {
            states.push(member.to_state());
        }
        for update in self.updates.iter_mut().take(self.policy.max_updates_per_message) {
            update.remaining -= 1;
            if let Some(member) = self.members.get(&*update.address) {
                states.push(member.to_state());
            }
        }
        self.updates.retain(|update| update.remaining > 0);
        states
    }

    /// Returns the hosts that accept new work, sorted by address. Includes this host unless it is leaving.
    pub fn usable_hosts(&self) -> Vec<Host> {
        let members = self.members.values().chain(std::iter::once(&self.local));
        let usable = members.filter(|member| member.is_usable());
        let mut hosts: Vec<Host> = usable.map(|member| member.host.clone()).collect();
        hosts.sort();
        hosts
    }

    /// Returns all other hosts in the table.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the addresses of the other hosts that answer, including leaving ones.
    pub fn answering_peers(&self) -> Vec<Name> {
        let answering = self.members.iter().filter(|(_, member)| {
            matches!(member.status, MemberStatus::Alive | MemberStatus::Leaving)
        });
        answering.map(|(address, _)| address.clone()).collect()
    }

    /// Returns the addresses of the other hosts that are not dead: those that answer, and those that did not
    /// answer the last probe but may still serve callers.
    pub fn surviving_peers(&self) -> Vec<Name> {
        let surviving =
            self.members.iter().filter(|(_, member)| member.status != MemberStatus::Dead);
        surviving.map(|(address, _)| address.clone()).collect()
    }

    /// Returns whether more than half of all known hosts answer, this host included. Known are the hosts
    /// in the table and in the platform's list.
    ///
    /// The two sides of a network partition cannot both have a majority. A host needs one to take over
    /// shards, and it needs one to continue while the shared store is unreachable. As any two majorities
    /// overlap, a host that takes over a shard and a host that keeps using it always have a host in
    /// common that both can reach.
    pub fn has_majority(&self) -> bool {
        let answering = self.answering_peers().len() + 1;
        let known = self.members.len() + self.unidentified_addresses().count() + 1;
        answering * 2 > known
    }

    /// Returns whether an incarnation has certainly ended: a later incarnation uses its address, or it has
    /// been dead and missing from the platform's list for longer than the list's lag, and this host has a
    /// majority. An incarnation whose address is not in the table counts as ended if it is missing from a
    /// current list, this host has been running for more than twice the lag, and it has a majority.
    ///
    /// In all other cases the result is `false`. A paused or cut-off incarnation may resume and keep
    /// spending the tokens that another host has taken over; the team would then exceed its rate.
    pub fn is_confirmed_dead(&self, id: &HostId, now: Instant) -> bool {
        if *id == self.local.host.id {
            return false;
        }
        if id.address == self.local.host.id.address {
            return id.incarnation < self.local.host.id.incarnation;
        }
        let lag = self.policy.list_lag;
        let lag_passed_since = |at: Instant| now.saturating_duration_since(at) > lag;
        match self.members.get(&*id.address) {
            Some(member) if member.host.id.incarnation > id.incarnation => true,
            Some(member) => {
                member.status == MemberStatus::Dead
                    && lag_passed_since(member.since)
                    && member.unlisted_since.is_some_and(lag_passed_since)
                    && self.has_majority()
            }
            None => {
                let listed = self.is_listed(&id.address);
                let is_list_current = self.list_read_at.is_some_and(|at| !lag_passed_since(at));
                let waited = now.saturating_duration_since(self.started_at) > lag * 2;
                !listed && is_list_current && waited && self.has_majority()
            }
        }
    }

    /// Returns whether an incarnation has ended or has been dead for longer than `timeout`, even if it is
    /// not certain that it ended. An incarnation whose address is not in the table counts as dead once this
    /// host has been running for longer than `timeout` plus the list's lag. The result is enough to take
    /// over fenced work, but not to spend the incarnation's tokens.
    pub fn is_dead_for(&self, id: &HostId, timeout: Duration, now: Instant) -> bool {
        if id.address == self.local.host.id.address {
            return id.incarnation != self.local.host.id.incarnation;
        }
        match self.members.get(&*id.address) {
            Some(member) if member.host.id.incarnation != id.incarnation => {
                member.host.id.incarnation > id.incarnation
            }
            Some(member) => {
                member.status == MemberStatus::Dead
                    && now.saturating_duration_since(member.since) > timeout
            }
            None => now.saturating_duration_since(self.started_at) > timeout + self.policy.list_lag,
        }
    }

    /// Returns the addresses to probe in the next round.
    fn addresses_to_probe(&self) -> Vec<Name> {
        let known = self.members.iter().filter(|(_, member)| {
            // Dead hosts are probed while they are listed: after a network partition heals, they rejoin
            // without a restart.
            member.status != MemberStatus::Dead || member.unlisted_since.is_none()
        });
        known.map(|(address, _)| address).chain(self.unidentified_addresses()).cloned().collect()
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

    /// Marks an alive or leaving host as suspect. Returns whether its status changed.
    fn mark_suspect(&mut self, address: &str, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(address) else {
            return false;
        };
        if !matches!(member.status, MemberStatus::Alive | MemberStatus::Leaving) {
            return false;
        }
        member.status = MemberStatus::Suspect;
        member.since = now;
        self.enqueue_update(address.into());
        true
    }

    /// Refutes a received state that contains a wrong status of this host: raises this host's sequence
    /// number above that of the state, so that its own state wins.
    fn refute(&mut self, state: &HostState, now: Instant) {
        let local = &mut self.local;
        let is_same_incarnation = state.incarnation == local.host.id.incarnation;
        let is_wrong = MemberStatus::from_wire(state.status()) != local.status;
        if is_same_incarnation && is_wrong && state.sequence >= local.sequence {
            local.sequence = state.sequence + 1;
            local.since = now;
        }
    }

    /// Changes suspect hosts to dead when the suspicion timeout has passed.
    fn declare_suspects_dead(&mut self, now: Instant) {
        let limit = self.policy.suspicion_timeout;
        let mut dead = Vec::new();
        for (address, member) in self.members.iter_mut() {
            let waited = now.saturating_duration_since(member.since) >= limit;
            if member.status == MemberStatus::Suspect && waited {
                member.status = MemberStatus::Dead;
                member.since = now;
                dead.push(address.clone());
            }
        }
        for address in dead {
            self.enqueue_update(address);
        }
    }

    /// Removes hosts that have been dead and unlisted for longer than `dead_member_ttl`.
    fn remove_dead_members(&mut self, now: Instant) {
        let limit = self.policy.dead_member_ttl;
        let ttl_passed_since = |at: Instant| now.saturating_duration_since(at) > limit;
        self.members.retain(|_, member| {
            let dead = member.status == MemberStatus::Dead && ttl_passed_since(member.since);
            !(dead && member.unlisted_since.is_some_and(ttl_passed_since))
        });
    }

    /// Queues the state of a host to be sent to others.
    fn enqueue_update(&mut self, address: Name) {
        let hosts = self.members.len() as u32 + 1;
        let remaining = RETRANSMIT_FACTOR * (hosts.ilog2() + 1);
        self.updates.retain(|update| update.address != address);
        self.updates.push(PendingUpdate { address, remaining });
    }
}

#[cfg(test)]
mod tests;
