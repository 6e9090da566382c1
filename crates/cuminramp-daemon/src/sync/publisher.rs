//! Publishes new generations to the table.

use std::sync::Arc;
use std::time::Duration;

use cuminramp_platform::{CommitOutcome, StoreError, Transaction};
use cuminramp_routes::DeclarationError;
use cuminramp_wire::rows::change::Entry;
use cuminramp_wire::rows::{Change, ChangeSet, HeadRow};
use cuminramp_wire::{decode_row, encode_row};
use serde_json::Value;

use crate::peer::spread_updates;
use crate::state::DaemonState;
use crate::sync::configuration::{VersionedHead, read_generations, read_head};
use crate::sync::{HEAD_KEY, change_key, snapshot_name};

/// Maximum number of attempts to read back a write whose response was lost.
const MAX_READ_BACK_ATTEMPTS: u32 = 20;
/// Interval between attempts to read back a write.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between attempts to write withdrawals that the table lacks.
const WITHDRAWAL_WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a change was not accepted.
#[derive(Clone, Debug)]
pub(crate) enum PublishError {
    /// The change was based on a generation that is not the newest one.
    Conflict {
        /// The generation in force.
        generation: u64,
        /// Changes that the rejected change would make to it, in the format of the operator API.
        difference: Vec<Value>,
    },
    /// The resulting configuration would be invalid.
    Invalid(Vec<DeclarationError>),
    /// The table is unreachable; nothing was written.
    Unavailable(String),
    /// Outcome unknown: the response to the write was lost, and reading it back did not settle whether the
    /// change was written.
    Unknown(String),
}

/// Writes `changes` as the generation after `expected`, and puts it in force here.
///
/// One transaction writes the head row, by compare-and-set, and the row of the change set, so of two
/// concurrent operators one gets a conflict. If the response is lost, the row of the change set is read
/// back: it holds the id of the writer that won.
pub(crate) async fn publish_changes(
    state: &Arc<DaemonState>,
    expected: u64,
    changes: Vec<Change>,
) -> Result<u64, PublishError> {
    let VersionedHead { row: head, version } =
        read_generations(state).await.map_err(unavailable)?;
    if head.generation != expected {
        return Err(PublishError::Conflict { generation: head.generation, difference: Vec::new() });
    }
    let set = ChangeSet { generation: expected + 1, writer: state.unique_writer_id(), changes };
    check_changes(state, &set)?;
    let next = HeadRow { generation: set.generation, writer: set.writer.clone(), ..head };
    let transaction = Transaction::default()
        .put_if_version(HEAD_KEY, version, encode_row(&next))
        .put_if_version(change_key(set.generation), 0, encode_row(&set));
    match state.platform.table.commit(transaction).await {
        Ok(CommitOutcome::Committed(_)) => {}
        Ok(CommitOutcome::Conflict(_)) => return Err(latest_conflict(state).await),
        Err(StoreError::Unavailable(reason)) => return Err(PublishError::Unavailable(reason)),
        Err(StoreError::Unknown(_)) => resolve_unknown_outcome(state, &set).await?,
    }
    let generation = set.generation;
    if !state.configuration.apply_changes(set) {
        read_generations(state).await.map_err(|error| PublishError::Unknown(error.to_string()))?;
    }
    log::info!(generation = generation, decision = "accepted"; "generation");
    spread_updates(state).await;
    write_snapshot(state, generation);
    Ok(generation)
}

fn unavailable(error: StoreError) -> PublishError {
    PublishError::Unavailable(error.to_string())
}

fn check_changes(state: &DaemonState, set: &ChangeSet) -> Result<(), PublishError> {
    let in_force = state.configuration.in_force();
    let Ok(next) = in_force.configuration.apply(set) else {
        return Err(PublishError::Conflict {
            generation: in_force.configuration.generation,
            difference: Vec::new(),
        });
    };
    let errors = next.check();
    if errors.is_empty() { Ok(()) } else { Err(PublishError::Invalid(errors)) }
}

/// Returns a conflict with the newest generation, as far as the table can be read.
async fn latest_conflict(state: &DaemonState) -> PublishError {
    let _ = read_generations(state).await;
    PublishError::Conflict { generation: state.configuration.generation(), difference: Vec::new() }
}

/// Determines by reading back whether a write whose response was lost took effect.
async fn resolve_unknown_outcome(state: &DaemonState, set: &ChangeSet) -> Result<(), PublishError> {
    let key = change_key(set.generation);
    for _ in 0..MAX_READ_BACK_ATTEMPTS {
        if let Ok(rows) = state.platform.table.read(std::slice::from_ref(&key)).await {
            let row = rows.into_iter().next().flatten();
            let written = row.and_then(|row| decode_row::<ChangeSet>(&row.value).ok());
            return match written {
                Some(written) if written.writer == set.writer => Ok(()),
                Some(_) => Err(latest_conflict(state).await),
                // The write may still be in flight.
                None => {
                    Err(PublishError::Unknown("the table has not applied the write so far".into()))
                }
            };
        }
        tokio::time::sleep(READ_BACK_INTERVAL).await;
    }
    Err(PublishError::Unknown(
        "the table is unreachable, so the outcome of the write is unknown".into(),
    ))
}

/// Writes the full configuration as one object, every `snapshot_every` generations, so that a starting
/// host reads one snapshot and few change sets.
fn write_snapshot(state: &Arc<DaemonState>, generation: u64) {
    if !generation.is_multiple_of(state.settings.configuration.snapshot_every) {
        return;
    }
    let state = state.clone();
    state.tasks.clone().spawn(async move {
        let in_force = state.configuration.in_force();
        let snapshot = in_force.configuration.to_snapshot();
        let generation = snapshot.generation;
        let body = encode_row(&snapshot).into();
        if state.platform.objects.put(&snapshot_name(generation), body).await.is_err() {
            return;
        }
        if let Err(error) = update_head_snapshot(&state, generation).await {
            log::warn!(generation = generation, reason = error.to_string().as_str(); "snapshot");
        }
    });
}

/// Names the snapshot in the head row, unless the row already names a newer one.
async fn update_head_snapshot(state: &DaemonState, generation: u64) -> Result<(), StoreError> {
    let VersionedHead { row: head, version } = read_head(state).await?;
    if head.generation == 0 || head.snapshot >= generation {
        return Ok(());
    }
    let next = HeadRow { snapshot: generation, ..head };
    let transaction = Transaction::default().put_if_version(HEAD_KEY, version, encode_row(&next));
    state.platform.table.commit(transaction).await.map(drop)
}

/// Writes the withdrawals that the table lacks, and retries until it has them.
pub(crate) async fn publish_withdrawals(state: Arc<DaemonState>) {
    loop {
        tokio::time::sleep(WITHDRAWAL_WRITE_INTERVAL).await;
        let pending = state.configuration.withdrawals();
        if pending.digests().is_empty() {
            continue;
        }
        let entries =
            pending.digests().iter().map(|key| Entry::WithdrawnKey(key.as_bytes().to_vec()));
        let changes = entries.map(|entry| Change { entry: Some(entry) }).collect();
        let expected = state.configuration.generation();
        if let Err(error) = publish_changes(&state, expected, changes).await {
            log::info!(reason = format!("{error:?}").as_str(); "withdrawal-waits");
        }
    }
}
