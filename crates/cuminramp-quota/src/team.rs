//! The quota of one team on one host: its buckets, borrowed tokens and the last responses of other
//! owners.

use std::cmp::Reverse;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap, rank_by_score};
use tokio::time::Instant;

use crate::ledger::{
    BorrowPlan, LedgerPolicy, Lender, LoanResponse, MAX_RETRY_AFTER, MIN_LOAN_VALIDITY,
    MIN_RETRY_AFTER,
};
use crate::limits::{EffectiveLimits, SliceLimits};
use crate::{Millitokens, ShardMap, ShardRecord, TOKEN, TeamLimits, TokenBucket, slice_shards};

/// Time constant of the exponential average of demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Tokens that an owner had left at `at`.
#[derive(Clone, Copy, Debug)]
struct LenderLevel {
    level: Millitokens,
    at: Instant,
}

/// Borrowed tokens that may be spent until `expires_at`.
#[derive(Clone, Copy, Debug)]
struct TokenCache {
    expires_at: Instant,
    amount: Millitokens,
}

/// State of one team on this host.
#[derive(Debug)]
pub(crate) struct TeamQuota {
    pub(crate) limits: EffectiveLimits,
    /// Buckets by slice.
    pub(crate) buckets: SortedMap<u32, SliceBucket>,
    caches: Vec<TokenCache>,
    /// Time before which an owner has no tokens to lend, by shard.
    exhausted_until: SortedMap<u32, Instant>,
    /// Tokens that an owner had left according to its last response, by shard.
    lender_levels: SortedMap<u32, LenderLevel>,
    /// Average demand on this host, in millitokens per second.
    demand: f64,
    /// Time at which `demand` was last updated.
    demand_updated_at: Instant,
    /// Time before which no more tokens are borrowed in advance.
    next_prefetch_at: Instant,
    pub(crate) last_used_at: Instant,
}

/// Bucket of one slice, with the shard epoch under which it was created.
#[derive(Debug)]
pub(crate) struct SliceBucket {
    pub(crate) epoch: u64,
    limits: SliceLimits,
    pub(crate) bucket: TokenBucket,
    /// Whether any of its tokens were spent or lent.
    pub(crate) used: bool,
}

/// Tokens taken for one request, by source.
pub(crate) struct Withdrawal {
    from_buckets: Vec<(u32, Millitokens)>,
    from_caches: Vec<TokenCache>,
}

impl Withdrawal {
    pub(crate) fn total(&self) -> Millitokens {
        let buckets: Millitokens = self.from_buckets.iter().map(|(_, amount)| amount).sum();
        let caches: Millitokens = self.from_caches.iter().map(|cache| cache.amount).sum();
        buckets + caches
    }
}

impl TeamQuota {
    pub(crate) fn new(limits: TeamLimits, now: Instant) -> Self {
        TeamQuota {
            limits: EffectiveLimits::new(limits),
            buckets: SortedMap::new(),
            caches: Vec::new(),
            exhausted_until: SortedMap::new(),
            lender_levels: SortedMap::new(),
            demand: 0.0,
            demand_updated_at: now,
            next_prefetch_at: now,
            last_used_at: now,
        }
    }

    /// Creates or updates the bucket for a slice of a shard that this incarnation owns.
    ///
    /// Without a handover, the tokens that the earlier owner left are unknown; it may just have
    /// spent and lent all of them. So the bucket starts empty, and starts filling only once the
    /// earlier owner's loans have expired. A bucket starts full only for the shard's first owner,
    /// or if a handover shows that no owner has used it since the first.
    pub(crate) fn ensure_bucket(
        &mut self,
        index: u32,
        record: &ShardRecord,
        limits: SliceLimits,
        validity: Duration,
        now: Instant,
    ) {
        let new_bucket = || {
            let observed_at = record.observed_at.unwrap_or(now);
            let (filling_since, is_full) = match record.handover {
                Some(state) => (state.filling_since, state.is_full),
                None => (observed_at + validity, record.epoch == 1),
            };
            let (rate, burst) = (limits.rate, limits.burst);
            let bucket = if is_full {
                TokenBucket::full(rate, burst, now)
            } else {
                TokenBucket::empty(rate, burst, filling_since)
            };
            SliceBucket { epoch: record.epoch, limits, bucket, used: false }
        };
        let slice = self.buckets.get_or_insert_with(index, new_bucket);
        if slice.epoch != record.epoch {
            *slice = new_bucket();
        }
        if slice.limits != limits {
            slice.bucket.set_limits(limits.rate, limits.burst, now);
            slice.limits = limits;
        }
    }

    /// Records an owner's response to a loan request that this host sent at `requested_at`.
    pub(crate) fn record_response(
        &mut self,
        shard: u32,
        response: LoanResponse,
        requested_at: Instant,
        now: Instant,
    ) {
        self.lender_levels.insert(shard, LenderLevel { level: response.remaining, at: now });
        let expires_at = requested_at + response.validity;
        if response.amount > 0 && expires_at > now {
            self.caches.push(TokenCache { expires_at, amount: response.amount });
        } else {
            self.record_exhausted(shard, now + response.retry_after);
        }
    }

    /// Records that the owner of `shard` has no tokens to lend before `until`.
    pub(crate) fn record_exhausted(&mut self, shard: u32, until: Instant) {
        self.exhausted_until.insert(shard, until);
    }

    /// Adds the cost of a request to the average demand.
    pub(crate) fn record_demand(&mut self, cost: Millitokens, now: Instant) {
        let elapsed = now.saturating_duration_since(self.demand_updated_at).as_secs_f64();
        self.demand_updated_at = now;
        let decay = (-elapsed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand = self.demand * decay + cost as f64 / DEMAND_WINDOW.as_secs_f64();
    }

    /// Takes up to `cost` from borrowed tokens, those that expire first before others, then from
    /// own buckets if `use_own` is set.
    pub(crate) fn take(&mut self, cost: Millitokens, use_own: bool, now: Instant) -> Withdrawal {
        self.caches.retain(|cache| cache.expires_at > now && cache.amount > 0);
        self.caches.sort_by_key(|cache| cache.expires_at);
        let mut taken = Withdrawal { from_buckets: Vec::new(), from_caches: Vec::new() };
        let mut missing = cost;
        for cache in &mut self.caches {
            let amount = missing.min(cache.amount);
            cache.amount -= amount;
            missing -= amount;
            taken.from_caches.push(TokenCache { expires_at: cache.expires_at, amount });
        }
        if !use_own {
            return taken;
        }
        for (index, slice) in self.buckets.iter_mut() {
            let amount = slice.bucket.take(missing, now);
            slice.used |= amount > 0;
            missing -= amount;
            taken.from_buckets.push((*index, amount));
        }
        taken
    }

    /// Returns tokens to where they were taken from. Borrowed tokens that have expired are dropped.
    pub(crate) fn put_back(&mut self, taken: Withdrawal, now: Instant) {
        for (index, amount) in taken.from_buckets {
            if let Some(slice) = self.buckets.get_mut(&index) {
                slice.bucket.put_back(amount);
            }
        }
        let returned = taken.from_caches.into_iter();
        self.caches.extend(returned.filter(|cache| cache.amount > 0 && cache.expires_at > now));
    }

    /// Returns the number of millitokens that can be spent here without borrowing.
    fn level(&mut self, use_own: bool, now: Instant) -> Millitokens {
        let cached: Millitokens = self.caches.iter().map(|cache| cache.amount).sum();
        let buckets = self.buckets.iter_mut();
        let own: Millitokens = buckets.map(|(_, slice)| slice.bucket.level(now)).sum();
        if use_own { cached + own } else { cached }
    }

    /// Returns the time after which a refused request should be retried: until an own bucket holds
    /// `missing` millitokens or another owner may lend again, whichever is sooner.
    pub(crate) fn retry_after(
        &mut self,
        missing: Millitokens,
        use_own: bool,
        now: Instant,
    ) -> Duration {
        let buckets = self.buckets.iter_mut();
        let own = buckets.map(|(_, slice)| slice.bucket.time_until(missing, now)).min();
        let own = own.filter(|_| use_own);
        let others =
            self.exhausted_until.values().map(|until| until.saturating_duration_since(now)).min();
        let wait = own.into_iter().chain(others).min().unwrap_or(MIN_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns the owners of the team's other slices that may have tokens, by descending expected
    /// level.
    ///
    /// With one fixed order, all hosts would empty the first owner while the last one is never
    /// asked, and the team would be refused with part of its rate unspent. Owners that were never
    /// asked come first, in an order that differs from host to host.
    fn lenders(
        &self,
        team: &Name,
        shards: &ShardMap,
        policy: &LedgerPolicy,
        now: Instant,
    ) -> Vec<Lender> {
        let count = self.limits.slice_count(policy);
        let others =
            slice_shards(team, count, policy.shards).filter(|shard| !shards.is_mine(*shard));
        let available = others
            .filter(|shard| self.exhausted_until.get(shard).is_none_or(|until| *until <= now));
        let owned = available
            .filter_map(|shard| Some(Lender { shard, owner: shards.owner(shard)?.clone() }));
        let mut lenders: Vec<Lender> = owned.collect();
        rank_by_score(&shards.me().address, &mut lenders, |lender| &lender.owner.address);
        lenders.sort_by_key(|lender| Reverse(self.expected_level(lender.shard, policy, now)));
        lenders.truncate(policy.borrow_attempts);
        lenders
    }

    /// Estimates the tokens that an owner has now from its last response and the rate of a slice.
    fn expected_level(&self, shard: u32, policy: &LedgerPolicy, now: Instant) -> Millitokens {
        let Some(last) = self.lender_levels.get(&shard) else { return Millitokens::MAX };
        let slice = self.limits.slice(0, policy);
        let elapsed = now.saturating_duration_since(last.at).as_millis() as Millitokens;
        (last.level + slice.rate * elapsed / 1_000).min(slice.burst)
    }

    /// Returns how much to borrow beyond the current request. 0 if that is less than one token: the
    /// next request is then far off, and tokens that are not spent in time are lost.
    fn prefetch_amount(&self, policy: &LedgerPolicy) -> Millitokens {
        let prefetch = (self.demand * policy.prefetch_window.as_secs_f64()) as Millitokens;
        if prefetch < TOKEN { 0 } else { prefetch }
    }

    /// Plans to borrow `missing` for a request and more for those that follow. `None` if no owner
    /// may have tokens.
    pub(crate) fn plan_borrow(
        &self,
        team: &Name,
        missing: Millitokens,
        shards: &ShardMap,
        policy: &LedgerPolicy,
        now: Instant,
    ) -> Option<BorrowPlan> {
        let lenders = self.lenders(team, shards, policy, now);
        let prefetch = self.prefetch_amount(policy);
        (!lenders.is_empty()).then_some(BorrowPlan { lenders, missing, prefetch })
    }

    /// Plans to borrow before the tokens here run out, so that requests don't have to wait for a
    /// round trip.
    pub(crate) fn plan_prefetch(
        &mut self,
        team: &Name,
        shards: &ShardMap,
        policy: &LedgerPolicy,
        use_own: bool,
        now: Instant,
    ) -> Option<BorrowPlan> {
        let prefetch = self.prefetch_amount(policy);
        if prefetch < TOKEN || self.next_prefetch_at > now || self.level(use_own, now) > prefetch {
            return None;
        }
        let lenders = self.lenders(team, shards, policy, now);
        let first = lenders.into_iter().next()?;
        // Leaves time for the response before more is borrowed in advance. A request that lacks
        // tokens borrows all the same: it would otherwise be refused while the tokens are on their
        // way.
        self.next_prefetch_at = now + MIN_LOAN_VALIDITY;
        Some(BorrowPlan { lenders: vec![first], missing: 0, prefetch })
    }
}
