//! The daemon's borders: what a bench or test may put in the place of the real thing.

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

/// The platform's services.
#[derive(Clone)]
pub struct PlatformInterfaces {
    /// The table.
    pub table: Arc<dyn TableStore>,
    /// The object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The host list.
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
    /// Whole body.
    pub body: Bytes,
}

impl TargetRequest {
    /// Tells one request from another by method, path and body.
    pub(crate) fn content_hash(&self) -> u64 {
        let body = String::from_utf8_lossy(&self.body);
        hash_parts(&[self.method.as_str(), &self.path, &body])
    }
}

/// The bytes of an answer as they come; an error is the last item.
pub type TargetBody = Pin<Box<dyn Stream<Item = Result<Bytes, CallError>> + Send>>;

/// The head of an answer, and its body to come.
pub struct TargetAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body; dropping it cancels the request on the target.
    pub body: TargetBody,
}

/// Calls targets.
#[async_trait]
pub trait TargetCaller: Send + Sync {
    /// Sends a request to `address` and waits up to `first_byte` for the head of the answer.
    async fn call(
        &self,
        address: &str,
        request: TargetRequest,
        first_byte: Duration,
    ) -> Result<TargetAnswer, CallError>;

    /// Throws away the connections to `address`, since one of them went silent.
    fn drop_connections(&self, address: &str);
}

/// Calls other daemons. `None` stands for no answer in time; whether the call arrived is unknown.
#[async_trait]
pub trait PeerCaller: Send + Sync {
    /// Asks whether a host lives.
    async fn probe(&self, address: &str, probe: Probe, limit: Duration) -> Option<ProbeReply>;

    /// Asks for what this host lacks.
    async fn pull(&self, address: &str, request: PullRequest) -> Option<PullReply>;

    /// Asks a shard's owner for tokens.
    async fn borrow(&self, owner: &HostId, request: BorrowRequest) -> Option<BorrowReply>;

    /// Passes a shard's tokens on to its next owner.
    async fn hand_over(&self, owner: &HostId, handover: Handover) -> Option<()>;

    /// Tells of requests that crashed targets.
    async fn report_crash(&self, address: &str, report: CrashReport) -> Option<()>;

    /// Tells a steward that online work comes.
    async fn yield_targets(&self, address: &str, notice: YieldNotice) -> Option<()>;
}
