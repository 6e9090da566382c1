//! Table of the hosts that this host knows, with their status.
//!
//! - `failure_detection` probes the other hosts and detects those that failed;
//! - `updates` exchanges the states of hosts with other hosts;
//! - `liveness` answers which hosts are usable, answering or dead.

use std::time::Duration;

use cuminramp_core::{Host, Incarnation, Name, SortedMap};
use cuminramp_wire::peer::HostState;
use tokio::time::Instant;

use self::updates::PendingUpdate;
use crate::member::{Member, MemberStatus};

mod failure_detection;
mod liveness;
mod updates;

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

/// Hosts from which or about which this host received state, with their status.
#[derive(Debug)]
pub struct MemberTable {
    policy: MemberPolicy,
    /// This host.
    local: Member,
    /// Highest incarnation of this host that another host has named.
    latest_own_run: Incarnation,
    /// Addresses of hosts whose last message was from a run with a lower incarnation than the recorded one.
    runs_behind: Vec<Name>,
    /// All other hosts, by peer address.
    members: SortedMap<Name, Member>,
    /// Addresses in the platform's list as last read, sorted.
    listed: Vec<Name>,
    /// Addresses that are still to be probed in this round. A round probes each address once, in random order.
    unprobed: Vec<Name>,
    pending_updates: Vec<PendingUpdate>,
    /// Time at which the platform's list was last read.
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
            latest_own_run: local.host.id.incarnation,
            local,
            runs_behind: Vec::new(),
            members: SortedMap::new(),
            listed: Vec::new(),
            unprobed: Vec::new(),
            pending_updates: Vec::new(),
            list_read_at: None,
            started_at: now,
        }
    }

    /// Returns the state of this host, to be sent to other hosts.
    pub fn local_state(&self) -> HostState {
        self.local.to_state()
    }

    /// Returns this host.
    pub fn local_host(&self) -> &Host {
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

    /// Returns the highest incarnation of an earlier run of this host, if it exceeds the present one: its clock was ahead
    /// then. Others ignore the present run until [`set_incarnation`](Self::set_incarnation) raises its incarnation.
    pub fn earlier_run_ahead(&self) -> Option<Incarnation> {
        Some(self.latest_own_run).filter(|latest| *latest > self.local.host.id.incarnation)
    }

    /// Returns whether this host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.local.status == MemberStatus::Leaving
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
}

#[cfg(test)]
mod tests;
