//! Inputs of jobs in the store, which are deleted once no item needs them.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use cuminramp_platform::{StoreError, Transaction};
use cuminramp_wire::decode_row;
use cuminramp_wire::fleet::{JobInput, JobRow};

use super::names::{input_key, input_object, input_prefix};
use crate::state::GatewayState;

/// Number of attempts to delete an input. One that is left over uses space in the store, and nothing else.
const DELETE_ATTEMPTS: usize = 3;
/// Delay after a failed attempt.
const DELETE_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Reads a job's input from its rows or its object.
pub(super) async fn read_input(state: &GatewayState, job: &JobRow) -> Result<JobInput, StoreError> {
    let bytes = match job.input_rows {
        0 => read_input_object(state, job).await?,
        rows => read_input_rows(state, job, rows as usize).await?,
    };
    decode_row::<JobInput>(&bytes).map_err(|error| StoreError::Unknown(error.to_string()))
}

async fn read_input_object(state: &GatewayState, job: &JobRow) -> Result<Bytes, StoreError> {
    let name = input_object(&job.team, &job.id);
    let object = state.store.get(&name).await?;
    object.ok_or_else(|| StoreError::Unknown(format!("object {name} does not exist")))
}

async fn read_input_rows(
    state: &GatewayState,
    job: &JobRow,
    rows: usize,
) -> Result<Bytes, StoreError> {
    let prefix = input_prefix(&job.team, &job.id);
    let found = state.store.scan(&prefix, "", rows).await?;
    if found.len() != rows {
        return Err(StoreError::Unknown(format!("{prefix} has {} of {rows} rows", found.len())));
    }
    let mut bytes = BytesMut::new();
    found.iter().for_each(|row| bytes.extend_from_slice(&row.value));
    Ok(bytes.freeze())
}

/// Deletes the input of a job that is done or has ended.
pub(super) fn delete_input(state: &Arc<GatewayState>, job: &JobRow) {
    let (state, job) = (state.clone(), job.clone());
    tokio::spawn(async move {
        for _ in 0..DELETE_ATTEMPTS {
            let Err(error) = try_delete_input(&state, &job).await else { return };
            let reason = error.to_string();
            log::warn!(job = job.id.as_str(), reason = reason.as_str(); "input-not-deleted");
            tokio::select! {
                () = tokio::time::sleep(DELETE_RETRY_DELAY) => {}
                () = state.stop.cancelled() => return,
            }
        }
    });
}

async fn try_delete_input(state: &GatewayState, job: &JobRow) -> Result<(), StoreError> {
    if job.input_rows == 0 {
        return state.store.delete(&input_object(&job.team, &job.id)).await;
    }
    let pieces = 0..job.input_rows as usize;
    let deletes = pieces.map(|piece| input_key(&job.team, &job.id, piece)).collect();
    let transaction = Transaction { deletes, ..Transaction::default() };
    state.store.commit(transaction).await.map(drop)
}
