//! Sends of one request to targets, which may overlap while a target is silent.

use std::time::Duration;

use cuminramp_core::{Execution, Refusal};
use cuminramp_fleet::{FleetTarget, PlacementDecision, WorkKind};
use cuminramp_targets::FailureStage;
use futures_util::StreamExt;
use futures_util::future::{BoxFuture, FutureExt};
use futures_util::stream::FuturesUnordered;
use tokio::time::{Instant, timeout};

use super::refusals::{execution_after, refuse_full, refuse_unreachable, refuse_without_target};
use super::serve::{FAILOVER_TIMEOUT, RequestDispatch};
use crate::interfaces::TargetHead;
use crate::targets::{
    SendFailure, TargetRequest, TargetResponse, TargetRun, UNACKNOWLEDGED_TIMEOUT,
    record_silent_target, send_request,
};

/// Maximum number of sends, for one call of a caller, that don't count as attempts: targets don't run them because
/// they are full or unreachable, or the path to the target is cut. Each needs up to 150 ms, and the placement table
/// avoids targets that failed.
const MAX_UNCOUNTED_SENDS: u32 = 5;

/// End of a send.
struct SendEnd {
    target: FleetTarget,
    outcome: Result<TargetResponse, SendFailure>,
}

/// Target of an open send.
struct OpenTarget {
    target: FleetTarget,
    /// Whether the silence of the target was recorded.
    is_silent: bool,
}

/// Sends whose targets have not responded yet. Dropping them closes their connections.
#[derive(Default)]
struct OpenSends {
    sends: FuturesUnordered<BoxFuture<'static, SendEnd>>,
    targets: Vec<OpenTarget>,
}

impl OpenSends {
    fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    fn push(&mut self, target: FleetTarget, send: BoxFuture<'static, SendEnd>) {
        self.targets.push(OpenTarget { target, is_silent: false });
        self.sends.push(send);
    }

    /// Waits for the next send that ends; returns `None` at once if none is open.
    async fn next(&mut self) -> Option<SendEnd> {
        let end = self.sends.next().await?;
        let ended = self.targets.iter().position(|open| open.target.id == end.target.id);
        if let Some(index) = ended {
            self.targets.remove(index);
        }
        Some(end)
    }

    /// Returns the targets whose silence was not recorded before.
    fn take_silent(&mut self) -> Vec<FleetTarget> {
        let new = self.targets.iter_mut().filter(|open| !open.is_silent);
        new.map(|open| {
            open.is_silent = true;
            open.target.clone()
        })
        .collect()
    }
}

impl RequestDispatch {
    /// Sends the request to one target after another until one answers, or returns the refusal for the
    /// caller.
    ///
    /// A send to a silent target stays open while others are tried: that target may be the only one that
    /// can still answer.
    pub(crate) async fn send_until_answered(&mut self) -> Result<TargetResponse, Refusal> {
        let mut open = OpenSends::default();
        // Set once no further send may be started.
        let mut refusal = None;
        loop {
            let end = match refusal.take_if(|_| open.is_empty()) {
                Some(refusal) => return Err(refusal),
                None if refusal.is_some() => open.next().await,
                None => self.start_or_await(&mut open).await?,
            };
            let Some(SendEnd { target, outcome }) = end else { continue };
            match outcome {
                Ok(response) => {
                    self.record.set_target(&target);
                    return Ok(response);
                }
                Err(failure) => refusal = self.handle_failure(&target, &failure).err().or(refusal),
            }
        }
    }

    /// Starts a send if the request may run once more, and waits until a send ends. Returns `None` if none does
    /// within the failover timeout, or a refusal if no send is open or can be started.
    async fn start_or_await(&mut self, open: &mut OpenSends) -> Result<Option<SendEnd>, Refusal> {
        if (open.is_empty() || self.spend_failover())
            && let Some(end) = self.start_next(open).await?
        {
            return Ok(Some(end));
        }
        if !self.may_run_again() {
            return Ok(open.next().await);
        }
        let end = timeout(FAILOVER_TIMEOUT, open.next()).await;
        if end.is_err() {
            open.take_silent().iter().for_each(|target| self.record_silence(target));
        }
        Ok(end.ok().flatten())
    }

    /// Starts a send to another target. Returns the end of an open send that ends before a target is found, or
    /// a refusal if no send is open or can be started.
    async fn start_next(&mut self, open: &mut OpenSends) -> Result<Option<SendEnd>, Refusal> {
        let found = tokio::select! {
            biased;
            Some(end) = open.next() => return Ok(Some(end)),
            found = self.find_target() => found,
        };
        match found {
            Ok(target) => {
                let send = self.send(target.clone());
                open.push(target, send);
            }
            Err(refusal) if open.is_empty() => return Err(refusal),
            Err(_) => {}
        }
        Ok(None)
    }

    /// Records that a target has sent nothing for the failover timeout.
    pub(super) fn record_silence(&self, target: &FleetTarget) {
        let detail = format!("no data for {} ms", FAILOVER_TIMEOUT.as_millis());
        self.record.record_failure("silent", &detail, "wait");
        record_silent_target(&self.state, target);
    }

    /// Searches for a target that takes the request, or returns the refusal for the caller.
    ///
    /// After all usable targets were tried, each may be tried again, also one that is silent: its connection may be
    /// lost while new ones work.
    async fn find_target(&mut self) -> Result<FleetTarget, Refusal> {
        loop {
            self.check_quarantine()?;
            match self.place_before_exit().await? {
                PlacementDecision::Send(target) => {
                    self.admit_before_exit()?;
                    self.admit()?;
                    return Ok(target);
                }
                PlacementDecision::Full(retry_after) => {
                    let rejection = self.record.rejection();
                    return Err(refuse_full(rejection, self.execution(), retry_after));
                }
                PlacementDecision::Unreachable(retry_after) => {
                    return Err(refuse_unreachable(self.execution(), retry_after));
                }
                PlacementDecision::NoTarget if !self.tried.is_empty() => self.tried.clear(),
                PlacementDecision::NoTarget => {
                    return Err(refuse_without_target(&self.request.pool, self.execution()));
                }
            }
        }
    }

    /// Starts to send the request to `target`, until its deadline. Counts it as run: the target may run it
    /// even if the send is cancelled.
    fn send(&mut self, target: FleetTarget) -> BoxFuture<'static, SendEnd> {
        self.record.record_send(&target);
        let remaining = self.deadline().saturating_duration_since(Instant::now());
        let head = TargetHead {
            deadline: Some(remaining),
            team: self.request.team.as_deref(),
            target: &target.id,
            last_event: self.last_event,
        };
        let headers = self.state.call_format.target_headers(&self.request.parts, &head);
        self.tried.push(target.id.clone());
        self.runs += 1;
        let message = TargetRequest {
            method: self.request.parts.method.clone(),
            path: self.request.parts.uri.clone(),
            headers,
            body: self.request.body.clone(),
            request_id: self.request.head.request_id.clone(),
            // The timeout for acknowledgements is that of the connection.
            needs_new_connection: !self.request.route.is_repeatable() || !self.may_run_again(),
            unacknowledged_timeout: self.unacknowledged_timeout(remaining),
            head_timeout: remaining,
        };
        let run = TargetRun::begin(&self.state, target.clone(), WorkKind::Online);
        async move { SendEnd { target, outcome: send_request(run, message).await } }.boxed()
    }

    /// Returns how long bytes of a send may stay unacknowledged. A request that can't be sent again after this
    /// send waits for a target that stands still, as long as its deadline allows.
    fn unacknowledged_timeout(&self, remaining: Duration) -> Duration {
        if self.may_run_again() {
            UNACKNOWLEDGED_TIMEOUT
        } else {
            remaining.max(UNACKNOWLEDGED_TIMEOUT)
        }
    }

    /// Records a failed send and decides the next step. `Ok` means that the request is sent again.
    fn handle_failure(
        &mut self,
        target: &FleetTarget,
        failure: &SendFailure,
    ) -> Result<(), Refusal> {
        let stage = match failure {
            SendFailure::NotSent(_) => FailureStage::NotSent,
            SendFailure::Refused { .. } => FailureStage::Refused,
            _ => FailureStage::Sent,
        };
        let is_cut = matches!(failure, SendFailure::Cut(_)) && self.request.route.is_repeatable();
        let is_counted = !failure.is_not_run() && !is_cut;
        if !is_counted {
            self.uncounted_sends += 1;
            self.runs -= 1;
        }
        self.has_cut_send |= is_cut;
        if let SendFailure::Broken(reason) = failure {
            self.record_crash(target, reason);
        }
        let may_retry = is_counted || self.uncounted_sends < MAX_UNCOUNTED_SENDS;
        self.decide_retry(stage, may_retry, failure.as_str(), &format!("{failure:?}"))
    }

    /// Returns whether a target may have run the request.
    pub(super) fn execution(&self) -> Execution {
        execution_after(self.runs, self.has_cut_send)
    }
}
