//! The buckets of one host, from which it admits requests and lends to other hosts.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap};
use tokio::time::Instant;

use crate::team::TeamQuota;
use crate::{Millitokens, ShardMap, TOKEN, TeamLimits, slice_count, slice_shards};

/// Minimum time for which lent tokens may be spent.
pub(crate) const MIN_LOAN_VALIDITY: Duration = Duration::from_millis(20);
/// Divisor of a slice's burst that gives the maximum amount on loan while all tokens are lent at
/// the full rate.
const LOAN_BURST_DIVISOR: u64 = 4;
/// Minimum retry delay returned to a caller.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Maximum retry delay returned to a caller.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Parameters of the ledger. They must be the same on every host.
#[derive(Clone, Debug)]
pub struct LedgerPolicy {
    /// Total number of shards.
    pub shards: u32,
    /// Number of slices of a team with a low rate.
    pub slices: u32,
    /// Rate in millitokens per second for which a team gets one more slice.
    pub rate_per_slice: Millitokens,
    /// Maximum number of slices of a team.
    pub max_slices: u32,
    /// Maximum time for which lent tokens may be spent.
    pub max_loan_validity: Duration,
    /// Time span whose expected demand a host borrows in advance.
    pub prefetch_window: Duration,
    /// Maximum number of owners asked for the tokens of one request.
    pub borrow_attempts: usize,
    /// Time within which a configuration generation is in force on every host.
    pub max_generation_lag: Duration,
    /// Maximum time between two ticks. After a longer time, the process counts as paused and this
    /// host stops relying on its ownership of shards, as it does while it is out of contact. The
    /// unreliable period counts from this long before the previous tick.
    pub max_pause: Duration,
    /// Minimum time for which an incarnation must have been silent before other hosts claim its
    /// shards.
    pub claim_delay: Duration,
    /// Time without use after which a team's buckets are dropped.
    pub unused_team_ttl: Duration,
}

impl Default for LedgerPolicy {
    fn default() -> Self {
        LedgerPolicy {
            shards: 128,
            slices: 3,
            rate_per_slice: 10 * TOKEN,
            max_slices: 32,
            max_loan_validity: Duration::from_secs(1),
            prefetch_window: Duration::from_millis(100),
            borrow_attempts: 5,
            max_generation_lag: Duration::from_secs(7),
            max_pause: Duration::from_secs(2),
            claim_delay: Duration::from_secs(10),
            unused_team_ttl: Duration::from_secs(600),
        }
    }
}

/// An owner that can be asked for tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lender {
    /// The shard whose tokens are requested.
    pub shard: u32,
    /// The incarnation that owns the shard.
    pub owner: HostId,
}

/// Which owners to ask for tokens, and for how many.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BorrowPlan {
    /// Owners, to be asked in this order until the amount is reached.
    pub lenders: Vec<Lender>,
    /// Millitokens that the request lacks.
    pub missing: Millitokens,
    /// Millitokens to borrow in addition, for the requests that follow.
    pub prefetch: Millitokens,
}

/// Decision on a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may run. If there is a plan, tokens should be borrowed in the background for the
    /// requests that follow.
    Admitted(Option<BorrowPlan>),
    /// This host lacks tokens that other owners may have.
    Borrow(BorrowPlan),
    /// The team is above its rate and burst. The request may be retried after this time.
    Refused(Duration),
}

/// A request of another host for tokens of a shard that this host owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// The team whose tokens are requested.
    pub team: Name,
    /// The shard whose tokens are requested.
    pub shard: u32,
    /// Millitokens requested.
    pub amount: Millitokens,
}

/// The response to a [`LoanRequest`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanResponse {
    /// Millitokens lent, which the owner has already debited.
    pub amount: Millitokens,
    /// Whether the incarnation that responds owns the shard.
    pub is_owner: bool,
    /// Millitokens that the owner has left.
    pub remaining: Millitokens,
    /// Time for which the lent tokens may be spent, counted from when the borrower sent its
    /// request.
    pub validity: Duration,
    /// Time until the owner has a token to lend again.
    pub retry_after: Duration,
}

/// Quota state of all teams on this host.
#[derive(Debug)]
pub struct QuotaLedger {
    policy: LedgerPolicy,
    pub(crate) shards: ShardMap,
    pub(crate) teams: SortedMap<Name, TeamQuota>,
    ticked_at: Instant,
    /// Last moment at which this host could rely on its ownership of shards; `None` while it can.
    unreliable_since: Option<Instant>,
}

/// Result of [`QuotaLedger::tick`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TickOutcome {
    /// This incarnation owns the shards that its map shows as its own.
    Reliable,
    /// It may no longer own its shards, so it spends and lends no tokens of its own.
    Unreliable,
    /// Other hosts may have claimed its shards. It must continue as a new incarnation, see
    /// [`renew`](QuotaLedger::renew).
    Lost,
}

impl QuotaLedger {
    /// Returns a ledger of the incarnation `me`, which owns no shards yet.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// use cuminramp_core::HostId;
    /// use cuminramp_quota::{LedgerPolicy, QuotaLedger};
    /// let me = HostId { address: "127.0.0.1:1".into(), incarnation: 1 };
    /// let ledger = QuotaLedger::new(me, LedgerPolicy::default(), tokio::time::Instant::now());
    /// assert!(!ledger.is_unreliable());
    /// # }
    /// ```
    pub fn new(me: HostId, policy: LedgerPolicy, now: Instant) -> Self {
        let shards = ShardMap::new(me, policy.shards);
        QuotaLedger {
            policy,
            shards,
            teams: SortedMap::new(),
            ticked_at: now,
            unreliable_since: None,
        }
    }

    /// Returns the map of shard owners.
    pub fn shards(&self) -> &ShardMap {
        &self.shards
    }

    /// Returns the map of shard owners for changes.
    pub fn shards_mut(&mut self) -> &mut ShardMap {
        &mut self.shards
    }

    /// Returns the policy in force.
    pub fn policy(&self) -> &LedgerPolicy {
        &self.policy
    }

    /// Checks whether this incarnation can rely on its ownership of shards. Must be called several
    /// times a second. `confirmed` is whether this host is in contact with the table or with most
    /// other hosts.
    ///
    /// A gap between calls shows that the process was paused: other hosts may have declared it dead
    /// and claimed its shards, as they may while it has no contact. Reading the map would not
    /// settle that, since a claim may still be on its way to the table. So after `claim_delay` the
    /// incarnation counts as ended.
    pub fn tick(&mut self, confirmed: bool, now: Instant) -> TickOutcome {
        let last = self.ticked_at;
        self.ticked_at = now;
        let paused = now.saturating_duration_since(last) > self.policy.max_pause;
        if paused || !confirmed {
            let reliable_at = last.checked_sub(self.policy.max_pause).unwrap_or(last);
            self.unreliable_since.get_or_insert(reliable_at);
        }
        let Some(since) = self.unreliable_since else { return TickOutcome::Reliable };
        if now.saturating_duration_since(since) > self.policy.claim_delay {
            return TickOutcome::Lost;
        }
        if paused || !confirmed {
            return TickOutcome::Unreliable;
        }
        self.unreliable_since = None;
        TickOutcome::Reliable
    }

    /// Continues as the incarnation `me`, which owns no shards. Any host may claim those of the
    /// previous incarnation.
    pub fn renew(&mut self, me: HostId, confirmed: bool, now: Instant) {
        self.shards.renew(me);
        self.teams.retain(|_, team| {
            team.buckets = SortedMap::new();
            true
        });
        self.unreliable_since = (!confirmed).then_some(now);
        self.ticked_at = now;
    }

    /// Returns whether this host currently spends no tokens of its own, since it can't rely on its
    /// ownership of shards.
    pub fn is_unreliable(&self) -> bool {
        self.unreliable_since.is_some()
    }

    /// Returns whether any slice of a team has a known owner. Until then no host can admit the
    /// team's requests.
    pub fn has_owner(&self, team: &str, limits: TeamLimits) -> bool {
        let count = slice_count(limits, &self.policy);
        slice_shards(team, count, self.policy.shards)
            .any(|shard| self.shards.owner(shard).is_some())
    }

    /// Drops teams that have been unused for `unused_team_ttl`. Their buckets would be full by now.
    pub fn evict_unused_teams(&mut self, now: Instant) {
        let limit = self.policy.unused_team_ttl;
        self.teams.retain(|_, team| now.saturating_duration_since(team.last_used_at) < limit);
    }

    /// Decides on a request of `team` that costs `cost`. `borrowed` is whether owners were already
    /// asked for tokens for it, so that a shortage leads to a refusal.
    pub fn admit(
        &mut self,
        team: &Name,
        limits: TeamLimits,
        cost: Millitokens,
        borrowed: bool,
        now: Instant,
    ) -> Admission {
        self.prepare(team, limits, now);
        let use_own = self.may_spend_own(now);
        let Some(quota) = self.teams.get_mut(team) else {
            return Admission::Refused(MAX_RETRY_AFTER);
        };
        let cost = cost.min(quota.limits.max_request_cost()).max(1);
        if !borrowed {
            quota.record_demand(cost, now);
        }
        let taken = quota.take(cost, use_own, now);
        if taken.total() == cost {
            let prefetch = quota.plan_prefetch(team, &self.shards, &self.policy, use_own, now);
            return Admission::Admitted(prefetch);
        }
        let missing = cost - taken.total();
        quota.put_back(taken, now);
        if borrowed {
            return Admission::Refused(quota.retry_after(missing, use_own, now));
        }
        match quota.plan_borrow(team, missing, &self.shards, &self.policy, now) {
            Some(plan) => Admission::Borrow(plan),
            None => Admission::Refused(quota.retry_after(missing, use_own, now)),
        }
    }

    /// Lends tokens of a shard that this incarnation owns. They are debited before the response is
    /// sent, so a lost response loses tokens but never duplicates them.
    pub fn lend(
        &mut self,
        request: &LoanRequest,
        limits: TeamLimits,
        now: Instant,
    ) -> LoanResponse {
        self.prepare(&request.team, limits, now);
        let use_own = self.may_spend_own(now);
        let validity = loan_validity(limits, &self.policy);
        let refusal = LoanResponse {
            amount: 0,
            is_owner: false,
            remaining: 0,
            validity,
            retry_after: MIN_RETRY_AFTER,
        };
        if !use_own || !self.shards.is_mine(request.shard) {
            return refusal;
        }
        let index = slice_index(&request.team, request.shard, &self.policy);
        let Some(quota) = self.teams.get_mut(&request.team) else {
            return refusal;
        };
        let Some(slice) = quota.buckets.get_mut(&index) else {
            return refusal;
        };
        let amount = slice.bucket.lend(request.amount, validity, now);
        slice.used |= amount > 0;
        let wait = slice.bucket.time_until(request.amount.min(TOKEN), now);
        let remaining = slice.bucket.level(now);
        LoanResponse {
            amount,
            is_owner: true,
            remaining,
            validity,
            retry_after: wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Credits tokens that an owner lent. Their validity counts from `requested_at`, when the
    /// request was sent. That is before the owner's debit, so they expire here before the owner's
    /// bucket refills in their place.
    pub fn credit(
        &mut self,
        team: &Name,
        lender: &Lender,
        response: LoanResponse,
        requested_at: Instant,
        now: Instant,
    ) {
        let Some(quota) = self.teams.get_mut(team) else {
            return;
        };
        quota.record_response(lender.shard, response, requested_at, now);
    }

    /// Records that an owner did not respond, so that it isn't asked again at once.
    pub fn mark_silent(&mut self, team: &Name, lender: &Lender, now: Instant) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.record_exhausted(lender.shard, now + self.policy.max_loan_validity);
        }
    }

    /// Returns whether this host may spend its own tokens: it can rely on its ownership of shards
    /// and hasn't been paused since the last tick.
    pub(crate) fn may_spend_own(&self, now: Instant) -> bool {
        let paused = now.saturating_duration_since(self.ticked_at) > self.policy.max_pause;
        self.unreliable_since.is_none() && !paused
    }

    /// Creates, updates and removes a team's buckets according to its limits and the shards owned
    /// here.
    pub(crate) fn prepare(&mut self, team: &Name, limits: TeamLimits, now: Instant) {
        let policy = &self.policy;
        let quota = self.teams.get_or_insert_with(team.clone(), || TeamQuota::new(limits, now));
        quota.limits.update(limits, policy.max_generation_lag, now);
        quota.last_used_at = now;
        let count = quota.limits.slice_count(policy);
        for (index, shard) in (0..count).zip(slice_shards(team, count, policy.shards)) {
            if self.shards.is_mine(shard) {
                let record = self.shards.record(shard);
                let slice = quota.limits.slice(index, policy);
                quota.ensure_bucket(index, &record, slice, loan_validity(limits, policy), now);
            } else {
                quota.buckets.remove(&index);
            }
        }
    }
}

/// Returns how long lent tokens may be spent: a time so short that loans at the full rate leave
/// most of the burst available.
fn loan_validity(limits: TeamLimits, policy: &LedgerPolicy) -> Duration {
    let millis = limits.burst * 1_000 / (limits.rate.max(1) * LOAN_BURST_DIVISOR);
    Duration::from_millis(millis)
        .clamp(MIN_LOAN_VALIDITY, policy.max_loan_validity.max(MIN_LOAN_VALIDITY))
}

/// Returns the index of the slice of a team that a shard holds. If the shard holds none of the
/// team's slices, the index is not below their number.
pub(crate) fn slice_index(team: &str, shard: u32, policy: &LedgerPolicy) -> u32 {
    let first = slice_shards(team, 1, policy.shards).next().unwrap_or(0);
    (shard + policy.shards - first) % policy.shards
}

#[cfg(test)]
mod tests;
