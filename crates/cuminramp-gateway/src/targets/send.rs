//! One send of a request to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminramp_core::Name;
use cuminramp_fleet::{FleetTarget, WorkKind};
use http::{HeaderMap, Method, Request, StatusCode, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::TargetLease;
use crate::entry::PROMISES;
use crate::interfaces::AnswerHead;
use crate::state::{GatewayState, lock};

/// What is sent.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequest {
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The name that the answer has to bear.
    pub(crate) request_id: Option<Name>,
    /// Whether it goes over a new connection.
    pub(crate) is_fresh: bool,
    /// Until the head of the answer is there.
    pub(crate) head_limit: Duration,
}

/// Why a send brought no answer to use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// No byte of the request left.
    NotSent(String),
    /// The target refused it and did not run it.
    Refused {
        /// It stands at another address now.
        is_misdirected: bool,
        /// Its status.
        status: StatusCode,
    },
    /// The connection broke after the request was sent.
    Broken(String),
    /// Nothing came in time.
    Silent(Duration),
    /// What came is no answer to this request.
    Foreign,
}

impl SendFailure {
    /// The word for logs and metrics.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            SendFailure::NotSent(_) => "not-sent",
            SendFailure::Refused { is_misdirected: true, .. } => "misdirected",
            SendFailure::Refused { .. } => "refused",
            SendFailure::Broken(_) => "broken",
            SendFailure::Silent(_) => "silent",
            SendFailure::Foreign => "foreign-answer",
        }
    }

    /// Whether the target surely did not run the request.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, SendFailure::NotSent(_) | SendFailure::Refused { .. })
    }
}

/// Work on a target, counted until it is dropped.
pub(crate) struct TargetRun {
    state: Arc<GatewayState>,
    pub(crate) target: FleetTarget,
    kind: WorkKind,
    lease: Option<TargetLease>,
    began: Instant,
}

impl TargetRun {
    /// Counts work, and lets the owner of the slot know with the next report.
    pub(crate) fn begin(state: &Arc<GatewayState>, target: FleetTarget, kind: WorkKind) -> Self {
        lock(&state.placement).begin(&target.id, kind);
        state.slots.schedule_report(&target.group());
        TargetRun { state: state.clone(), target, kind, lease: None, began: Instant::now() }
    }

    /// The answer ended whole: the connection can be used again.
    pub(crate) fn end_whole(mut self, keep_alive: Option<Duration>) {
        if let Some(lease) = self.lease.take() {
            self.state.connections.put_back(lease, keep_alive);
        }
        let mut placement = lock(&self.state.placement);
        placement.record_success(&self.target.id, Instant::now());
        if self.kind == WorkKind::Online {
            placement.record_hold(self.began.elapsed());
        }
    }

    /// The target broke off or fell silent.
    pub(crate) fn end_failed(self) {
        lock(&self.state.placement).record_failure(&self.target.id, Instant::now());
        self.state.connections.close_idle(&self.target.address);
    }
}

impl Drop for TargetRun {
    fn drop(&mut self) {
        drop(self.lease.take());
        lock(&self.state.placement).end(&self.target.id, self.kind);
        self.state.slots.bring_report_forward(&self.target.group());
    }
}

/// An answer that began.
pub(crate) struct TargetAnswer {
    pub(crate) run: TargetRun,
    pub(crate) parts: response::Parts,
    pub(crate) head: AnswerHead,
    pub(crate) body: Incoming,
}

/// Sends a request and waits for the head of its answer.
pub(crate) async fn send_request(
    mut run: TargetRun,
    request: TargetRequest,
) -> Result<TargetAnswer, SendFailure> {
    let state = run.state.clone();
    let outcome = exchange(&mut run, request).await;
    match &outcome {
        Ok(_) => {
            state.metrics.count_attempt("answered");
            lock(&state.placement).record_reachable(&run.target.id);
        }
        Err(failure) => note_failure(&state, run.target.clone(), failure),
    }
    let (parts, head, body) = outcome?;
    Ok(TargetAnswer { run, parts, head, body })
}

async fn exchange(
    run: &mut TargetRun,
    request: TargetRequest,
) -> Result<(response::Parts, AnswerHead, Incoming), SendFailure> {
    let state = run.state.clone();
    let mut lease = state.connections.lease(&run.target.address, request.is_fresh).await;
    if let Err(error) = &lease {
        return Err(SendFailure::NotSent(error.to_string()));
    }
    let mut message = make_message(&request);
    let deadline = Instant::now() + request.head_limit;
    let (response, is_reused) = loop {
        let taken = lease.map_err(|error| SendFailure::NotSent(error.to_string()))?;
        let is_reused = taken.is_reused;
        run.lease = Some(taken);
        let Some(sender) = run.lease.as_mut().and_then(TargetLease::sender) else {
            return Err(SendFailure::NotSent("connection is gone".into()));
        };
        match tokio::time::timeout_at(deadline, sender.try_send_request(message)).await {
            Err(_) => return Err(SendFailure::Silent(request.head_limit)),
            Ok(Ok(response)) => break (response, is_reused),
            Ok(Err(mut error)) => match error.take_message() {
                // The idle connection was closed before a byte of the request left.
                Some(unsent) if is_reused => {
                    message = unsent;
                    lease = state.connections.lease(&run.target.address, true).await;
                }
                Some(_) => return Err(SendFailure::NotSent(error.error().to_string())),
                None => return Err(SendFailure::Broken(error.error().to_string())),
            },
        }
    };
    let (parts, body) = response.into_parts();
    let head = state.calls.read_answer(&parts);
    check_answer(&request, &parts, &head, is_reused)?;
    if let Some(busy) = head.busy {
        lock(&state.placement).record_load(&run.target.id, busy, Instant::now());
    }
    Ok((parts, head, body))
}

/// Whether an answer is one to this request. A late answer to an earlier request may come where this
/// one's is due; taken for it, a caller would get another's answer, or read "not run" wrongly.
fn check_answer(
    request: &TargetRequest,
    parts: &response::Parts,
    head: &AnswerHead,
    is_reused: bool,
) -> Result<(), SendFailure> {
    let is_own = head.request_id == request.request_id;
    // A refusal may lack the name, as when the head was not understood.
    let is_refusal = head.is_misdirected || head.is_not_run;
    if is_refusal && (is_own || (head.request_id.is_none() && !is_reused)) {
        let is_misdirected = head.is_misdirected;
        return Err(SendFailure::Refused { is_misdirected, status: parts.status });
    }
    if !is_own || !head.is_signed || is_refusal {
        return Err(SendFailure::Foreign);
    }
    // Passed on, it would promise the caller that the request was not run, which nobody said.
    if PROMISES.contains(&parts.status.as_u16()) {
        return Err(SendFailure::Broken(parts.status.to_string()));
    }
    Ok(())
}

fn make_message(request: &TargetRequest) -> Request<Full<Bytes>> {
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.path.clone();
    *message.headers_mut() = request.headers.clone();
    message
}

/// Lets the board know, so that the next request avoids what failed.
fn note_failure(state: &GatewayState, target: FleetTarget, failure: &SendFailure) {
    state.metrics.count_attempt(failure.word());
    let now = Instant::now();
    let mut placement = lock(&state.placement);
    match failure {
        SendFailure::Refused { is_misdirected: true, .. } => placement.remove(&target.id),
        SendFailure::Refused { .. } => placement.record_full(&target.id, now),
        SendFailure::NotSent(_) => {
            placement.record_unreachable(&target.id, now);
            placement.record_failure(&target.id, now);
        }
        _ => placement.record_failure(&target.id, now),
    }
    drop(placement);
    if matches!(failure, SendFailure::Broken(_) | SendFailure::Silent(_)) {
        state.connections.close_idle(&target.address);
    }
}
