//! Interfaces of the daemon to the platform, targets and other daemons; tests and benchmarks can replace
//! their implementations.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use cuminramp_core::{HostId, hash_parts};
use cuminramp_http::CallError;
use cuminramp_platform::{HostList, ObjectStore, TableStore};
use cuminramp_wire::peer::{
    BorrowReply, BorrowRequest, CrashReport, Handover, Probe, ProbeReply, PullReply, PullRequest,
    YieldNotice,
};
use futures_util::Stream;
use http::{HeaderMap, Method, StatusCode};

/// Services that the platform provides to a daemon.
#[derive(Clone)]
pub struct PlatformInterfaces {
    /// Table for configuration, shards and jobs.
    pub table: Arc<dyn TableStore>,
    /// Object store for snapshots and files.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's list of hosts.
    pub hosts: Arc<dyn HostList>,
}

/// A request to a target; it never holds the caller's key.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl TargetRequest {
    /// Returns a hash of method, path and body, which identifies equal requests.
    pub(crate) fn content_hash(&self) -> u64 {
        let body = String::from_utf8_lossy(&self.body);
        hash_parts(&[self.method.as_str(), &self.path, &body])
    }
}

/// Body of an answer as a stream of chunks; an error ends it.
pub type TargetResponseBody = Pin<Box<dyn Stream<Item = Result<Bytes, CallError>> + Send>>;

/// Answer of a target: status, headers and the stream of its body.
pub struct TargetResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; dropping it cancels the request on the target.
    pub body: TargetResponseBody,
}

/// Calls targets.
#[async_trait]
pub trait TargetCaller: Send + Sync {
    /// Sends a request to `address` and waits up to `first_byte_timeout` for the head of the answer.
    async fn call(
        &self,
        address: &str,
        request: TargetRequest,
        first_byte_timeout: Duration,
    ) -> Result<TargetResponse, CallError>;

    /// Drops all connections to `address`, after a target there stopped answering.
    fn drop_connections(&self, address: &str);
}

/// Calls other daemons. Returns `None` if a call failed or timed out; the peer may still have received it.
#[async_trait]
pub trait PeerCaller: Send + Sync {
    /// Probes a host: exchanges membership updates and version digests with it.
    async fn probe(&self, address: &str, probe: Probe, timeout: Duration) -> Option<ProbeReply>;

    /// Requests the change sets, withdrawals and shard rows that this host lacks.
    async fn pull(&self, address: &str, request: PullRequest) -> Option<PullReply>;

    /// Requests tokens from the owner of a shard.
    async fn borrow(&self, owner: &HostId, request: BorrowRequest) -> Option<BorrowReply>;

    /// Sends a shard's tokens to its next owner.
    async fn hand_over(&self, owner: &HostId, handover: Handover) -> Option<()>;

    /// Reports requests that crashed targets.
    async fn report_crash(&self, address: &str, report: CrashReport) -> Option<()>;

    /// Notifies the batch owner of targets that online requests need them.
    async fn yield_targets(&self, address: &str, notice: YieldNotice) -> Option<()>;
}
