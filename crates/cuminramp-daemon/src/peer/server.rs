//! Server for calls from other daemons.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_http::accept_next;
use cuminramp_wire::peer::{
    BorrowReply, BorrowRequest, CrashReport, Handover, Probe, ProbeReply, PullReply, PullRequest,
    YieldNotice,
};
use cuminramp_wire::{Encoded, PeerService};
use futures_util::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_serde::formats::Bincode;
use tokio_util::codec::LengthDelimitedCodec;

use crate::admission::{apply_handover, lend_tokens};
use crate::peer::MAX_FRAME_BYTES;
use crate::peer::probing::{handle_probe, probe_on_behalf};
use crate::state::{DaemonState, lock};
use crate::sync::handle_pull;

/// Timeout after which a connection without calls is closed; the peer opens another one when it needs to.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Clone)]
struct PeerHandler {
    state: Arc<DaemonState>,
}

impl PeerService for PeerHandler {
    async fn probe(self, _: Context, request: Encoded<Probe>) -> Encoded<ProbeReply> {
        let probe = request.0;
        let mut reply = handle_probe(&self.state, &probe);
        if !probe.target.is_empty() {
            reply.target_alive = probe_on_behalf(&self.state, &probe.target).await;
        }
        Encoded(reply)
    }

    async fn pull(self, _: Context, request: Encoded<PullRequest>) -> Encoded<PullReply> {
        Encoded(handle_pull(&self.state, &request.0))
    }

    async fn borrow(self, _: Context, request: Encoded<BorrowRequest>) -> Encoded<BorrowReply> {
        Encoded(lend_tokens(&self.state, &request.0))
    }

    async fn hand_over(self, _: Context, request: Encoded<Handover>) {
        apply_handover(&self.state, &request.0);
    }

    async fn report_crash(self, _: Context, request: Encoded<CrashReport>) {
        let now = Instant::now();
        let mut crashes = lock(&self.state.crashes);
        for count in &request.0.counts {
            crashes.merge(count.fingerprint, count.crashes, now);
        }
    }

    async fn yield_targets(self, _: Context, request: Encoded<YieldNotice>) {
        let targets: Vec<Name> =
            request.0.targets.iter().map(|name| name.as_str().into()).collect();
        self.state.batch.preempt_for_online(&targets, Instant::now());
    }
}

/// Serves other daemons until the daemon stops.
pub(crate) async fn serve_peers(state: Arc<DaemonState>, listener: TcpListener) {
    while let Some(stream) = accept_next(&listener, &state.stop).await {
        let framed =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(framed, Bincode::default());
        let handler = PeerHandler { state: state.clone() };
        let stop = state.stop.clone();
        tokio::spawn(async move {
            let calls = BaseChannel::with_defaults(transport).execute(handler.serve());
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
