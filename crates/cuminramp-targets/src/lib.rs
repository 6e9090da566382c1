//! Target selection, outlier ejection, retries, and batch windows.
//!
//! The code in this crate does no I/O and reads no clock: each call gets the current time and the
//! state that it needs, and returns a decision.
//!
//! - [`TargetTable`] chooses a target by expected wait and prompt prefix, and ejects failing ones.
//! - [`decide_retry`] is the one place that decides what follows a failed attempt.
//! - [`CrashTable`] limits how many targets a poison request can crash.
//! - [`FairQueue`] serves waiting teams by weight.
//! - [`OnlinePacking`] packs online work onto few targets while batch work is open for the rest.
//! - [`BatchWindow`] limits the batch requests in flight on a target.

mod choice;
mod crashes;
mod fair_queue;
mod packing;
mod retry;
mod window;

pub use choice::{
    AttemptEnd, ChoiceQuery, ChoiceReason, LoadSnapshot, TargetChoice, TargetPolicy, TargetSpec,
    TargetTable, WorkKind,
};
pub use crashes::CrashTable;
pub use fair_queue::FairQueue;
pub use packing::OnlinePacking;
pub use retry::{
    AttemptFailure, FailureStage, RequestTraits, RetryBudget, RetryDecision, decide_retry,
    execution_after,
};
pub use window::{BatchWindow, WindowPolicy};
