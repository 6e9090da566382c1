//! Online requests, from admission to the end of the response.

mod buffer;
mod exits;
mod forward;
mod origin;
mod record;
mod refusals;
mod sends;
mod serve;
mod stream;

pub(crate) use buffer::ResponseBudget;
pub(crate) use exits::{OTHER_HOST_RETRY_AFTER, check_exit, refuse_draining};
pub(crate) use record::{RequestOutcome, RequestRecord};
pub(crate) use serve::{AdmittedRequest, serve_request, time_allowed};
