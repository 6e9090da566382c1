//! Calls between hosts that need an answer.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_http::accept_next;
use cuminramp_wire::fleet::{NewsReply, NewsRequest};
use cuminramp_wire::{Encoded, FleetService, FleetServiceClient};
use futures_util::StreamExt;
use tarpc::client::Config;
use tarpc::context::{self, Context};
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

use crate::state::GatewayState;
use crate::sync::answer_news;

/// The largest message; declarations of thousands of routes take a few megabytes.
const MOST_FRAME_BYTES: usize = 32 << 20;
/// How long a call may take.
const CALL_LIMIT: Duration = Duration::from_millis(700);
/// A connection on which no call came for so long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct FleetAnswers {
    state: Arc<GatewayState>,
}

impl FleetService for FleetAnswers {
    async fn news(self, _: Context, request: Encoded<NewsRequest>) -> Encoded<NewsReply> {
        Encoded(answer_news(&self.state, &request.0))
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

/// Asks a host for what this one lacks; over a connection of its own, since it is asked rarely.
pub(crate) async fn ask_news(address: &Name, request: NewsRequest) -> Option<NewsReply> {
    let mut connecting =
        tarpc::serde_transport::tcp::connect(address.to_string(), Bincode::default);
    connecting.config_mut().max_frame_length(MOST_FRAME_BYTES);
    let transport = tokio::time::timeout(CALL_LIMIT, connecting).await.ok()?.ok()?;
    let client = FleetServiceClient::new(Config::default(), transport).spawn();
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + CALL_LIMIT;
    client.news(context, Encoded(request)).await.ok().map(|reply| reply.0)
}
