//! Calls to other daemons over one connection each.

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
/// A connection that gave no answer in time is thrown away: something between the hosts may have
/// lost track of it, and then it would stay silent for good while a new one works.
pub(crate) struct TarpcPeers {
    clients: Mutex<SortedMap<Name, PeerServiceClient>>,
    limit: Duration,
}

/// A deadline as the transport wants it.
fn call_context(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}

impl TarpcPeers {
    /// Calls that may take `limit`.
    pub(crate) fn new(limit: Duration) -> Self {
        TarpcPeers { clients: Mutex::default(), limit }
    }

    async fn client(&self, address: &str, limit: Duration) -> Option<PeerServiceClient> {
        if let Some(client) = lock(&self.clients).get(address) {
            return Some(client.clone());
        }
        let mut connecting =
            tarpc::serde_transport::tcp::connect(address.to_owned(), Bincode::default);
        connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = tokio::time::timeout(limit, connecting).await.ok()?.ok()?;
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
        limit: Duration,
        make: impl FnOnce(PeerServiceClient) -> F,
    ) -> Option<R>
    where
        F: Future<Output = Result<R, RpcError>>,
    {
        let started = tokio::time::Instant::now();
        let client = self.client(address, limit).await?;
        let spent = started.elapsed();
        let left = limit.saturating_sub(spent);
        match tokio::time::timeout(left, make(client)).await {
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
    async fn probe(&self, address: &str, probe: Probe, limit: Duration) -> Option<ProbeReply> {
        let make = |client: PeerServiceClient| async move {
            client.probe(call_context(limit), Encoded(probe)).await
        };
        Some(self.call(address, limit, make).await?.0)
    }

    async fn pull(&self, address: &str, request: PullRequest) -> Option<PullReply> {
        let limit = self.limit * 4;
        let make = |client: PeerServiceClient| async move {
            client.pull(call_context(limit), Encoded(request)).await
        };
        Some(self.call(address, limit, make).await?.0)
    }

    async fn borrow(&self, owner: &HostId, request: BorrowRequest) -> Option<BorrowReply> {
        let limit = self.limit;
        let make = |client: PeerServiceClient| async move {
            client.borrow(call_context(limit), Encoded(request)).await
        };
        Some(self.call(&owner.address, limit, make).await?.0)
    }

    async fn hand_over(&self, owner: &HostId, handover: Handover) -> Option<()> {
        let limit = self.limit * 2;
        let make = |client: PeerServiceClient| async move {
            client.hand_over(call_context(limit), Encoded(handover)).await
        };
        self.call(&owner.address, limit, make).await
    }

    async fn report_crash(&self, address: &str, report: CrashReport) -> Option<()> {
        let limit = self.limit;
        let make = |client: PeerServiceClient| async move {
            client.report_crash(call_context(limit), Encoded(report)).await
        };
        self.call(address, limit, make).await
    }

    async fn yield_targets(&self, address: &str, notice: YieldNotice) -> Option<()> {
        let limit = self.limit;
        let make = |client: PeerServiceClient| async move {
            client.yield_targets(call_context(limit), Encoded(notice)).await
        };
        self.call(address, limit, make).await
    }
}
