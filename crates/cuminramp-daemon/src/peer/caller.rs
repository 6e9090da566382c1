//! Client for calls to other daemons, over one connection to each.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use cuminramp_core::{HostId, Name, SortedMap};
use cuminramp_wire::peer::{
    BorrowReply, BorrowRequest, CrashReport, Handover, Probe, ProbeReply, PullReply, PullRequest,
    YieldNotice,
};
use cuminramp_wire::{Encoded, PeerServiceClient};
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tokio_serde::formats::Bincode;

use crate::interfaces::PeerCaller;
use crate::peer::MAX_FRAME_BYTES;
use crate::state::lock;

/// Calls other daemons with tarpc.
///
/// A connection on which a call failed or timed out is dropped: a network device between the hosts may
/// have lost its state, and such a connection stays silent for good, while a new one works.
pub(crate) struct TarpcPeers {
    clients: Mutex<SortedMap<Name, PeerServiceClient>>,
    call_timeout: Duration,
}

/// Returns a tarpc context whose deadline is `timeout` from now.
fn call_context(timeout: Duration) -> Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}

impl TarpcPeers {
    /// Creates a client whose calls time out after `call_timeout`, or a small multiple of it for large
    /// messages.
    pub(crate) fn new(call_timeout: Duration) -> Self {
        TarpcPeers { clients: Mutex::default(), call_timeout }
    }

    async fn client(&self, address: &str, timeout: Duration) -> Option<PeerServiceClient> {
        if let Some(client) = lock(&self.clients).get(address) {
            return Some(client.clone());
        }
        let mut connecting =
            tarpc::serde_transport::tcp::connect(address.to_owned(), Bincode::default);
        connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = tokio::time::timeout(timeout, connecting).await.ok()?.ok()?;
        let client = PeerServiceClient::new(Config::default(), transport).spawn();
        lock(&self.clients).insert(address.into(), client.clone());
        Some(client)
    }

    fn drop_client(&self, address: &str) {
        lock(&self.clients).remove(address);
    }

    async fn call<R, F>(
        &self,
        address: &str,
        timeout: Duration,
        send: impl FnOnce(PeerServiceClient) -> F,
    ) -> Option<R>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let started = tokio::time::Instant::now();
        let client = self.client(address, timeout).await?;
        let elapsed = started.elapsed();
        let remaining = timeout.saturating_sub(elapsed);
        match tokio::time::timeout(remaining, send(client)).await {
            Ok(Ok(reply)) => Some(reply),
            Ok(Err(_)) | Err(_) => {
                self.drop_client(address);
                None
            }
        }
    }
}

#[async_trait]
impl PeerCaller for TarpcPeers {
    async fn probe(&self, address: &str, probe: Probe, timeout: Duration) -> Option<ProbeReply> {
        let send = |client: PeerServiceClient| async move {
            client.probe(call_context(timeout), Encoded(probe)).await
        };
        Some(self.call(address, timeout, send).await?.0)
    }

    async fn pull(&self, address: &str, request: PullRequest) -> Option<PullReply> {
        let timeout = self.call_timeout * 4;
        let send = |client: PeerServiceClient| async move {
            client.pull(call_context(timeout), Encoded(request)).await
        };
        Some(self.call(address, timeout, send).await?.0)
    }

    async fn borrow(&self, owner: &HostId, request: BorrowRequest) -> Option<BorrowReply> {
        let timeout = self.call_timeout;
        let send = |client: PeerServiceClient| async move {
            client.borrow(call_context(timeout), Encoded(request)).await
        };
        Some(self.call(&owner.address, timeout, send).await?.0)
    }

    async fn hand_over(&self, owner: &HostId, handover: Handover) -> Option<()> {
        let timeout = self.call_timeout * 2;
        let send = |client: PeerServiceClient| async move {
            client.hand_over(call_context(timeout), Encoded(handover)).await
        };
        self.call(&owner.address, timeout, send).await
    }

    async fn report_crash(&self, address: &str, report: CrashReport) -> Option<()> {
        let timeout = self.call_timeout;
        let send = |client: PeerServiceClient| async move {
            client.report_crash(call_context(timeout), Encoded(report)).await
        };
        self.call(address, timeout, send).await
    }

    async fn yield_targets(&self, address: &str, notice: YieldNotice) -> Option<()> {
        let timeout = self.call_timeout;
        let send = |client: PeerServiceClient| async move {
            client.yield_targets(call_context(timeout), Encoded(notice)).await
        };
        self.call(address, timeout, send).await
    }
}
