//! Rate and burst over all hosts: shards, rights and tokens.
//!
//! A team's rate and burst are cut into equal slices, and each slice belongs to a shard. A row of
//! the table says which run of which host owns a shard; only that run spends the shard's tokens.
//! Since the slices add up to the team's limit and each is kept by one token bucket, the team can't
//! exceed its limit, whatever messages are lost, late or repeated.
//!
//! - [`ShardMap`] holds the rows and plans claims and moves of ownership.
//! - [`QuotaLedger`] holds the buckets, admits requests, lends tokens and credits borrowed ones.
//! - [`TokenBucket`] is one slice, with the tokens that were lent and may still be spent.
//!
//! `docs/design/quota.md` weighs the ways; `models/tokens.pml` checks the protocol.

mod allotment;
mod baseline;
mod bucket;
mod handover;
mod ledger;
mod shards;
mod team;

pub use allotment::{TeamLimits, slice_count, slice_shards};
pub use baseline::StaticSplit;
pub use bucket::TokenBucket;
pub use ledger::{
    Admission, BorrowPlan, LedgerPolicy, Lender, LoanAnswer, LoanRequest, QuotaLedger, TickOutcome,
};
pub use shards::{Inheritance, ShardMap, ShardMove, ShardRecord};

/// A thousandth of a token; whole numbers, so that no rounding ever mints one.
pub type Millitokens = u64;

/// One token.
pub const TOKEN: Millitokens = 1_000;
