//! Commits that are sent through other hosts as well if the store does not answer this one soon.

use std::time::Duration;

use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;

use crate::state::GatewayState;

/// Time without an answer after which a commit is sent through another host. An ordinary one takes some 10 ms,
/// and callers expect the acceptance of a job within about a second.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of other hosts through which a commit is sent, since the store may not answer them either.
const MAX_HEDGES: usize = 3;

/// Commits a transaction, and sends it through other hosts too if that takes long.
///
/// The transaction must have conditions that its own effect ends, so that it takes effect at most once.
/// A conflict may be due to that effect. As soon as one call has an outcome, the others can have no other effect.
pub(super) async fn commit_hedged(
    state: &GatewayState,
    transaction: Transaction,
) -> Result<CommitOutcome, StoreError> {
    let direct = state.store.commit(transaction.clone());
    tokio::pin!(direct);
    let mut hedges = FuturesUnordered::new();
    let mut sent = 0;
    loop {
        tokio::select! {
            biased;
            outcome = &mut direct => return with_hedges(outcome, sent),
            Some(Some(Ok(outcome))) = hedges.next() => return Ok(outcome),
            () = sleep(HEDGE_DELAY), if sent < MAX_HEDGES => {
                hedges.push(state.relayed_store.commit_elsewhere(transaction.clone()));
                sent += 1;
            }
        }
    }
}

/// Returns the outcome of the direct call. If it failed, a call through another host may still take effect.
fn with_hedges(
    outcome: Result<CommitOutcome, StoreError>,
    sent: usize,
) -> Result<CommitOutcome, StoreError> {
    match outcome {
        Err(StoreError::Unavailable(reason)) if sent > 0 => Err(StoreError::Unknown(reason)),
        outcome => outcome,
    }
}
