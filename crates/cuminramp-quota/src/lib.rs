//! Rate and burst limits over all hosts, by shards, ownership and lent tokens.
//!
//! A team's rate and burst are divided into equal slices, and each slice belongs to a shard. A row
//! of the table records which incarnation of which host owns a shard, and only that
//! incarnation spends or lends the shard's tokens. The slices add up to the team's limit and each
//! is enforced by one token bucket, so the team can't exceed its limit even if messages are lost,
//! delayed or repeated.
//!
//! - [`ShardMap`] holds the rows and plans claims and moves of ownership.
//! - [`QuotaLedger`] holds the buckets, admits requests, lends tokens and credits borrowed ones.
//! - [`TokenBucket`] holds the tokens of one slice and tracks the lent tokens that may still be
//!   spent.
//!
//! `docs/design/quota.md` compares the alternatives; `models/tokens.pml` models the protocol for
//! the model checker.

mod baseline;
mod bucket;
mod handover;
mod ledger;
mod limits;
mod shards;
mod team;

pub use baseline::StaticSplit;
pub use bucket::TokenBucket;
pub use ledger::{
    Admission, BorrowPlan, LedgerPolicy, Lender, LoanRequest, LoanResponse, QuotaLedger,
    TickOutcome,
};
pub use limits::{TeamLimits, slice_count, slice_shards};
pub use shards::{HandoverState, ShardMap, ShardMove, ShardRecord};

/// Thousandths of a token. An integer, so that rounding never creates tokens.
pub type Millitokens = u64;

/// One token, in millitokens.
pub const TOKEN: Millitokens = 1_000;
