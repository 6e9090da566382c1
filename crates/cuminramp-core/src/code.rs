//! Numbered result codes, and whether a refused request may have run on a target.

use std::fmt;
use std::time::Duration;

/// Whether a refused request ran on a target, as far as is known.
///
/// The variants are in ascending order: a request with several attempts has the greatest of their values.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Execution {
    /// No byte of the request was sent to a target.
    NotRun,
    /// The request was sent to a target and its outcome is unknown.
    MayHaveRun,
    /// A target ran the request, at least in part.
    Ran,
}

impl Execution {
    /// Returns the value of the `cuminramp-execution` header and of error bodies.
    ///
    /// ```
    /// assert_eq!(cuminramp_core::Execution::NotRun.as_str(), "not run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Execution::NotRun => "not run",
            Execution::MayHaveRun => "may have run",
            Execution::Ran => "ran",
        }
    }
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $status:literal, $error_type:literal;)*) => {
        /// Numbered reason for a refusal or failure; `docs/result-codes.md` lists all of them.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        pub enum ResultCode {
            $($(#[$doc])* $variant,)*
        }

        impl ResultCode {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)*];

            /// Returns the number, as it appears in responses and logs.
            ///
            /// ```
            /// assert_eq!(cuminramp_core::ResultCode::KeyUnknown.number(), 1101);
            /// ```
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$variant => $number,)* }
            }

            /// Returns the HTTP status of a response with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$variant => $status,)* }
            }

            /// Returns the `type` field of an error body, as OpenAI clients parse it.
            pub fn error_type(self) -> &'static str {
                match self { $(ResultCode::$variant => $error_type,)* }
            }

            /// Returns the name of the variant, as `docs/result-codes.md` lists it.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$variant => stringify!($variant),)* }
            }
        }
    };
}

result_codes! {
    /// The body is not JSON, or not the JSON that this endpoint accepts.
    BodyMalformed = 1001, 400, "invalid_request_error";
    /// The body is larger than `max-body-bytes`.
    BodyTooLarge = 1002, 413, "invalid_request_error";
    /// The complete body did not arrive within `body-timeout-ms`.
    BodyTimeout = 1003, 408, "invalid_request_error";
    /// No route matches the model or the path.
    RouteUnknown = 1004, 404, "invalid_request_error";
    /// The team has no file, batch or other resource with this name.
    ResourceUnknown = 1005, 404, "invalid_request_error";
    /// No endpoint exists for this method and path.
    EndpointUnknown = 1006, 404, "invalid_request_error";
    /// A field or header has an invalid value.
    FieldInvalid = 1007, 400, "invalid_request_error";
    /// A line of a batch input file is invalid; the other lines run.
    LineMalformed = 1008, 400, "invalid_request_error";
    /// The request has no `Authorization: Bearer` header.
    KeyMissing = 1100, 401, "authentication_error";
    /// The key does not exist or was withdrawn.
    KeyUnknown = 1101, 401, "authentication_error";
    /// The host can't confirm which keys are currently valid.
    KeysUnconfirmed = 1102, 503, "service_unavailable";
    /// The operator token is missing or wrong.
    OperatorUnknown = 1103, 401, "authentication_error";
    /// The team exceeds its rate and burst.
    RateExceeded = 1200, 429, "rate_limit_error";
    /// No target of the pool can accept the request at present.
    TargetsUnavailable = 1300, 503, "service_unavailable";
    /// The target failed and the request can't be retried.
    TargetFailed = 1301, 502, "upstream_error";
    /// The deadline of the request passed.
    DeadlineExceeded = 1302, 504, "upstream_error";
    /// The response stream was interrupted and could not be resumed.
    StreamBroken = 1303, 502, "upstream_error";
    /// A daemon refuses the request until its quarantine ends, because it crashed targets before.
    RequestQuarantined = 1304, 422, "invalid_request_error";
    /// A request with the same idempotency key is running or has run, and its response is not available.
    AlreadyStarted = 1305, 409, "conflict_error";
    /// The queue of the pool is full.
    QueueFull = 1306, 503, "service_unavailable";
    /// A gateway refuses the request until its quarantine ends, because it crashed targets before; the
    /// response states when to retry.
    RequestHeldBack = 1307, 503, "service_unavailable";
    /// It is not known at which version of its targets' software the resumed stream began.
    StreamVersionUnknown = 1308, 503, "service_unavailable";
    /// The platform's table or object store is unreachable.
    StoreUnavailable = 1400, 503, "service_unavailable";
    /// The host is draining and accepts no new requests.
    HostDraining = 1401, 503, "service_unavailable";
    /// The host has no configuration in force yet, or no host owns a share of the team's rate yet.
    ConfigurationUnknown = 1402, 503, "service_unavailable";
    /// Another change was applied first; the response contains the generation in force.
    GenerationConflict = 1500, 409, "conflict_error";
    /// The declarations are invalid; none is applied, and the response lists every reason.
    DeclarationsInvalid = 1501, 422, "invalid_request_error";
    /// A setting has an unknown name, a wrong type or an invalid value.
    SettingsInvalid = 1502, 400, "invalid_request_error";
    /// The batch item failed on each of its limited number of attempts.
    ItemFailed = 1601, 422, "invalid_request_error";
    /// An internal error of the daemon.
    Internal = 1900, 500, "server_error";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.number(), self.name())
    }
}

/// Response that carries no result: its code, whether the request ran, and when to retry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: ResultCode,
    /// Whether a target ran the request.
    pub execution: Execution,
    /// Time after which the caller may retry; `None` if a retry is not expected to help.
    pub retry_after: Option<Duration>,
    /// Human-readable reason, one sentence.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal of a request that was not sent to any target.
    ///
    /// ```
    /// use cuminramp_core::{Execution, Refusal, ResultCode};
    /// let refusal = Refusal::not_run(ResultCode::KeyMissing, "no key");
    /// assert_eq!(refusal.execution, Execution::NotRun);
    /// ```
    pub fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Refusal { code, execution: Execution::NotRun, retry_after: None, message: message.into() }
    }

    /// Returns the refusal with `execution` replaced.
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// Returns the refusal with `retry_after` set to `wait`.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {} ({})", self.code, self.message, self.execution.as_str())
    }
}

impl std::error::Error for Refusal {}

#[cfg(test)]
mod tests;
