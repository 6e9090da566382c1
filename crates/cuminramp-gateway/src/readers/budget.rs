//! Decides which callers' responses end because they stay unread.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_core::{Name, SortedMap};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Response that a caller reads.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ReaderTag {
    /// Request ID of the response, for logs.
    pub(crate) request_id: Name,
    /// Team of the request, for logs.
    pub(crate) team: Name,
    /// Time without a read after which the caller has given up; `None` if it is unknown.
    pub(crate) give_up_after: Option<Duration>,
    /// Bytes that this host may hold for the response in addition to those that wait to be written.
    pub(crate) fixed_bytes: u64,
}

/// Why a response ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EndReason {
    /// The host held more bytes than its bound.
    Bound,
    /// The caller did not read for as long as callers wait at most.
    Unread,
}

impl EndReason {
    /// Returns the label in logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            EndReason::Bound => "bound",
            EndReason::Unread => "unread",
        }
    }
}

/// A response that is to end.
#[derive(Debug)]
pub(crate) struct EndedReader {
    pub(crate) tag: Arc<ReaderTag>,
    pub(crate) reason: EndReason,
    /// Bytes held for it.
    pub(crate) held_bytes: u64,
    /// Time since its caller read last.
    pub(crate) unread: Duration,
    /// Closes the connection when it is cancelled.
    pub(crate) end: CancellationToken,
}

/// A connection whose last write had to wait.
#[derive(Debug)]
struct BlockedReader {
    tag: Arc<ReaderTag>,
    held_bytes: u64,
    unread_since: Instant,
    end: CancellationToken,
}

impl BlockedReader {
    fn has_given_up(&self, now: Instant) -> bool {
        let unread = now.saturating_duration_since(self.unread_since);
        self.tag.give_up_after.is_some_and(|limit| unread > limit)
    }

    fn into_ended(self, reason: EndReason, now: Instant) -> EndedReader {
        EndedReader {
            tag: self.tag,
            reason,
            held_bytes: self.held_bytes,
            unread: now.saturating_duration_since(self.unread_since),
            end: self.end,
        }
    }
}

/// Bytes held for callers whose connections take no more, and the bound on their sum.
///
/// A caller that keeps up has no entry.
#[derive(Debug)]
pub(crate) struct ReaderBudget {
    max_bytes: u64,
    held_bytes: u64,
    peak_bytes: u64,
    blocked: SortedMap<u64, BlockedReader>,
}

impl ReaderBudget {
    /// Creates a budget of `max_bytes`.
    pub(crate) fn new(max_bytes: u64) -> Self {
        ReaderBudget { max_bytes, held_bytes: 0, peak_bytes: 0, blocked: SortedMap::new() }
    }

    /// Records that `pending_bytes` of connection `id` wait, and returns the responses that end to keep the
    /// sum within the bound: those unread for the longest time, or the new one if it exceeds the bound alone.
    pub(crate) fn record_blocked(
        &mut self,
        id: u64,
        tag: &Arc<ReaderTag>,
        end: &CancellationToken,
        pending_bytes: u64,
        has_read: bool,
        now: Instant,
    ) -> Vec<EndedReader> {
        if end.is_cancelled() {
            return vec![];
        }
        let earlier = self.remove(id).filter(|_| !has_read);
        let blocked = BlockedReader {
            tag: tag.clone(),
            held_bytes: pending_bytes + tag.fixed_bytes,
            unread_since: earlier.map_or(now, |earlier| earlier.unread_since),
            end: end.clone(),
        };
        if blocked.held_bytes > self.max_bytes {
            return vec![blocked.into_ended(EndReason::Bound, now)];
        }
        self.held_bytes += blocked.held_bytes;
        self.blocked.insert(id, blocked);
        let mut ended = Vec::new();
        while self.held_bytes > self.max_bytes {
            let Some(longest) = self.longest_unread().and_then(|id| self.remove(id)) else { break };
            ended.push(longest.into_ended(EndReason::Bound, now));
        }
        self.peak_bytes = self.peak_bytes.max(self.held_bytes);
        ended
    }

    /// Records that nothing of connection `id` waits any more, or that it is closed.
    pub(crate) fn record_unblocked(&mut self, id: u64) {
        self.remove(id);
    }

    /// Returns the responses whose callers have given up.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<EndedReader> {
        let given_up = self.blocked.iter().filter(|(_, reader)| reader.has_given_up(now));
        let ids: Vec<u64> = given_up.map(|(id, _)| *id).collect();
        let removed = ids.into_iter().filter_map(|id| self.remove(id));
        removed.map(|reader| reader.into_ended(EndReason::Unread, now)).collect()
    }

    /// Returns the highest number of bytes held since the last call.
    pub(crate) fn take_peak(&mut self) -> u64 {
        std::mem::replace(&mut self.peak_bytes, self.held_bytes)
    }

    fn longest_unread(&self) -> Option<u64> {
        let longest = self.blocked.iter().min_by_key(|(_, reader)| reader.unread_since);
        longest.map(|(id, _)| *id)
    }

    fn remove(&mut self, id: u64) -> Option<BlockedReader> {
        let removed = self.blocked.remove(&id)?;
        self.held_bytes -= removed.held_bytes;
        Some(removed)
    }
}

#[cfg(test)]
mod tests;
