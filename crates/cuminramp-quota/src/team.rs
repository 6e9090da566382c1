//! One team on one host: its buckets, what it borrowed, and what it knows of other owners.

use std::cmp::Reverse;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap, rank_by_score};
use tokio::time::Instant;

use crate::ledger::{
    BorrowPlan, LEAST_VALID, LEAST_WAIT, LedgerPolicy, Lender, LoanAnswer, MOST_WAIT,
};
use crate::limits::{EffectiveLimits, SliceLimits};
use crate::{Millitokens, ShardMap, ShardRecord, TOKEN, TeamLimits, TokenBucket, slice_shards};

/// Demand is averaged over about this time.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// What an owner had left at some moment.
#[derive(Clone, Copy, Debug)]
struct LenderHint {
    left: Millitokens,
    at: Instant,
}

/// Borrowed tokens that may still be spent.
#[derive(Clone, Copy, Debug)]
struct TokenCache {
    until: Instant,
    amount: Millitokens,
}

/// One team on this host.
#[derive(Debug)]
pub(crate) struct TeamQuota {
    pub(crate) limits: EffectiveLimits,
    /// By slice: the bucket and the epoch of the shard under which it was filled.
    pub(crate) buckets: SortedMap<u32, SliceBucket>,
    caches: Vec<TokenCache>,
    /// By shard: before this moment its owner has none to lend.
    dry: SortedMap<u32, Instant>,
    /// By shard: what its owner had left when it was last asked.
    hints: SortedMap<u32, LenderHint>,
    /// Millitokens a second asked for here, averaged.
    demand: f64,
    demand_at: Instant,
    /// Until then nothing more is asked for ahead.
    ahead_until: Instant,
    pub(crate) used_at: Instant,
}

#[derive(Debug)]
pub(crate) struct SliceBucket {
    pub(crate) epoch: u64,
    limits: SliceLimits,
    pub(crate) bucket: TokenBucket,
    /// Whether anything of it was spent or lent.
    pub(crate) used: bool,
}

/// What was taken for one request, and from where.
pub(crate) struct Taken {
    from_buckets: Vec<(u32, Millitokens)>,
    from_caches: Vec<TokenCache>,
}

impl Taken {
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
            dry: SortedMap::new(),
            hints: SortedMap::new(),
            demand: 0.0,
            demand_at: now,
            ahead_until: now,
            used_at: now,
        }
    }

    /// Has a bucket for a slice of an own shard.
    ///
    /// What an earlier owner left unspent is unknown unless it passed it on, and it may have spent
    /// and lent all just now: so the bucket starts empty, and only once those loans have ended. Only
    /// the first owner of all starts full.
    pub(crate) fn hold_slice(
        &mut self,
        index: u32,
        record: &ShardRecord,
        limits: SliceLimits,
        valid: Duration,
        now: Instant,
    ) {
        let make = || {
            let taken_at = record.since.unwrap_or(now);
            let (since, is_full) = match record.inherited {
                Some(inherited) => (inherited.since, inherited.is_full),
                None => (taken_at + valid, record.epoch == 1),
            };
            let (rate, burst) = (limits.rate, limits.burst);
            let bucket = if is_full {
                TokenBucket::full(rate, burst, now)
            } else {
                TokenBucket::empty(rate, burst, since)
            };
            SliceBucket { epoch: record.epoch, limits, bucket, used: false }
        };
        let slice = self.buckets.get_or_insert_with(index, make);
        if slice.epoch != record.epoch {
            *slice = make();
        }
        if slice.limits != limits {
            slice.bucket.set_limits(limits.rate, limits.burst, now);
            slice.limits = limits;
        }
    }

    /// An owner answered a wish for tokens that left this host at `asked_at`.
    pub(crate) fn note_answer(
        &mut self,
        shard: u32,
        answer: LoanAnswer,
        asked_at: Instant,
        now: Instant,
    ) {
        self.hints.insert(shard, LenderHint { left: answer.left, at: now });
        let until = asked_at + answer.valid;
        if answer.amount > 0 && until > now {
            self.caches.push(TokenCache { until, amount: answer.amount });
        } else {
            self.note_dry(shard, now + answer.wait);
        }
    }

    /// Before this moment an owner has none to lend.
    pub(crate) fn note_dry(&mut self, shard: u32, until: Instant) {
        self.dry.insert(shard, until);
    }

    pub(crate) fn note_demand(&mut self, cost: Millitokens, now: Instant) {
        let passed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand_at = now;
        let kept = (-passed / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand = self.demand * kept + cost as f64 / DEMAND_WINDOW.as_secs_f64();
    }

    /// Takes from the stash that ends first, then from own buckets.
    pub(crate) fn take(&mut self, cost: Millitokens, trusted: bool, now: Instant) -> Taken {
        self.caches.retain(|cache| cache.until > now && cache.amount > 0);
        self.caches.sort_by_key(|cache| cache.until);
        let mut taken = Taken { from_buckets: Vec::new(), from_caches: Vec::new() };
        let mut missing = cost;
        for cache in &mut self.caches {
            let amount = missing.min(cache.amount);
            cache.amount -= amount;
            missing -= amount;
            taken.from_caches.push(TokenCache { until: cache.until, amount });
        }
        if !trusted {
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

    pub(crate) fn put_back(&mut self, taken: Taken, now: Instant) {
        for (index, amount) in taken.from_buckets {
            if let Some(slice) = self.buckets.get_mut(&index) {
                slice.bucket.put_back(amount);
            }
        }
        let returned = taken.from_caches.into_iter();
        self.caches.extend(returned.filter(|cache| cache.amount > 0 && cache.until > now));
    }

    fn level(&mut self, trusted: bool, now: Instant) -> Millitokens {
        let cached: Millitokens = self.caches.iter().map(|cache| cache.amount).sum();
        let buckets = self.buckets.iter_mut();
        let own: Millitokens = buckets.map(|(_, slice)| slice.bucket.level(now)).sum();
        if trusted { cached + own } else { cached }
    }

    pub(crate) fn wait_for(
        &mut self,
        missing: Millitokens,
        trusted: bool,
        now: Instant,
    ) -> Duration {
        let buckets = self.buckets.iter_mut();
        let own = buckets.map(|(_, slice)| slice.bucket.time_until(missing, now)).min();
        let own = own.filter(|_| trusted);
        let others = self.dry.values().map(|until| until.saturating_duration_since(now)).min();
        let wait = own.into_iter().chain(others).min().unwrap_or(LEAST_WAIT);
        wait.clamp(LEAST_WAIT, MOST_WAIT)
    }

    /// Owners of this team's other slices that may have tokens, the richest first.
    ///
    /// Asked in one fixed order, the first owner would be drained by all hosts while the last one is
    /// never asked, and the team would be refused with a part of its rate unspent. Owners that were
    /// never asked come first, each host beginning with another one.
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
        let ready = others.filter(|shard| self.dry.get(shard).is_none_or(|until| *until <= now));
        let owned =
            ready.filter_map(|shard| Some(Lender { shard, owner: shards.owner(shard)?.clone() }));
        let mut lenders: Vec<Lender> = owned.collect();
        rank_by_score(&shards.me().address, &mut lenders, |lender| &lender.owner.address);
        lenders.sort_by_key(|lender| Reverse(self.expected_level(lender.shard, policy, now)));
        lenders.truncate(policy.borrow_attempts);
        lenders
    }

    /// What an owner probably has now.
    fn expected_level(&self, shard: u32, policy: &LedgerPolicy, now: Instant) -> Millitokens {
        let Some(hint) = self.hints.get(&shard) else { return Millitokens::MAX };
        let slice = self.limits.slice(0, policy);
        let passed = now.saturating_duration_since(hint.at).as_millis() as Millitokens;
        (hint.left + slice.rate * passed / 1_000).min(slice.burst)
    }

    /// What to ask for beyond the request at hand: nothing where the next one is far off, since what
    /// is not spent in time is lost.
    fn ahead(&self, policy: &LedgerPolicy) -> Millitokens {
        let ahead = (self.demand * policy.borrow_ahead.as_secs_f64()) as Millitokens;
        if ahead < TOKEN { 0 } else { ahead }
    }

    pub(crate) fn plan_borrow(
        &self,
        team: &Name,
        missing: Millitokens,
        shards: &ShardMap,
        policy: &LedgerPolicy,
        now: Instant,
    ) -> Option<BorrowPlan> {
        let lenders = self.lenders(team, shards, policy, now);
        let ahead = self.ahead(policy);
        (!lenders.is_empty()).then_some(BorrowPlan { lenders, missing, ahead })
    }

    /// Plans to borrow before the tokens here run out, so that no request waits for a round trip.
    pub(crate) fn plan_ahead(
        &mut self,
        team: &Name,
        shards: &ShardMap,
        policy: &LedgerPolicy,
        trusted: bool,
        now: Instant,
    ) -> Option<BorrowPlan> {
        let ahead = self.ahead(policy);
        if ahead < TOKEN || self.ahead_until > now || self.level(trusted, now) > ahead {
            return None;
        }
        let lenders = self.lenders(team, shards, policy, now);
        let first = lenders.into_iter().next()?;
        // Its answer is awaited before more is asked for ahead. A request that lacks tokens asks all
        // the same: it would be refused while the tokens are on their way.
        self.ahead_until = now + LEAST_VALID;
        Some(BorrowPlan { lenders: vec![first], missing: 0, ahead })
    }
}
