//! Which hosts accept work, which ones answer, and which ones have ended.

use std::time::Duration;

use cuminramp_core::{Host, HostId, Name};
use tokio::time::Instant;

use super::MemberTable;
use crate::member::{Member, MemberStatus};

impl MemberTable {
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
}
