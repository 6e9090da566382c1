//! Accepts callers' connections, admits their calls, and serves steering, readiness and metrics.

mod calls;
mod connections;
mod responses;
mod service_endpoints;

pub(crate) use calls::{answer_call, is_retry};
pub(crate) use connections::serve_callers;
pub(crate) use responses::{NOT_RUN_STATUSES, ResponseBody, complete_response, refusal_response};
pub(crate) use service_endpoints::{serve_metrics, serve_readiness, serve_steering};
