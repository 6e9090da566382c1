//! Tokens of teams: requests to the hosts that own the teams, and the teams that this host owns.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::{HostId, Name, SortedMap};
use cuminramp_fleet::{
    AttemptKind, HostMessage, QuotaDecision, StartWait, TokenRequest, TokenResponse, name_hash,
};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use crate::peers::send_to_host;
use crate::state::{GatewayState, lock};

/// Timeout for the response of an owner in the region of this host: about ten times the round trip. Requests
/// wait for it whenever an owner was killed.
const NEAR_RESPONSE_TIMEOUT: Duration = Duration::from_millis(10);
/// Timeout for the response of an owner in another region: more than the round trip between regions.
const FAR_RESPONSE_TIMEOUT: Duration = Duration::from_millis(35);
/// Maximum number of times that a token request is sent to one owner before the owner counts as silent. More
/// than one, since a datagram may get lost.
const MAX_SENDS_PER_OWNER: u32 = 2;
/// Maximum number of owners that are tried in turn for one request.
const MAX_OWNERS: u32 = 3;
/// Interval between two checks of whether a host that has just started knows the other hosts.
const FLEET_UNKNOWN_WAIT: Duration = Duration::from_millis(20);
/// Maximum time that a request waits for this.
const MAX_FLEET_WAIT: Duration = Duration::from_millis(1_000);

/// Token requests that wait for a response.
#[derive(Debug, Default)]
pub(crate) struct TokenState {
    next_request_id: AtomicU64,
    pending_requests: Mutex<SortedMap<u64, oneshot::Sender<TokenResponse>>>,
}

/// Decides on one request of `team` with a token of the team's owner.
pub(crate) async fn acquire_token(
    state: &GatewayState,
    team: &Name,
    attempt: AttemptKind,
) -> QuotaDecision {
    if !lock(&state.quota).is_limited(team) {
        return QuotaDecision::Admitted;
    }
    if !await_fleet(state).await {
        return QuotaDecision::Exceeded(FLEET_UNKNOWN_WAIT);
    }
    for _ in 0..MAX_OWNERS {
        let Some(owner) = owner_of(state, team) else { break };
        if owner == state.id() {
            state.metrics.count_token("itself");
            return decide_as_owner(state, team, attempt);
        }
        match request_from_owner(state, &owner, team, attempt).await {
            OwnerReply::Decision(decision) => {
                state.metrics.count_token("owner");
                return decision;
            }
            OwnerReply::Silent => exclude_owner(state, &owner, team),
            OwnerReply::LocalDelay => {}
        }
    }
    state.metrics.count_token("alone");
    lock(&state.quota).admit_alone(team, Instant::now())
}

/// Waits until this host knows which hosts there are. Returns `false` if it takes too long.
async fn await_fleet(state: &GatewayState) -> bool {
    let arrived_at = Instant::now();
    loop {
        if state.knows_fleet() {
            return true;
        }
        let wait = StartWait {
            uptime: state.started_at.elapsed(),
            waited: arrived_at.elapsed(),
            max_wait: MAX_FLEET_WAIT,
        };
        if !wait.should_wait() {
            return false;
        }
        sleep(FLEET_UNKNOWN_WAIT).await;
    }
}

/// Returns whether scheduled retries may take only a part of each team's rate: where requests may be queued.
pub(crate) fn limits_retries(state: &GatewayState) -> bool {
    state.queue_mode.queues(lock(&state.placement).is_any_paced(Instant::now()))
}

/// Returns the owner of a team as seen by this host; `None` if no host may own it.
fn owner_of(state: &GatewayState, team: &Name) -> Option<HostId> {
    let now = Instant::now();
    let readiness = state.readiness(now);
    let peers = lock(&state.peers);
    state.slots.team_owner(team, &peers, readiness, now)
}

fn decide_as_owner(state: &GatewayState, team: &Name, attempt: AttemptKind) -> QuotaDecision {
    let now = Instant::now();
    let limits_retries = limits_retries(state);
    let is_new_owner = is_new_owner(state, team, now);
    let mut quota = lock(&state.quota);
    if is_new_owner {
        quota.limit_new_owner(name_hash(team), now);
    }
    quota.limit_retries(limits_retries);
    match quota.admit(team, attempt, now) {
        QuotaDecision::Exceeded(_) => QuotaDecision::Exceeded(quota.retry_after(team, now)),
        QuotaDecision::Admitted => QuotaDecision::Admitted,
    }
}

/// Returns whether another host may have granted tokens of a team that this host does not count yet.
fn is_new_owner(state: &GatewayState, team: &Name, now: Instant) -> bool {
    let has_recent_counts = lock(&state.quota).has_recent_counts(now);
    !has_recent_counts || lock(&state.peers).has_recent_owner_before_local(team, now)
}

/// Result of a token request to one owner.
enum OwnerReply {
    /// The owner decided.
    Decision(QuotaDecision),
    /// The owner did not respond.
    Silent,
    /// This host itself was delayed: the response may have arrived, but is not read yet.
    LocalDelay,
}

async fn request_from_owner(
    state: &GatewayState,
    owner: &HostId,
    team: &Name,
    attempt: AttemptKind,
) -> OwnerReply {
    let request = TokenRequest {
        incarnation: state.incarnation(),
        request_id: state.tokens.next_request_id.fetch_add(1, Ordering::Relaxed),
        team: name_hash(team),
        other_owner_level: lock(&state.quota).other_owner_level(team, owner, Instant::now()),
        attempt,
    };
    let response_timeout = response_timeout(state, &owner.address);
    let (_pending, mut receiver) = PendingRequest::insert(&state.tokens, request.request_id);
    for _ in 0..MAX_SENDS_PER_OWNER {
        let sent_at = Instant::now();
        send_to_host(state, HostMessage::TokenRequest(request), &owner.address).await;
        match timeout(response_timeout, &mut receiver).await {
            Ok(Ok(response)) => {
                let mut quota = lock(&state.quota);
                return OwnerReply::Decision(quota.receive_token(
                    team,
                    owner,
                    &response,
                    Instant::now(),
                ));
            }
            Ok(Err(_)) => return OwnerReply::LocalDelay,
            Err(_) if sent_at.elapsed() > response_timeout * 2 => return OwnerReply::LocalDelay,
            Err(_) => {}
        }
    }
    OwnerReply::Silent
}

/// Returns the timeout for the response of another host, by its distance.
pub(crate) fn response_timeout(state: &GatewayState, host: &Name) -> Duration {
    let peers = lock(&state.peers);
    let is_near = peers.get(host).is_some_and(|record| {
        state.regions.is_same_region(&record.host.zone, &state.local_host.zone)
    });
    if is_near { NEAR_RESPONSE_TIMEOUT } else { FAR_RESPONSE_TIMEOUT }
}

/// Token request that waits for a response. Dropping it ends the wait: a caller may close its connection
/// before the response arrives.
struct PendingRequest<'a> {
    tokens: &'a TokenState,
    request_id: u64,
}

impl<'a> PendingRequest<'a> {
    fn insert(tokens: &'a TokenState, request_id: u64) -> (Self, oneshot::Receiver<TokenResponse>) {
        let (sender, receiver) = oneshot::channel();
        lock(&tokens.pending_requests).insert(request_id, sender);
        (PendingRequest { tokens, request_id }, receiver)
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        lock(&self.tokens.pending_requests).remove(&self.request_id);
    }
}

/// Excludes a silent owner, so that this host's next requests turn to another one at once.
fn exclude_owner(state: &GatewayState, owner: &HostId, team: &Name) {
    if state.slots.exclude_owner(owner, Instant::now()) {
        log::warn!(
            peer = &*owner.address, incarnation = owner.incarnation, team = &**team;
            "token-owner-silent"
        );
    }
}

/// Handles a token request from another host.
pub(crate) async fn handle_token_request(
    state: &Arc<GatewayState>,
    from: &Name,
    request: TokenRequest,
) {
    let now = Instant::now();
    let host = HostId { address: from.clone(), incarnation: request.incarnation };
    let team = lock(&state.quota).team_name(request.team);
    // This host has not read the team's declaration yet. Without a response the requesting host turns to the
    // next owner.
    let Some(team) = team else { return };
    let is_new_owner = is_new_owner(state, &team, now);
    let limits_retries = limits_retries(state);
    let response = {
        let mut quota = lock(&state.quota);
        quota.limit_retries(limits_retries);
        if is_new_owner {
            quota.limit_new_owner(request.team, now);
        }
        quota.grant_token(&host, &request, now)
    };
    if let Some(response) = response {
        send_to_host(state, HostMessage::TokenResponse(response), from).await;
    }
}

/// Handles an owner's response to a token request.
pub(crate) fn handle_token_response(state: &GatewayState, response: TokenResponse) {
    let pending = lock(&state.tokens.pending_requests).remove(&response.request_id);
    // A response to a request that no longer waits is late; its token is not used.
    let _ = pending.map(|sender| sender.send(response));
}
