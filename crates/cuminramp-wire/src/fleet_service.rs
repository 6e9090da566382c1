//! The calls between hosts that share a fleet.

use crate::Encoded;
use crate::fleet::{NewsReply, NewsRequest, StoreCall, StoreReply};

/// What a host answers to another host. Everything else travels in heartbeats.
#[tarpc::service]
pub trait FleetService {
    /// Which declarations and targets do you know that I lack? It only reads, so it may be repeated.
    async fn news(request: Encoded<NewsRequest>) -> Encoded<NewsReply>;
    /// Make this call of the store for me, which I can't reach. A commit names the versions that it
    /// needs, so one that arrives twice takes effect once.
    async fn call_store(call: Encoded<StoreCall>) -> Encoded<StoreReply>;
}
