//! Numbered result codes, and what a refusal says about whether the work ran.

use std::fmt;
use std::time::Duration;

/// What is known about whether a refused request ran on a target; of several attempts the greatest
/// counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Execution {
    /// No target was given a byte of it.
    NotRun,
    /// A target was given it and its outcome is unknown.
    MayHaveRun,
    /// A target ran it, at least in part.
    Ran,
}

impl Execution {
    /// The words callers read in the `cuminramp-execution` header and in error bodies.
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
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $status:literal, $kind:literal;)*) => {
        /// A numbered outcome; `docs/result-codes.md` lists them all.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        pub enum ResultCode {
            $($(#[$doc])* $variant,)*
        }

        impl ResultCode {
            /// Every code, in the order of its number.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)*];

            /// The number shown to people and machines.
            ///
            /// ```
            /// assert_eq!(cuminramp_core::ResultCode::KeyUnknown.number(), 1101);
            /// ```
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$variant => $number,)* }
            }

            /// The HTTP status a caller sees with it.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$variant => $status,)* }
            }

            /// The `type` field of an error body, as OpenAI clients parse it.
            pub fn kind(self) -> &'static str {
                match self { $(ResultCode::$variant => $kind,)* }
            }

            /// The name in words, as `docs/result-codes.md` shows it.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$variant => stringify!($variant),)* }
            }
        }
    };
}

result_codes! {
    /// The body is not JSON, or not the JSON this endpoint takes.
    BodyMalformed = 1001, 400, "invalid_request_error";
    /// The body is larger than `max-body-bytes`.
    BodyTooLarge = 1002, 413, "invalid_request_error";
    /// The body did not arrive whole within `body-timeout-ms`.
    BodyTimeout = 1003, 408, "invalid_request_error";
    /// No route matches the model or path.
    RouteUnknown = 1004, 404, "invalid_request_error";
    /// The file, batch or other named thing is not there for this team.
    ResourceUnknown = 1005, 404, "invalid_request_error";
    /// The method or path is none that the system serves.
    EndpointUnknown = 1006, 404, "invalid_request_error";
    /// A field has a value that is not allowed.
    FieldInvalid = 1007, 400, "invalid_request_error";
    /// One line of a batch input file can't be used; the other lines run.
    LineMalformed = 1008, 400, "invalid_request_error";
    /// No `Authorization: Bearer` header came with the request.
    KeyMissing = 1100, 401, "authentication_error";
    /// The key is not known, or was withdrawn.
    KeyUnknown = 1101, 401, "authentication_error";
    /// The host can't tell which keys are in force.
    KeysUnconfirmed = 1102, 503, "service_unavailable";
    /// The operator token is missing or wrong.
    OperatorUnknown = 1103, 401, "authentication_error";
    /// The team is above its rate and burst.
    RateExceeded = 1200, 429, "rate_limit_error";
    /// No target of the pool can take the request now.
    TargetsUnavailable = 1300, 503, "service_unavailable";
    /// The target failed, and the request can't be tried again.
    TargetFailed = 1301, 502, "upstream_error";
    /// The deadline passed.
    DeadlineExceeded = 1302, 504, "upstream_error";
    /// The stream broke off and could not be resumed.
    StreamBroken = 1303, 502, "upstream_error";
    /// The same request crashed targets before and is not run again for a while.
    RequestQuarantined = 1304, 422, "invalid_request_error";
    /// The same idempotency key is running or has run, and its answer is not known.
    AlreadyStarted = 1305, 409, "conflict_error";
    /// The queue of the pool is full.
    QueueFull = 1306, 503, "service_unavailable";
    /// The same request broke targets before; this time it was not run.
    RequestHeldBack = 1307, 503, "service_unavailable";
    /// The platform's table or object store can't be reached.
    StoreUnavailable = 1400, 503, "service_unavailable";
    /// The host is draining and takes no new requests.
    HostDraining = 1401, 503, "service_unavailable";
    /// The host has no configuration in force yet, or no host owns a part of the team's rate yet.
    ConfigurationUnknown = 1402, 503, "service_unavailable";
    /// Another change came first; the answer shows the generation now in force.
    GenerationConflict = 1500, 409, "conflict_error";
    /// The declarations are refused whole, each reason is listed.
    DeclarationsInvalid = 1501, 422, "invalid_request_error";
    /// A setting has a wrong type, value or name.
    SettingsInvalid = 1502, 400, "invalid_request_error";
    /// The batch item failed after its bounded number of attempts.
    ItemFailed = 1601, 422, "invalid_request_error";
    /// Something in the daemon itself went wrong.
    Internal = 1900, 500, "server_error";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.number(), self.name())
    }
}

/// An answer that gives no result: its code, whether the work ran, and when to come back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub code: ResultCode,
    /// Whether a target ran the work.
    pub execution: Execution,
    /// When another try makes sense, where one does.
    pub retry_after: Option<Duration>,
    /// One sentence for people.
    pub message: String,
}

impl Refusal {
    /// A refusal of work that no target saw.
    ///
    /// ```
    /// use cuminramp_core::{Execution, Refusal, ResultCode};
    /// let refusal = Refusal::not_run(ResultCode::KeyMissing, "no key");
    /// assert_eq!(refusal.execution, Execution::NotRun);
    /// ```
    pub fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Refusal { code, execution: Execution::NotRun, retry_after: None, message: message.into() }
    }

    /// The same refusal with another word on whether the work ran.
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.execution = execution;
        self
    }

    /// The same refusal with a time after which to come back.
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
