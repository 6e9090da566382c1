//! Borders to the formats of callers, targets and rows, and to the store.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{AvailabilityZone, Name};
use cuminramp_fleet::{FleetDeclarations, FleetTarget, ItemSpec};
use cuminramp_platform::{ObjectStore, Row, WatchedTable};
use http::{HeaderMap, request, response};

/// Bytes that are not of the expected format.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FormatError(pub String);

impl fmt::Display for FormatError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for FormatError {}

/// The key that came with a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerKey {
    /// None came.
    Missing,
    /// One came.
    Given(Name),
    /// More than one came, or one that can't be read: whose call it is can't be known.
    Ambiguous,
}

/// What the head of a call says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHead {
    /// The caller's name for this attempt.
    pub request_id: Option<Name>,
    /// How long the caller waits, from now.
    pub deadline: Option<Duration>,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Its key.
    pub key: CallerKey,
    /// The host that it names, without a port.
    pub host: Name,
}

/// What a call asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerCall {
    /// To be passed on, or a job handed in, as its route says.
    Request,
    /// Results of a job from a position on.
    ReadResults {
        /// The job.
        job: Name,
        /// The first position.
        after: u32,
        /// How long it may wait for a result.
        wait: Duration,
    },
    /// The body of an item.
    ReadItem {
        /// The job.
        job: Name,
        /// The item.
        item: Name,
    },
    /// The end of a job.
    EndJob {
        /// The job.
        job: Name,
    },
}

impl CallerCall {
    /// The job that it is about, where it names one.
    ///
    /// ```
    /// use cuminramp_gateway::CallerCall;
    /// let call = CallerCall::EndJob { job: "j1".into() };
    /// assert_eq!(call.job().map(|job| &**job), Some("j1"));
    /// assert_eq!(CallerCall::Request.job(), None);
    /// ```
    pub fn job(&self) -> Option<&Name> {
        match self {
            CallerCall::Request => None,
            CallerCall::ReadResults { job, .. }
            | CallerCall::ReadItem { job, .. }
            | CallerCall::EndJob { job } => Some(job),
        }
    }
}

/// A question for hosts to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SteeringCall {
    /// The host name that the caller is going to use.
    pub host: Name,
    /// The region where the caller stands.
    pub region: Name,
    /// The zone where it stands.
    pub zone: AvailabilityZone,
}

/// What a target learns beside the caller's own head.
#[derive(Clone, Debug)]
pub struct TargetHead<'a> {
    /// Time that is left.
    pub deadline: Option<Duration>,
    /// The team, if the request has one.
    pub team: Option<&'a str>,
    /// The target that the request is meant for.
    pub target: &'a str,
    /// The last event that is there of a stream to go on with.
    pub last_event: Option<u64>,
}

/// What the head of a target's answer says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request_id: Option<Name>,
    /// It bears the target's signature.
    pub is_signed: bool,
    /// It says that the request was not run.
    pub is_not_run: bool,
    /// It comes from another target than the one that was meant.
    pub is_misdirected: bool,
    /// How long the connection may stay idle, if the target says so.
    pub keep_alive: Option<Duration>,
    /// Requests that the target runs or lets wait, this one included, if it says so.
    pub busy: Option<u32>,
}

/// A result at its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedResult {
    /// The item.
    pub item: Name,
    /// Whether its whole output is there; it was given up otherwise.
    pub is_complete: bool,
    /// Its output.
    pub text: String,
}

/// Results from a position on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultPage {
    /// Items of the job.
    pub total: u32,
    /// The position after the last one here.
    pub next: u32,
    /// The results.
    pub results: Vec<ListedResult>,
}

/// How callers and targets spell calls.
pub trait CallFormat: Send + Sync {
    /// Reads the head of a call.
    fn read_head(&self, parts: &request::Parts) -> CallHead;

    /// Reads what a call asks for.
    fn read_call(&self, parts: &request::Parts) -> CallerCall;

    /// The head that a target gets for a caller's request.
    fn target_headers(&self, parts: &request::Parts, head: &TargetHead<'_>) -> HeaderMap;

    /// The head that a target gets for an item of a job that came to `host`.
    fn item_headers(
        &self,
        item: &ItemSpec,
        host: &str,
        head: &TargetHead<'_>,
    ) -> Result<HeaderMap, FormatError>;

    /// Reads the head of a target's answer.
    fn read_answer(&self, parts: &response::Parts) -> AnswerHead;

    /// Headers of a target's answer that the caller gets.
    fn answer_headers(&self, parts: &response::Parts) -> HeaderMap;

    /// Reads the items of a job.
    fn read_job(&self, body: &[u8]) -> Result<Vec<ItemSpec>, FormatError>;

    /// Writes results.
    fn write_results(&self, page: &ResultPage) -> Bytes;

    /// Reads a question for hosts; `None` if the call is none.
    fn read_steering(&self, parts: &request::Parts) -> Option<SteeringCall>;

    /// Writes the hosts to use and how long the answer may be kept.
    fn write_steering(&self, hosts: &[Name], keep: Duration) -> Bytes;
}

/// How declarations and targets are spelled in the store.
pub trait FleetFormat: Send + Sync {
    /// The table with the declarations.
    fn declarations_table(&self) -> &'static str;

    /// The table with the targets.
    fn targets_table(&self) -> &'static str;

    /// Reads declarations; `None` where the row holds none.
    fn read_declarations(&self, row: &Row) -> Result<Option<Arc<FleetDeclarations>>, FormatError>;

    /// Reads a target.
    fn read_target(&self, row: &Row) -> Result<FleetTarget, FormatError>;

    /// The zone that a row of the declarations' table drains, by its key alone.
    fn drained_zone(&self, key: &str) -> Option<AvailabilityZone>;

    /// The target that a row is about, by its key alone.
    fn target_id(&self, key: &str) -> Option<Name>;
}

/// The platform's store as the gateway needs it.
pub trait FleetStore: ObjectStore + WatchedTable {}

impl<S: ObjectStore + WatchedTable> FleetStore for S {}
