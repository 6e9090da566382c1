//! Admission of online requests while all slots of a group are taken.
//!
//! The owner of a group queues the requests that wait for a slot there, and decides which of them gets the
//! next one. Without the queue, requests wait at targets in order of arrival, and the team that sends most
//! takes most of the slots. A group has a queue only if its targets report their pace: otherwise, the owner
//! can't estimate when slots become free.
//!
//! - [`AdmissionQueue`] orders the waiting requests of a group and rejects those that can't be served in
//!   time;
//! - [`ReturnSchedule`] spreads the retries of rejected requests over the capacity that becomes free.

mod message;
mod order;
mod queue;
mod returns;
mod shares;
mod weights;

pub use message::{AdmissionRequest, AdmissionWithdrawal, RejectionReason, ShareReport};
pub use queue::{
    AdmissionQueue, GroupCapacity, QueueDecision, QueueStatus, RejectedRequest, WaitingRequest,
};
pub use returns::ReturnSchedule;
pub use shares::TeamShare;
pub use weights::TeamWeights;

#[cfg(test)]
mod tests;
