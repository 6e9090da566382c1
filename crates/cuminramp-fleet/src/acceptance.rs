//! Decides the next step after each attempt to make a submitted job durable.
//!
//! A write whose response is lost may still be applied seconds later if its condition holds then. Until
//! the job's row is read, the outcome is unknown: the job may have been accepted.

/// Submission call that wrote the row of a job, as last read from the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobRowWriter {
    /// None: no row of the job was read.
    Missing,
    /// This call wrote the row.
    Own,
    /// Another call wrote the row, at this host or at another one.
    Other,
    /// A call of another team, which uses the same ID, wrote the row.
    OtherTeam,
}

/// State of a submission from which the next step is decided.
#[derive(Clone, Copy, Debug)]
pub struct AcceptanceView {
    /// Writer of the job's row in the table.
    pub row_writer: JobRowWriter,
    /// Tokens of the team's unfinished items on the route. Includes this job's once its row was read.
    pub waiting_tokens: u64,
    /// Tokens of this job.
    pub job_tokens: u64,
    /// Maximum number of waiting tokens, this job's included; 0 means no limit.
    pub max_waiting_tokens: u64,
    /// Whether the table was read after the last write of this call.
    pub is_fresh: bool,
    /// Whether a write of this call may still be applied.
    pub has_pending_write: bool,
    /// Whether there is no time left for another attempt before the caller stops waiting.
    pub is_past_deadline: bool,
}

/// Next step of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptanceStep {
    /// Answer that the job is accepted: this call made it durable.
    Accepted,
    /// Answer that the job was already accepted: another call made it durable.
    AlreadyAccepted,
    /// Read the table, then decide again.
    Refresh,
    /// Write the job's row.
    Write,
    /// Refuse the job because another team has one with the same ID: it was not run and never will be.
    RefuseUsedId,
    /// Refuse the job because the limit is reached: it was not run and never will be.
    RefuseFull,
    /// Refuse the job because the table could not be read or written: it was not run and never will be.
    RefuseUnavailable,
    /// Answer that the outcome is unknown: the job may have been accepted.
    RefuseUnknown,
}

impl AcceptanceView {
    /// Returns the next step.
    ///
    /// The job's own row is checked first. Counted in `waiting_tokens` as if it were other work, it would use
    /// up the capacity that the job itself needs, and a job that runs would be refused as "not run".
    /// A caller that then submits the same work under another name would get it done twice.
    ///
    /// ```
    /// use cuminramp_fleet::{AcceptanceStep, AcceptanceView, JobRowWriter};
    /// let view = AcceptanceView {
    ///     row_writer: JobRowWriter::Missing,
    ///     waiting_tokens: 600,
    ///     job_tokens: 500,
    ///     max_waiting_tokens: 1_000,
    ///     is_fresh: true,
    ///     has_pending_write: false,
    ///     is_past_deadline: false,
    /// };
    /// assert_eq!(view.next_step(), AcceptanceStep::RefuseFull);
    /// let late = AcceptanceView { row_writer: JobRowWriter::Own, ..view };
    /// assert_eq!(late.next_step(), AcceptanceStep::Accepted);
    /// ```
    pub fn next_step(&self) -> AcceptanceStep {
        match self.row_writer {
            JobRowWriter::Own => return AcceptanceStep::Accepted,
            JobRowWriter::Other => return AcceptanceStep::AlreadyAccepted,
            JobRowWriter::OtherTeam => {
                return self.refuse_unless_pending(AcceptanceStep::RefuseUsedId);
            }
            JobRowWriter::Missing => {}
        }
        if self.is_past_deadline {
            return self.refuse_unless_pending(AcceptanceStep::RefuseUnavailable);
        }
        let has_capacity = self.max_waiting_tokens == 0
            || self.waiting_tokens + self.job_tokens <= self.max_waiting_tokens;
        match (has_capacity, self.is_fresh) {
            (true, _) => AcceptanceStep::Write,
            // The last read may be out of date, so the table is read again before a job is refused.
            (false, false) => AcceptanceStep::Refresh,
            (false, true) => self.refuse_unless_pending(AcceptanceStep::RefuseFull),
        }
    }

    /// Returns the next step after the table could not be read.
    pub fn after_failed_read(&self) -> AcceptanceStep {
        self.refuse_unless_pending(AcceptanceStep::RefuseUnavailable)
    }

    /// Returns `refusal`, unless a pending write may still be applied: a refusal promises that the job
    /// never runs.
    fn refuse_unless_pending(&self, refusal: AcceptanceStep) -> AcceptanceStep {
        if self.has_pending_write { AcceptanceStep::RefuseUnknown } else { refusal }
    }
}

#[cfg(test)]
mod tests;
