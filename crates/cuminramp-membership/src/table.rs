//! The table of hosts and the rhythm of probes.

use std::time::Duration;

use cuminramp_core::{Host, HostId, Incarnation, Name, RandomSource, SortedMap};
use cuminramp_wire::peer::HostState;
use tokio::time::Instant;

use crate::member::{Member, MemberStatus};

/// How often news of a host is passed on, as a multiple of the logarithm of the number of hosts.
const SPREAD_FACTOR: u32 = 3;

/// The rhythm of probes.
#[derive(Clone, Debug)]
pub struct MemberPolicy {
    /// Others that are asked to try where a probe fails.
    pub indirect_probes: usize,
    /// How long a suspect has to contradict.
    pub suspicion: Duration,
    /// How late the platform's list may be.
    pub list_lag: Duration,
    /// How many changes ride on one message.
    pub updates_per_probe: usize,
    /// How long a host that is dead or gone is remembered.
    pub forget_after: Duration,
}

impl Default for MemberPolicy {
    fn default() -> Self {
        MemberPolicy {
            indirect_probes: 2,
            suspicion: Duration::from_secs(3),
            list_lag: Duration::from_secs(10),
            updates_per_probe: 8,
            forget_after: Duration::from_secs(60),
        }
    }
}

/// A host of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Its peer address.
    pub address: Name,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// What the daemon has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Probe this address.
    Probe(Name),
    /// Ask each of `helpers` to probe `target`.
    ProbeThrough {
        /// The silent host.
        target: Name,
        /// The hosts to ask.
        helpers: Vec<Name>,
    },
}

/// News that is still to be passed on.
#[derive(Debug)]
struct PendingUpdate {
    address: Name,
    remaining: u32,
}

/// What one host knows of all others.
#[derive(Debug)]
pub struct MemberTable {
    policy: MemberPolicy,
    me: Member,
    members: SortedMap<Name, Member>,
    /// The platform's list as last read, sorted.
    listed: Vec<Name>,
    /// Addresses still to be probed in this round.
    round: Vec<Name>,
    updates: Vec<PendingUpdate>,
    list_read_at: Option<Instant>,
    started_at: Instant,
}

impl MemberTable {
    /// A table of the host `me` that knows nobody else.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// use cuminramp_core::{Host, HostId};
    /// use cuminramp_membership::{MemberPolicy, MemberTable};
    /// let id = HostId { address: "127.0.0.1:1".into(), incarnation: 1 };
    /// let me = Host { id, caller_address: "127.0.0.1:2".into(), zone: "a".into() };
    /// let table = MemberTable::new(me, MemberPolicy::default(), tokio::time::Instant::now());
    /// assert_eq!(table.usable_hosts().len(), 1);
    /// # }
    /// ```
    pub fn new(me: Host, policy: MemberPolicy, now: Instant) -> Self {
        let me = Member {
            host: me,
            status: MemberStatus::Alive,
            sequence: 0,
            since: now,
            unlisted_since: None,
            listed_leaving: false,
        };
        MemberTable {
            policy,
            me,
            members: SortedMap::new(),
            listed: Vec::new(),
            round: Vec::new(),
            updates: Vec::new(),
            list_read_at: None,
            started_at: now,
        }
    }

    /// What this host says of itself.
    pub fn my_state(&self) -> HostState {
        self.me.to_state()
    }

    /// This host.
    pub fn me(&self) -> &Host {
        &self.me.host
    }

    /// Says of this host that it takes no new work.
    pub fn leave(&mut self, now: Instant) {
        self.me.status = MemberStatus::Leaving;
        self.me.sequence += 1;
        self.me.since = now;
    }

    /// Goes on as a later run: whoever hears of it knows that the earlier one is over.
    pub fn renew(&mut self, incarnation: Incarnation, now: Instant) {
        self.me.host.id.incarnation = incarnation;
        self.me.sequence += 1;
        self.me.since = now;
    }

    /// Whether this host is leaving.
    pub fn is_leaving(&self) -> bool {
        self.me.status == MemberStatus::Leaving
    }

    /// One step of the rhythm: whom to probe now.
    pub fn tick(&mut self, random: &mut dyn RandomSource, now: Instant) -> Vec<MemberAction> {
        self.bury_suspects(now);
        self.forget_gone(now);
        if self.round.is_empty() {
            self.round = self.addresses_to_probe();
        }
        let index = random.below(self.round.len());
        let next = (!self.round.is_empty()).then(|| self.round.swap_remove(index));
        next.map(MemberAction::Probe).into_iter().collect()
    }

    /// A probe was not answered: others try, and without others the host is a suspect.
    pub fn on_probe_failed(
        &mut self,
        address: &str,
        random: &mut dyn RandomSource,
        now: Instant,
    ) -> Vec<MemberAction> {
        let mut helpers = self.usable_peers();
        helpers.retain(|helper| &**helper != address);
        let mut chosen = Vec::new();
        while chosen.len() < self.policy.indirect_probes && !helpers.is_empty() {
            chosen.push(helpers.swap_remove(random.below(helpers.len())));
        }
        if chosen.is_empty() {
            self.suspect(address, now);
            return Vec::new();
        }
        vec![MemberAction::ProbeThrough { target: address.into(), helpers: chosen }]
    }

    /// Nobody reached the host; says whether it becomes a suspect by this.
    pub fn on_unreachable(&mut self, address: &str, now: Instant) -> bool {
        self.suspect(address, now)
    }

    /// A host spoke for itself, by a probe or an answer. One that is held for suspect or dead is told so
    /// with the next message, see [`take_updates`](Self::take_updates), and contradicts.
    pub fn on_message(&mut self, state: &HostState, now: Instant) {
        self.merge(state, now);
    }

    /// News of any host, passed on by another.
    pub fn on_update(&mut self, state: &HostState, now: Instant) {
        if state.address == *self.me.host.id.address {
            self.contradict(state, now);
        } else {
            self.merge(state, now);
        }
    }

    /// The platform's list, as it was some time ago.
    pub fn on_list(&mut self, hosts: &[ListedHost], now: Instant) {
        self.list_read_at = Some(now);
        self.listed = hosts.iter().map(|host| host.address.clone()).collect();
        self.listed.sort();
        let leaves =
            |address: &str| hosts.iter().any(|host| host.leaving && *host.address == *address);
        self.me.listed_leaving = leaves(&self.me.host.id.address);
        for (address, member) in self.members.iter_mut() {
            member.listed_leaving = leaves(address);
            member.unlisted_since = match self.listed.binary_search(address) {
                Ok(_) => None,
                Err(_) => member.unlisted_since.or(Some(now)),
            };
        }
    }

    fn is_listed(&self, address: &Name) -> bool {
        self.listed.binary_search(address).is_ok()
    }

    /// Listed addresses that never said who they are.
    fn strangers(&self) -> impl Iterator<Item = &Name> {
        self.listed.iter().filter(|address| {
            **address != self.me.host.id.address && !self.members.contains_key(&***address)
        })
    }

    /// News to put on the next message, with what the receiver at `address` is said to be where that
    /// is not "alive", so that it can contradict at once.
    pub fn take_updates(&mut self, address: Option<&str>) -> Vec<HostState> {
        self.updates.sort_by_key(|update| std::cmp::Reverse(update.remaining));
        let mut states = Vec::new();
        if let Some(member) = address.and_then(|address| self.members.get(address))
            && member.status != MemberStatus::Alive
        {
            states.push(member.to_state());
        }
        for update in self.updates.iter_mut().take(self.policy.updates_per_probe) {
            update.remaining -= 1;
            if let Some(member) = self.members.get(&*update.address) {
                states.push(member.to_state());
            }
        }
        self.updates.retain(|update| update.remaining > 0);
        states
    }

    /// Hosts that take new work, this one among them unless it leaves, sorted by address.
    pub fn usable_hosts(&self) -> Vec<Host> {
        let members = self.members.values().chain(std::iter::once(&self.me));
        let usable = members.filter(|member| member.is_usable());
        let mut hosts: Vec<Host> = usable.map(|member| member.host.clone()).collect();
        hosts.sort();
        hosts
    }

    /// All other hosts that are remembered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Addresses of other hosts that answer, leaving ones too.
    pub fn usable_peers(&self) -> Vec<Name> {
        let answering = self.members.iter().filter(|(_, member)| {
            matches!(member.status, MemberStatus::Alive | MemberStatus::Leaving)
        });
        answering.map(|(address, _)| address.clone()).collect()
    }

    /// Whether this host hears more than half of the hosts it remembers, itself counted.
    ///
    /// Two sides of a cut can't both: so the side that takes over shards (it needs this) and the side
    /// whose host goes on without the table (it needs this too) always share a host that hears both.
    pub fn has_majority(&self) -> bool {
        let heard = self.usable_peers().len() + 1;
        let remembered = self.members.len() + self.strangers().count() + 1;
        heard * 2 > remembered
    }

    /// Whether a run surely ended: its address speaks as a later run, or it has been dead for all
    /// who can be heard and gone from the platform's list for longer than the list's lag.
    ///
    /// On any doubt the answer is no. A paused or cut-off run would go on spending what another one
    /// takes over; one would notice a team above its rate.
    pub fn is_surely_dead(&self, id: &HostId, now: Instant) -> bool {
        if *id == self.me.host.id {
            return false;
        }
        if id.address == self.me.host.id.address {
            return id.incarnation < self.me.host.id.incarnation;
        }
        let lag = self.policy.list_lag;
        let long_ago = |at: Instant| now.saturating_duration_since(at) > lag;
        match self.members.get(&*id.address) {
            Some(member) if member.host.id.incarnation > id.incarnation => true,
            Some(member) => {
                member.status == MemberStatus::Dead
                    && long_ago(member.since)
                    && member.unlisted_since.is_some_and(long_ago)
                    && self.has_majority()
            }
            None => {
                let listed = self.is_listed(&id.address);
                let read = self.list_read_at.is_some_and(|at| !long_ago(at));
                let waited = now.saturating_duration_since(self.started_at) > lag * 2;
                !listed && read && waited && self.has_majority()
            }
        }
    }

    /// Whether a run has not answered for `gone`, surely dead or not: enough to take over work that
    /// is fenced, never enough to spend its tokens.
    pub fn is_gone(&self, id: &HostId, gone: Duration, now: Instant) -> bool {
        if id.address == self.me.host.id.address {
            return id.incarnation != self.me.host.id.incarnation;
        }
        match self.members.get(&*id.address) {
            Some(member) if member.host.id.incarnation != id.incarnation => {
                member.host.id.incarnation > id.incarnation
            }
            Some(member) => {
                member.status == MemberStatus::Dead
                    && now.saturating_duration_since(member.since) > gone
            }
            None => now.saturating_duration_since(self.started_at) > gone + self.policy.list_lag,
        }
    }

    fn addresses_to_probe(&self) -> Vec<Name> {
        let known = self.members.iter().filter(|(_, member)| {
            // The dead are still probed while they are listed: a cut heals without a restart.
            member.status != MemberStatus::Dead || member.unlisted_since.is_none()
        });
        known.map(|(address, _)| address).chain(self.strangers()).cloned().collect()
    }

    fn merge(&mut self, state: &HostState, now: Instant) {
        if state.address.is_empty() || state.address == *self.me.host.id.address {
            return;
        }
        let mut news = Member::from_state(state, now);
        let address = news.host.id.address.clone();
        if let Some(known) = self.members.get(&*address) {
            if !known.is_older_than(&news) {
                return;
            }
            news.unlisted_since = known.unlisted_since;
            news.listed_leaving = known.listed_leaving;
        } else if self.is_listed(&address) {
            news.unlisted_since = None;
        }
        self.members.insert(address.clone(), news);
        self.spread(address);
    }

    fn suspect(&mut self, address: &str, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(address) else {
            return false;
        };
        if !matches!(member.status, MemberStatus::Alive | MemberStatus::Leaving) {
            return false;
        }
        member.status = MemberStatus::Suspect;
        member.since = now;
        self.spread(address.into());
        true
    }

    /// Answers news that this host is suspect or dead by a statement with a higher number.
    fn contradict(&mut self, state: &HostState, now: Instant) {
        let mine = &mut self.me;
        let about_me = state.incarnation == mine.host.id.incarnation;
        let wrong = MemberStatus::from_wire(state.status()) != mine.status;
        if about_me && wrong && state.sequence >= mine.sequence {
            mine.sequence = state.sequence + 1;
            mine.since = now;
        }
    }

    fn bury_suspects(&mut self, now: Instant) {
        let limit = self.policy.suspicion;
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
            self.spread(address);
        }
    }

    fn forget_gone(&mut self, now: Instant) {
        let limit = self.policy.forget_after;
        let long_ago = |at: Instant| now.saturating_duration_since(at) > limit;
        self.members.retain(|_, member| {
            let dead = member.status == MemberStatus::Dead && long_ago(member.since);
            !(dead && member.unlisted_since.is_some_and(long_ago))
        });
    }

    fn spread(&mut self, address: Name) {
        let hosts = self.members.len() as u32 + 1;
        let remaining = SPREAD_FACTOR * (hosts.ilog2() + 1);
        self.updates.retain(|update| update.address != address);
        self.updates.push(PendingUpdate { address, remaining });
    }
}

#[cfg(test)]
mod tests;
