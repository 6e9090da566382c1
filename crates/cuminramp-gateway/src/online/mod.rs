//! Online requests, from admission to the end of the response.

mod forward;
mod record;
mod serve;
mod stream;

pub(crate) use record::{RequestOutcome, RequestRecord};
pub(crate) use serve::{AdmittedRequest, serve_request};
