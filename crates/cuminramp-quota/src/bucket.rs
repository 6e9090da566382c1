//! A token bucket that accounts for tokens on loan.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::Millitokens;

/// Nanoseconds in a second.
const SECOND_NANOS: u128 = 1_000_000_000;

/// Tokens that left for another host and may still be spent there.
#[derive(Clone, Copy, Debug)]
struct Loan {
    until: Instant,
    amount: Millitokens,
}

/// One slice of a team's rate and burst.
///
/// A lent token is debited here at once but spent elsewhere a little later. Were the bucket to fill
/// up again meanwhile, both could be spent in one instant, and the team would exceed its burst; one
/// would notice more requests at the targets in one second than burst and rate allow. So the level
/// and the loans that may still be spent stay under the burst together.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: Millitokens,
    burst: Millitokens,
    level: Millitokens,
    /// Parts of a millitoken, in its billionths, that have flowed in.
    remainder: u128,
    at: Instant,
    loans: VecDeque<Loan>,
    on_loan: Millitokens,
}

impl TokenBucket {
    /// An empty bucket that fills by `rate` millitokens a second up to `burst`.
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")] async fn main() {
    /// use cuminramp_quota::TokenBucket;
    /// let now = tokio::time::Instant::now();
    /// let mut bucket = TokenBucket::empty(1_000, 5_000, now);
    /// assert_eq!(bucket.take(1_000, now), 0);
    /// assert_eq!(bucket.take(1_000, now + std::time::Duration::from_secs(1)), 1_000);
    /// # }
    /// ```
    pub fn empty(rate: Millitokens, burst: Millitokens, now: Instant) -> Self {
        TokenBucket {
            rate,
            burst,
            level: 0,
            remainder: 0,
            at: now,
            loans: VecDeque::new(),
            on_loan: 0,
        }
    }

    /// A full bucket.
    pub fn full(rate: Millitokens, burst: Millitokens, now: Instant) -> Self {
        TokenBucket { level: burst, ..TokenBucket::empty(rate, burst, now) }
    }

    /// Changes rate and burst; what is above the new burst is lost.
    pub fn set_limits(&mut self, rate: Millitokens, burst: Millitokens, now: Instant) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst.saturating_sub(self.on_loan));
    }

    /// How many millitokens are there.
    pub fn level(&mut self, now: Instant) -> Millitokens {
        self.advance(now);
        self.level
    }

    /// Takes up to `amount` for use at once; returns how many it got.
    pub fn take(&mut self, amount: Millitokens, now: Instant) -> Millitokens {
        self.advance(now);
        let taken = amount.min(self.level);
        self.level -= taken;
        taken
    }

    /// Puts back what [`take`](Self::take) gave in the same step and was not used.
    pub fn put_back(&mut self, amount: Millitokens) {
        self.level = (self.level + amount).min(self.burst.saturating_sub(self.on_loan));
    }

    /// Takes up to `amount` for another host, which may spend it until `valid` has passed here.
    pub fn lend(&mut self, amount: Millitokens, valid: Duration, now: Instant) -> Millitokens {
        let lent = self.take(amount, now);
        if lent > 0 {
            self.loans.push_back(Loan { until: now + valid, amount: lent });
            self.on_loan += lent;
        }
        lent
    }

    /// How many millitokens are lent and may still be spent.
    pub fn on_loan(&mut self, now: Instant) -> Millitokens {
        self.advance(now);
        self.on_loan
    }

    /// Takes over the tokens of an earlier owner of the slice: its level, and its loans that may be
    /// spent until `valid` has passed.
    pub fn take_over(
        &mut self,
        level: Millitokens,
        on_loan: Millitokens,
        valid: Duration,
        now: Instant,
    ) {
        self.advance(now);
        if on_loan > 0 {
            self.loans.push_back(Loan { until: now + valid, amount: on_loan });
            self.on_loan += on_loan;
        }
        self.level = (self.level + level).min(self.burst.saturating_sub(self.on_loan));
    }

    /// How long until `amount` is there, if nobody else takes any.
    pub fn wait_for(&mut self, amount: Millitokens, now: Instant) -> Duration {
        self.advance(now);
        let missing = amount.saturating_sub(self.level);
        if self.rate == 0 {
            return Duration::MAX;
        }
        Duration::from_millis((missing * 1_000).div_ceil(self.rate))
    }

    /// Lets time pass: tokens flow in, and loans end when they can't be spent any more.
    fn advance(&mut self, now: Instant) {
        while let Some(loan) = self.loans.front().copied().filter(|loan| loan.until <= now) {
            self.fill_until(loan.until);
            self.loans.pop_front();
            self.on_loan -= loan.amount;
        }
        self.fill_until(now);
    }

    fn fill_until(&mut self, now: Instant) {
        let nanos = now.saturating_duration_since(self.at).as_nanos();
        if nanos == 0 {
            return;
        }
        let flow = nanos * u128::from(self.rate) + self.remainder;
        let room = self.burst.saturating_sub(self.on_loan).saturating_sub(self.level);
        let whole = flow / SECOND_NANOS;
        if whole >= u128::from(room) {
            self.level += room;
            self.remainder = 0;
        } else {
            self.level += whole as Millitokens;
            self.remainder = flow % SECOND_NANOS;
        }
        self.at = now;
    }
}

#[cfg(test)]
mod tests;
