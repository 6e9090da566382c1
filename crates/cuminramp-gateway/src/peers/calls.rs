//! Calls between hosts that need an answer.

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
use crate::sync::{answer_store_call, answer_updates};

/// The largest message; declarations of thousands of routes take a few megabytes, an object eight.
const MOST_FRAME_BYTES: usize = 32 << 20;
/// How long a question for news may take.
const NEWS_LIMIT: Duration = Duration::from_millis(700);
/// Until a connection to another host stands.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// A connection on which no call came for so long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct FleetAnswers {
    state: Arc<GatewayState>,
}

impl FleetService for FleetAnswers {
    async fn news(self, _: Context, request: Encoded<NewsRequest>) -> Encoded<NewsReply> {
        Encoded(answer_updates(&self.state, &request.0))
    }

    async fn call_store(self, _: Context, call: Encoded<StoreCall>) -> Encoded<StoreReply> {
        Encoded(answer_store_call(&self.state, call.0).await)
    }
}

/// Serves other hosts until the gateway stops.
pub(crate) async fn serve_calls(state: Arc<GatewayState>, listener: TcpListener) {
    while let Some(stream) = accept_next(&listener, &state.stop).await {
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MOST_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let answers = FleetAnswers { state: state.clone() };
        let stop = state.stop.clone();
        tokio::spawn(async move {
            let calls = BaseChannel::with_defaults(transport).execute(answers.serve());
            tokio::pin!(calls);
            loop {
                let next = tokio::select! {
                    next = tokio::time::timeout(IDLE_LIMIT, calls.next()) => next,
                    () = stop.cancelled() => return,
                };
                let Ok(Some(call)) = next else { return };
                tokio::spawn(call);
            }
        });
    }
}

/// Connections to other hosts, one each; one that gave no answer is thrown away, since something
/// between the hosts may have lost track of it.
#[derive(Default)]
pub(crate) struct PeerClients {
    clients: Mutex<SortedMap<Name, FleetServiceClient>>,
}

impl PeerClients {
    async fn client(&self, address: &Name) -> Option<FleetServiceClient> {
        if let Some(client) = lock(&self.clients).get(address) {
            return Some(client.clone());
        }
        let mut connecting =
            tarpc::serde_transport::tcp::connect(address.to_string(), Bincode::default);
        connecting.config_mut().max_frame_length(MOST_FRAME_BYTES);
        let transport = tokio::time::timeout(CONNECT_LIMIT, connecting).await.ok()?.ok()?;
        let client = FleetServiceClient::new(Config::default(), transport).spawn();
        lock(&self.clients).insert(address.clone(), client.clone());
        Some(client)
    }

    fn keep<T>(&self, address: &Name, outcome: Result<Encoded<T>, RpcError>) -> Option<T> {
        match outcome {
            Ok(reply) => Some(reply.0),
            Err(error) => {
                log::warn!(peer = &**address, reason = error.to_string().as_str(); "peer-call-failed");
                lock(&self.clients).remove(address);
                None
            }
        }
    }

    /// Asks a host for what this one lacks.
    pub(crate) async fn ask_news(&self, address: &Name, request: NewsRequest) -> Option<NewsReply> {
        let client = self.client(address).await?;
        let outcome = client.news(call_context(NEWS_LIMIT), Encoded(request)).await;
        self.keep(address, outcome)
    }

    /// Asks a host to make a call of the store. `None` where it did not answer: the call may have
    /// been made.
    pub(crate) async fn call_store(
        &self,
        address: &Name,
        call: StoreCall,
        limit: Duration,
    ) -> Option<StoreReply> {
        let client = self.client(address).await?;
        let outcome = client.call_store(call_context(limit), Encoded(call)).await;
        self.keep(address, outcome)
    }
}

/// A deadline as the transport wants it.
fn call_context(limit: Duration) -> Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + limit;
    context
}
