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
//! - [`OwnerTable`] says which host owns a group, and which owners were found silent;
//! - [`SlotLedger`] is what an owner knows and decides;
//! - [`ReportTimer`] says when a host reports what it has in flight.

mod grants;
mod ledger;
mod message;
mod owners;
mod reports;
mod search;

pub use grants::GrantSequence;
pub use ledger::{GroupShare, ItemGrant, ItemLimit, SlotLedger};
pub use message::{
    OwnerFailure, SlotCommand, SlotGroup, SlotOutcome, SlotReport, SlotRequest, SlotResponse,
};
pub use owners::OwnerTable;
pub use reports::ReportTimer;
pub(crate) use search::retry_after;
pub use search::{SearchLimits, SearchStep, SlotSearch};

#[cfg(test)]
mod tests;
