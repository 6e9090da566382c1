//! The reading side of callers' connections, as seen by this host.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_fleet::{RouteKind, RouteRule};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::socket::{RESPONSE_FIXED_BYTES, STREAM_FIXED_BYTES};
use super::{EndedReader, ReaderTag};
use crate::state::{GatewayState, lock};

/// The caller of one connection, as the reader of its responses.
#[derive(Debug)]
pub(crate) struct CallerReader {
    id: u64,
    end: CancellationToken,
    tag: Mutex<Arc<ReaderTag>>,
    activity: Mutex<Activity>,
}

/// Use of a caller's connection.
#[derive(Debug)]
struct Activity {
    /// When bytes were read or written last.
    last_at: Instant,
    /// Whether a request waits for its response.
    is_serving: bool,
}

impl CallerReader {
    /// Creates the reader of a new connection, without a response yet.
    pub(crate) fn new() -> Self {
        static NEXT_ID: AtomicU64 = AtomicU64::new(0);
        CallerReader {
            id: NEXT_ID.fetch_add(1, Ordering::Relaxed),
            end: CancellationToken::new(),
            tag: Mutex::new(Arc::new(unknown_tag())),
            activity: Mutex::new(Activity { last_at: Instant::now(), is_serving: false }),
        }
    }

    /// Records that bytes were read or written.
    pub(super) fn record_activity(&self) {
        lock(&self.activity).last_at = Instant::now();
    }

    /// Records whether a request waits for its response.
    pub(crate) fn set_serving(&self, is_serving: bool) {
        *lock(&self.activity) = Activity { last_at: Instant::now(), is_serving };
    }

    /// Returns when the connection has been idle for `timeout`, if nothing happens on it until then.
    pub(crate) fn idle_at(&self, timeout: Duration) -> Instant {
        let activity = lock(&self.activity);
        let since = if activity.is_serving { Instant::now() } else { activity.last_at };
        since + timeout
    }

    /// Returns the token that is cancelled when the connection ends because it stays unread.
    pub(crate) fn end(&self) -> &CancellationToken {
        &self.end
    }

    /// Records that the following response is one without a route, for example a refusal or a job's result.
    pub(crate) fn reset_tag(&self) {
        *lock(&self.tag) = Arc::new(unknown_tag());
    }

    /// Records the response that is written from now on.
    pub(crate) fn set_tag(
        &self,
        request_id: Option<&Name>,
        team: Option<&Name>,
        route: &RouteRule,
    ) {
        let mut tag = unknown_tag();
        tag.request_id = request_id.cloned().unwrap_or(tag.request_id);
        tag.team = team.cloned().unwrap_or(tag.team);
        tag.give_up_after = Some(route.give_up_after());
        if route.kind == RouteKind::Stream {
            tag.fixed_bytes = STREAM_FIXED_BYTES;
        }
        *lock(&self.tag) = Arc::new(tag);
    }

    /// Records a write that has to wait.
    pub(super) fn record_blocked(&self, state: &GatewayState, pending_bytes: u64, has_read: bool) {
        let Some(budget) = &state.readers else { return };
        let tag = lock(&self.tag).clone();
        let now = Instant::now();
        let ended =
            lock(budget).record_blocked(self.id, &tag, &self.end, pending_bytes, has_read, now);
        end_unread(state, ended);
    }

    /// Records that nothing waits to be written.
    pub(super) fn record_unblocked(&self, state: &GatewayState) {
        if let Some(budget) = &state.readers {
            lock(budget).record_unblocked(self.id);
        }
    }
}

fn unknown_tag() -> ReaderTag {
    ReaderTag {
        request_id: "-".into(),
        team: "-".into(),
        give_up_after: None,
        fixed_bytes: RESPONSE_FIXED_BYTES,
    }
}

/// Logs and counts responses that end unread, and closes their connections.
fn end_unread(state: &GatewayState, ended: Vec<EndedReader>) {
    for reader in ended {
        state.metrics.count_ended_unread(reader.reason.as_str());
        log::info!(
            request_id = &*reader.tag.request_id, team = &*reader.tag.team,
            reason_kind = reader.reason.as_str(), held_bytes = reader.held_bytes,
            unread_ms = reader.unread.as_millis() as u64;
            "stream-ended-unread"
        );
        reader.end.cancel();
    }
}

/// Ends the responses whose callers have given up, and records the memory held for callers.
pub(crate) fn expire_unread(state: &GatewayState) {
    let Some(budget) = &state.readers else { return };
    let mut budget = lock(budget);
    let ended = budget.expire(Instant::now());
    let peak = budget.take_peak();
    drop(budget);
    state.metrics.record_held_for_readers(peak);
    end_unread(state, ended);
}
