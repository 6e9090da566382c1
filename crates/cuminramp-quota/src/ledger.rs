//! The buckets of one host: it admits, lends and borrows.

use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap};
use tokio::time::Instant;

use crate::team::TeamQuota;
use crate::{Millitokens, ShardMap, TOKEN, TeamLimits, slice_count, slice_shards};

/// The shortest time for which lent tokens are valid.
pub(crate) const LEAST_VALID: Duration = Duration::from_millis(20);
/// Of a slice's burst, at most this part may be out on loans at full rate.
const LOAN_SHARE: u64 = 4;
/// The shortest wait that a caller is given.
pub(crate) const LEAST_WAIT: Duration = Duration::from_millis(10);
/// The longest wait that a caller is given.
pub(crate) const MOST_WAIT: Duration = Duration::from_secs(60);

/// How the ledger works; the same on every host.
#[derive(Clone, Debug)]
pub struct LedgerPolicy {
    /// Shards in all.
    pub shards: u32,
    /// Slices of a small team.
    pub slices: u32,
    /// One more slice for each so many millitokens a second.
    pub slice_rate: Millitokens,
    /// Most slices of a team.
    pub max_slices: u32,
    /// The longest time for which lent tokens are valid.
    pub borrow_valid: Duration,
    /// How far ahead a host borrows for the demand it sees.
    pub borrow_ahead: Duration,
    /// How many owners are asked for one request.
    pub borrow_attempts: usize,
    /// Within which time a generation is in force on every host.
    pub max_generation_lag: Duration,
    /// How long a host may not have run, or not have heard of others, before it doubts what it owns.
    pub pause_limit: Duration,
    /// Others take nothing over from a run that they have not heard of for less than this.
    pub claim_wait: Duration,
    /// After how long without use a team's buckets are dropped.
    pub forget_after: Duration,
}

impl Default for LedgerPolicy {
    fn default() -> Self {
        LedgerPolicy {
            shards: 128,
            slices: 3,
            slice_rate: 10 * TOKEN,
            max_slices: 32,
            borrow_valid: Duration::from_secs(1),
            borrow_ahead: Duration::from_millis(100),
            borrow_attempts: 5,
            max_generation_lag: Duration::from_secs(7),
            pause_limit: Duration::from_secs(2),
            claim_wait: Duration::from_secs(10),
            forget_after: Duration::from_secs(600),
        }
    }
}

/// An owner to ask.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lender {
    /// The shard whose tokens are asked for.
    pub shard: u32,
    /// Its owner.
    pub owner: HostId,
}

/// Whom to ask for how much.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BorrowPlan {
    /// In this order, until the amount is there.
    pub lenders: Vec<Lender>,
    /// What is missing for the request.
    pub missing: Millitokens,
    /// What to ask for beyond that, for the requests that follow.
    pub ahead: Millitokens,
}

/// What becomes of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run. With a plan, tokens should be borrowed in the background for those that follow.
    Admitted(Option<BorrowPlan>),
    /// Tokens are missing here; others may have them.
    Borrow(BorrowPlan),
    /// The team is above its rate and burst; it may come back after this time.
    Refused(Duration),
}

/// A peer's wish for tokens of a shard that this host owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// The team.
    pub team: Name,
    /// The shard.
    pub shard: u32,
    /// How many millitokens.
    pub amount: Millitokens,
}

/// The answer to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanAnswer {
    /// Debited here already.
    pub amount: Millitokens,
    /// Whether this run owns the shard.
    pub is_owner: bool,
    /// What is left here.
    pub left: Millitokens,
    /// How long they may be spent, counted from when they were asked for.
    pub valid: Duration,
    /// When a token will be here again.
    pub wait: Duration,
}

/// All teams on this host.
#[derive(Debug)]
pub struct QuotaLedger {
    policy: LedgerPolicy,
    pub(crate) shards: ShardMap,
    pub(crate) teams: SortedMap<Name, TeamQuota>,
    ticked_at: Instant,
    /// The last moment at which it was sure, while it is not.
    doubtful_since: Option<Instant>,
}

/// What a look at the clock showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TickOutcome {
    /// This run owns what it thinks it owns.
    Sure,
    /// It may not; it spends nothing of its own.
    Doubtful,
    /// Others may have taken its shards over: it must go on as a new run, see
    /// [`renew`](QuotaLedger::renew).
    Lost,
}

impl QuotaLedger {
    /// A ledger of the run `me` that owns nothing yet.
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
            doubtful_since: None,
        }
    }

    /// Who owns what.
    pub fn shards(&self) -> &ShardMap {
        &self.shards
    }

    /// Who owns what, to change.
    pub fn shards_mut(&mut self) -> &mut ShardMap {
        &mut self.shards
    }

    /// The policy in force.
    pub fn policy(&self) -> &LedgerPolicy {
        &self.policy
    }

    /// Called some times a second; `confirmed` says whether this host hears from the table or from
    /// most other hosts.
    ///
    /// A gap shows that this process was paused: others may have found it dead and taken its shards,
    /// as they may while it hears of nobody. Reading the map would not settle that, since a claim may
    /// still be on its way to the table; so after `claim_wait` the run counts as over.
    pub fn tick(&mut self, confirmed: bool, now: Instant) -> TickOutcome {
        let last = self.ticked_at;
        self.ticked_at = now;
        let paused = now.saturating_duration_since(last) > self.policy.pause_limit;
        if paused || !confirmed {
            let sure_at = last.checked_sub(self.policy.pause_limit).unwrap_or(last);
            self.doubtful_since.get_or_insert(sure_at);
        }
        let Some(since) = self.doubtful_since else { return TickOutcome::Sure };
        if now.saturating_duration_since(since) > self.policy.claim_wait {
            return TickOutcome::Lost;
        }
        if paused || !confirmed {
            return TickOutcome::Doubtful;
        }
        self.doubtful_since = None;
        TickOutcome::Sure
    }

    /// Goes on as the run `me`, which owns nothing; the shards of the earlier run are free for all.
    pub fn renew(&mut self, me: HostId, confirmed: bool, now: Instant) {
        self.shards.renew(me);
        self.teams.retain(|_, team| {
            team.buckets = SortedMap::new();
            true
        });
        self.doubtful_since = (!confirmed).then_some(now);
        self.ticked_at = now;
    }

    /// Whether it spends nothing of its own for now.
    pub fn is_unreliable(&self) -> bool {
        self.doubtful_since.is_some()
    }

    /// Whether any host is known to own a part of a team's rate; before that nobody can admit it.
    pub fn has_owner(&self, team: &str, limits: TeamLimits) -> bool {
        let count = slice_count(limits, &self.policy);
        slice_shards(team, count, self.policy.shards)
            .any(|shard| self.shards.owner(shard).is_some())
    }

    /// Drops teams that were not used for long; their buckets would be full by now.
    pub fn forget_unused(&mut self, now: Instant) {
        let limit = self.policy.forget_after;
        self.teams.retain(|_, team| now.saturating_duration_since(team.used_at) < limit);
    }

    /// Decides on a request of `team` that costs `cost`. `borrowed` says that owners were asked for
    /// it already, so that a shortage is a refusal.
    pub fn admit(
        &mut self,
        team: &Name,
        limits: TeamLimits,
        cost: Millitokens,
        borrowed: bool,
        now: Instant,
    ) -> Admission {
        self.prepare(team, limits, now);
        let trusted = self.trusts_itself(now);
        let Some(quota) = self.teams.get_mut(team) else {
            return Admission::Refused(MOST_WAIT);
        };
        let cost = cost.min(quota.limits.max_request_cost()).max(1);
        if !borrowed {
            quota.note_demand(cost, now);
        }
        let taken = quota.take(cost, trusted, now);
        if taken.total() == cost {
            let ahead = quota.plan_ahead(team, &self.shards, &self.policy, trusted, now);
            return Admission::Admitted(ahead);
        }
        let missing = cost - taken.total();
        quota.put_back(taken, now);
        if borrowed {
            return Admission::Refused(quota.wait_for(missing, trusted, now));
        }
        match quota.plan_borrow(team, missing, &self.shards, &self.policy, now) {
            Some(plan) => Admission::Borrow(plan),
            None => Admission::Refused(quota.wait_for(missing, trusted, now)),
        }
    }

    /// Lends tokens of an own shard: debits first, so that a lost answer loses tokens and mints none.
    pub fn lend(&mut self, request: &LoanRequest, limits: TeamLimits, now: Instant) -> LoanAnswer {
        self.prepare(&request.team, limits, now);
        let trusted = self.trusts_itself(now);
        let valid = loan_validity(limits, &self.policy);
        let nothing = LoanAnswer { amount: 0, is_owner: false, left: 0, valid, wait: LEAST_WAIT };
        if !trusted || !self.shards.is_mine(request.shard) {
            return nothing;
        }
        let slice = slice_number(&request.team, request.shard, &self.policy);
        let Some(quota) = self.teams.get_mut(&request.team) else {
            return nothing;
        };
        let Some(slice) = quota.buckets.get_mut(&slice) else {
            return nothing;
        };
        let amount = slice.bucket.lend(request.amount, valid, now);
        slice.used |= amount > 0;
        let wait = slice.bucket.time_until(request.amount.min(TOKEN), now);
        let left = slice.bucket.level(now);
        LoanAnswer { amount, is_owner: true, left, valid, wait: wait.clamp(LEAST_WAIT, MOST_WAIT) }
    }

    /// Credits tokens that an owner lent; they count from the moment the request left, which comes
    /// before the owner's debit, so they end here before the owner's bucket fills up for them.
    pub fn credit(
        &mut self,
        team: &Name,
        lender: &Lender,
        answer: LoanAnswer,
        asked_at: Instant,
        now: Instant,
    ) {
        let Some(quota) = self.teams.get_mut(team) else {
            return;
        };
        quota.note_answer(lender.shard, answer, asked_at, now);
    }

    /// Notes that an owner gave no answer, so that it isn't asked again at once.
    pub fn mark_silent(&mut self, team: &Name, lender: &Lender, now: Instant) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.note_dry(lender.shard, now + self.policy.borrow_valid);
        }
    }

    pub(crate) fn trusts_itself(&self, now: Instant) -> bool {
        let paused = now.saturating_duration_since(self.ticked_at) > self.policy.pause_limit;
        self.doubtful_since.is_none() && !paused
    }

    /// Brings a team's buckets in line with its limits and with the shards owned here.
    pub(crate) fn prepare(&mut self, team: &Name, limits: TeamLimits, now: Instant) {
        let policy = &self.policy;
        let quota = self.teams.get_or_insert_with(team.clone(), || TeamQuota::new(limits, now));
        quota.limits.update(limits, policy.max_generation_lag, now);
        quota.used_at = now;
        let count = quota.limits.slice_count(policy);
        for (index, shard) in (0..count).zip(slice_shards(team, count, policy.shards)) {
            if self.shards.is_mine(shard) {
                let record = self.shards.record(shard);
                let slice = quota.limits.slice(index, policy);
                quota.hold_slice(index, &record, slice, loan_validity(limits, policy), now);
            } else {
                quota.buckets.remove(&index);
            }
        }
    }
}

/// How long lent tokens are valid: so short that loans at the full rate leave most of the burst.
fn loan_validity(limits: TeamLimits, policy: &LedgerPolicy) -> Duration {
    let millis = limits.burst * 1_000 / (limits.rate.max(1) * LOAN_SHARE);
    Duration::from_millis(millis).clamp(LEAST_VALID, policy.borrow_valid.max(LEAST_VALID))
}

/// Which slice of a team lies in a shard.
pub(crate) fn slice_number(team: &str, shard: u32, policy: &LedgerPolicy) -> u32 {
    let first = slice_shards(team, 1, policy.shards).next().unwrap_or(0);
    (shard + policy.shards - first) % policy.shards
}

#[cfg(test)]
mod tests;
