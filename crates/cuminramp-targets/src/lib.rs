//! Choice of target, ejection, retries, and the windows of batch.
//!
//! Everything here is a decision: it takes what is known and the time, and returns what to do.
//!
//! - [`TargetTable`] chooses a target by expected wait and prefix, and sets failing ones aside.
//! - [`decide_retry`] is the one place that says what follows a failed attempt.
//! - [`CrashTable`] keeps a request that crashes targets from taking more than a few.
//! - [`FairQueue`] serves waiting teams by weight.
//! - [`OnlinePacking`] keeps online work to few targets while batch has work for the rest.
//! - [`BatchWindow`] says how much batch work an engine may have.

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
