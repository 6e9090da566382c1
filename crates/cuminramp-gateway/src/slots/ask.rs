//! A request's questions to the owners of slots.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::{AvailabilityZone, HostId, Name};
use cuminramp_fleet::{
    HostMessage, OwnerFailure, PlacementDecision, PlacementRequest, SearchLimits, SearchStep,
    SlotGroup, SlotOutcome, SlotRequest, SlotResponse, SlotSearch, name_hash,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::cold::lone_share;
use super::owner::answer_request;
use super::owner_of;
use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Until an owner answers; some ten times what a question takes between zones.
const ANSWER_LIMIT: Duration = Duration::from_millis(25);
/// Questions to one owner before it counts as silent: a datagram may get lost.
const MOST_TRIES: u32 = 2;
/// Owners that are tried one after the other. A request has some hundred milliseconds for its slot.
const MOST_OWNERS: u32 = 2;

/// When a request should come back that this host can send nowhere, since it is cut off from all zones with
/// targets: at once, at another host.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(50);

/// Who chose a request's target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlacedBy {
    /// Another host, which owns the target's group.
    Owner,
    /// This host, as the owner.
    Itself,
    /// This host, since no owner answered.
    Guess,
}

impl PlacedBy {
    /// The name in logs and metrics.
    pub(crate) fn word(self) -> &'static str {
        match self {
            PlacedBy::Owner => "owner",
            PlacedBy::Itself => "itself",
            PlacedBy::Guess => "guess",
        }
    }
}

/// Finds a slot for a request, and says who chose it.
pub(crate) async fn find_slot(
    state: &Arc<GatewayState>,
    request: &PlacementRequest<'_>,
) -> (PlacementDecision, PlacedBy) {
    let mut groups = lock(&state.placement).groups(request.pool);
    groups.retain(|group| request.zones.allows(&group.zone));
    let lost = lost_zones(state, &groups);
    if lost.len() == groups.len() && !groups.is_empty() && !has_majority(state) {
        return (PlacementDecision::Full(ELSEWHERE_PAUSE), PlacedBy::Guess);
    }
    let mut failed = lock(&state.placement).zones_of(request.tried);
    // Asked last, like zones in which two sends failed.
    failed.extend(lost.iter().chain(&lost).cloned());
    let mut search = {
        let mut random = lock(&state.random);
        SlotSearch::new(groups, &state.me.zone, &mut **random).after_failures(&failed)
    };
    let search_limits = SearchLimits {
        max_wait: request.objective.mul_f64(lock(&state.placement).wait_share()),
        is_retry: request.is_retry,
    };
    loop {
        let step = search.next(search_limits, &mut **lock(&state.random));
        let (group, may_queue) = match step {
            SearchStep::Ask { group, may_queue } => (group, may_queue),
            SearchStep::Refuse(after) => return (PlacementDecision::Full(after), PlacedBy::Owner),
            SearchStep::Nowhere => return (guess(state, request), PlacedBy::Guess),
        };
        let Some((outcome, placed_by)) = ask_group(state, &group, may_queue, request.tried).await
        else {
            return (guess(state, request), PlacedBy::Guess);
        };
        if let SlotOutcome::Granted { target, .. } = outcome {
            // A target that this host does not know, or knows to get nothing new, is none to it.
            if let Some(target) = lock(&state.placement).granted(target).cloned() {
                return (PlacementDecision::Send(target), placed_by);
            }
        }
        search.receive(outcome);
    }
}

/// Zones of groups from which no host is heard and whose targets can't be connected to: lost, or cut off
/// from this host.
fn lost_zones(state: &GatewayState, groups: &[SlotGroup]) -> Vec<AvailabilityZone> {
    let now = Instant::now();
    let peers = lock(&state.peers);
    let placement = lock(&state.placement);
    let is_lost =
        |zone: &str| placement.is_unreachable(zone, now) && peers.is_zone_silent(zone, now);
    let lost = groups.iter().filter(|group| is_lost(&group.zone));
    lost.map(|group| group.zone.clone()).collect()
}

fn has_majority(state: &GatewayState) -> bool {
    lock(&state.peers).has_majority(Instant::now())
}

/// Chooses by what this host has in flight itself.
fn guess(state: &GatewayState, request: &PlacementRequest<'_>) -> PlacementDecision {
    let now = Instant::now();
    let share = lone_share(state, request.pool, None, now);
    let mut placement = lock(&state.placement);
    let mut random = lock(&state.random);
    let decision = placement.place(request, &share, &mut **random, now);
    if let PlacementDecision::Send(target) = &decision {
        placement.record_sends(name_hash(&target.id), 1, now);
    }
    decision
}

/// Asks the owner of a group, and the next one where that is silent.
async fn ask_group(
    state: &Arc<GatewayState>,
    group: &SlotGroup,
    may_queue: bool,
    tried: &[Name],
) -> Option<(SlotOutcome, PlacedBy)> {
    let request = make_request(state, group, may_queue, tried);
    let me = state.id();
    for _ in 0..MOST_OWNERS {
        let owner = owner_of(state, group)?;
        if owner == me {
            let response = answer_request(state, &me, group, &request).await;
            return Some((response.outcome, PlacedBy::Itself));
        }
        match ask_owner(state, &owner, &request).await {
            RequestEnd::Answered(outcome) => return Some((outcome, PlacedBy::Owner)),
            RequestEnd::Silent => accuse(state, group, &owner).await,
            RequestEnd::Late => return None,
        }
    }
    None
}

fn make_request(
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
        incarnation: state.me.incarnation,
        request: state.slots.next_request.fetch_add(1, Ordering::Relaxed),
        group: group.hash(),
        avoided,
        may_queue,
    }
}

/// How a question ended.
enum RequestEnd {
    Answered(SlotOutcome),
    /// The owner did not answer.
    Silent,
    /// This host itself was late: the answer may be there, unread.
    Late,
}

async fn ask_owner(state: &GatewayState, owner: &HostId, request: &SlotRequest) -> RequestEnd {
    let (sender, mut receiver) = oneshot::channel();
    lock(&state.slots.waiting).insert(request.request, sender);
    let mut end = RequestEnd::Silent;
    for _ in 0..MOST_TRIES {
        let began = Instant::now();
        send_to_host(state, HostMessage::Request(request.clone()), &owner.address).await;
        match timeout(ANSWER_LIMIT, &mut receiver).await {
            Ok(Ok(response)) => {
                end = RequestEnd::Answered(take_outcome(state, owner, response.outcome));
                break;
            }
            Ok(Err(_)) => break,
            Err(_) if began.elapsed() > ANSWER_LIMIT * 2 => {
                end = RequestEnd::Late;
                break;
            }
            Err(_) => {}
        }
    }
    lock(&state.slots.waiting).remove(&request.request);
    end
}

/// What an answer is worth now. A grant that a later one overtook may be given to others already.
fn take_outcome(state: &GatewayState, owner: &HostId, outcome: SlotOutcome) -> SlotOutcome {
    match outcome {
        SlotOutcome::Granted { grant, .. } if !state.slots.take_grant(&owner.address, grant) => {
            SlotOutcome::Busy { wait_ms: 0 }
        }
        outcome => outcome,
    }
}

/// Passes a silent owner over, and tells the hosts of the zone: they report to the next one at once.
async fn accuse(state: &GatewayState, group: &SlotGroup, owner: &HostId) {
    let is_new = lock(&state.slots.owners).exclude(owner, Instant::now());
    if !is_new {
        return;
    }
    log::warn!(
        peer = &*owner.address, incarnation = owner.incarnation, pool = &*group.pool,
        zone = &*group.zone;
        "owner-silent"
    );
    state.slots.bring_all_forward();
    let failure = OwnerFailure {
        group: group.hash(),
        failed_address: owner.address.clone(),
        failed_incarnation: owner.incarnation,
    };
    let receivers: Vec<Name> = {
        let peers = lock(&state.peers);
        let live = peers.live(false, Instant::now());
        let of_zone = live.into_iter().filter(|(_, zone)| **zone == group.zone);
        of_zone.map(|(id, _)| id.address).collect()
    };
    if let Some(socket) = state.socket.get() {
        socket.send(&HostMessage::OwnerFailure(failure), &receivers).await;
    }
}

/// Takes the answer of an owner.
pub(crate) fn take_response(state: &GatewayState, from: &Name, response: SlotResponse) {
    let waiting = lock(&state.slots.waiting).remove(&response.request);
    let unused = match waiting {
        Some(sender) => sender.send(response).err(),
        None => Some(response),
    };
    // A slot that no request waits for any more goes back with the next report, which does not name it.
    if let Some(SlotOutcome::Granted { grant, .. }) = unused.map(|response| response.outcome) {
        state.slots.take_grant(from, grant);
    }
}
