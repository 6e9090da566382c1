//! Rate and burst of teams over all hosts, by counts that hosts tell each other.
//!
//! Each host keeps, for each team, a bucket of the whole fleet: what it admits itself is taken out at
//! once, and what others admitted when their heartbeat says so. A heartbeat carries the count since the
//! sender's start, so a lost or repeated one changes nothing in the end.
//!
//! Between two heartbeats hosts may spend the same token twice; the bucket then goes below zero, and the
//! debt is paid before the next request. The excess in any window is at most what arrives in the
//! time that a heartbeat takes.
//!
//! A host that is not heard may be dead, or cut off and serving, and then it spends from the same
//! bucket. So each admission costs as many tokens as there are hosts for each one heard: the parts
//! of a divided fleet stay within the rate together, however long the division lasts. What another
//! host of the part admitted costs the same here, or a part of several hosts spends more than its
//! share: four and seven of eleven hosts together spent 1.6 times the rate.
//!
//! A process that starts, or was away, does not know what was spent. It begins with a small part of
//! what the operators tolerate above the rate, and takes over the level of a host that knows better.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap};
use tokio::time::Instant;

use crate::declarations::FleetDeclarations;
use crate::heartbeat::{HostHeartbeat, TeamUsage, name_hash};

/// Whether a request is within its team's rate and burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// It is, and was counted.
    Admitted,
    /// It is not; there may be room after so long.
    Exceeded(Duration),
}

/// How far a team may exceed its rate and burst for a moment, as operators state it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Part of what a window allows.
    pub share: f64,
    /// Requests beside that part.
    pub requests: f64,
    /// The window.
    pub window: Duration,
}

/// The part of the tolerance with which a new fleet begins. All hosts may be killed twice within a
/// window, and each heartbeat costs a little of the tolerance as well.
const START_SHARE: f64 = 0.3;
/// A debt larger than this many seconds of the rate is forgotten, so that a count which was read
/// wrongly can't stop a team for long.
const MOST_DEBT_SECONDS: f64 = 5.0;
/// How long a team's count is told after it changed last; later heartbeats leave it out.
const TELL_FOR: Duration = Duration::from_secs(2);
/// How long a host that begins takes over lower levels. Others answer its greeting within
/// milliseconds; this leaves time for greetings that got lost.
const LEARN_FOR: Duration = Duration::from_secs(2);
/// Part of the burst by which requests that come back go below zero, and its largest. They were
/// told when to come; to refuse them again would cost the caller the answer.
const AGAIN_DEBT: (f64, f64) = (0.06, 4.0);

#[derive(Debug)]
struct TeamAccount {
    rate: f64,
    burst: f64,
    level: f64,
    at: Instant,
    admitted: u32,
    changed_at: Instant,
    /// Requests that were refused and will come back, as many as the rate has not yet made room for.
    expected: f64,
    /// Tokens that were kept for each host that was not heard, since this host began.
    kept: f64,
}

impl TeamAccount {
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + passed * self.rate).min(self.burst);
        self.expected = (self.expected - passed * self.rate).max(0.0);
    }

    /// Takes out what was admitted, and what is kept beside it for hosts that are not heard.
    fn charge(&mut self, requests: f64, parts: FleetParts) {
        self.level = (self.level - requests * parts.cost()).max(self.floor());
        self.kept += requests * parts.kept_for_each();
    }

    /// Puts back what was kept for a host that is heard again, and takes out what it spent.
    fn settle(&mut self, kept_before: f64, spent: f64) {
        let level = self.level + (self.kept - kept_before) - spent;
        self.level = level.min(self.burst).max(self.floor());
    }

    fn floor(&self) -> f64 {
        -self.rate * MOST_DEBT_SECONDS
    }

    fn start_level(&self, tolerance: &QuotaTolerance) -> f64 {
        let allowed = self.rate * tolerance.window.as_secs_f64() + self.burst;
        let tolerated = tolerance.share * allowed + tolerance.requests;
        (START_SHARE * tolerated).min(self.burst)
    }
}

/// How many of all hosts are heard, this one included.
#[derive(Clone, Copy, Debug)]
struct FleetParts {
    heard: f64,
    all: f64,
}

impl FleetParts {
    /// Tokens that an admission costs.
    fn cost(&self) -> f64 {
        self.all / self.heard
    }

    /// What of that is kept for each host that is not heard.
    fn kept_for_each(&self) -> f64 {
        if self.all > self.heard { 1.0 / self.heard } else { 0.0 }
    }
}

/// What the counts of another host can be compared with.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum CountBasis {
    /// Nothing: no whole heartbeat of this run has come.
    #[default]
    Unknown,
    /// The heartbeat before. A team that was never named had a count of 0.
    Current,
    /// The last heartbeat before a silence.
    BeforeSilence,
}

/// What one run of another host has told of its counts.
#[derive(Debug, Default)]
struct HeardCounts {
    teams: SortedMap<u32, u32>,
    basis: CountBasis,
    /// By team, what had been kept for each unheard host when this one fell silent.
    kept_before: SortedMap<u32, f64>,
}

/// All teams' buckets as this host sees them.
#[derive(Debug)]
pub struct QuotaTable {
    tolerance: QuotaTolerance,
    teams: SortedMap<u32, TeamAccount>,
    heard: SortedMap<HostId, HeardCounts>,
    parts: FleetParts,
    learns_until: Instant,
}

impl QuotaTable {
    /// Knows no team yet.
    pub fn new(tolerance: QuotaTolerance, now: Instant) -> Self {
        QuotaTable {
            tolerance,
            teams: SortedMap::new(),
            heard: SortedMap::new(),
            parts: FleetParts { heard: 1.0, all: 1.0 },
            learns_until: now + LEARN_FOR,
        }
    }

    /// Takes rates and bursts of new declarations.
    pub fn set_limits(&mut self, declarations: &FleetDeclarations, now: Instant) {
        let tolerance = self.tolerance;
        for team in declarations.teams() {
            let account = self.teams.get_or_insert_with(name_hash(&team.name), || {
                let mut account = TeamAccount {
                    rate: team.rate,
                    burst: team.burst,
                    level: 0.0,
                    at: now,
                    admitted: 0,
                    changed_at: now,
                    expected: 0.0,
                    kept: 0.0,
                };
                account.level = account.start_level(&tolerance);
                account
            });
            account.advance(now);
            account.rate = team.rate;
            account.burst = team.burst;
            account.level = account.level.min(team.burst);
        }
    }

    /// Says which part of all hosts is heard, this one included.
    pub fn set_alive_share(&mut self, heard: usize, all: usize) {
        let heard = heard.max(1);
        self.parts = FleetParts { heard: heard as f64, all: all.max(heard) as f64 };
    }

    /// Takes note that a host is no longer heard: from now on a part is kept for it.
    pub fn mark_silent(&mut self, host: &HostId) {
        let Some(counts) = self.heard.get_mut(host) else { return };
        if counts.basis == CountBasis::Current {
            counts.basis = CountBasis::BeforeSilence;
            let teams = self.teams.iter();
            counts.kept_before = teams.map(|(team, account)| (*team, account.kept)).collect();
        }
    }

    /// Begins anew, as after a pause in which others spent unseen.
    pub fn reset(&mut self, now: Instant) {
        self.learns_until = now + LEARN_FOR;
        let tolerance = self.tolerance;
        for (_, account) in self.teams.iter_mut() {
            account.advance(now);
            account.level = account.level.min(account.start_level(&tolerance));
        }
    }

    /// Asks for one request of `team`. `is_retry` says that it was refused before and told when to
    /// come back.
    pub fn admit(&mut self, team: &Name, is_retry: bool, now: Instant) -> QuotaDecision {
        let parts = self.parts;
        let cost = parts.cost();
        let Some(account) = self.teams.get_mut(&name_hash(team)) else {
            return QuotaDecision::Admitted;
        };
        if account.rate <= 0.0 {
            return QuotaDecision::Admitted;
        }
        account.advance(now);
        let debt = if is_retry { (account.burst * AGAIN_DEBT.0).min(AGAIN_DEBT.1) } else { 0.0 };
        if account.level + debt >= cost {
            account.charge(1.0, parts);
            account.admitted += 1;
            account.changed_at = now;
            return QuotaDecision::Admitted;
        }
        let missing = cost - account.level;
        QuotaDecision::Exceeded(Duration::from_secs_f64((missing / account.rate).min(60.0)))
    }

    /// When a request that is refused now should come back: after those that were refused before
    /// it, or they would all come at the same moment and be refused again.
    pub fn retry_after(&mut self, team: &Name, now: Instant) -> Duration {
        let hosts = self.heard.len() as f64 + 1.0;
        let Some(account) = self.teams.get_mut(&name_hash(team)) else {
            return Duration::ZERO;
        };
        account.advance(now);
        let missing = (1.0 - account.level).max(0.0) + account.expected;
        // The other hosts refuse about as many.
        account.expected += hosts;
        Duration::from_secs_f64((missing / account.rate.max(f64::MIN_POSITIVE)).min(60.0))
    }

    /// Whether this host has been up for long enough to know the levels.
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.learns_until
    }

    /// Takes the counts of a heartbeat.
    ///
    /// The first whole heartbeat of a run is a starting point: what the run admitted before is in the
    /// level that this host began with or took over. From then on a team that was not named had a
    /// count of 0. A host that has just begun takes over lower levels of settled ones.
    ///
    /// After a silence the first whole heartbeat tells all that was spent in it. That is taken out, and
    /// what was kept for the host is put back. Where only one of them is done, a host that falls
    /// silent for a moment again and again spends without being counted, or the fuller part of a
    /// divided fleet spends what the other has spent already; a team then gets twice its rate.
    pub fn receive_heartbeat(&mut self, heartbeat: &HostHeartbeat, was_silent: bool, now: Instant) {
        let host = HostId {
            address: heartbeat.host.address.clone(),
            incarnation: heartbeat.host.incarnation,
        };
        if !self.heard.contains_key(&host) {
            self.heard.retain(|held, _| held.address != host.address);
        }
        if was_silent {
            self.mark_silent(&host);
        }
        let is_settled = self.is_settled(now);
        let counts = self.heard.get_or_insert_with(host, HeardCounts::default);
        match (counts.basis, heartbeat.is_usage_full) {
            // Counts only grow, so what is told of a team is new whether or not the heartbeat is whole.
            (CountBasis::Current, _) | (CountBasis::BeforeSilence, false) => {
                take_counts(&mut self.teams, counts, heartbeat, self.parts, now);
            }
            (CountBasis::BeforeSilence, true) if is_settled => {
                settle_counts(&mut self.teams, counts, heartbeat, now);
            }
            // A host that is not settled itself takes over what settled ones know.
            (_, true) => counts.begin(heartbeat),
            (CountBasis::Unknown, false) => {}
        }
        if heartbeat.is_settled && !is_settled {
            self.take_levels(heartbeat, now);
        }
    }

    fn take_levels(&mut self, heartbeat: &HostHeartbeat, now: Instant) {
        for told in &heartbeat.usage {
            let Some(account) = self.teams.get_mut(&told.team) else { continue };
            account.advance(now);
            account.level = account.level.min(f64::from(told.level));
        }
    }

    /// What this host tells others: counts that changed lately, or all of them.
    pub fn usage(&self, is_whole: bool, now: Instant) -> Vec<TeamUsage> {
        let told = self.teams.iter().filter(|(_, account)| {
            account.admitted > 0 && (is_whole || now.duration_since(account.changed_at) < TELL_FOR)
        });
        told.map(|(team, account)| TeamUsage {
            team: *team,
            admitted: account.admitted,
            level: account.level.floor() as i32,
        })
        .collect()
    }
}

impl HeardCounts {
    /// Takes a whole heartbeat as what later ones are compared with.
    fn begin(&mut self, heartbeat: &HostHeartbeat) {
        self.teams = heartbeat.usage.iter().map(|told| (told.team, told.admitted)).collect();
        self.basis = CountBasis::Current;
        self.kept_before = SortedMap::new();
    }

    /// How much of a team's count is new.
    fn spent(&self, told: &TeamUsage) -> f64 {
        let before = self.teams.get(&told.team).copied().unwrap_or(0);
        f64::from(told.admitted.saturating_sub(before))
    }
}

/// Takes out what a host admitted since its last heartbeat.
fn take_counts(
    teams: &mut SortedMap<u32, TeamAccount>,
    counts: &mut HeardCounts,
    heartbeat: &HostHeartbeat,
    parts: FleetParts,
    now: Instant,
) {
    for told in &heartbeat.usage {
        let spent = counts.spent(told);
        counts.teams.insert(told.team, told.admitted);
        let Some(account) = teams.get_mut(&told.team) else { continue };
        account.advance(now);
        if spent > 0.0 {
            account.charge(spent, parts);
        }
    }
}

/// Settles every team's account with a host that is heard again.
fn settle_counts(
    teams: &mut SortedMap<u32, TeamAccount>,
    counts: &mut HeardCounts,
    heartbeat: &HostHeartbeat,
    now: Instant,
) {
    for (team, account) in teams.iter_mut() {
        let told = heartbeat.usage.iter().find(|told| told.team == *team);
        let kept_before = counts.kept_before.get(team).copied().unwrap_or(account.kept);
        account.advance(now);
        account.settle(kept_before, told.map_or(0.0, |told| counts.spent(told)));
    }
    counts.begin(heartbeat);
}

#[cfg(test)]
mod tests;
