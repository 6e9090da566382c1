//! Which hosts are alive, and which of them a caller should use.
//!
//! [`MemberTable`] implements a SWIM-style protocol: it probes one host at a time, asks other hosts to
//! probe a host that did not answer, and sends status updates along with the probes. The cost per host
//! therefore stays the same as the number of hosts grows. Suspicion of a host changes routing at once
//! but never changes the ownership of shards. [`SteeringPlanner`] chooses the hosts that a team's
//! callers should use.
//!
//! `docs/design/membership.md` compares the alternatives.

mod member;
mod steering;
mod table;

pub use member::{Member, MemberStatus};
pub use steering::{SteeringPlanner, SteeringResponse};
pub use table::{ListedHost, MemberAction, MemberPolicy, MemberTable};
