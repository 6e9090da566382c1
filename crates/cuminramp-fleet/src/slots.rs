//! Slots of targets, granted by one host for each group of targets.
//!
//! Targets admit work in order of arrival, so a request is in time only if a slot is free when it arrives.
//! If every host chose targets by itself, it would need the current load of all other hosts, and the
//! updates between hosts would grow with the square of the fleet. Therefore the targets of a pool in one
//! availability zone form a group, which one alive host owns. The owner grants the group's slots, collects
//! the outcomes of the sends, and decides which batch items are preempted. It keeps soft state only: hosts
//! report to it what they have in flight, and report to the next owner as soon as they find this one silent.
//!
//! - [`SlotSearch`] asks the owners of a pool's groups for a slot, one after the other;
//! - [`OwnerTable`] selects the owner of each group, and excludes owners that were found silent;
//! - [`SlotLedger`] records what hosts have in flight in the groups that this host owns, and grants slots;
//! - [`GrantSequence`] tracks which grants of an owner a host may still use;
//! - [`ReportTimer`] schedules the reports of what a host has in flight.

mod borrowed;
mod grants;
mod ledger;
mod message;
mod owners;
mod reports;
mod search;

pub use borrowed::BorrowedTargets;
pub use grants::GrantSequence;
pub use ledger::{GroupShare, ItemGrant, ItemLimit, SlotLedger};
pub use message::{
    OwnerFailure, PaceReport, SlotCommand, SlotGroup, SlotOutcome, SlotReport, SlotRequest,
    SlotResponse, TargetPaceReport, VersionedSlotRequest,
};
pub use owners::OwnerTable;
pub use reports::ReportTimer;
pub(crate) use search::retry_after;
pub use search::{SearchLimits, SearchStep, SlotSearch};

#[cfg(test)]
mod tests;
