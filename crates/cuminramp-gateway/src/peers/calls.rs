//! Calls between hosts that need a reply: requests for updates and relayed store calls.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use cuminramp_http::accept_next;
use cuminramp_wire::fleet::{NewsReply, NewsRequest, StoreCall, StoreReply};
use cuminramp_wire::{Encoded, FleetService, FleetServiceClient};
use futures_util::StreamExt;
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

use crate::state::{GatewayState, lock};
use crate::sync::{answer_follow, answer_store_call, answer_updates};

/// Maximum size of a message in bytes. Declarations of thousands of routes have a few megabytes, an object up
/// to eight.
const MAX_FRAME_BYTES: usize = 32 << 20;
/// Timeout of a request for updates.
const UPDATES_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for opening a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout after which a connection without calls is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers calls from other hosts.
#[derive(Clone)]
struct FleetServer {
    state: Arc<GatewayState>,
}

impl FleetService for FleetServer {
    async fn news(self, _: Context, request: Encoded<NewsRequest>) -> Encoded<NewsReply> {
        Encoded(answer_updates(&self.state, &request.0))
    }

    async fn call_store(self, _: Context, call: Encoded<StoreCall>) -> Encoded<StoreReply> {
        Encoded(answer_store_call(&self.state, call.0).await)
    }

    async fn follow_table(self, _: Context, call: Encoded<StoreCall>) -> Encoded<StoreReply> {
        Encoded(answer_follow(&self.state, call.0).await)
    }
}

/// Serves calls from other hosts until the gateway stops.
pub(crate) async fn serve_calls(state: Arc<GatewayState>, listener: TcpListener) {
    while let Some(stream) = accept_next(&listener, &state.stop).await {
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let server = FleetServer { state: state.clone() };
        let stop = state.stop.clone();
        tokio::spawn(async move {
            let calls = BaseChannel::with_defaults(transport).execute(server.serve());
            tokio::pin!(calls);
            loop {
                let next = tokio::select! {
                    next = tokio::time::timeout(IDLE_TIMEOUT, calls.next()) => next,
                    () = stop.cancelled() => return,
                };
                let Ok(Some(call)) = next else { return };
                tokio::spawn(call);
            }
        });
    }
}

/// Holds one connection to each other host. A connection on which a call failed is dropped, since a device
/// on the path between the hosts may have lost the connection's state.
#[derive(Default)]
pub(crate) struct PeerClients {
    clients: Mutex<SortedMap<Name, FleetServiceClient>>,
}

impl PeerClients {
    /// Returns the client of a host and connects to it if necessary. Returns `None` if that fails.
    async fn client(&self, address: &Name) -> Option<FleetServiceClient> {
        if let Some(client) = lock(&self.clients).get(address) {
            return Some(client.clone());
        }
        let mut connecting =
            tarpc::serde_transport::tcp::connect(address.to_string(), Bincode::default);
        connecting.config_mut().max_frame_length(MAX_FRAME_BYTES);
        let transport = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        let client = FleetServiceClient::new(Config::default(), transport).spawn();
        lock(&self.clients).insert(address.clone(), client.clone());
        Some(client)
    }

    /// Returns the reply of a call. Drops the connection if the call failed.
    fn reply_or_drop<T>(&self, address: &Name, outcome: Result<Encoded<T>, RpcError>) -> Option<T> {
        match outcome {
            Ok(reply) => Some(reply.0),
            Err(error) => {
                log::warn!(peer = &**address, reason = error.to_string().as_str(); "peer-call-failed");
                lock(&self.clients).remove(address);
                None
            }
        }
    }

    /// Requests the declarations and targets that are newer at another host.
    pub(crate) async fn fetch_updates(
        &self,
        address: &Name,
        request: NewsRequest,
    ) -> Option<NewsReply> {
        let client = self.client(address).await?;
        let outcome = client.news(call_context(UPDATES_TIMEOUT), Encoded(request)).await;
        self.reply_or_drop(address, outcome)
    }

    /// Has another host make a store call. Returns `None` if that host did not reply, in which case the store
    /// call may have been made.
    pub(crate) async fn call_store(
        &self,
        address: &Name,
        call: StoreCall,
        timeout: Duration,
    ) -> Option<StoreReply> {
        let client = self.client(address).await?;
        let outcome = client.call_store(call_context(timeout), Encoded(call)).await;
        self.reply_or_drop(address, outcome)
    }

    /// Requests the rows or the changes of a table as another host knows them.
    pub(crate) async fn follow_table(
        &self,
        address: &Name,
        call: StoreCall,
        timeout: Duration,
    ) -> Option<StoreReply> {
        let client = self.client(address).await?;
        let outcome = client.follow_table(call_context(timeout), Encoded(call)).await;
        self.reply_or_drop(address, outcome)
    }
}

/// Returns a call context whose deadline is `timeout` from now.
fn call_context(timeout: Duration) -> Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + timeout;
    context
}
