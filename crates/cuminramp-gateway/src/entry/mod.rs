//! Accepts callers' connections, admits their calls, and serves steering, readiness and metrics.

mod answers;
mod calls;
mod connections;
mod service_points;

pub(crate) use answers::{AnswerBody, PROMISES, complete_response, refusal_response};
pub(crate) use calls::{answer_call, is_retry};
pub(crate) use connections::serve_callers;
pub(crate) use service_points::{serve_metrics, serve_readiness, serve_steering};
