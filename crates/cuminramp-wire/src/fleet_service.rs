//! The calls between gateways, the hosts that share a fleet.

use crate::Encoded;
use crate::fleet::{NewsReply, NewsRequest, StoreCall, StoreReply};

/// Calls that a host answers for other hosts. All other messages between hosts are heartbeats.
#[tarpc::service]
pub trait FleetService {
    /// Returns the declarations and targets of which the receiver has a newer version than the requester. The
    /// call only reads, so it may be repeated.
    async fn news(request: Encoded<NewsRequest>) -> Encoded<NewsReply>;
    /// Calls the store on behalf of a requester that cannot reach it. A commit is conditional on the versions
    /// of its rows, so a commit that arrives twice takes effect once.
    async fn call_store(call: Encoded<StoreCall>) -> Encoded<StoreReply>;
    /// Returns the rows or the changes of a table as the receiver knows them, for a requester that follows the
    /// table through it. The call only reads, so it may be repeated.
    async fn follow_table(call: Encoded<StoreCall>) -> Encoded<StoreReply>;
}
