//! Fleet-wide rate and burst limits of teams.
//!
//! Each team has an owner: the host that [`OwnerTable`](crate::OwnerTable) selects by its name. The owner
//! maintains the token bucket of the team for the whole fleet, and the other hosts request a token from it
//! for each request. Thus the excess over a team's limits does not grow with the number of hosts. Hosts
//! that decided by their own copies of the bucket would each spend the same tokens until heartbeats
//! arrive, which takes longer the larger the fleet is.
//!
//! Every host may become the owner of a team, so each maintains a bucket too. It deducts its own
//! admissions at once, and those of other hosts when it receives their heartbeats. A heartbeat carries the
//! number of admissions since the sender's start, so a later heartbeat makes up for a lost one and a
//! repeated one changes nothing. A new owner does not know the latest grants of the one before. Until
//! heartbeats have reported them, it grants no more than a process that has just started, and no more than the
//! earlier owner had left as far as the requesting hosts know.
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

mod account;
mod counts;
mod message;

use account::{AliveShare, TeamAccount};
use counts::{CountBaseline, FirstReport, ReceivedCounts, deduct_usage, reconcile_usage};

pub use message::{AttemptKind, TokenOutcome, TokenRequest, TokenResponse};

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

/// Time after the last change of a team's count during which heartbeats include it. Later heartbeats
/// leave it out, unless they are full.
pub(crate) const USAGE_REPORT_WINDOW: Duration = Duration::from_secs(2);
/// Time after a start or reset during which a host adopts lower levels from settled hosts. Other hosts
/// answer its join request within milliseconds; the rest of the window covers lost join requests.
const SETTLING_WINDOW: Duration = Duration::from_secs(2);

/// State of one team's bucket, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamStatus {
    /// The team.
    pub team: Name,
    /// Tokens left in the bucket of the whole fleet, as this host computes them.
    pub level: f64,
    /// Requests that this host has admitted since its start.
    pub admitted: u32,
    /// Those of them that this host admitted although no owner responded.
    pub admitted_alone: u32,
    /// Tokens that this host, as the owner, granted to other hosts.
    pub granted: u32,
    /// Requests that other hosts reported and that this host deducted.
    pub deducted: u32,
}

/// Token buckets of all teams, as this host computes them.
#[derive(Debug)]
pub struct QuotaTable {
    tolerance: QuotaTolerance,
    teams: SortedMap<u32, TeamAccount>,
    received: SortedMap<HostId, ReceivedCounts>,
    alive_share: AliveShare,
    settled_at: Instant,
    limits_retries: bool,
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
            limits_retries: false,
        }
    }

    /// Applies the rates and bursts of new declarations.
    pub fn set_limits(&mut self, declarations: &FleetDeclarations, now: Instant) {
        let (tolerance, limits_retries) = (self.tolerance, self.limits_retries);
        for team in declarations.teams() {
            let account = self.teams.get_or_insert_with(name_hash(&team.name), || {
                TeamAccount::new(team.name.clone(), team.rate, team.burst, &tolerance, now)
            });
            account.limit_retries(limits_retries);
            account.set_limits(team.rate, team.burst, now);
        }
    }

    /// Sets the number of alive hosts and of all hosts, this one included.
    pub fn set_alive_share(&mut self, alive: usize, all: usize) {
        let alive = alive.max(1);
        self.alive_share = AliveShare { alive: alive as f64, all: all.max(alive) as f64 };
    }

    /// Records that a host fell silent: tokens are reserved for it from now on.
    pub fn mark_silent(&mut self, host: &HostId) {
        if let Some(counts) = self.received.get_mut(host) {
            counts.mark_silent(&self.teams);
        }
    }

    /// Lowers every bucket to its start level and adopts the levels of settled hosts again. Needed after a
    /// pause of this process, in which other hosts spent tokens that it has not counted.
    pub fn reset(&mut self, now: Instant) {
        self.settled_at = now + SETTLING_WINDOW;
        let tolerance = self.tolerance;
        for (_, account) in self.teams.iter_mut() {
            account.reset(&tolerance, now);
        }
    }

    /// Sets whether scheduled retries may take only a part of each team's rate. Without the limit, a team
    /// that sends more than its rate for long gets nearly all of its answers on the second attempt.
    pub fn limit_retries(&mut self, is_limited: bool) {
        if self.limits_retries != is_limited {
            self.limits_retries = is_limited;
            self.teams.iter_mut().for_each(|(_, account)| account.limit_retries(is_limited));
        }
    }

    /// Returns whether requests of the team are limited.
    pub fn is_limited(&self, team: &Name) -> bool {
        self.teams.get(&name_hash(team)).is_some_and(|account| account.rate > 0.0)
    }

    /// Decides on one request of `team` as the owner of the team, and counts it if it is admitted.
    pub fn admit(&mut self, team: &Name, attempt: AttemptKind, now: Instant) -> QuotaDecision {
        self.admit_at(team, self.alive_share, attempt, true, now)
    }

    /// Limits the decisions of this host as a new owner of the team with this hash to the level of a process
    /// that has just started, until heartbeats have reported what the earlier owner granted. To be called
    /// before each decision in this time.
    pub fn limit_new_owner(&mut self, team: u32, now: Instant) {
        let tolerance = self.tolerance;
        if let Some(account) = self.teams.get_mut(&team) {
            account.advance(now);
            account.limit_new_owner(&tolerance, now);
        }
    }

    /// Decides on one request of `team` while no owner responds, and counts it if it is admitted. This host
    /// spends the part of the rate that it would have if it were cut off from all others, because any
    /// number of them may decide in this way at the same time.
    pub fn admit_alone(&mut self, team: &Name, now: Instant) -> QuotaDecision {
        self.admit_at(team, self.alive_share.alone(), AttemptKind::First, false, now)
    }

    fn admit_at(
        &mut self,
        team: &Name,
        alive_share: AliveShare,
        attempt: AttemptKind,
        is_owner: bool,
        now: Instant,
    ) -> QuotaDecision {
        let Some(account) = self.teams.get_mut(&name_hash(team)) else {
            return QuotaDecision::Admitted;
        };
        if account.rate <= 0.0 {
            return QuotaDecision::Admitted;
        }
        account.advance(now);
        if account.spend(alive_share, attempt) {
            account.count_admission(is_owner, now);
            return QuotaDecision::Admitted;
        }
        QuotaDecision::Exceeded(account.time_until(alive_share.cost()))
    }

    /// Returns the level that another owner of `team` than `owner` reported to this host recently, for a
    /// token request to `owner`.
    pub fn other_owner_level(&mut self, team: &Name, owner: &HostId, now: Instant) -> Option<i32> {
        let account = self.teams.get_mut(&name_hash(team))?;
        account.other_owner_level(owner, now).map(|level| level.floor() as i32)
    }

    /// Decides as the owner of a team on a token request of another host. Returns `None` if this host does
    /// not know the team yet; without a response the requesting host turns to the next owner.
    pub fn grant_token(
        &mut self,
        host: &HostId,
        request: &TokenRequest,
        now: Instant,
    ) -> Option<TokenResponse> {
        let is_settled = self.is_settled(now);
        let account = self.teams.get_mut(&request.team)?;
        account.advance(now);
        if let Some(level) = request.other_owner_level {
            account.limit_by_other_owner(f64::from(level), now);
        }
        let outcome = if account.rate <= 0.0 || account.spend(self.alive_share, request.attempt) {
            account.count_grant(now);
            TokenOutcome::Granted
        } else {
            TokenOutcome::Exceeded { wait_ms: account.schedule_retry().as_millis() as u32 }
        };
        let level = account.available().floor() as i32;
        if outcome == TokenOutcome::Granted {
            self.replace_incarnation(host, is_settled);
            let counts = self.received.get_or_insert_with(host.clone(), ReceivedCounts::default);
            counts.record_grant(request.team, now);
        }
        Some(TokenResponse { request_id: request.request_id, outcome, level })
    }

    /// Records the response of a team's owner, and counts the request if it is admitted.
    pub fn receive_token(
        &mut self,
        team: &Name,
        owner: &HostId,
        response: &TokenResponse,
        now: Instant,
    ) -> QuotaDecision {
        if let Some(account) = self.teams.get_mut(&name_hash(team)) {
            account.advance(now);
            account.record_owner_level(owner, f64::from(response.level), now);
            if response.outcome == TokenOutcome::Granted {
                account.charge(1.0, self.alive_share);
                account.count_admission(true, now);
            }
        }
        match response.outcome {
            TokenOutcome::Granted => QuotaDecision::Admitted,
            TokenOutcome::Exceeded { wait_ms } => {
                QuotaDecision::Exceeded(Duration::from_millis(u64::from(wait_ms)))
            }
        }
    }

    /// Returns the delay after which a request that this host refuses now should be retried. Delays grow
    /// with the number of requests refused before it; otherwise all would return at the same moment, and
    /// most would be refused again.
    pub fn retry_after(&mut self, team: &Name, now: Instant) -> Duration {
        let Some(account) = self.teams.get_mut(&name_hash(team)) else {
            return Duration::ZERO;
        };
        account.advance(now);
        account.schedule_retry()
    }

    /// Returns the name of a team by its hash.
    pub fn team_name(&self, team: u32) -> Option<Name> {
        self.teams.get(&team).map(|account| account.name.clone())
    }

    /// Returns whether this host has been settled for long enough that heartbeats have reported all that was
    /// admitted before.
    pub fn has_recent_counts(&self, now: Instant) -> bool {
        now >= self.settled_at + SETTLING_WINDOW
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
    ///
    /// With `has_sparse_reports`, hosts report only to the owners of their teams and to those that would follow
    /// them. A host whose first report of a team arrives has reported earlier admissions to other owners, so only
    /// its recent ones are deducted.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: &HostHeartbeat,
        was_silent: bool,
        has_sparse_reports: bool,
        now: Instant,
    ) {
        let host = HostId {
            address: heartbeat.host.address.clone(),
            incarnation: heartbeat.host.incarnation,
        };
        let is_settled = self.is_settled(now);
        let has_recent_counts = self.has_recent_counts(now);
        self.replace_incarnation(&host, is_settled);
        if was_silent {
            self.mark_silent(&host);
        }
        let counts = self.received.get_or_insert_with(host, ReceivedCounts::default);
        let is_first = counts.baseline == CountBaseline::Unknown && !heartbeat.is_full;
        if has_sparse_reports && is_settled && is_first {
            counts.baseline = CountBaseline::Current;
        }
        let first_report = match (has_sparse_reports, has_recent_counts) {
            (false, _) => FirstReport::SinceStart,
            (true, true) => FirstReport::Recent,
            (true, false) => FirstReport::Covered,
        };
        match (counts.baseline, heartbeat.is_full) {
            // Counts only grow, so a reported count is current in full and partial heartbeats alike.
            (CountBaseline::Current, _) | (CountBaseline::BeforeSilence, false) => {
                let share = self.alive_share;
                deduct_usage(&mut self.teams, counts, heartbeat, first_report, share, now);
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

    /// Replaces the counts of an earlier incarnation at the address of `host`. Only a settled host knows
    /// that the new one's requests are not in its levels yet.
    fn replace_incarnation(&mut self, host: &HostId, is_settled: bool) {
        if self.received.contains_key(host) {
            return;
        }
        // Not always a lower one: the clock of an earlier run may have been ahead.
        let is_other =
            |held: &&HostId| held.address == host.address && held.incarnation != host.incarnation;
        let earlier = self.received.keys().find(is_other).cloned();
        let Some(counts) = earlier.and_then(|earlier| self.received.remove(&earlier)) else {
            return;
        };
        if is_settled {
            self.received.insert(host.clone(), counts.next_incarnation());
        }
    }

    fn adopt_lower_levels(&mut self, heartbeat: &HostHeartbeat, now: Instant) {
        for reported in &heartbeat.usage {
            if let Some(account) = self.teams.get_mut(&reported.team) {
                account.adopt_lower_level(f64::from(reported.level), now);
            }
        }
    }

    /// Returns whether a full heartbeat of the host is needed: it reported admissions before it fell silent, so
    /// that tokens are reserved for it.
    pub fn needs_full_heartbeat(&self, host: &HostId) -> bool {
        let counts = self.received.get(host);
        counts.is_some_and(|counts| counts.baseline == CountBaseline::BeforeSilence)
    }

    /// Returns the teams of which this host admitted requests recently.
    pub fn reported_teams(&self, now: Instant) -> Vec<Name> {
        let recent = self.teams.values().filter(|account| {
            account.admitted > 0 && now.duration_since(account.changed_at) < USAGE_REPORT_WINDOW
        });
        recent.map(|account| account.name.clone()).collect()
    }

    /// Returns the state of the teams for which this host spent or granted tokens in the last `window`, at most
    /// `max` of them, those with the lowest levels first.
    pub fn active_teams(&mut self, window: Duration, max: usize, now: Instant) -> Vec<TeamStatus> {
        let mut active = Vec::new();
        for (_, account) in self.teams.iter_mut() {
            if account.active_at.is_some_and(|at| now.duration_since(at) <= window) {
                account.advance(now);
                active.push(account.status());
            }
        }
        active.sort_by(|one, other| one.level.total_cmp(&other.level));
        active.truncate(max);
        active
    }

    /// Returns the number of other hosts whose counts are compared with a baseline.
    pub fn count_baselines(&self) -> usize {
        let known =
            self.received.values().filter(|counts| counts.baseline != CountBaseline::Unknown);
        known.count()
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
                recent: account.recently_admitted(),
                level: account.available().floor() as i32,
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
