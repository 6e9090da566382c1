//! Requests at a draining host: which of them it still sends.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, Refusal, ResultCode};
use cuminramp_fleet::{ExitCheck, PlacementDecision};
use tokio::time::{Instant, sleep};

use super::serve::RequestDispatch;
use crate::state::{GatewayState, lock};

/// Retry-After of calls that another host can serve now.
pub(crate) const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Minimum time between two checks of a request that waits.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Returns the refusal of a call at a draining host. If no other host accepts callers, they are told to return once
/// this one has exited, since its successor starts then.
pub(crate) fn refuse_draining(state: &GatewayState, reason: impl Into<String>) -> Refusal {
    let has_ready_peer = lock(&state.peers).has_ready_peer(Instant::now());
    let until_exit = state.time_until_exit().filter(|_| !has_ready_peer);
    Refusal::not_run(ResultCode::HostDraining, reason)
        .with_retry_after(until_exit.unwrap_or(OTHER_HOST_RETRY_AFTER).max(OTHER_HOST_RETRY_AFTER))
}

/// Returns what decides whether a request is still sent; `None` if the host does not drain.
fn exit_check(state: &GatewayState, route: &str, deadline: Instant) -> Option<ExitCheck> {
    let time_left = state.time_until_exit()?;
    let now = Instant::now();
    let expected = lock(&state.route_durations).expect(route, now);
    let until_deadline = deadline.saturating_duration_since(now);
    Some(ExitCheck { time_left, until_deadline, expected })
}

fn refuse_unfit(state: &GatewayState, check: &ExitCheck) -> Refusal {
    let (left, needed) = (check.time_left.as_millis(), check.time_needed().as_millis());
    let reason = format!("the host exits in {left} ms, and the request may need {needed} ms");
    refuse_draining(state, reason)
}

/// Returns a refusal if the host drains and a request, sent now, may not end before it exits.
pub(crate) fn check_exit(
    state: &GatewayState,
    route: &str,
    deadline: Instant,
) -> Result<(), Refusal> {
    match exit_check(state, route, deadline) {
        Some(check) if !check.fits() => Err(refuse_unfit(state, &check)),
        _ => Ok(()),
    }
}

/// Waits until a request that is still unsent may not end any more before the host exits.
async fn wait_until_unfit(state: Arc<GatewayState>, route: Name, deadline: Instant) {
    state.drain.cancelled().await;
    while let Some(check) = exit_check(&state, &route, deadline).filter(ExitCheck::fits) {
        sleep(check.remaining_wait().max(MIN_CHECK_INTERVAL)).await;
    }
}

// A request that was sent before may have run: its caller loses nothing if it is sent again.
impl RequestDispatch {
    /// Like [`check_exit`], for this request, unless it was sent before.
    fn check_exit(&self) -> Result<(), Refusal> {
        if self.record.has_sent() {
            return Ok(());
        }
        check_exit(&self.state, &self.request.route.name, self.deadline())
    }

    /// Like [`Self::check_exit`], just before the request is sent: it may have waited for a slot. Logs the decision.
    pub(super) fn admit_before_exit(&self) -> Result<(), Refusal> {
        if self.record.has_sent() {
            return Ok(());
        }
        let check = exit_check(&self.state, &self.request.route.name, self.deadline());
        let Some(check) = check else { return Ok(()) };
        self.record.log_exit_check(&check);
        if check.fits() { Ok(()) } else { Err(refuse_unfit(&self.state, &check)) }
    }

    /// Searches for a free slot, for as long as the request would end before a draining host exits.
    pub(super) async fn place_before_exit(&mut self) -> Result<PlacementDecision, Refusal> {
        while !self.record.has_sent() {
            self.check_exit()?;
            let (state, route) = (self.state.clone(), self.request.route.name.clone());
            let unfit = wait_until_unfit(state, route, self.deadline());
            tokio::select! {
                biased;
                decision = self.place() => return Ok(decision),
                () = unfit => {}
            }
        }
        Ok(self.place().await)
    }
}
