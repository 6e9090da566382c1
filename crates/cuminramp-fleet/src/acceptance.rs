//! What follows each try to make a job durable.
//!
//! A write whose answer is lost may take effect seconds later, as long as its condition still holds.
//! Until the job's row is seen, nothing can be said of the job but that it may have been accepted.

/// What the table says of a job that is being handed in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoundJob {
    /// No row of it was seen.
    Missing,
    /// The row that this call writes.
    Own,
    /// A row that another call wrote, here or at another host.
    Others,
}

/// What is known before a step.
#[derive(Clone, Copy, Debug)]
pub struct AcceptanceView {
    /// The job's row.
    pub found: FoundJob,
    /// Tokens of unfinished items that the team has on the route, this job's included once its row
    /// is seen.
    pub waiting: u64,
    /// Tokens of this job.
    pub tokens: u64,
    /// How many may wait; 0 where there is no limit.
    pub limit: u64,
    /// The table was read after the last write of this call.
    pub is_fresh: bool,
    /// A write of this call may still take effect.
    pub is_unsettled: bool,
    /// The caller will not wait for another try.
    pub is_time_up: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptanceStep {
    /// The job is durable by this call.
    Accepted,
    /// The job is durable by another call.
    Repeated,
    /// Read the table, and decide again.
    Refresh,
    /// Write the job's row.
    Write,
    /// Refuse it for want of room: it was not run and never will be.
    RefuseFull,
    /// Refuse it, since the table could not be written: it was not run and never will be.
    RefuseUnavailable,
    /// Say that it may have been accepted.
    LeaveOpen,
}

impl AcceptanceView {
    /// Decides what follows.
    ///
    /// The job's own row comes first: counted as the work of others it would take the room from
    /// itself, and a job that runs would be called "not run". The caller notices that the same
    /// work, handed in again under another name, is done twice.
    ///
    /// ```
    /// use cuminramp_fleet::{AcceptanceStep, AcceptanceView, FoundJob};
    /// let view = AcceptanceView {
    ///     found: FoundJob::Missing,
    ///     waiting: 600,
    ///     tokens: 500,
    ///     limit: 1_000,
    ///     is_fresh: true,
    ///     is_unsettled: false,
    ///     is_time_up: false,
    /// };
    /// assert_eq!(view.next_step(), AcceptanceStep::RefuseFull);
    /// let late = AcceptanceView { found: FoundJob::Own, ..view };
    /// assert_eq!(late.next_step(), AcceptanceStep::Accepted);
    /// ```
    pub fn next_step(&self) -> AcceptanceStep {
        match self.found {
            FoundJob::Own => return AcceptanceStep::Accepted,
            FoundJob::Others => return AcceptanceStep::Repeated,
            FoundJob::Missing => {}
        }
        if self.is_time_up {
            return self.give_up(AcceptanceStep::RefuseUnavailable);
        }
        let has_room = self.limit == 0 || self.waiting + self.tokens <= self.limit;
        match (has_room, self.is_fresh) {
            (true, _) => AcceptanceStep::Write,
            // What is known may be a moment old; the table is asked before anything is refused.
            (false, false) => AcceptanceStep::Refresh,
            (false, true) => self.give_up(AcceptanceStep::RefuseFull),
        }
    }

    /// What becomes of the call when the table can't be read.
    pub fn after_failed_read(&self) -> AcceptanceStep {
        self.give_up(AcceptanceStep::RefuseUnavailable)
    }

    fn give_up(&self, refusal: AcceptanceStep) -> AcceptanceStep {
        if self.is_unsettled { AcceptanceStep::LeaveOpen } else { refusal }
    }
}

#[cfg(test)]
mod tests;
