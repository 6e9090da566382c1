//! Routes, pools, teams and keys as numbered generations, and the planner that reads them.
//!
//! Operators write [`Declarations`]; what differs from the generation in force becomes a change
//! set, which the table accepts under the next number. [`Configuration`] is what a host has in
//! force: it only ever takes the change set that follows its own generation, or a snapshot of a
//! higher one, so it never goes back.

mod changes;
mod configuration;
mod declarations;
mod generation_log;
mod planner;
mod withdrawals;

pub use changes::plan_changes;
pub use configuration::{ApplyError, Configuration, KeyGrant};
pub use declarations::{
    Charge, DeclarationError, Declarations, Pool, PoolKind, Route, Target, Team, parse_declarations,
};
pub use generation_log::{CatchUp, GenerationLog};
pub use planner::{RoutePlanner, RouteQuery};
pub use withdrawals::WithdrawalSet;
