//! Slots of targets, handed out by one host for each group of targets.
//!
//! Targets admit in order of arrival, so a request is in time only where a slot is free when it comes.
//! Did every host choose by itself, each would need the load of all others at every moment, and the
//! news that they owe each other would grow with the square of the fleet. So the targets of a pool in
//! one availability zone form a group, and one live host owns it: it hands out the slots, sees what
//! came of them, and says which batch items give way. What it knows is soft: hosts report to it what
//! they have in flight, and to the next owner as soon as they find this one silent.
//!
//! - [`SlotSearch`] asks the owners of a pool's groups one after the other;
//! - [`OwnerBook`] says which host owns a group, and which owners were found silent;
//! - [`SlotLedger`] is what an owner knows and decides;
//! - [`ReportTimes`] says when a host reports what it has in flight.

mod grants;
mod ledger;
mod message;
mod owners;
mod reports;
mod search;

pub use grants::GrantNumbers;
pub use ledger::{GroupShare, ItemGrant, ItemLimit, SlotLedger};
pub use message::{OwnerClaim, SlotAnswer, SlotAsk, SlotGroup, SlotOrder, SlotOutcome, SlotReport};
pub use owners::OwnerBook;
pub use reports::ReportTimes;
pub(crate) use search::return_after;
pub use search::{SearchNeed, SearchStep, SlotSearch};

#[cfg(test)]
mod tests;
