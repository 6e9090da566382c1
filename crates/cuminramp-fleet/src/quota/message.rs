//! Messages between a host and the owner of a team's tokens.

use cuminramp_core::Incarnation;
use serde::{Deserialize, Serialize};

/// Which attempt of a caller a request is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AttemptKind {
    /// The request was not refused before.
    First,
    /// The request was refused before and returns after the delay that it was given.
    Retry,
    /// The request was refused before because more retries were scheduled than the rate allows, and returns
    /// although no token is expected for it.
    UnscheduledRetry,
}

/// Request to a team's owner for one token, sent on behalf of one request of the team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenRequest {
    /// Incarnation of the requesting host.
    pub incarnation: Incarnation,
    /// Number of the token request, unique within the incarnation. A repeated token request keeps its
    /// number, and the first response to arrive counts. If the first was lost, its token remains unused.
    pub request_id: u64,
    /// Hash of the team's name, as returned by [`name_hash`](crate::name_hash).
    pub team: u32,
    /// Tokens that another owner of the team had left, as far as the requesting host knows; `None` if no
    /// other owner responded to it recently.
    pub other_owner_level: Option<i32>,
    /// Which attempt the request is.
    pub attempt: AttemptKind,
}

/// Decision of an owner on a token request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TokenOutcome {
    /// The token is granted: the request is admitted.
    Granted,
    /// The team is above its rate.
    Exceeded {
        /// Delay after which the request should be retried, in milliseconds.
        wait_ms: u32,
    },
}

/// Response to a token request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenResponse {
    /// Number of the token request.
    pub request_id: u64,
    /// The owner's decision.
    pub outcome: TokenOutcome,
    /// Tokens that the owner has left after the decision.
    pub level: i32,
}
