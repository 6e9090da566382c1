//! Writes a new generation.

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

/// How often a write whose answer was lost is read back.
const SETTLE_TRIES: u32 = 20;
/// Waits between those tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(250);
/// How often withdrawals that the table lacks are written again.
const WITHDRAWAL_PAUSE: Duration = Duration::from_secs(1);

/// Why a change was not accepted.
#[derive(Clone, Debug)]
pub(crate) enum PublishError {
    /// Another generation is in force than the one the change was made for.
    Conflict {
        /// The one in force.
        generation: u64,
        /// What the change would alter of it, as the operators' interface shows changes.
        difference: Vec<Value>,
    },
    /// The result would be wrong.
    Invalid(Vec<DeclarationError>),
    /// The table can't be reached; nothing was written.
    Unavailable(String),
    /// The table did not say whether it took the change, and can't be asked.
    Unknown(String),
}

/// Writes `changes` as the generation after `expected`, and puts it in force here.
///
/// The row of the newest generation is compared and set together with the row of the change, so of
/// two operators one gets a conflict. Where the answer is lost, the row is read back: it holds the
/// mark of the writer that won.
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
    let set = ChangeSet { generation: expected + 1, writer: state.writer_mark(), changes };
    check_changes(state, &set)?;
    let next = HeadRow { generation: set.generation, writer: set.writer.clone(), ..head };
    let transaction = Transaction::default().put_at(HEAD_KEY, version, encode_row(&next)).put_at(
        change_key(set.generation),
        0,
        encode_row(&set),
    );
    match state.platform.table.commit(transaction).await {
        Ok(CommitOutcome::Committed(_)) => {}
        Ok(CommitOutcome::Conflict(_)) => return Err(conflict_now(state).await),
        Err(StoreError::Unavailable(reason)) => return Err(PublishError::Unavailable(reason)),
        Err(StoreError::Unknown(_)) => settle_unknown(state, &set).await?,
    }
    let generation = set.generation;
    if !state.configuration.take_changes(set) {
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
    let faults = next.check();
    if faults.is_empty() { Ok(()) } else { Err(PublishError::Invalid(faults)) }
}

async fn conflict_now(state: &DaemonState) -> PublishError {
    let _ = read_generations(state).await;
    PublishError::Conflict { generation: state.configuration.generation(), difference: Vec::new() }
}

/// Finds out whether a write whose answer was lost took effect.
async fn settle_unknown(state: &DaemonState, set: &ChangeSet) -> Result<(), PublishError> {
    let key = change_key(set.generation);
    for _ in 0..SETTLE_TRIES {
        if let Ok(rows) = state.platform.table.read(std::slice::from_ref(&key)).await {
            let row = rows.into_iter().next().flatten();
            let written = row.and_then(|row| decode_row::<ChangeSet>(&row.value).ok());
            return match written {
                Some(written) if written.writer == set.writer => Ok(()),
                Some(_) => Err(conflict_now(state).await),
                // It may still be on its way.
                None => {
                    Err(PublishError::Unknown("the table has not taken the write so far".into()))
                }
            };
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    Err(PublishError::Unknown("the table can't be asked whether it took the write".into()))
}

/// Now and then writes everything in force as one object, so that a host that starts reads little.
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
        if let Err(error) = point_to_snapshot(&state, generation).await {
            log::warn!(generation = generation, reason = error.to_string().as_str(); "snapshot");
        }
    });
}

async fn point_to_snapshot(state: &DaemonState, generation: u64) -> Result<(), StoreError> {
    let VersionedHead { row: head, version } = read_head(state).await?;
    if head.generation == 0 || head.snapshot >= generation {
        return Ok(());
    }
    let next = HeadRow { snapshot: generation, ..head };
    let transaction = Transaction::default().put_at(HEAD_KEY, version, encode_row(&next));
    state.platform.table.commit(transaction).await.map(drop)
}

/// Writes withdrawals that went ahead of the table, again and again until it has them.
pub(crate) async fn publish_withdrawals(state: Arc<DaemonState>) {
    loop {
        tokio::time::sleep(WITHDRAWAL_PAUSE).await;
        let waiting = state.configuration.withdrawals();
        if waiting.digests().is_empty() {
            continue;
        }
        let entries =
            waiting.digests().iter().map(|key| Entry::WithdrawnKey(key.as_bytes().to_vec()));
        let changes = entries.map(|entry| Change { entry: Some(entry) }).collect();
        let expected = state.configuration.generation();
        if let Err(error) = publish_changes(&state, expected, changes).await {
            log::info!(reason = format!("{error:?}").as_str(); "withdrawal-waits");
        }
    }
}
