//! A request's questions to the owners of slots.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminramp_core::{AvailabilityZone, HostId, Name};
use cuminramp_fleet::{
    HostMessage, OnlineNeed, OwnerClaim, PlacementDecision, SearchNeed, SearchStep, SlotAnswer,
    SlotAsk, SlotGroup, SlotOutcome, SlotSearch, name_hash,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::cold::lone_share;
use super::owner::answer_ask;
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
    need: &OnlineNeed<'_>,
) -> (PlacementDecision, PlacedBy) {
    let mut groups = lock(&state.board).groups(need.pool);
    groups.retain(|group| need.zones.allows(&group.zone));
    let lost = lost_zones(state, &groups);
    if lost.len() == groups.len() && !groups.is_empty() && !hears_most(state) {
        return (PlacementDecision::Full(ELSEWHERE_PAUSE), PlacedBy::Guess);
    }
    let mut failed = lock(&state.board).zones_of(need.tried);
    // Asked last, like zones in which two sends failed.
    failed.extend(lost.iter().chain(&lost).cloned());
    let mut search = {
        let mut random = lock(&state.random);
        SlotSearch::new(groups, &state.me.zone, &mut **random).after_failures(&failed)
    };
    let search_need = SearchNeed {
        longest_wait: need.objective.mul_f64(lock(&state.board).wait_share()),
        is_again: need.is_again,
    };
    loop {
        let step = search.next(search_need, &mut **lock(&state.random));
        let (group, may_queue) = match step {
            SearchStep::Ask { group, may_queue } => (group, may_queue),
            SearchStep::Refuse(after) => return (PlacementDecision::Full(after), PlacedBy::Owner),
            SearchStep::Nowhere => return (guess(state, need), PlacedBy::Guess),
        };
        let Some((outcome, placed_by)) = ask_group(state, &group, may_queue, need.tried).await
        else {
            return (guess(state, need), PlacedBy::Guess);
        };
        if let SlotOutcome::Granted { target, .. } = outcome {
            // A target that this host does not know, or knows to get nothing new, is none to it.
            if let Some(target) = lock(&state.board).granted(target).cloned() {
                return (PlacementDecision::Send(target), placed_by);
            }
        }
        search.hear(outcome);
    }
}

/// Zones of groups from which no host is heard and whose targets can't be connected to: lost, or cut off
/// from this host.
fn lost_zones(state: &GatewayState, groups: &[SlotGroup]) -> Vec<AvailabilityZone> {
    let now = Instant::now();
    let peers = lock(&state.peers);
    let board = lock(&state.board);
    let is_lost = |zone: &str| board.is_unreached(zone, now) && peers.is_zone_silent(zone, now);
    let lost = groups.iter().filter(|group| is_lost(&group.zone));
    lost.map(|group| group.zone.clone()).collect()
}

fn hears_most(state: &GatewayState) -> bool {
    lock(&state.peers).hears_most(Instant::now())
}

/// Chooses by what this host has in flight itself.
fn guess(state: &GatewayState, need: &OnlineNeed<'_>) -> PlacementDecision {
    let now = Instant::now();
    let share = lone_share(state, need.pool, None, now);
    let mut board = lock(&state.board);
    let mut random = lock(&state.random);
    let decision = board.place(need, &share, &mut **random, now);
    if let PlacementDecision::Send(target) = &decision {
        board.note_sends(name_hash(&target.id), 1, now);
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
    let ask = make_ask(state, group, may_queue, tried);
    let me = state.id();
    for _ in 0..MOST_OWNERS {
        let owner = owner_of(state, group)?;
        if owner == me {
            let answer = answer_ask(state, &me, group, &ask).await;
            return Some((answer.outcome, PlacedBy::Itself));
        }
        match ask_owner(state, &owner, &ask).await {
            AskEnd::Answered(outcome) => return Some((outcome, PlacedBy::Owner)),
            AskEnd::Silent => accuse(state, group, &owner).await,
            AskEnd::Late => return None,
        }
    }
    None
}

fn make_ask(state: &GatewayState, group: &SlotGroup, may_queue: bool, tried: &[Name]) -> SlotAsk {
    let board = lock(&state.board);
    let mut avoided = board.avoided(group, Instant::now());
    avoided.extend(board.hashes_of(tried));
    drop(board);
    SlotAsk {
        incarnation: state.me.incarnation,
        ask: state.slots.next_ask.fetch_add(1, Ordering::Relaxed),
        group: group.hash(),
        avoided,
        may_queue,
    }
}

/// How a question ended.
enum AskEnd {
    Answered(SlotOutcome),
    /// The owner did not answer.
    Silent,
    /// This host itself was late: the answer may be there, unread.
    Late,
}

async fn ask_owner(state: &GatewayState, owner: &HostId, ask: &SlotAsk) -> AskEnd {
    let (sender, mut receiver) = oneshot::channel();
    lock(&state.slots.waiting).insert(ask.ask, sender);
    let mut end = AskEnd::Silent;
    for _ in 0..MOST_TRIES {
        let began = Instant::now();
        send_to_host(state, HostMessage::Ask(ask.clone()), &owner.address).await;
        match timeout(ANSWER_LIMIT, &mut receiver).await {
            Ok(Ok(answer)) => {
                end = AskEnd::Answered(take_outcome(state, owner, answer.outcome));
                break;
            }
            Ok(Err(_)) => break,
            Err(_) if began.elapsed() > ANSWER_LIMIT * 2 => {
                end = AskEnd::Late;
                break;
            }
            Err(_) => {}
        }
    }
    lock(&state.slots.waiting).remove(&ask.ask);
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
    let is_new = lock(&state.slots.owners).pass_over(owner, Instant::now());
    if !is_new {
        return;
    }
    log::warn!(
        peer = &*owner.address, incarnation = owner.incarnation, pool = &*group.pool,
        zone = &*group.zone;
        "owner-silent"
    );
    state.slots.hasten_all();
    let claim = OwnerClaim {
        group: group.hash(),
        silent_address: owner.address.clone(),
        silent_incarnation: owner.incarnation,
    };
    let receivers: Vec<Name> = {
        let peers = lock(&state.peers);
        let live = peers.live(false, Instant::now());
        let of_zone = live.into_iter().filter(|(_, zone)| **zone == group.zone);
        of_zone.map(|(id, _)| id.address).collect()
    };
    if let Some(socket) = state.socket.get() {
        socket.send(&HostMessage::Claim(claim), &receivers).await;
    }
}

/// Takes the answer of an owner.
pub(crate) fn take_answer(state: &GatewayState, from: &Name, answer: SlotAnswer) {
    let waiting = lock(&state.slots.waiting).remove(&answer.ask);
    let unused = match waiting {
        Some(sender) => sender.send(answer).err(),
        None => Some(answer),
    };
    // A slot that no request waits for any more goes back with the next report, which does not name it.
    if let Some(SlotOutcome::Granted { grant, .. }) = unused.map(|answer| answer.outcome) {
        state.slots.take_grant(from, grant);
    }
}
