//! Results of jobs in the object store.

use bytes::{Bytes, BytesMut};
use cuminramp_core::Refusal;
use cuminramp_platform::StoreError;
use cuminramp_wire::rows::{ChunkState, JobRow};
use serde::{Deserialize, Serialize};

use crate::batch::jobs::{output_job, read_chunks};
use crate::batch::manifest_name;
use crate::entry::files::store_refusal;
use crate::state::DaemonState;

/// The segments that hold a finished job's results. It is stored in the object store, so that results
/// can be read while the table is unavailable.
#[derive(Debug, Deserialize, Serialize)]
struct JobManifest {
    team: String,
    segments: Vec<SegmentEntry>,
}

/// One chunk's results and their counts.
#[derive(Debug, Deserialize, Serialize)]
struct SegmentEntry {
    name: String,
    completed: u32,
    failed: u32,
}

/// Returns the name of a chunk's results. It contains the lease's fencing number, so that two hosts that
/// worked on the same chunk never write the same object.
pub(crate) fn segment_name(job: &str, index: u32, fence: u64) -> String {
    format!("results/{job}/{index:06}-{fence}")
}

/// Returns the name of the object with a segment's output (`success`) or errors.
pub(crate) fn segment_object(segment: &str, success: bool) -> String {
    format!("{segment}.{}", if success { "output" } else { "error" })
}

/// Writes the manifest, which lists a job's committed results.
///
/// The manifest may be written again, also by another host: a committed chunk never changes, so a later
/// manifest lists at least the same segments.
pub(crate) async fn write_manifest(state: &DaemonState, row: &JobRow) -> Result<(), StoreError> {
    let chunks = read_chunks(state, &row.id).await?;
    let done = chunks.into_iter().filter(|chunk| chunk.row.state() == ChunkState::Done);
    let segments = done.map(|chunk| SegmentEntry {
        name: chunk.row.segment,
        completed: chunk.row.completed,
        failed: chunk.row.failed,
    });
    let manifest = JobManifest { team: row.team.clone(), segments: segments.collect() };
    let body = serde_json::to_vec(&manifest)
        .map_err(|error| StoreError::Unavailable(error.to_string()))?;
    state.platform.objects.put(&manifest_name(&row.id), body.into()).await
}

/// Reads the output or error file of a team's finished job. Returns `None` if `file` is not such a file
/// of the team.
pub(crate) async fn read_output(
    state: &DaemonState,
    team: &str,
    file: &str,
) -> Result<Option<Bytes>, Refusal> {
    let Some((job, success)) = output_job(file) else {
        return Ok(None);
    };
    let objects = &state.platform.objects;
    let Some(body) = objects.get(&manifest_name(&job)).await.map_err(store_refusal)? else {
        return Ok(None);
    };
    let manifest: Option<JobManifest> = serde_json::from_slice(&body).ok();
    let Some(manifest) = manifest.filter(|manifest| manifest.team == team) else {
        return Ok(None);
    };
    let mut content = BytesMut::new();
    for segment in manifest.segments {
        let count = if success { segment.completed } else { segment.failed };
        if count == 0 {
            continue;
        }
        let object = segment_object(&segment.name, success);
        let body = objects.get(&object).await.map_err(store_refusal)?;
        // Skipping a committed segment that is missing would return an incomplete file as complete.
        let body = body.ok_or_else(|| {
            store_refusal(StoreError::Unavailable(format!("{object} is missing")))
        })?;
        content.extend_from_slice(&body);
    }
    Ok(Some(content.freeze()))
}
