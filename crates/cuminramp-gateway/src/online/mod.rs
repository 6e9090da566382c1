//! Online requests, from admission to the end of the response.

mod buffer;
mod forward;
mod origin;
mod record;
mod refusals;
mod sends;
mod serve;
mod stream;

pub(crate) use buffer::ResponseBudget;
pub(crate) use record::{RequestOutcome, RequestRecord};
pub(crate) use serve::{AdmittedRequest, serve_request};
