//! Which hosts are alive, and which of them a caller should use.
//!
//! [`MemberTable`] probes one host after another, lets others try where a probe fails, and passes
//! on what it learns with the probes it sends anyway, so that its cost stays flat as hosts grow.
//! Suspicion changes routing at once and ownership never. [`SteeringPlanner`] names the hosts that
//! a team's callers should use.
//!
//! `docs/design/membership.md` weighs the ways.

mod member;
mod steering;
mod table;

pub use member::{Member, MemberStatus};
pub use steering::{SteeringAnswer, SteeringPlanner};
pub use table::{ListedHost, MemberAction, MemberPolicy, MemberTable};
