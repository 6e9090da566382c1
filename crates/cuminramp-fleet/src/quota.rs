//! Fleet-wide rate and burst limits of teams, enforced with admission counts from heartbeats.
//!
//! Each host maintains one token bucket per team that stands for the whole fleet. It deducts its own
//! admissions at once, and those of other hosts when it receives their heartbeats. A heartbeat carries
//! the number of admissions since the sender's start, so a later heartbeat makes up for a lost one and a
//! repeated one changes nothing.
//!
//! Between two heartbeats, hosts may spend the same token twice. The bucket then goes below zero, and the
//! debt must be refilled before the next admission. The excess in any window is at most the number of
//! requests that arrive before a heartbeat does.
//!
//! A silent host may be down, or cut off from this one and still serving; in the latter case it spends
//! the same tokens. So each admission costs `all / alive` tokens, where `alive` is the number of alive
//! hosts and `all` the number of all hosts. The sides of a network partition then stay within the rate
//! together, however long it lasts. Admissions reported by alive hosts cost the same: at one token each,
//! two sides of four and seven hosts out of eleven together spent 1.6 times the rate.
//!
//! A process that has just started or was paused can't know how many tokens are spent. Its buckets start
//! with a small part of the tolerance that operators state, and it adopts lower levels from settled hosts.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap};
use tokio::time::Instant;

use crate::declarations::FleetDeclarations;
use crate::heartbeat::{HostHeartbeat, TeamUsage, name_hash};

/// Result of checking a request against its team's rate and burst.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaDecision {
    /// The request is within the limits and was counted.
    Admitted,
    /// The request exceeds the limits. Tokens may be available after this delay.
    Exceeded(Duration),
}

/// Excess over a team's rate and burst that operators tolerate within a window: `share` of the requests
/// that the limits allow in the window, plus `extra_requests`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaTolerance {
    /// Tolerated excess, as a fraction of the requests that the limits allow in the window.
    pub share: f64,
    /// Number of requests tolerated in addition to that fraction.
    pub extra_requests: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Fraction of the tolerance that a bucket holds at the start of a process. It is low because all hosts
/// may be killed twice within a window, and requests admitted before a heartbeat arrives use up some of
/// the tolerance as well.
const START_SHARE: f64 = 0.3;
/// Maximum debt of a bucket, in seconds of the team's rate. Without it, one wrong count could block a
/// team for a long time.
const MAX_DEBT_SECONDS: f64 = 5.0;
/// Time after the last change of a team's count during which heartbeats include it. Later heartbeats
/// leave it out, unless they are full.
const USAGE_REPORT_WINDOW: Duration = Duration::from_secs(2);
/// Time after a start or reset during which a host adopts lower levels from settled hosts. Other hosts
/// answer its join request within milliseconds; the rest of the window covers lost join requests.
const SETTLING_WINDOW: Duration = Duration::from_secs(2);
/// Debt that retried requests may cause: a fraction of the burst, and the maximum number of tokens.
/// These requests return after the delay that they were given, and a second refusal would make them fail
/// for their callers.
const MAX_RETRY_DEBT: (f64, f64) = (0.06, 4.0);

/// Token bucket of one team, and this host's admissions of the team.
#[derive(Debug)]
struct TeamAccount {
    rate: f64,
    burst: f64,
    /// Tokens left at the time `at`; negative if the bucket is in debt.
    level: f64,
    at: Instant,
    /// Requests that this host has admitted since its start.
    admitted: u32,
    /// Time of the last change of `admitted`.
    changed_at: Instant,
    /// Refused requests that will be retried and that the rate has not yet produced tokens for.
    expected: f64,
    /// Tokens reserved for each silent host since this table was created. It only grows.
    reserved: f64,
}

impl TeamAccount {
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.expected = (self.expected - elapsed * self.rate).max(0.0);
    }

    /// Deducts admitted requests, together with the tokens reserved for silent hosts.
    fn charge(&mut self, requests: f64, alive_share: AliveShare) {
        self.level = (self.level - requests * alive_share.cost()).max(self.floor());
        self.reserved += requests * alive_share.reserved_per_silent_host();
    }

    /// Releases the tokens reserved for a host during its silence and deducts those that it spent.
    fn reconcile(&mut self, reserved_before: f64, spent: f64) {
        let level = self.level + (self.reserved - reserved_before) - spent;
        self.level = level.min(self.burst).max(self.floor());
    }

    fn floor(&self) -> f64 {
        -self.rate * MAX_DEBT_SECONDS
    }

    fn start_level(&self, tolerance: &QuotaTolerance) -> f64 {
        let allowed = self.rate * tolerance.window.as_secs_f64() + self.burst;
        let tolerated = tolerance.share * allowed + tolerance.extra_requests;
        (START_SHARE * tolerated).min(self.burst)
    }
}

/// Number of alive hosts and of all hosts, this one included.
#[derive(Clone, Copy, Debug)]
struct AliveShare {
    alive: f64,
    all: f64,
}

impl AliveShare {
    /// Returns the number of tokens that one admission costs.
    fn cost(&self) -> f64 {
        self.all / self.alive
    }

    /// Returns the part of that cost which is reserved for each silent host.
    fn reserved_per_silent_host(&self) -> f64 {
        if self.all > self.alive { 1.0 / self.alive } else { 0.0 }
    }
}

/// Baseline that new counts of another host are compared with.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum CountBaseline {
    /// None: no full heartbeat of this incarnation has arrived.
    #[default]
    Unknown,
    /// The previous heartbeat. The count of a team that was never listed is 0.
    Current,
    /// The last heartbeat before the host fell silent.
    BeforeSilence,
}

/// Admission counts received from one incarnation of another host.
#[derive(Debug, Default)]
struct ReceivedCounts {
    /// Last received count of each team, by the hash of its name.
    teams: SortedMap<u32, u32>,
    baseline: CountBaseline,
    /// By team, the value of [`TeamAccount::reserved`] when the host fell silent.
    reserved_before: SortedMap<u32, f64>,
}

/// Token buckets of all teams, as this host computes them.
#[derive(Debug)]
pub struct QuotaTable {
    tolerance: QuotaTolerance,
    teams: SortedMap<u32, TeamAccount>,
    received: SortedMap<HostId, ReceivedCounts>,
    alive_share: AliveShare,
    settled_at: Instant,
}

impl QuotaTable {
    /// Creates a table without teams.
    pub fn new(tolerance: QuotaTolerance, now: Instant) -> Self {
        QuotaTable {
            tolerance,
            teams: SortedMap::new(),
            received: SortedMap::new(),
            alive_share: AliveShare { alive: 1.0, all: 1.0 },
            settled_at: now + SETTLING_WINDOW,
        }
    }

    /// Applies the rates and bursts of new declarations.
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
                    reserved: 0.0,
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

    /// Sets the number of alive hosts and of all hosts, this one included.
    pub fn set_alive_share(&mut self, alive: usize, all: usize) {
        let alive = alive.max(1);
        self.alive_share = AliveShare { alive: alive as f64, all: all.max(alive) as f64 };
    }

    /// Records that a host fell silent: tokens are reserved for it from now on.
    pub fn mark_silent(&mut self, host: &HostId) {
        let Some(counts) = self.received.get_mut(host) else { return };
        if counts.baseline == CountBaseline::Current {
            counts.baseline = CountBaseline::BeforeSilence;
            let teams = self.teams.iter();
            counts.reserved_before =
                teams.map(|(team, account)| (*team, account.reserved)).collect();
        }
    }

    /// Lowers every bucket to its start level and adopts the levels of settled hosts again. Needed after a
    /// pause of this process, in which other hosts spent tokens that it has not counted.
    pub fn reset(&mut self, now: Instant) {
        self.settled_at = now + SETTLING_WINDOW;
        let tolerance = self.tolerance;
        for (_, account) in self.teams.iter_mut() {
            account.advance(now);
            account.level = account.level.min(account.start_level(&tolerance));
        }
    }

    /// Decides on one request of `team`, and counts it if it is admitted. `is_retry` is set if the request
    /// was refused before and returns after the delay that it was given.
    pub fn admit(&mut self, team: &Name, is_retry: bool, now: Instant) -> QuotaDecision {
        let alive_share = self.alive_share;
        let cost = alive_share.cost();
        let Some(account) = self.teams.get_mut(&name_hash(team)) else {
            return QuotaDecision::Admitted;
        };
        if account.rate <= 0.0 {
            return QuotaDecision::Admitted;
        }
        account.advance(now);
        let debt =
            if is_retry { (account.burst * MAX_RETRY_DEBT.0).min(MAX_RETRY_DEBT.1) } else { 0.0 };
        if account.level + debt >= cost {
            account.charge(1.0, alive_share);
            account.admitted += 1;
            account.changed_at = now;
            return QuotaDecision::Admitted;
        }
        let missing = cost - account.level;
        QuotaDecision::Exceeded(Duration::from_secs_f64((missing / account.rate).min(60.0)))
    }

    /// Returns the delay after which a request that is refused now should be retried. Delays grow with the
    /// number of requests refused before it; otherwise all would return at the same moment, and most would
    /// be refused again.
    pub fn retry_after(&mut self, team: &Name, now: Instant) -> Duration {
        let hosts = self.received.len() as f64 + 1.0;
        let Some(account) = self.teams.get_mut(&name_hash(team)) else {
            return Duration::ZERO;
        };
        account.advance(now);
        let missing = (1.0 - account.level).max(0.0) + account.expected;
        // Assumes that every other host refuses as many requests as this one.
        account.expected += hosts;
        Duration::from_secs_f64((missing / account.rate.max(f64::MIN_POSITIVE)).min(60.0))
    }

    /// Returns whether the window after the start or the last reset, in which this host adopts the levels
    /// of others, is over.
    pub fn is_settled(&self, now: Instant) -> bool {
        now >= self.settled_at
    }

    /// Applies the counts of a heartbeat.
    ///
    /// The first full heartbeat of an incarnation sets the baseline: the level that this host started with
    /// or adopted already covers earlier admissions. From then on, the count of a team that was not listed
    /// is 0. A host that isn't settled adopts lower levels from settled hosts.
    ///
    /// The first full heartbeat after a silence covers all admissions made during it. They are deducted,
    /// and the tokens reserved for the host are released. Both are needed. Without the deduction, a host
    /// that falls silent briefly again and again spends without being counted, or after a partition the
    /// side with more tokens left spends again what the other side has spent; a team then gets twice its
    /// rate. Without the release, callers within the rate are refused for seconds.
    pub fn receive_heartbeat(&mut self, heartbeat: &HostHeartbeat, was_silent: bool, now: Instant) {
        let host = HostId {
            address: heartbeat.host.address.clone(),
            incarnation: heartbeat.host.incarnation,
        };
        if !self.received.contains_key(&host) {
            self.received.retain(|held, _| held.address != host.address);
        }
        if was_silent {
            self.mark_silent(&host);
        }
        let is_settled = self.is_settled(now);
        let counts = self.received.get_or_insert_with(host, ReceivedCounts::default);
        match (counts.baseline, heartbeat.is_full) {
            // Counts only grow, so a reported count is current in full and partial heartbeats alike.
            (CountBaseline::Current, _) | (CountBaseline::BeforeSilence, false) => {
                deduct_usage(&mut self.teams, counts, heartbeat, self.alive_share, now);
            }
            (CountBaseline::BeforeSilence, true) if is_settled => {
                reconcile_usage(&mut self.teams, counts, heartbeat, now);
            }
            // The first full heartbeat, or one after a silence while this host isn't settled: it adopts the
            // levels of settled hosts instead of deducting.
            (_, true) => counts.set_baseline(heartbeat),
            (CountBaseline::Unknown, false) => {}
        }
        if heartbeat.is_settled && !is_settled {
            self.adopt_lower_levels(heartbeat, now);
        }
    }

    fn adopt_lower_levels(&mut self, heartbeat: &HostHeartbeat, now: Instant) {
        for reported in &heartbeat.usage {
            let Some(account) = self.teams.get_mut(&reported.team) else { continue };
            account.advance(now);
            account.level = account.level.min(f64::from(reported.level));
        }
    }

    /// Returns the usage for a heartbeat: all nonzero counts if `is_full`, else only those that changed
    /// recently.
    pub fn usage(&self, is_full: bool, now: Instant) -> Vec<TeamUsage> {
        let reported = self.teams.iter().filter(|(_, account)| {
            account.admitted > 0
                && (is_full || now.duration_since(account.changed_at) < USAGE_REPORT_WINDOW)
        });
        reported
            .map(|(team, account)| TeamUsage {
                team: *team,
                admitted: account.admitted,
                level: account.level.floor() as i32,
            })
            .collect()
    }
}

impl ReceivedCounts {
    /// Makes a full heartbeat the baseline for later ones.
    fn set_baseline(&mut self, heartbeat: &HostHeartbeat) {
        self.teams =
            heartbeat.usage.iter().map(|reported| (reported.team, reported.admitted)).collect();
        self.baseline = CountBaseline::Current;
        self.reserved_before = SortedMap::new();
    }

    /// Returns the number of admissions since the baseline.
    fn spent(&self, reported: &TeamUsage) -> f64 {
        let before = self.teams.get(&reported.team).copied().unwrap_or(0);
        f64::from(reported.admitted.saturating_sub(before))
    }
}

/// Deducts the requests that a host admitted since its last heartbeat.
fn deduct_usage(
    teams: &mut SortedMap<u32, TeamAccount>,
    counts: &mut ReceivedCounts,
    heartbeat: &HostHeartbeat,
    alive_share: AliveShare,
    now: Instant,
) {
    for reported in &heartbeat.usage {
        let spent = counts.spent(reported);
        counts.teams.insert(reported.team, reported.admitted);
        let Some(account) = teams.get_mut(&reported.team) else { continue };
        account.advance(now);
        if spent > 0.0 {
            account.charge(spent, alive_share);
        }
    }
}

/// Reconciles every team's bucket with the full heartbeat of a host that was silent.
fn reconcile_usage(
    teams: &mut SortedMap<u32, TeamAccount>,
    counts: &mut ReceivedCounts,
    heartbeat: &HostHeartbeat,
    now: Instant,
) {
    for (team, account) in teams.iter_mut() {
        let reported = heartbeat.usage.iter().find(|reported| reported.team == *team);
        let reserved_before = counts.reserved_before.get(team).copied().unwrap_or(account.reserved);
        account.advance(now);
        account.reconcile(reserved_before, reported.map_or(0.0, |reported| counts.spent(reported)));
    }
    counts.set_baseline(heartbeat);
}

#[cfg(test)]
mod tests;
