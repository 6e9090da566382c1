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

    /// A host spoke for itself, by a probe or an answer: proof that this run lives. Returns whether
    /// it contradicts a suspicion, in which case the host should be told of it.
    pub fn on_heard(&mut self, state: &HostState, now: Instant) -> bool {
        let contradicts = self.members.get(state.address.as_str()).is_some_and(|known| {
            known.host.id.incarnation == state.incarnation
                && known.sequence >= state.sequence
                && matches!(known.status, MemberStatus::Suspect | MemberStatus::Dead)
        });
        self.merge(state, now);
        contradicts
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
        for (address, member) in self.members.iter_mut() {
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
        let usable = members.filter(|member| member.status == MemberStatus::Alive);
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
    pub fn hears_majority(&self) -> bool {
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
                    && self.hears_majority()
            }
            None => {
                let listed = self.is_listed(&id.address);
                let read = self.list_read_at.is_some_and(|at| !long_ago(at));
                let waited = now.saturating_duration_since(self.started_at) > lag * 2;
                !listed && read && waited && self.hears_majority()
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
mod tests {
    use std::time::Duration;

    use cuminramp_core::{Host, HostId, SeededRandom};
    use tokio::time::Instant;

    use super::{ListedHost, MemberAction, MemberPolicy, MemberTable};

    const SECOND: Duration = Duration::from_secs(1);

    fn host(number: u32, incarnation: u64) -> Host {
        Host {
            id: HostId { address: format!("10.0.0.{number}:1").into(), incarnation },
            caller_address: format!("10.0.0.{number}:2").into(),
            zone: format!("zone-{}", number % 3).into(),
        }
    }

    fn table(number: u32, now: Instant) -> MemberTable {
        MemberTable::new(host(number, 1), MemberPolicy::default(), now)
    }

    fn listed(numbers: impl Iterator<Item = u32>) -> Vec<ListedHost> {
        numbers
            .map(|number| ListedHost { address: host(number, 1).id.address, leaving: false })
            .collect()
    }

    /// Tables of `count` hosts that know each other.
    fn acquainted(count: u32, now: Instant) -> Vec<MemberTable> {
        let mut tables: Vec<MemberTable> = (0..count).map(|number| table(number, now)).collect();
        let states: Vec<_> = tables.iter().map(MemberTable::my_state).collect();
        for table in &mut tables {
            table.on_list(&listed(0..count), now);
            for state in &states {
                table.on_heard(state, now);
            }
        }
        tables
    }

    /// Runs one step of every table over a network where `reaches(from, to)` says what arrives.
    fn step(
        tables: &mut [MemberTable],
        random: &mut SeededRandom,
        reaches: &dyn Fn(usize, usize) -> bool,
        now: Instant,
    ) {
        for from in 0..tables.len() {
            for action in tables[from].tick(random, now) {
                let MemberAction::Probe(address) = action else {
                    continue;
                };
                let to = index_of(tables, &address);
                if exchange(tables, from, to, reaches, now) {
                    continue;
                }
                for action in tables[from].on_probe_failed(&address, random, now) {
                    let MemberAction::ProbeThrough { helpers, .. } = action else {
                        continue;
                    };
                    let helped = helpers.iter().any(|helper| {
                        let helper = index_of(tables, helper);
                        exchange(tables, from, helper, reaches, now)
                            && exchange(tables, helper, to, reaches, now)
                    });
                    if !helped {
                        tables[from].on_unreachable(&address, now);
                    }
                }
            }
        }
    }

    fn index_of(tables: &[MemberTable], address: &str) -> usize {
        tables.iter().position(|table| *table.me().id.address == *address).unwrap()
    }

    fn exchange(
        tables: &mut [MemberTable],
        from: usize,
        to: usize,
        reaches: &dyn Fn(usize, usize) -> bool,
        now: Instant,
    ) -> bool {
        if !reaches(from, to) {
            return false;
        }
        let receiver = tables[to].me().id.address.clone();
        deliver(tables, from, to, Some(&receiver), now);
        if !reaches(to, from) {
            return false;
        }
        deliver(tables, to, from, None, now);
        true
    }

    fn deliver(
        tables: &mut [MemberTable],
        from: usize,
        to: usize,
        about: Option<&str>,
        now: Instant,
    ) {
        let state = tables[from].my_state();
        let updates = tables[from].take_updates(about);
        for update in &updates {
            tables[to].on_update(update, now);
        }
        tables[to].on_heard(&state, now);
    }

    // A host is killed. Callers who are told to use it hang until they give up.
    #[test]
    fn a_silent_host_leaves_the_answers_of_all_within_two_seconds() {
        let start = Instant::now();
        let mut tables = acquainted(11, start);
        let mut random = SeededRandom::new(1);
        let dead = |from: usize, to: usize| from != 0 && to != 0;

        for tick in 1..=8 {
            step(&mut tables, &mut random, &dead, start + Duration::from_millis(250) * tick);
        }

        assert!(tables[1..].iter().all(|table| table.usable_hosts().len() == 10));
    }

    // One link between two live hosts is cut, in one direction or both. If that counted as death,
    // a host that serves would vanish from the answers.
    #[test]
    fn a_cut_link_between_two_hosts_is_not_a_death() {
        let start = Instant::now();
        let mut tables = acquainted(11, start);
        let mut random = SeededRandom::new(2);
        let cut = |from: usize, to: usize| !matches!((from, to), (0, 1) | (2, 3) | (3, 2));

        for tick in 1..=80 {
            step(&mut tables, &mut random, &cut, start + Duration::from_millis(250) * tick);
        }

        let dead = tables
            .iter()
            .any(|table| table.members().any(|member| member.status == super::MemberStatus::Dead));
        assert!(!dead);
    }

    // A host is paused for longer than any time-out and wakes: others hold it for dead.
    #[test]
    fn a_host_that_wakes_is_used_again() {
        let start = Instant::now();
        let mut tables = acquainted(11, start);
        let mut random = SeededRandom::new(3);
        let paused = |from: usize, to: usize| from != 0 && to != 0;
        for tick in 1..=40 {
            step(&mut tables, &mut random, &paused, start + Duration::from_millis(250) * tick);
        }

        for tick in 41..=60 {
            step(&mut tables, &mut random, &|_, _| true, start + Duration::from_millis(250) * tick);
        }

        assert!(tables.iter().all(|table| table.usable_hosts().len() == 11));
    }

    // A paused host is held for dead and the platform still lists it. Were its shards taken over,
    // it would spend them too once it wakes.
    #[test]
    fn a_listed_host_is_never_surely_dead() {
        let start = Instant::now();
        let mut table = acquainted(3, start).remove(0);
        let id = host(1, 1).id;
        table.on_unreachable(&id.address, start);
        table.tick(&mut SeededRandom::new(4), start + 4 * SECOND);
        let late = start + 60 * SECOND;

        let while_listed = table.is_surely_dead(&id, late);
        table.on_list(&listed([0, 2].into_iter()), late);
        let at_once = table.is_surely_dead(&id, late);
        let after_lag = table.is_surely_dead(&id, late + 11 * SECOND);

        assert_eq!((while_listed, at_once, after_lag), (false, false, true));
    }

    #[test]
    fn a_later_run_at_the_same_address_proves_the_end_of_the_earlier() {
        let start = Instant::now();
        let mut table = acquainted(3, start).remove(0);
        let restarted = MemberTable::new(host(1, 2), MemberPolicy::default(), start);

        table.on_heard(&restarted.my_state(), start);

        assert!(table.is_surely_dead(&host(1, 1).id, start));
        assert!(!table.is_surely_dead(&host(1, 2).id, start));
    }

    // An availability zone is cut off. If both sides held the other for dead and took over its
    // shards, every token would be spent twice.
    #[test]
    fn only_the_larger_side_of_a_cut_hears_a_majority() {
        let start = Instant::now();
        let mut tables = acquainted(11, start);
        let mut random = SeededRandom::new(5);
        let cut = |from: usize, to: usize| (from < 4) == (to < 4);

        for tick in 1..=60 {
            step(&mut tables, &mut random, &cut, start + Duration::from_millis(250) * tick);
        }

        assert!(tables[..4].iter().all(|table| !table.hears_majority()));
        assert!(tables[4..].iter().all(MemberTable::hears_majority));
    }

    #[test]
    fn a_leaving_host_is_used_no_more_and_still_answers() {
        let start = Instant::now();
        let mut tables = acquainted(3, start);
        tables[0].leave(start);

        let state = tables[0].my_state();
        tables[1].on_heard(&state, start);

        assert_eq!(tables[1].usable_hosts().len(), 2);
        assert_eq!(tables[1].usable_peers().len(), 2);
    }
}
