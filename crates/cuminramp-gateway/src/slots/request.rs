//! Requests a slot for an online request from the owners of slot groups.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::{AvailabilityZone, HostId, Name};
use cuminramp_fleet::{
    HostMessage, OwnerFailure, PlacementDecision, PlacementRequest, SearchLimits, SearchStep,
    SlotGroup, SlotOutcome, SlotRequest, SlotResponse, SlotSearch, SoftwareVersion, StartWait,
    VersionedSlotRequest, name_hash,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::admission::{
    AdmissionResult, AdmissionTerms, deliver_response, is_queue_active, request_admission,
};
use super::borrowed::{await_target, granted_hash};
use super::cold::share_without_owner;
use super::owner::respond_to_request;
use super::{groups_of, owner_of};
use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Timeout for an owner's response: about ten times the round trip of a slot request between zones.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(25);
/// Maximum number of times that a slot request is sent to one owner before the owner counts as silent. More
/// than one, since a datagram may get lost.
pub(super) const MAX_SENDS_PER_OWNER: u32 = 2;
/// Maximum number of owners of one group that are tried in turn: a request has some hundred milliseconds
/// to find its slot.
pub(super) const MAX_OWNERS: u32 = 2;

/// Retry delay returned to the caller of a request that this host can send nowhere, because it is cut off
/// from all zones with targets, or knows no targets and no owner responds. It is short, since another host can
/// serve the request at once.
const CUT_OFF_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Share of the time until a request's deadline for which it may wait at a host that has just started. Enough of it is
/// left for another attempt.
const START_WAIT_SHARE: f64 = 0.5;
/// Interval between two searches for a slot while this host or the owners of groups read the targets.
const START_SEARCH_INTERVAL: Duration = Duration::from_millis(25);

/// Which host chose the target of a request, and how.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacedBy {
    /// Another host, as the owner of the target's group.
    Owner,
    /// This host, as the owner of the target's group.
    LocalOwner,
    /// This host alone, since no owner gave a usable response.
    NoOwner,
}

impl PlacedBy {
    /// Returns the value of `placed_by` in log lines and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PlacedBy::Owner => "owner",
            PlacedBy::LocalOwner => "itself",
            PlacedBy::NoOwner => "guess",
        }
    }
}

/// Result of the search for a request's slot.
#[derive(Clone, Debug)]
pub(crate) struct SlotPlacement {
    /// The decision.
    pub(crate) decision: PlacementDecision,
    /// Which host made it.
    pub(crate) placed_by: PlacedBy,
    /// Decision of an owner's admission queue; `None` if no queue decided.
    pub(crate) admission: Option<AdmissionResult>,
}

impl SlotPlacement {
    fn new(decision: PlacementDecision, placed_by: PlacedBy) -> Self {
        SlotPlacement { decision, placed_by, admission: None }
    }
}

/// Finds a slot for a request. Right after a start the request waits until this host or the owners of groups, which
/// may have started at the same time, have read the targets.
pub(crate) async fn find_slot(
    state: &Arc<GatewayState>,
    request: &PlacementRequest<'_>,
    terms: &AdmissionTerms<'_>,
) -> SlotPlacement {
    loop {
        let placement = search_groups(state, request, terms).await;
        let has_target = match placement.decision {
            PlacementDecision::Send(_) | PlacementDecision::Full(_) => true,
            PlacementDecision::Unreachable(_) | PlacementDecision::NoTarget => false,
        };
        let wait = StartWait {
            uptime: state.started_at.elapsed(),
            waited: terms.started_at.elapsed(),
            max_wait: (terms.deadline - terms.started_at).mul_f64(START_WAIT_SHARE),
        };
        if has_target || state.knows_targets() || !wait.should_wait() {
            return placement;
        }
        sleep(START_SEARCH_INTERVAL).await;
    }
}

/// Asks the owners of the groups of a pool for a slot.
async fn search_groups(
    state: &Arc<GatewayState>,
    request: &PlacementRequest<'_>,
    terms: &AdmissionTerms<'_>,
) -> SlotPlacement {
    let mut groups = groups_of(state, request.pool);
    groups.retain(|group| request.zones.allows(&group.zone));
    let unreachable = unreachable_zones(state, &groups);
    if unreachable.len() == groups.len() && !groups.is_empty() && !has_at_least_half(state) {
        let decision = PlacementDecision::Unreachable(CUT_OFF_RETRY_DELAY);
        return SlotPlacement::new(decision, PlacedBy::NoOwner);
    }
    let mut failed = lock(&state.placement).zones_of(request.tried);
    // Listed twice, an unreachable zone counts like one in which two sends failed: the search asks it last.
    failed.extend(unreachable.iter().chain(&unreachable).cloned());
    let mut search = {
        let mut random = lock(&state.random);
        SlotSearch::new(groups, &state.local_host.zone, &mut **random).after_failures(&failed)
    };
    // A stream that has begun does not wait behind those that have not.
    let has_queue = request.software.is_none() && is_queue_active(state, request.pool);
    let search_limits = SearchLimits {
        max_wait: request.objective.mul_f64(lock(&state.placement).wait_share()),
        // The owner of a queue decides for how long a request may wait.
        is_retry: request.is_retry || has_queue,
    };
    loop {
        let step = search.next(search_limits, &mut **lock(&state.random));
        let (group, may_queue) = match step {
            SearchStep::Request { group, may_queue } => (group, may_queue),
            SearchStep::Refuse(after) => {
                return SlotPlacement::new(PlacementDecision::Full(after), PlacedBy::Owner);
            }
            SearchStep::NoTarget => return place_without_owner(state, request),
        };
        let asked_at = Instant::now();
        let reply = if has_queue {
            request_admission(state, &group, may_queue, request, terms).await
        } else {
            request_from_group(state, &group, may_queue, request).await
        };
        let Some((outcome, placed_by)) = reply else {
            return place_without_owner(state, request);
        };
        if let Some(hash) = granted_hash(outcome) {
            await_target(state, hash).await;
        }
        if let Some(decision) = to_decision(state, outcome, request.software, terms) {
            let waited = if may_queue { asked_at.elapsed() } else { Duration::ZERO };
            let admission = has_queue.then(|| AdmissionResult::new(waited, outcome));
            return SlotPlacement { decision, placed_by, admission };
        }
        search.receive(outcome);
    }
}

/// Returns the decision that follows from an owner's outcome, or `None` if the search continues. Ignores a
/// grant for a target that, as far as this host knows, is not there, accepts no new work or has other
/// software: the owner may have read its row earlier or later.
fn to_decision(
    state: &GatewayState,
    outcome: SlotOutcome,
    software: Option<SoftwareVersion>,
    terms: &AdmissionTerms<'_>,
) -> Option<PlacementDecision> {
    match outcome {
        SlotOutcome::Granted { target, .. } | SlotOutcome::GrantedAfterWait { target, .. } => {
            let placement = lock(&state.placement);
            let target = placement.granted_target(target)?;
            let is_usable = software.is_none_or(|software| target.software() == software);
            is_usable.then(|| PlacementDecision::Send(target.clone()))
        }
        SlotOutcome::Rejected { retry_after_ms, .. } => {
            let retry_after = Duration::from_millis(u64::from(retry_after_ms));
            Some(PlacementDecision::Full(retry_after.min(terms.max_retry_delay)))
        }
        SlotOutcome::Busy { .. } | SlotOutcome::NoTarget | SlotOutcome::Waiting { .. } => None,
    }
}

/// Returns the zones of `groups` whose hosts are all silent and whose targets this host fails to connect to:
/// the zone has failed, or this host is cut off from it.
fn unreachable_zones(state: &GatewayState, groups: &[SlotGroup]) -> Vec<AvailabilityZone> {
    let now = Instant::now();
    let peers = lock(&state.peers);
    let placement = lock(&state.placement);
    let is_zone_unreachable =
        |zone: &str| placement.is_unreachable(zone, now) && peers.is_zone_silent(zone, now);
    let unreachable = groups.iter().filter(|group| is_zone_unreachable(&group.zone));
    unreachable.map(|group| group.zone.clone()).collect()
}

/// Returns whether at least half of all hosts are alive. With fewer, this host itself is presumed cut off.
fn has_at_least_half(state: &GatewayState) -> bool {
    lock(&state.peers).has_at_least_half(Instant::now())
}

/// Chooses a target without an owner, by the work that this host itself has in flight.
fn place_without_owner(state: &GatewayState, request: &PlacementRequest<'_>) -> SlotPlacement {
    let now = Instant::now();
    if state.borrows_targets() {
        // The targets that this host used may be leaving. The next owners take over within the delay.
        let decision = PlacementDecision::Unreachable(CUT_OFF_RETRY_DELAY);
        return SlotPlacement::new(decision, PlacedBy::NoOwner);
    }
    let share = share_without_owner(state, request.pool, None, now);
    let mut placement = lock(&state.placement);
    let mut random = lock(&state.random);
    let decision = placement.place(request, &share, &mut **random, now);
    if let PlacementDecision::Send(target) = &decision {
        placement.record_sends(name_hash(&target.id), 1, now);
    }
    SlotPlacement::new(decision, PlacedBy::NoOwner)
}

/// Requests a slot from the owner of a group, and from the next owner if that one is silent.
///
/// Returns `None` if no owner responds, or if this host was too slow to read a response.
async fn request_from_group(
    state: &Arc<GatewayState>,
    group: &SlotGroup,
    may_queue: bool,
    placement_request: &PlacementRequest<'_>,
) -> Option<(SlotOutcome, PlacedBy)> {
    let request = build_slot_request(state, group, may_queue, placement_request.tried);
    let software = placement_request.software;
    let local_id = state.id();
    for _ in 0..MAX_OWNERS {
        let owner = owner_of(state, group)?;
        if owner == local_id {
            if state.borrows_targets() {
                return Some((SlotOutcome::NoTarget, PlacedBy::LocalOwner));
            }
            let response = respond_to_request(state, &local_id, group, &request, software).await;
            return Some((response.outcome, PlacedBy::LocalOwner));
        }
        match request_from_owner(state, &owner, &request, software).await {
            OwnerReply::Outcome(outcome) => return Some((outcome, PlacedBy::Owner)),
            OwnerReply::Silent => report_owner_failure(state, group, &owner).await,
            OwnerReply::LocalDelay => return None,
        }
    }
    None
}

fn build_slot_request(
    state: &GatewayState,
    group: &SlotGroup,
    may_queue: bool,
    tried: &[Name],
) -> SlotRequest {
    let placement = lock(&state.placement);
    let mut avoided = placement.avoided(group, Instant::now());
    avoided.extend(placement.hashes_of(tried));
    drop(placement);
    SlotRequest {
        incarnation: state.incarnation(),
        request_id: state.slots.next_request_id.fetch_add(1, Ordering::Relaxed),
        group: group.hash(),
        avoided,
        may_queue,
    }
}

/// Result of a slot request to one owner.
enum OwnerReply {
    /// The owner responded.
    Outcome(SlotOutcome),
    /// The owner did not respond.
    Silent,
    /// This host itself was delayed: the response may have arrived, but is not read yet.
    LocalDelay,
}

async fn request_from_owner(
    state: &GatewayState,
    owner: &HostId,
    request: &SlotRequest,
    software: Option<SoftwareVersion>,
) -> OwnerReply {
    let message = match software {
        Some(software) => HostMessage::VersionedRequest(VersionedSlotRequest {
            slot_request: request.clone(),
            software,
        }),
        None => HostMessage::Request(request.clone()),
    };
    let (sender, mut receiver) = oneshot::channel();
    lock(&state.slots.pending_requests).insert(request.request_id, sender);
    let mut reply = OwnerReply::Silent;
    for _ in 0..MAX_SENDS_PER_OWNER {
        let sent_at = Instant::now();
        send_to_host(state, message.clone(), &owner.address).await;
        match timeout(RESPONSE_TIMEOUT, &mut receiver).await {
            Ok(Ok(response)) => {
                reply = OwnerReply::Outcome(check_grant(state, &owner.address, response.outcome));
                break;
            }
            Ok(Err(_)) => break,
            Err(_) if sent_at.elapsed() > RESPONSE_TIMEOUT * 2 => {
                reply = OwnerReply::LocalDelay;
                break;
            }
            Err(_) => {}
        }
    }
    lock(&state.slots.pending_requests).remove(&request.request_id);
    reply
}

/// Returns the outcome, or `Busy` in place of a grant that this host must no longer use: a later grant
/// overtook it, and the owner may have granted its slot to another host since.
pub(super) fn check_grant(state: &GatewayState, owner: &Name, outcome: SlotOutcome) -> SlotOutcome {
    match outcome.grant() {
        Some(grant) if !state.slots.accept_grant(owner, grant) => SlotOutcome::Busy { wait_ms: 0 },
        _ => outcome,
    }
}

/// Excludes a silent owner and reports its failure to the hosts of the zone, so that they send their slot
/// reports to the next owner at once.
pub(super) async fn report_owner_failure(state: &GatewayState, group: &SlotGroup, owner: &HostId) {
    let is_new = lock(&state.slots.owners).exclude(owner, Instant::now());
    if !is_new {
        return;
    }
    log::warn!(
        peer = &*owner.address, incarnation = owner.incarnation, pool = &*group.pool,
        zone = &*group.zone;
        "owner-silent"
    );
    state.slots.bring_all_reports_forward();
    let failure = OwnerFailure {
        group: group.hash(),
        failed_address: owner.address.clone(),
        failed_incarnation: owner.incarnation,
    };
    let receivers: Vec<Name> = {
        let peers = lock(&state.peers);
        let ready = peers.ready_hosts(false, Instant::now());
        let of_zone = ready.into_iter().filter(|(_, host)| host.zone == group.zone);
        of_zone.map(|(id, _)| id.address).collect()
    };
    if let Some(socket) = state.socket.get() {
        socket.send(&HostMessage::OwnerFailure(failure), &receivers).await;
    }
}

/// Handles an owner's response to a slot request.
pub(crate) fn handle_response(state: &GatewayState, from: &Name, response: SlotResponse) {
    if deliver_response(state, from, response.request_id, response.outcome) {
        return;
    }
    let pending = lock(&state.slots.pending_requests).remove(&response.request_id);
    let undelivered = match pending {
        Some(sender) => sender.send(response).err(),
        None => Some(response),
    };
    // The request no longer waits. Accepting the grant without using it returns the slot: the next report
    // acknowledges the grant and lists no work for it.
    if let Some(grant) = undelivered.and_then(|response| response.outcome.grant()) {
        state.slots.accept_grant(from, grant);
    }
}
