//! Token bucket of one team.

use std::time::Duration;

use cuminramp_core::{HostId, Name};
use tokio::time::Instant;

use super::{AttemptKind, QuotaTolerance, TeamStatus, USAGE_REPORT_WINDOW};

/// Fraction of the tolerance that a bucket holds at the start of a process. It is low because all hosts
/// may be killed twice within a window, and requests admitted before a heartbeat arrives use up some of
/// the tolerance as well.
const START_SHARE: f64 = 0.3;
/// Maximum debt of a bucket, in seconds of the team's rate. Without it, one wrong count could block a
/// team for a long time.
const MAX_DEBT_SECONDS: f64 = 5.0;
/// Debt that retried requests may cause: a fraction of the burst, and the maximum number of tokens.
/// These requests return after the delay that they were given, and a second refusal would make them fail
/// for their callers.
const MAX_RETRY_DEBT: (f64, f64) = (0.06, 4.0);
/// Maximum delay for which refused requests that will be retried are expected. Scheduled retries get no longer
/// delays.
const MAX_EXPECTED_SECONDS: f64 = 1.5;
/// Part of a team's rate that scheduled retries may take where they are limited. The rest is left to first
/// attempts, whose callers get their answers sooner.
const RETRY_PART: f64 = 0.25;
/// Time for which tokens for scheduled retries add up, since retries return unevenly.
const RETRY_BURST_SECONDS: f64 = 0.3;
/// Tokens that must be left after an unscheduled retry, as a fraction of the burst, and their maximum number.
/// Below it, first attempts need all tokens.
const UNSCHEDULED_RESERVE: (f64, f64) = (0.06, 4.0);
/// Delay of a refused request for whose retry no token is expected: longer than callers wait.
const UNSCHEDULED_DELAY: Duration = Duration::from_secs(3);
/// Time for which the level of another owner limits this host's decisions. After it, heartbeats have
/// reported all requests to which that owner granted tokens.
const CEILING_TTL: Duration = Duration::from_secs(2);
/// Time after a response of an owner for which its level is reported to the next owner.
const OWNER_LEVEL_TTL: Duration = Duration::from_secs(5);

/// Number of tokens at a time.
#[derive(Clone, Copy, Debug)]
struct TokenLevel {
    tokens: f64,
    at: Instant,
}

impl TokenLevel {
    fn advance(&mut self, rate: f64, burst: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.tokens = (self.tokens + elapsed * rate).min(burst);
    }
}

/// Upper bound of the level that another owner had, less the tokens granted here since.
#[derive(Clone, Copy, Debug)]
struct LevelCeiling {
    level: TokenLevel,
    until: Instant,
}

/// Level that the last owner reported to this host.
#[derive(Clone, Debug)]
struct OwnerLevel {
    owner: HostId,
    level: TokenLevel,
    received_at: Instant,
}

/// Token bucket of one team, and this host's admissions of the team.
#[derive(Debug)]
pub(super) struct TeamAccount {
    pub(super) name: Name,
    pub(super) rate: f64,
    pub(super) burst: f64,
    /// Tokens left in the bucket of the whole fleet; negative if the bucket is in debt.
    level: TokenLevel,
    /// Set while another host owned the team until recently.
    ceiling: Option<LevelCeiling>,
    /// Set once another host granted or refused this host a token.
    owner_level: Option<OwnerLevel>,
    /// Requests that this host has admitted since its start.
    pub(super) admitted: u32,
    /// Values of `admitted` before the current and the previous report window, and the start of the current one.
    window_starts: (u32, u32),
    window_at: Instant,
    /// Requests in `admitted` that no owner granted a token for, since none responded.
    admitted_alone: u32,
    /// Tokens that this host granted to others.
    granted: u32,
    /// Requests that other hosts reported and that were deducted here.
    deducted: u32,
    /// Time of the last change of `admitted`.
    pub(super) changed_at: Instant,
    /// Time of the last admission or grant.
    pub(super) active_at: Option<Instant>,
    /// Refused requests that will be retried and that the rate has not yet produced tokens for.
    expected: f64,
    /// Part of the rate that scheduled retries may take; 1.0 if they are not limited.
    retry_part: f64,
    /// Tokens that scheduled retries may still take, if they are limited.
    retry_tokens: f64,
    /// Tokens reserved for each silent host since this table was created. It only grows.
    pub(super) reserved: f64,
}

impl TeamAccount {
    /// Creates the account of a team, with the level of a process that has just started.
    pub(super) fn new(
        name: Name,
        rate: f64,
        burst: f64,
        tolerance: &QuotaTolerance,
        now: Instant,
    ) -> Self {
        let mut account = TeamAccount {
            name,
            rate,
            burst,
            level: TokenLevel { tokens: 0.0, at: now },
            ceiling: None,
            owner_level: None,
            admitted: 0,
            window_starts: (0, 0),
            window_at: now,
            admitted_alone: 0,
            granted: 0,
            deducted: 0,
            changed_at: now,
            active_at: None,
            expected: 0.0,
            retry_part: 1.0,
            retry_tokens: 0.0,
            reserved: 0.0,
        };
        account.level.tokens = account.start_level(tolerance);
        account
    }

    pub(super) fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.level.at).as_secs_f64();
        let retry_rate = self.rate * self.retry_part;
        self.expected = (self.expected - elapsed * retry_rate).max(0.0);
        let max_retry_tokens = (retry_rate * RETRY_BURST_SECONDS).max(1.0);
        self.retry_tokens = (self.retry_tokens + elapsed * retry_rate).min(max_retry_tokens);
        self.level.advance(self.rate, self.burst, now);
        self.ceiling = self.ceiling.filter(|ceiling| ceiling.until > now);
        if let Some(ceiling) = &mut self.ceiling {
            ceiling.level.advance(self.rate, self.burst, now);
        }
    }

    /// Applies a new rate and burst.
    pub(super) fn set_limits(&mut self, rate: f64, burst: f64, now: Instant) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.level.tokens = self.level.tokens.min(burst);
    }

    /// Returns the tokens that this host may spend or grant.
    pub(super) fn available(&self) -> f64 {
        let level = self.level.tokens;
        self.ceiling.map_or(level, |ceiling| level.min(ceiling.level.tokens))
    }

    /// Sets whether scheduled retries may take only [`RETRY_PART`] of the rate.
    pub(super) fn limit_retries(&mut self, is_limited: bool) {
        self.retry_part = if is_limited { RETRY_PART } else { 1.0 };
    }

    fn limits_retries(&self) -> bool {
        self.retry_part < 1.0
    }

    /// Spends the tokens of one request, for this host or another. Returns whether enough were left.
    pub(super) fn spend(&mut self, alive_share: AliveShare, attempt: AttemptKind) -> bool {
        let cost = alive_share.cost();
        if self.available() - self.min_level_after(attempt) < cost {
            return false;
        }
        if attempt == AttemptKind::Retry {
            self.retry_tokens = (self.retry_tokens - 1.0).max(0.0);
        }
        self.charge(1.0, alive_share);
        if let Some(ceiling) = &mut self.ceiling {
            ceiling.level.tokens -= cost;
        }
        true
    }

    /// Returns the level that an admitted request must leave; negative if it may cause debt.
    fn min_level_after(&self, attempt: AttemptKind) -> f64 {
        let has_retry_token = !self.limits_retries() || self.retry_tokens >= 1.0;
        match attempt {
            AttemptKind::First => 0.0,
            AttemptKind::Retry if has_retry_token => {
                -(self.burst * MAX_RETRY_DEBT.0).min(MAX_RETRY_DEBT.1)
            }
            AttemptKind::Retry | AttemptKind::UnscheduledRetry => {
                (self.burst * UNSCHEDULED_RESERVE.0).min(UNSCHEDULED_RESERVE.1)
            }
        }
    }

    /// Deducts admitted requests, together with the tokens reserved for silent hosts.
    pub(super) fn charge(&mut self, requests: f64, alive_share: AliveShare) {
        self.level.tokens =
            (self.level.tokens - requests * alive_share.cost()).max(self.max_debt());
        self.reserved += requests * alive_share.reserved_per_silent_host();
    }

    /// Deducts requests that another host reported.
    pub(super) fn deduct(&mut self, requests: f64, alive_share: AliveShare) {
        self.charge(requests, alive_share);
        self.deducted += requests as u32;
    }

    /// Counts a request that this host admitted with a token of its owner, or alone.
    pub(super) fn count_admission(&mut self, has_token: bool, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_at);
        if elapsed >= USAGE_REPORT_WINDOW {
            let is_adjacent = elapsed < USAGE_REPORT_WINDOW * 2;
            let previous = if is_adjacent { self.window_starts.0 } else { self.admitted };
            self.window_starts = (self.admitted, previous);
            self.window_at = now;
        }
        self.admitted += 1;
        self.admitted_alone += u32::from(!has_token);
        self.changed_at = now;
        self.active_at = Some(now);
    }

    /// Returns the number of requests admitted in the current and the previous report window.
    pub(super) fn recently_admitted(&self) -> u32 {
        self.admitted - self.window_starts.1
    }

    /// Counts a token that this host granted to another.
    pub(super) fn count_grant(&mut self, now: Instant) {
        self.granted += 1;
        self.active_at = Some(now);
    }

    /// Releases the tokens reserved for a host during its silence and deducts those that it spent.
    pub(super) fn reconcile(&mut self, reserved_before: f64, spent: f64) {
        let level = self.level.tokens + (self.reserved - reserved_before) - spent;
        self.level.tokens = level.min(self.burst).max(self.max_debt());
    }

    /// Lowers the level to the one of a host that has counted for longer.
    pub(super) fn adopt_lower_level(&mut self, level: f64, now: Instant) {
        self.advance(now);
        self.level.tokens = self.level.tokens.min(level);
    }

    /// Lowers the level to that of a process that has just started.
    pub(super) fn reset(&mut self, tolerance: &QuotaTolerance, now: Instant) {
        let start_level = self.start_level(tolerance);
        self.adopt_lower_level(start_level, now);
    }

    /// Limits the decisions of this host by the level of another owner, whose grants heartbeats have not
    /// reported yet.
    pub(super) fn limit_by_other_owner(&mut self, level: f64, now: Instant) {
        let lower = self.ceiling.map_or(level, |ceiling| ceiling.level.tokens.min(level));
        let level = TokenLevel { tokens: lower, at: now };
        self.ceiling = Some(LevelCeiling { level, until: now + CEILING_TTL });
    }

    /// Limits the decisions of this host, which is a new owner, unless they are limited already.
    pub(super) fn limit_new_owner(&mut self, tolerance: &QuotaTolerance, now: Instant) {
        let level = TokenLevel { tokens: self.start_level(tolerance), at: now };
        let until = now + CEILING_TTL;
        self.ceiling.get_or_insert(LevelCeiling { level, until }).until = until;
    }

    /// Records the level that an owner reported with its decision.
    pub(super) fn record_owner_level(&mut self, owner: &HostId, level: f64, now: Instant) {
        let level = TokenLevel { tokens: level, at: now };
        self.owner_level = Some(OwnerLevel { owner: owner.clone(), level, received_at: now });
    }

    /// Returns the level that another owner than `owner` reported to this host recently.
    pub(super) fn other_owner_level(&mut self, owner: &HostId, now: Instant) -> Option<f64> {
        let last = self.owner_level.as_mut().filter(|last| last.owner != *owner)?;
        if now.duration_since(last.received_at) >= OWNER_LEVEL_TTL {
            return None;
        }
        last.level.advance(self.rate, self.burst, now);
        Some(last.level.tokens)
    }

    /// Returns the delay after which a request that is refused now should be retried. Where scheduled retries
    /// are limited, it is [`UNSCHEDULED_DELAY`] if too many are scheduled already.
    pub(super) fn schedule_retry(&mut self) -> Duration {
        let missing = (1.0 - self.available()).max(0.0) + self.expected;
        let retry_rate = self.rate * self.retry_part;
        let max_expected = (retry_rate * MAX_EXPECTED_SECONDS).max(1.0);
        if self.limits_retries() && self.expected + 1.0 > max_expected {
            return UNSCHEDULED_DELAY;
        }
        self.expected = (self.expected + 1.0).min(max_expected);
        Duration::from_secs_f64((missing / retry_rate.max(f64::MIN_POSITIVE)).min(60.0))
    }

    /// Returns the time until the bucket has `cost` tokens.
    pub(super) fn time_until(&self, cost: f64) -> Duration {
        let missing = (cost - self.available()).max(0.0);
        Duration::from_secs_f64((missing / self.rate.max(f64::MIN_POSITIVE)).min(60.0))
    }

    pub(super) fn status(&self) -> TeamStatus {
        TeamStatus {
            team: self.name.clone(),
            level: self.available(),
            admitted: self.admitted,
            admitted_alone: self.admitted_alone,
            granted: self.granted,
            deducted: self.deducted,
        }
    }

    fn max_debt(&self) -> f64 {
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
pub(super) struct AliveShare {
    pub(super) alive: f64,
    pub(super) all: f64,
}

impl AliveShare {
    /// Returns the number of tokens that one admission costs.
    pub(super) fn cost(&self) -> f64 {
        self.all / self.alive
    }

    /// Returns the share as if this host were the only alive one.
    pub(super) fn alone(&self) -> Self {
        AliveShare { alive: 1.0, all: self.all }
    }

    /// Returns the part of that cost which is reserved for each silent host.
    fn reserved_per_silent_host(&self) -> f64 {
        if self.all > self.alive { 1.0 / self.alive } else { 0.0 }
    }
}
