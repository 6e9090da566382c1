//! Records of the software that began streams: sent to a few hosts, and asked for when a caller takes a
//! stream up.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use cuminramp_fleet::{
    FleetTarget, HostMessage, KnownOrigin, OriginRequest, OriginResponse, OriginSearch,
    SoftwareVersion, StreamOrigin, StreamRecords, name_hash,
};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::peers::send_to_host;
use crate::slots::group_owners;
use crate::state::{GatewayState, lock};
use crate::tokens::response_timeout;

/// Number of times that hosts are asked. More than one, since a datagram may get lost.
const MAX_REQUESTS: u32 = 2;

/// Answer of another host.
#[derive(Debug)]
struct HostAnswer {
    address: Name,
    origin: KnownOrigin,
}

/// Records that this host holds, and searches that wait for answers.
#[derive(Debug, Default)]
pub(crate) struct StreamState {
    records: Mutex<StreamRecords>,
    next_request_id: AtomicU64,
    searches: Mutex<SortedMap<u64, mpsc::UnboundedSender<HostAnswer>>>,
}

impl StreamState {
    /// Forgets streams that began at a target which has started again with other software.
    pub(crate) fn forget_target(&self, target: u32, software: SoftwareVersion) {
        lock(&self.records).forget_target(target, software);
    }
}

/// A stream that a caller takes up.
#[derive(Debug)]
pub(crate) struct StreamQuery<'a> {
    /// The stream, as returned by [`stream_key`](cuminramp_fleet::stream_key).
    pub(crate) stream: u64,
    /// Whether the caller names the request that began the stream.
    pub(crate) is_named: bool,
    /// Pool at which the stream began if no host has a record; `None` if it may have been one of several.
    pub(crate) pool: Option<&'a Name>,
    /// Time before now in which the stream may have begun.
    pub(crate) window: Duration,
}

impl StreamQuery<'_> {
    fn to_request(&self, request_id: u64) -> OriginRequest {
        let window_ms = u32::try_from(self.window.as_millis()).unwrap_or(u32::MAX);
        let pool = self.pool.map(|pool| name_hash(pool));
        OriginRequest { request_id, stream: self.stream, pool, window_ms }
    }
}

/// Records at this host and a few others which software began a stream.
pub(crate) async fn record_stream(state: &GatewayState, stream: u64, target: &FleetTarget) {
    let now = Instant::now();
    let origin =
        StreamOrigin { stream, software: target.software(), target: name_hash(&target.id) };
    lock(&state.streams.records).record(origin, now);
    let holders = lock(&state.peers).stream_holders(stream, now);
    if let Some(socket) = state.socket.get() {
        socket.send(&HostMessage::StreamOrigin(origin), &holders).await;
    }
}

/// Returns the software that began a stream, from the record of this host or of others; `None` if it is not
/// known.
pub(crate) async fn find_origin(
    state: &GatewayState,
    query: &StreamQuery<'_>,
) -> Option<SoftwareVersion> {
    let mut search = OriginSearch::new(query.is_named);
    let request_id = state.streams.next_request_id.fetch_add(1, Ordering::Relaxed);
    let request = query.to_request(request_id);
    if let Some(software) = search.receive(known_origin(state, &request)) {
        return Some(software);
    }
    let (_pending, mut answers) = PendingSearch::insert(&state.streams, request_id);
    let mut asked = hosts_to_ask(state, query);
    for _ in 0..MAX_REQUESTS {
        if asked.is_empty() {
            break;
        }
        if let Some(socket) = state.socket.get() {
            socket.send(&HostMessage::OriginRequest(request), &asked).await;
        }
        let deadline = Instant::now() + answer_timeout(state, &asked);
        while !asked.is_empty()
            && let Ok(Some(answer)) = timeout_at(deadline, answers.recv()).await
        {
            asked.retain(|address| *address != answer.address);
            if let Some(software) = search.receive(answer.origin) {
                return Some(software);
            }
        }
    }
    search.finish()
}

/// Returns the hosts that may have the record, and those that own the pool's targets: they know the targets
/// also in a large fleet.
fn hosts_to_ask(state: &GatewayState, query: &StreamQuery<'_>) -> Vec<Name> {
    let mut hosts = query.pool.map_or_else(Vec::new, |pool| group_owners(state, pool));
    if query.is_named {
        let peers = lock(&state.peers);
        hosts.extend(peers.possible_stream_holders(query.stream, Instant::now()));
    }
    hosts.retain(|host| *host != state.local_host.address);
    hosts.sort();
    hosts.dedup();
    hosts
}

/// Returns the timeout for the answers of hosts, by the one that is farthest away. Callers wait for it
/// whenever hosts that may have the record were killed.
fn answer_timeout(state: &GatewayState, hosts: &[Name]) -> Duration {
    hosts.iter().map(|host| response_timeout(state, host)).max().unwrap_or_default()
}

/// Returns what this host knows of a stream. Without the store it does not count as watching the targets.
fn known_origin(state: &GatewayState, request: &OriginRequest) -> KnownOrigin {
    let now = Instant::now();
    if let Some(software) = lock(&state.streams.records).find(request.stream, now) {
        return KnownOrigin::Recorded(software);
    }
    let Some(pool) = request.pool else { return KnownOrigin::Unknown };
    let window = Duration::from_millis(request.window_ms.into());
    match lock(&state.placement).pool_software(pool, window, now) {
        KnownOrigin::Single { software, is_watched } => {
            let is_watched = is_watched && state.relayed_store.is_reachable();
            KnownOrigin::Single { software, is_watched }
        }
        known => known,
    }
}

/// Search that waits for answers. Dropping it ends the wait: a caller may close its connection before they
/// arrive.
struct PendingSearch<'a> {
    streams: &'a StreamState,
    request_id: u64,
}

impl<'a> PendingSearch<'a> {
    fn insert(
        streams: &'a StreamState,
        request_id: u64,
    ) -> (Self, mpsc::UnboundedReceiver<HostAnswer>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&streams.searches).insert(request_id, sender);
        (PendingSearch { streams, request_id }, receiver)
    }
}

impl Drop for PendingSearch<'_> {
    fn drop(&mut self) {
        lock(&self.streams.searches).remove(&self.request_id);
    }
}

/// Handles the record of a stream that another host began.
pub(crate) fn handle_stream_origin(state: &GatewayState, origin: StreamOrigin) {
    lock(&state.streams.records).record(origin, Instant::now());
}

/// Handles the request of another host for the software that began a stream.
pub(crate) async fn handle_origin_request(
    state: &Arc<GatewayState>,
    from: &Name,
    request: OriginRequest,
) {
    let origin = known_origin(state, &request);
    let response = OriginResponse { request_id: request.request_id, origin };
    send_to_host(state, HostMessage::OriginResponse(response), from).await;
}

/// Handles the answer of another host. One that no search waits for is late.
pub(crate) fn handle_origin_response(state: &GatewayState, from: &Name, response: OriginResponse) {
    let searches = lock(&state.streams.searches);
    if let Some(sender) = searches.get(&response.request_id) {
        let _ = sender.send(HostAnswer { address: from.clone(), origin: response.origin });
    }
}
