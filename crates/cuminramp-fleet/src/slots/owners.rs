//! Which host owns a group of targets.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap, rendezvous_score};
use tokio::time::Instant;

use super::message::SlotGroup;
use crate::peers::PeerTable;

/// How long an owner that did not answer is passed over, and the longest such time: a host that is
/// slow again and again would otherwise hold up requests twice a second.
const PASS_OVER: Duration = Duration::from_millis(700);
const LONGEST_PASS_OVER: Duration = Duration::from_secs(8);
/// A host that has answered for so long since it was passed over begins with the shortest time again.
const FORGIVE_AFTER: Duration = Duration::from_secs(10);

/// Claims of other hosts about the same owner that are further apart than this are not counted together.
const CLAIM_LIFE: Duration = Duration::from_millis(500);
/// An owner chosen so lately is not chosen anew: hosts ask a hundred times a second.
const CHOICE_LIFE: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug)]
struct Silence {
    until: Instant,
    repeats: u32,
}

/// Owners that were found silent lately, by this host or another.
#[derive(Debug, Default)]
pub struct OwnerTable {
    silences: SortedMap<HostId, Silence>,
    failures: SortedMap<HostId, (Name, Instant)>,
    choices: SortedMap<SlotGroup, (Option<HostId>, Instant)>,
}

impl OwnerTable {
    /// Passes a host over for a while; says whether it was not passed over already.
    pub fn exclude(&mut self, host: &HostId, now: Instant) -> bool {
        self.silences.retain(|_, silence| silence.until + FORGIVE_AFTER > now);
        let fresh = Silence { until: now, repeats: 0 };
        let silence = self.silences.get_or_insert_with(host.clone(), || fresh);
        if silence.until > now {
            return false;
        }
        let pause = PASS_OVER * (1 << silence.repeats.min(4));
        silence.repeats += 1;
        silence.until = now + pause.min(LONGEST_PASS_OVER);
        self.choices = SortedMap::new();
        true
    }

    /// Takes the claim of another host that an owner is silent; says whether it is passed over now and was
    /// not before. It takes two hosts: one alone may itself be slow or cut off.
    pub fn receive_failure(&mut self, from: &Name, failed: &HostId, now: Instant) -> bool {
        self.failures.retain(|_, (_, at)| now.duration_since(*at) < CLAIM_LIFE);
        let first = self.failures.get(failed).is_none_or(|(by, _)| by == from);
        if first {
            self.failures.insert(failed.clone(), (from.clone(), now));
            return false;
        }
        self.exclude(failed, now)
    }

    fn is_excluded(&self, host: &HostId, now: Instant) -> bool {
        self.silences.get(host).is_some_and(|silence| silence.until > now)
    }

    /// The owner of a group: drawn by rendezvous among the live hosts of the group's zone, or among
    /// all where the zone has none. `None` where nobody may own it, not even this host.
    pub fn owner(
        &mut self,
        group: &SlotGroup,
        peers: &PeerTable,
        is_me_ready: bool,
        now: Instant,
    ) -> Option<HostId> {
        if let Some((owner, at)) = self.choices.get(group)
            && now.duration_since(*at) < CHOICE_LIFE
        {
            return owner.clone();
        }
        let owner = self.choose(group, peers, is_me_ready, now);
        self.choices.insert(group.clone(), (owner.clone(), now));
        owner
    }

    fn choose(
        &self,
        group: &SlotGroup,
        peers: &PeerTable,
        is_me_ready: bool,
        now: Instant,
    ) -> Option<HostId> {
        let live = peers.live(is_me_ready, now);
        let able = live.iter().filter(|(id, _)| !self.is_excluded(id, now));
        let key = group.key();
        let ranked = able.map(|(id, zone)| {
            let is_near = **zone == group.zone;
            ((is_near, rendezvous_score(&key, &id.address)), id)
        });
        ranked.max_by_key(|(rank, _)| *rank).map(|(_, id)| id.clone())
    }
}
