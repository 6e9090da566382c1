//! Decides the next step after each attempt to make a submitted job durable.
//!
//! A write whose response is lost may still be applied seconds later if its condition holds then. Until
//! the job's row is read, the outcome is unknown: the job may have been accepted.

/// The row of a submitted job, as last read from the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FoundJob {
    /// No row of the job was read.
    Missing,
    /// This call wrote the row.
    Own,
    /// Another call wrote the row, at this host or at another one.
    Others,
}

/// State of a submission from which the next step is decided.
#[derive(Clone, Copy, Debug)]
pub struct AcceptanceView {
    /// The job's row in the table.
    pub found: FoundJob,
    /// Tokens of the team's unfinished items on the route. Includes this job's once its row was read.
    pub waiting: u64,
    /// Tokens of this job.
    pub tokens: u64,
    /// Maximum number of waiting tokens, this job's included; 0 means no limit.
    pub limit: u64,
    /// Whether the table was read after the last write of this call.
    pub is_fresh: bool,
    /// Whether a write of this call may still be applied.
    pub is_unsettled: bool,
    /// Whether there is no time left for another attempt before the caller stops waiting.
    pub is_time_up: bool,
}

/// Next step of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptanceStep {
    /// Answer that the job is accepted: this call made it durable.
    Accepted,
    /// Answer that the job was already accepted: another call made it durable.
    Repeated,
    /// Read the table, then decide again.
    Refresh,
    /// Write the job's row.
    Write,
    /// Refuse the job because the limit is reached: it was not run and never will be.
    RefuseFull,
    /// Refuse the job because the table could not be read or written: it was not run and never will be.
    RefuseUnavailable,
    /// Answer that the outcome is unknown: the job may have been accepted.
    LeaveOpen,
}

impl AcceptanceView {
    /// Returns the next step.
    ///
    /// The job's own row is checked first. Counted in `waiting` as if it were other work, it would use
    /// up the capacity that the job itself needs, and a job that runs would be refused as "not run".
    /// A caller that then submits the same work under another name would get it done twice.
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
            return self.refuse_or_leave_open(AcceptanceStep::RefuseUnavailable);
        }
        let has_capacity = self.limit == 0 || self.waiting + self.tokens <= self.limit;
        match (has_capacity, self.is_fresh) {
            (true, _) => AcceptanceStep::Write,
            // The last read may be out of date, so the table is read again before a job is refused.
            (false, false) => AcceptanceStep::Refresh,
            (false, true) => self.refuse_or_leave_open(AcceptanceStep::RefuseFull),
        }
    }

    /// Returns the next step after the table could not be read.
    pub fn after_failed_read(&self) -> AcceptanceStep {
        self.refuse_or_leave_open(AcceptanceStep::RefuseUnavailable)
    }

    /// Returns `refusal`, unless a pending write may still be applied: a refusal promises that the job
    /// never runs.
    fn refuse_or_leave_open(&self, refusal: AcceptanceStep) -> AcceptanceStep {
        if self.is_unsettled { AcceptanceStep::LeaveOpen } else { refusal }
    }
}

#[cfg(test)]
mod tests;
