//! The calls between hosts that share a fleet.

use crate::Encoded;
use crate::fleet::{NewsReply, NewsRequest};

/// What a host answers to another host. Everything else travels in beats.
#[tarpc::service]
pub trait FleetService {
    /// Which declarations and targets do you know that I lack? It only reads, so it may be repeated.
    async fn news(request: Encoded<NewsRequest>) -> Encoded<NewsReply>;
}
