//! Routes, pools, teams and keys as numbered generations, and the index that matches requests to
//! routes.
//!
//! Operators write [`Declarations`]. Their differences from the generation in force become a change
//! set, which is stored in the table under the next generation number. [`Configuration`] is the
//! generation in force on a host. It is replaced only by the change set of the next generation or by
//! a snapshot of a later one, so a host never returns to an older generation.

mod changes;
mod configuration;
mod declarations;
mod generation_log;
mod index;
mod withdrawals;

pub use changes::plan_changes;
pub use configuration::{ApplyError, Configuration, KeyGrant};
pub use declarations::{
    Charge, DeclarationError, Declarations, Pool, PoolKind, Route, Target, Team, parse_declarations,
};
pub use generation_log::{CatchUp, GenerationLog};
pub use index::{RouteIndex, RouteQuery};
pub use withdrawals::WithdrawalSet;
