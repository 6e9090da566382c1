//! Interfaces to the formats of calls, targets and rows, and to the store.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::{AvailabilityZone, Name};
use cuminramp_fleet::{FleetDeclarations, FleetTarget, ItemSpec, PromptPart};
use cuminramp_platform::{ObjectStore, Row, WatchedTable};
use http::{HeaderMap, request, response};

/// Error for bytes that are not of the expected format, with the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FormatError(pub String);

impl fmt::Display for FormatError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for FormatError {}

/// API key of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerKey {
    /// The call has no key.
    Missing,
    /// The call has one key.
    Present(Name),
    /// The call has more than one key, or one that can't be read, so that its team can't be determined.
    Ambiguous,
}

/// Contents of the head of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHead {
    /// Request ID that the caller chose for this call.
    pub request_id: Option<Name>,
    /// Time that the caller waits for the response, from now.
    pub deadline: Option<Duration>,
    /// Number of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Request ID of the call that brought the first event of the stream that the caller resumes.
    pub first_request_id: Option<Name>,
    /// Parts of the prompt that other requests share. The last part of a prompt belongs to the request or its
    /// session alone and is not among them.
    pub shared_parts: Vec<PromptPart>,
    /// API key of the call.
    pub key: CallerKey,
    /// Host name that the call is addressed to, without a port.
    pub host: Name,
}

/// Operation that a call requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerOperation {
    /// Sends a request to a target or submits a job, as declared for the route.
    Request,
    /// Reads results of a job from a position on.
    ReadResults {
        /// The job.
        job: Name,
        /// Position of the first result to read.
        from: u32,
        /// Maximum time to wait for a result.
        wait: Duration,
    },
    /// Reads the body of an item.
    ReadItem {
        /// The job.
        job: Name,
        /// The item.
        item: Name,
    },
    /// Cancels a job.
    CancelJob {
        /// The job.
        job: Name,
    },
}

impl CallerOperation {
    /// Returns the job that the call refers to, if any.
    ///
    /// ```
    /// use cuminramp_gateway::CallerOperation;
    /// let operation = CallerOperation::CancelJob { job: "j1".into() };
    /// assert_eq!(operation.job().map(|job| &**job), Some("j1"));
    /// assert_eq!(CallerOperation::Request.job(), None);
    /// ```
    pub fn job(&self) -> Option<&Name> {
        match self {
            CallerOperation::Request => None,
            CallerOperation::ReadResults { job, .. }
            | CallerOperation::ReadItem { job, .. }
            | CallerOperation::CancelJob { job } => Some(job),
        }
    }
}

/// A steering request: asks which hosts a caller should use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SteeringRequest {
    /// Host name to which the caller will address its calls.
    pub host: Name,
    /// Region of the caller.
    pub region: Name,
    /// Availability zone of the caller.
    pub zone: AvailabilityZone,
}

/// Values that the head of a request to a target carries in addition to the caller's own head.
#[derive(Clone, Debug)]
pub struct TargetHead<'a> {
    /// Time left until the deadline of the request.
    pub deadline: Option<Duration>,
    /// Team of the request, if it has one.
    pub team: Option<&'a str>,
    /// ID of the target that the request is meant for.
    pub target: &'a str,
    /// Number of the last event already received, if the target is to resume a stream.
    pub last_event: Option<u64>,
}

/// Contents of the head of a target's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseHead {
    /// ID of the request that the response belongs to.
    pub request_id: Option<Name>,
    /// Whether the response carries the signature of a target.
    pub is_signed: bool,
    /// Whether the response states that the request was not run.
    pub is_not_run: bool,
    /// Whether the response comes from another target than the one that the request was meant for.
    pub is_misdirected: bool,
    /// Time for which the connection may stay idle, if the target returned it.
    pub keep_alive: Option<Duration>,
    /// Number of requests that the target runs or queues, this one included, if it returned it.
    pub active_requests: Option<u32>,
    /// Time that work takes at the target at the moment, in percent of the usual time, if it returned it.
    pub pace: Option<u16>,
}

/// Result of an item, as listed in a page of results.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedResult {
    /// Item of the result.
    pub item: Name,
    /// Whether the output is complete; otherwise the item was given up.
    pub is_complete: bool,
    /// Output of the item.
    pub output: String,
}

/// A page of a job's results, from a position on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: u32,
    /// Position after the last result of the page.
    pub next: u32,
    /// Results of the page.
    pub results: Vec<ListedResult>,
}

/// Format of calls from callers and to targets.
pub trait CallFormat: Send + Sync {
    /// Reads the head of a call.
    fn read_head(&self, parts: &request::Parts) -> CallHead;

    /// Reads the operation that a call requests.
    fn read_operation(&self, parts: &request::Parts) -> CallerOperation;

    /// Returns the headers sent to a target for a caller's request.
    fn target_headers(&self, parts: &request::Parts, head: &TargetHead<'_>) -> HeaderMap;

    /// Returns the headers sent to a target for an item of a job that was submitted to the host name `host`.
    fn item_headers(
        &self,
        item: &ItemSpec,
        host: &str,
        head: &TargetHead<'_>,
    ) -> Result<HeaderMap, FormatError>;

    /// Returns the parts of an item's prompt that other requests share, as in [`CallHead::shared_parts`].
    fn item_parts(&self, item: &ItemSpec) -> Vec<PromptPart>;

    /// Reads the head of a target's response.
    fn read_response(&self, parts: &response::Parts) -> ResponseHead;

    /// Returns the headers of a target's response that are passed on to the caller.
    fn response_headers(&self, parts: &response::Parts) -> HeaderMap;

    /// Reads the items of a job.
    fn read_job(&self, body: &[u8]) -> Result<Vec<ItemSpec>, FormatError>;

    /// Writes a page of results.
    fn write_results(&self, page: &ResultPage) -> Bytes;

    /// Reads a steering request; `None` if the call is not one.
    fn read_steering(&self, parts: &request::Parts) -> Option<SteeringRequest>;

    /// Writes a steering response: the hosts to use, and the time for which the caller may cache them.
    fn write_steering(&self, hosts: &[Name], ttl: Duration) -> Bytes;
}

/// Format of declarations and targets in the store.
pub trait FleetFormat: Send + Sync {
    /// Returns the name of the table of declarations.
    fn declarations_table(&self) -> &'static str;

    /// Returns the name of the table of targets.
    fn targets_table(&self) -> &'static str;

    /// Reads declarations; `None` if the row holds none.
    fn read_declarations(&self, row: &Row) -> Result<Option<Arc<FleetDeclarations>>, FormatError>;

    /// Reads a target.
    fn read_target(&self, row: &Row) -> Result<FleetTarget, FormatError>;

    /// Returns the zone that a row of the declarations table drains; determined from the key alone.
    fn drained_zone(&self, key: &str) -> Option<AvailabilityZone>;

    /// Returns the target that a row describes; determined from the key alone.
    fn target_id(&self, key: &str) -> Option<Name>;
}

/// Parts of the platform's store that the gateway uses.
pub trait FleetStore: ObjectStore + WatchedTable {}

impl<S: ObjectStore + WatchedTable> FleetStore for S {}
