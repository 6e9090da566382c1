//! Requests a slot for an online request from owners with an admission queue.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use cuminramp_core::{HostId, Name};
use cuminramp_fleet::{
    AdmissionRequest, AdmissionWithdrawal, HostMessage, PlacementRequest, RejectionReason,
    ShareReport, SlotGroup, SlotOutcome, name_hash,
};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, timeout};

use super::owner::respond_to_admission;
use super::owner_of;
use super::request::{
    MAX_OWNERS, MAX_SENDS_PER_OWNER, PlacedBy, RESPONSE_TIMEOUT, check_grant, report_owner_failure,
};
use crate::peers::{send_to_host, try_send_to_host};
use crate::state::{GatewayState, lock};

/// Interval at which a waiting request is repeated, so that its owner keeps it in the queue.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of times that a request is queued again after its owner released its slot or dropped it.
const MAX_RENEWALS: u32 = 3;

/// Properties of a request that determine its place in an owner's queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionTerms<'a> {
    /// The request's team.
    pub(crate) team: Option<&'a Name>,
    /// Priority of the route; 0 is the most urgent.
    pub(crate) priority: u8,
    /// Time at which the request arrived.
    pub(crate) started_at: Instant,
    /// Time by which the caller receives its final response or gives up.
    pub(crate) deadline: Instant,
    /// Maximum delay after which the caller retries if the request is rejected.
    pub(crate) max_retry_delay: Duration,
    /// Set when an owner queues the request, to the time at which it did.
    pub(crate) queued_at: &'a OnceLock<Instant>,
}

/// Decision of an owner's admission queue on a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionResult {
    /// Time for which the request waited in the queue; zero if it got a slot at once.
    pub(crate) waited: Duration,
    /// Why the request was rejected; `None` if it got a slot.
    pub(crate) rejection: Option<RejectionReason>,
    /// Figures on which the owner based the decision; `None` if the request got a slot at once, or if its
    /// deadline ended the wait.
    pub(crate) report: Option<ShareReport>,
}

impl AdmissionResult {
    /// Creates the result of a request whose deadline passed while it waited.
    pub(crate) fn deadline_passed(waited: Duration) -> Self {
        AdmissionResult { waited, rejection: Some(RejectionReason::Deadline), report: None }
    }

    /// Creates the result of an owner's final outcome.
    pub(super) fn new(waited: Duration, outcome: SlotOutcome) -> Self {
        let rejection = match outcome {
            SlotOutcome::Rejected { reason, .. } => Some(reason),
            _ => None,
        };
        AdmissionResult { waited, rejection, report: outcome.report() }
    }

    /// Returns the value of `outcome` in metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self.rejection {
            Some(reason) => reason.as_str(),
            None if self.waited.is_zero() => "granted",
            None => "waited",
        }
    }
}

/// A response of an owner, with the owner's address.
pub(super) type OwnerResponse = (Name, SlotOutcome);

/// Returns whether the owners of a pool's groups queue requests.
pub(super) fn is_queue_active(state: &GatewayState, pool: &str) -> bool {
    state.queue_mode.queues(lock(&state.placement).is_paced(pool, Instant::now()))
}

/// Requests a slot from the owner of a group, and from the next owner if that one is silent. With `may_wait`,
/// the request waits in the owner's queue until it gets a slot or is rejected; the caller drops the future at
/// the request's deadline, or when its own caller leaves.
///
/// Returns `None` if no owner responds, or if this host was too slow to read a response.
pub(super) async fn request_admission(
    state: &Arc<GatewayState>,
    group: &SlotGroup,
    may_wait: bool,
    request: &PlacementRequest<'_>,
    terms: &AdmissionTerms<'_>,
) -> Option<(SlotOutcome, PlacedBy)> {
    let mut reply = None;
    for _ in 0..=MAX_RENEWALS {
        let mut pending = PendingAdmission::new(state, group, may_wait);
        reply = pending.run(request, terms).await;
        let is_dropped = matches!(reply, Some((SlotOutcome::Busy { .. }, _)));
        // The owner has released the granted slot or withdrawn the request, so it is sent under a new number.
        if !may_wait || !is_dropped {
            break;
        }
    }
    reply
}

/// Result of a request to one owner.
enum OwnerReply {
    /// An owner responded.
    Response(OwnerResponse),
    /// The owner did not respond.
    Silent,
    /// This host itself was delayed: the response may have arrived, but is not read yet.
    LocalDelay,
}

/// A request that was sent to an owner's queue. Dropping it withdraws the request if it may wait there.
struct PendingAdmission<'a> {
    state: &'a Arc<GatewayState>,
    group: &'a SlotGroup,
    request_id: u64,
    may_wait: bool,
    responses: UnboundedReceiver<OwnerResponse>,
    /// Owner whose queue may hold the request.
    queue_owner: Option<HostId>,
}

impl<'a> PendingAdmission<'a> {
    fn new(state: &'a Arc<GatewayState>, group: &'a SlotGroup, may_wait: bool) -> Self {
        let request_id = state.slots.next_request_id.fetch_add(1, Ordering::Relaxed);
        let (sender, responses) = mpsc::unbounded_channel();
        lock(&state.slots.pending_admissions).insert(request_id, sender);
        PendingAdmission { state, group, request_id, may_wait, responses, queue_owner: None }
    }

    /// Sends the request to owners until one of them grants a slot or declines the request.
    async fn run(
        &mut self,
        request: &PlacementRequest<'_>,
        terms: &AdmissionTerms<'_>,
    ) -> Option<(SlotOutcome, PlacedBy)> {
        let mut silent_owners = 0;
        let mut is_queued = false;
        loop {
            let owner = owner_of(self.state, self.group)?;
            self.turn_to(&owner);
            match self.ask(&owner, request, terms).await {
                OwnerReply::Response((_, SlotOutcome::Waiting { .. })) => {
                    (silent_owners, is_queued) = (0, true);
                    terms.queued_at.get_or_init(Instant::now);
                    if let Some(response) = self.wait_for_decision(&owner).await {
                        return Some(self.finish(response));
                    }
                }
                OwnerReply::Response(response) => return Some(self.finish(response)),
                OwnerReply::Silent => {
                    report_owner_failure(self.state, self.group, &owner).await;
                    silent_owners += 1;
                    if silent_owners == MAX_OWNERS {
                        return None;
                    }
                }
                // A queued request keeps its place. Placed by this host, it would go before those that wait.
                OwnerReply::LocalDelay if is_queued => {}
                OwnerReply::LocalDelay => return None,
            }
        }
    }

    /// Withdraws the request from the queue of another owner that it was sent to before.
    fn turn_to(&mut self, owner: &HostId) {
        if self.queue_owner.as_ref().is_some_and(|previous| previous != owner) {
            self.withdraw();
        }
        if self.may_wait {
            self.queue_owner = Some(owner.clone());
        }
    }

    async fn ask(
        &mut self,
        owner: &HostId,
        request: &PlacementRequest<'_>,
        terms: &AdmissionTerms<'_>,
    ) -> OwnerReply {
        if *owner == self.state.id() {
            if self.state.borrows_targets() {
                return OwnerReply::Response((owner.address.clone(), SlotOutcome::NoTarget));
            }
            let message = self.build_message(request, terms);
            let response = respond_to_admission(self.state, owner, self.group, &message).await;
            return OwnerReply::Response((owner.address.clone(), response.outcome));
        }
        for _ in 0..MAX_SENDS_PER_OWNER {
            let sent_at = Instant::now();
            let message = HostMessage::AdmissionRequest(self.build_message(request, terms));
            send_to_host(self.state, message, &owner.address).await;
            match timeout(RESPONSE_TIMEOUT, self.next_response(owner)).await {
                Ok(response) => return OwnerReply::Response(response),
                Err(_) if sent_at.elapsed() > RESPONSE_TIMEOUT * 2 => {
                    return OwnerReply::LocalDelay;
                }
                Err(_) => {}
            }
        }
        OwnerReply::Silent
    }

    /// Returns the next response of the owner, or a grant of an earlier one that responds late.
    async fn next_response(&mut self, owner: &HostId) -> OwnerResponse {
        loop {
            // The channel is open as long as its sender is among the pending ones, which `drop` removes.
            let Some((from, outcome)) = self.responses.recv().await else {
                return std::future::pending().await;
            };
            if from == owner.address || outcome.grant().is_some() {
                return (from, outcome);
            }
        }
    }

    /// Waits until the owner decides, or until the request is to be repeated.
    async fn wait_for_decision(&mut self, owner: &HostId) -> Option<OwnerResponse> {
        let decision = async {
            loop {
                let response = self.next_response(owner).await;
                if !matches!(response.1, SlotOutcome::Waiting { .. }) {
                    return response;
                }
            }
        };
        timeout(REPEAT_INTERVAL, decision).await.ok()
    }

    /// Takes over the granted slot, or returns the other outcome.
    fn finish(&mut self, (from, outcome): OwnerResponse) -> (SlotOutcome, PlacedBy) {
        if self.queue_owner.as_ref().is_some_and(|owner| owner.address == from) {
            self.queue_owner = None;
        }
        let is_local = from == self.state.local_host.address;
        let placed_by = if is_local { PlacedBy::LocalOwner } else { PlacedBy::Owner };
        (self.take_grant(&from, outcome), placed_by)
    }

    /// Returns the outcome, or `Busy` in place of a grant that this host must no longer use.
    fn take_grant(&self, from: &Name, outcome: SlotOutcome) -> SlotOutcome {
        let Some(grant) = outcome.grant() else { return outcome };
        if *from != self.state.local_host.address {
            return check_grant(self.state, from, outcome);
        }
        let (hash, now) = (self.group.hash(), Instant::now());
        let mut placement = lock(&self.state.placement);
        let is_reserved =
            lock(&self.state.slots.ledger).take_grant(&mut placement, hash, grant, now);
        if is_reserved { outcome } else { SlotOutcome::Busy { wait_ms: 0 } }
    }

    fn build_message(
        &self,
        request: &PlacementRequest<'_>,
        terms: &AdmissionTerms<'_>,
    ) -> AdmissionRequest {
        let now = Instant::now();
        let placement = lock(&self.state.placement);
        let mut avoided = placement.avoided(self.group, now);
        avoided.extend(placement.hashes_of(request.tried));
        let max_wait = request.objective.mul_f64(placement.wait_share());
        drop(placement);
        let latest_start = terms.deadline.checked_sub(request.objective).unwrap_or(now);
        AdmissionRequest {
            incarnation: self.state.incarnation(),
            request_id: self.request_id,
            group: self.group.hash(),
            avoided,
            team: terms.team.map_or(0, |team| name_hash(team)),
            weight_milli: weight_milli(self.state, terms.team),
            priority: terms.priority,
            is_retry: request.is_retry,
            max_wait_ms: to_millis(
                max_wait.saturating_sub(now.saturating_duration_since(terms.started_at)),
            ),
            deadline_ms: to_millis(latest_start.saturating_duration_since(now)),
            may_wait: self.may_wait,
        }
    }

    /// Withdraws the request from the queue that may hold it. The datagram is sent without waiting, since the
    /// request's task may be ending.
    fn withdraw(&mut self) {
        let Some(owner) = self.queue_owner.take() else { return };
        let withdrawal = AdmissionWithdrawal {
            incarnation: self.state.incarnation(),
            request_id: self.request_id,
            group: self.group.hash(),
        };
        if owner == self.state.id() {
            let mut placement = lock(&self.state.placement);
            let mut ledger = lock(&self.state.slots.ledger);
            ledger.withdraw(&mut placement, &owner, &withdrawal, Instant::now());
        } else {
            let message = HostMessage::AdmissionWithdrawal(withdrawal);
            try_send_to_host(self.state, &message, &owner.address);
        }
    }

    /// Returns granted slots that the request no longer needs: the next report acknowledges the grants and
    /// lists no work for them.
    fn return_grants(&mut self) {
        while let Ok((from, outcome)) = self.responses.try_recv() {
            if outcome.grant().is_some() {
                self.take_grant(&from, outcome);
                self.state.slots.bring_report_forward(self.group);
            }
        }
    }
}

impl Drop for PendingAdmission<'_> {
    fn drop(&mut self) {
        lock(&self.state.slots.pending_admissions).remove(&self.request_id);
        self.return_grants();
        self.withdraw();
    }
}

/// Passes an owner's response on to the request, unless it no longer waits. Returns whether it was passed on.
pub(super) fn deliver_response(
    state: &GatewayState,
    from: &Name,
    request_id: u64,
    outcome: SlotOutcome,
) -> bool {
    let pending = lock(&state.slots.pending_admissions);
    let sender: Option<&UnboundedSender<OwnerResponse>> = pending.get(&request_id);
    sender.is_some_and(|sender| sender.send((from.clone(), outcome)).is_ok())
}

fn weight_milli(state: &GatewayState, team: Option<&Name>) -> u32 {
    /// Weight of a team while this host knows no declarations, in thousandths.
    const DEFAULT_WEIGHT_MILLI: u32 = 1_000;
    let declarations = state.current_declarations();
    declarations.map_or(DEFAULT_WEIGHT_MILLI, |declarations| {
        state.team_weights.weight_milli(team, &declarations)
    })
}

fn to_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
