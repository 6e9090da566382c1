//! A token bucket that accounts for tokens on loan to other hosts.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::Millitokens;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Tokens lent to another host, which may spend them until `expires_at`.
#[derive(Clone, Copy, Debug)]
struct Loan {
    expires_at: Instant,
    amount: Millitokens,
}

/// A token bucket with one slice of a team's rate and burst.
///
/// A lent token is debited here at once but may be spent by the borrower until the loan expires. If
/// the bucket refilled in the meantime, the lent token and its replacement could be spent at the
/// same instant, and the targets would see more requests in one second than burst and rate allow.
/// Hence tokens accrue only while the level plus all unexpired loans is below the burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: Millitokens,
    burst: Millitokens,
    level: Millitokens,
    /// Fraction of a millitoken that has accrued, in billionths of a millitoken.
    remainder: u128,
    updated_at: Instant,
    loans: VecDeque<Loan>,
    on_loan: Millitokens,
}

impl TokenBucket {
    /// Returns an empty bucket that refills at `rate` millitokens per second up to `burst`.
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
            updated_at: now,
            loans: VecDeque::new(),
            on_loan: 0,
        }
    }

    /// Returns a full bucket that refills at `rate` millitokens per second up to `burst`.
    pub fn full(rate: Millitokens, burst: Millitokens, now: Instant) -> Self {
        TokenBucket { level: burst, ..TokenBucket::empty(rate, burst, now) }
    }

    /// Sets rate and burst. Tokens above the new burst less the tokens on loan are discarded.
    pub fn set_limits(&mut self, rate: Millitokens, burst: Millitokens, now: Instant) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst.saturating_sub(self.on_loan));
    }

    /// Returns the number of millitokens in the bucket.
    pub fn level(&mut self, now: Instant) -> Millitokens {
        self.advance(now);
        self.level
    }

    /// Takes up to `amount` millitokens for immediate use and returns how many were taken.
    pub fn take(&mut self, amount: Millitokens, now: Instant) -> Millitokens {
        self.advance(now);
        let taken = amount.min(self.level);
        self.level -= taken;
        taken
    }

    /// Puts back unused tokens. They must come from a [`take`](Self::take) at the same instant.
    pub fn put_back(&mut self, amount: Millitokens) {
        self.level = (self.level + amount).min(self.burst.saturating_sub(self.on_loan));
    }

    /// Takes up to `amount` millitokens for another host, which may spend them until `validity` has
    /// passed on this host's clock. Returns how many were lent.
    pub fn lend(&mut self, amount: Millitokens, validity: Duration, now: Instant) -> Millitokens {
        let lent = self.take(amount, now);
        if lent > 0 {
            self.loans.push_back(Loan { expires_at: now + validity, amount: lent });
            self.on_loan += lent;
        }
        lent
    }

    /// Returns the number of millitokens that are lent and may still be spent.
    pub fn on_loan(&mut self, now: Instant) -> Millitokens {
        self.advance(now);
        self.on_loan
    }

    /// Adds the tokens that an earlier owner of the slice handed over: its level and its loans,
    /// which may be spent until `validity` has passed.
    pub fn add_handover(
        &mut self,
        level: Millitokens,
        on_loan: Millitokens,
        validity: Duration,
        now: Instant,
    ) {
        self.advance(now);
        if on_loan > 0 {
            self.loans.push_back(Loan { expires_at: now + validity, amount: on_loan });
            self.on_loan += on_loan;
        }
        self.level = (self.level + level).min(self.burst.saturating_sub(self.on_loan));
    }

    /// Returns the time until the bucket holds `amount` millitokens, provided that none are taken
    /// before; [`Duration::MAX`] if the rate is 0.
    pub fn time_until(&mut self, amount: Millitokens, now: Instant) -> Duration {
        self.advance(now);
        let missing = amount.saturating_sub(self.level);
        if self.rate == 0 {
            return Duration::MAX;
        }
        Duration::from_millis((missing * 1_000).div_ceil(self.rate))
    }

    /// Advances the bucket to `now`: adds accrued tokens and removes expired loans.
    fn advance(&mut self, now: Instant) {
        while let Some(loan) = self.loans.front().copied().filter(|loan| loan.expires_at <= now) {
            self.refill(loan.expires_at);
            self.loans.pop_front();
            self.on_loan -= loan.amount;
        }
        self.refill(now);
    }

    /// Adds the tokens that have accrued since the last update, up to the burst less the tokens on
    /// loan.
    fn refill(&mut self, now: Instant) {
        let nanos = now.saturating_duration_since(self.updated_at).as_nanos();
        if nanos == 0 {
            return;
        }
        let accrued = nanos * u128::from(self.rate) + self.remainder;
        let free = self.burst.saturating_sub(self.on_loan).saturating_sub(self.level);
        let inflow = accrued / NANOS_PER_SECOND;
        if inflow >= u128::from(free) {
            self.level += free;
            self.remainder = 0;
        } else {
            self.level += inflow as Millitokens;
            self.remainder = accrued % NANOS_PER_SECOND;
        }
        self.updated_at = now;
    }
}

#[cfg(test)]
mod tests;
