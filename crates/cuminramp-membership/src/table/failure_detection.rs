//! Detection of failed hosts by direct and indirect probes.

use cuminramp_core::{Name, RandomSource};
use tokio::time::Instant;

use super::{MemberAction, MemberTable};
use crate::member::MemberStatus;

impl MemberTable {
    /// Runs one step of the protocol: declares suspect hosts dead and removes old entries when their
    /// timeouts have passed, and returns the next host to probe.
    pub fn tick(&mut self, random: &mut dyn RandomSource, now: Instant) -> Vec<MemberAction> {
        self.declare_suspects_dead(now);
        self.remove_dead_members(now);
        if self.unprobed.is_empty() {
            self.unprobed = self.addresses_to_probe();
        }
        let index = random.below(self.unprobed.len());
        let next = (!self.unprobed.is_empty()).then(|| self.unprobed.swap_remove(index));
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

    /// Returns the addresses to probe in the next round.
    fn addresses_to_probe(&self) -> Vec<Name> {
        let known = self.members.iter().filter(|(_, member)| {
            // Dead hosts are probed while they are listed: after a network partition heals, they rejoin
            // without a restart.
            member.status != MemberStatus::Dead || member.unlisted_since.is_none()
        });
        known.map(|(address, _)| address).chain(self.unidentified_addresses()).cloned().collect()
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
}
