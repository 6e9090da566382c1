//! Reads the items of leased chunks and queues them.

use std::sync::Arc;

use cuminramp_batch::{BatchItem, ChunkRange, HeldLease, ItemError, ItemOutcome, parse_input};
use cuminramp_platform::StoreError;
use cuminramp_routes::RouteQuery;

use crate::batch::chunks::finish_chunk;
use crate::batch::leased::{ItemRef, LeasedChunk, LeasedItem, LeasedRow, TrackedJob};
use crate::batch::runner::end_without_route;
use crate::entry::files::file_object;
use crate::state::{DaemonState, lock};

/// Reads the items of a leased chunk from the input file.
pub(super) async fn load_chunk(
    state: &DaemonState,
    job: &Arc<TrackedJob>,
    leased: LeasedRow,
    range: ChunkRange,
) -> Result<Arc<LeasedChunk>, StoreError> {
    let object = file_object(&job.team, &job.row.input_file);
    let body = state.platform.objects.get_range(&object, range.start, range.end).await?;
    let Some(body) = body else {
        return Err(StoreError::Unavailable(format!("{object} is missing")));
    };
    let text = String::from_utf8_lossy(&body);
    let mut items: Vec<LeasedItem> =
        parse_input(&text, range.first_line as usize).into_iter().map(leased_item).collect();
    for counted in &leased.row.suspects {
        if let Some(item) = items.get_mut(counted.index as usize) {
            item.crashes = Some(counted.crashes);
        }
    }
    Ok(Arc::new(LeasedChunk {
        job: job.clone(),
        index: leased.row.index,
        lease: HeldLease { host: state.me.id.clone(), fence: leased.row.fence },
        items: std::sync::Mutex::new(items),
        row: tokio::sync::Mutex::new(leased),
        dropped: job.closed.child_token(),
    }))
}

/// Returns a parsed input line as an item of a leased chunk. An invalid line has failed already.
fn leased_item(parsed: Result<BatchItem, ItemError>) -> LeasedItem {
    match parsed {
        Ok(item) => LeasedItem {
            custom_id: item.custom_id.clone(),
            item: Some(item),
            outcome: None,
            failures: 0,
            crashes: None,
        },
        Err(error) => LeasedItem {
            custom_id: error.custom_id,
            item: None,
            outcome: Some(ItemOutcome::Failed(error.refusal)),
            failures: 0,
            crashes: None,
        },
    }
}

/// Queues a chunk's unfinished items. A chunk that has none is finished at once.
pub(super) fn queue_chunk(state: &Arc<DaemonState>, chunk: &Arc<LeasedChunk>) {
    let unfinished = chunk.unfinished_items();
    if unfinished.is_empty() {
        let (state, chunk) = (state.clone(), chunk.clone());
        state.tasks.clone().spawn(async move { finish_chunk(&state, &chunk).await });
        return;
    }
    for index in unfinished {
        queue_item(state, ItemRef { chunk: chunk.clone(), index });
    }
}

/// Queues an item for the pool that serves its model. An item whose model has no route fails.
pub(crate) fn queue_item(state: &Arc<DaemonState>, item: ItemRef) {
    let in_force = state.configuration.in_force();
    let (model, is_isolated) = {
        let items = lock(&item.chunk.items);
        let leased = &items[item.index];
        let model = leased.item.as_ref().map(|item| item.model.clone()).unwrap_or_default();
        (model, leased.crashes.is_some())
    };
    let route = in_force.index.find(&in_force.configuration, RouteQuery::Model(&model));
    let Some(pool) = route.map(|route| route.pool.clone()) else {
        return end_without_route(state, &item, &model);
    };
    let team = item.chunk.job.team.clone();
    let weight = in_force.configuration.teams.get(&*team).map_or(1, |team| team.weight);
    let mut waiting = lock(&state.batch.waiting);
    if is_isolated {
        waiting.isolated.get_or_insert_with(pool, Default::default).push_back(item);
    } else {
        waiting.ready.get_or_insert_with(pool, Default::default).push(&team, weight, 1, item);
    }
}
