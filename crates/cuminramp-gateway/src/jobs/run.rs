//! Runs items in slots that their owners hand out, and breaks them off where online work comes.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use cuminramp_core::Name;
use cuminramp_fleet::{
    FinishedItem, FleetTarget, ItemFailure, ItemProgress, ItemStart, JobSpec, WorkKind,
};
use http::{Method, StatusCode, Uri};
use http_body_util::BodyExt;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::writer::WriterCommand;
use crate::interfaces::TargetHead;
use crate::slots::ask_for_item_slots;
use crate::state::{GatewayState, lock};
use crate::targets::{
    EventOrder, EventSplitter, SendFailure, TargetAnswer, TargetRequest, TargetRun, send_request,
};

/// Between two looks at items that can be given up or may be tried again.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Pause after each look, so that a burst of changes is looked at once.
const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// Time without a byte after which an item goes on elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);
/// Between two notes of how far a running item came.
const NOTE_EVERY: Duration = Duration::from_millis(250);
/// Time that an item's target gets. It bounds work for a host that is gone.
const ITEM_LIMIT: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct RunningItem {
    job: Name,
    index: usize,
    target: Name,
    due: Instant,
    stop: CancellationToken,
}

/// Items on targets.
#[derive(Debug, Default)]
pub(crate) struct RunningItems {
    items: Mutex<Vec<RunningItem>>,
}

impl RunningItems {
    fn remove(&self, job: &str, index: usize, target: &str) {
        let mut items = lock(&self.items);
        let at = items
            .iter()
            .position(|item| *item.job == *job && item.index == index && *item.target == *target);
        if let Some(at) = at {
            items.swap_remove(at);
        }
    }

    /// Stops items of a job.
    fn stop_job(&self, job: &str) {
        for item in lock(&self.items).iter().filter(|item| *item.job == *job) {
            item.stop.cancel();
        }
    }

    /// Stops all items.
    pub(crate) fn stop_all(&self) {
        for item in lock(&self.items).iter() {
            item.stop.cancel();
        }
    }

    /// Whether none is running.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.items).is_empty()
    }

    /// Lets items leave a target until only `most` stay, those that are due last first; says how many
    /// leave.
    pub(crate) fn keep(&self, target: &str, most: u32) -> u32 {
        let items = lock(&self.items);
        let here = items.iter().filter(|item| *item.target == *target);
        let mut staying: Vec<&RunningItem> =
            here.filter(|item| !item.stop.is_cancelled()).collect();
        staying.sort_by_key(|item| std::cmp::Reverse(item.due));
        let leaving = staying.len().saturating_sub(most as usize);
        staying.iter().take(leaving).for_each(|item| item.stop.cancel());
        leaving as u32
    }
}

/// Stops work on a job that is no longer this host's.
pub(super) fn stop_job(state: &Arc<GatewayState>, job: &str) {
    lock(&state.jobs).remove(job);
    state.running.stop_job(job);
    state.writers.remove(job);
    state.request_heartbeat();
}

/// Asks for slots for items until the host leaves.
pub(crate) async fn run_items(state: Arc<GatewayState>) {
    loop {
        tokio::select! {
            () = state.items_wanted.notified() => {}
            () = tokio::time::sleep(LOOK_EVERY) => {}
            () = state.drain.cancelled() => return,
        }
        drop_expired(&state);
        ask_for_item_slots(&state);
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

fn drop_expired(state: &Arc<GatewayState>) {
    let given_up = lock(&state.jobs).drop_expired(Instant::now());
    for (job, finished) in given_up {
        log::info!(job = &*job, index = finished.index, reason = "too old"; "item-given-up");
        state.writers.send(&job, WriterCommand::List(finished));
    }
}

/// The pool that a job's items go to now.
pub(crate) fn pool_of(state: &GatewayState, spec: &JobSpec) -> Option<Name> {
    let declared = state.declared()?;
    let path = &spec.items.first()?.path;
    let route = declared.find_route(&spec.host, path)?;
    route.pick_pool(cuminramp_core::hash_parts(&[&spec.id])).cloned()
}

/// Whether a job's items go to a pool now, and may run in a zone.
pub(crate) fn may_run_in(state: &GatewayState, spec: &JobSpec, pool: &str, zone: &str) -> bool {
    if pool_of(state, spec).as_deref() != Some(pool) {
        return false;
    }
    let Some(declared) = state.declared() else { return false };
    let path = spec.items.first().map_or("", |item| &item.path);
    let route_homes = declared.find_route(&spec.host, path).map_or(&[][..], |route| &route.homes);
    let team_homes = declared.team(&spec.team).map_or(&[][..], |team| &team.homes);
    state.regions.limit(route_homes, team_homes).allows(zone)
}

/// Pools for which items of this host wait.
pub(crate) fn waiting_pools(state: &GatewayState) -> Vec<Name> {
    if state.is_draining() {
        return vec![];
    }
    let now = Instant::now();
    let jobs = lock(&state.jobs);
    let waiting = jobs.jobs().filter(|job| job.has_waiting(now));
    let mut pools: Vec<Name> = waiting.filter_map(|job| pool_of(state, job.spec())).collect();
    drop(jobs);
    pools.sort();
    pools.dedup();
    pools
}

/// Starts up to `most` items of a pool at a target; says how many.
pub(crate) fn fill_slots(
    state: &Arc<GatewayState>,
    pool: &str,
    target: &FleetTarget,
    most: u16,
) -> u16 {
    if state.is_draining() {
        return 0;
    }
    let now = Instant::now();
    for started in 0..most {
        let accepts = |spec: &JobSpec| may_run_in(state, spec, pool, &target.zone);
        let Some(start) = lock(&state.jobs).next(accepts, now) else { return started };
        start_item(state, start, target.clone());
    }
    most
}

fn start_item(state: &Arc<GatewayState>, start: ItemStart, target: FleetTarget) {
    let stop = CancellationToken::new();
    let due = lock(&state.jobs).get(&start.job).map_or_else(Instant::now, |job| job.spec().due);
    lock(&state.running.items).push(RunningItem {
        job: start.job.clone(),
        index: start.index,
        target: target.id.clone(),
        due,
        stop: stop.clone(),
    });
    let run = TargetRun::begin(state, target, WorkKind::Batch);
    tokio::spawn(run_item(state.clone(), start, run, stop));
}

/// How a run ended.
enum RunEnd {
    Whole,
    Failed(ItemFailure, String),
}

async fn run_item(
    state: Arc<GatewayState>,
    start: ItemStart,
    run: TargetRun,
    stop: CancellationToken,
) {
    let target = run.target.id.clone();
    let began = Instant::now();
    let resumed_after = start.progress.last_event;
    let mut progress = start.progress.clone();
    let end = tokio::select! {
        biased;
        () = stop.cancelled() => RunEnd::Failed(ItemFailure::GaveWay, "gave way".into()),
        () = state.stop.cancelled() => return,
        end = drive(&state, &start, run, &mut progress) => end,
    };
    progress.ran += began.elapsed();
    state.running.remove(&start.job, start.index, &target);
    let events = progress.last_event;
    let (word, reason) = match &end {
        RunEnd::Whole => ("whole", String::new()),
        RunEnd::Failed(failure, reason) => (failure_word(*failure), reason.clone()),
    };
    state.metrics.count_item(word);
    log::info!(
        job = &*start.job, item = &*start.item.id, target_id = &*target, outcome = word,
        reason = reason.as_str(), resumed_after = resumed_after.map_or(-1, |id| id as i64),
        last_event = events.map_or(-1, |id| id as i64),
        took_ms = began.elapsed().as_millis() as u64;
        "item-run"
    );
    finish_run(&state, &start, end, progress);
}

fn failure_word(failure: ItemFailure) -> &'static str {
    match failure {
        ItemFailure::GaveWay => "gave-way",
        ItemFailure::Broken => "broken",
        ItemFailure::Failed => "failed",
        ItemFailure::Impossible => "impossible",
    }
}

fn finish_run(state: &Arc<GatewayState>, start: &ItemStart, end: RunEnd, progress: ItemProgress) {
    let now = Instant::now();
    let finished: Option<FinishedItem> = match end {
        RunEnd::Whole => lock(&state.jobs).complete(&start.job, start.index, progress, now),
        RunEnd::Failed(failure, _) => {
            lock(&state.jobs).fail(&start.job, start.index, failure, progress, now)
        }
    };
    if let Some(finished) = finished {
        state.writers.send(&start.job, WriterCommand::List(finished));
    }
    state.items_wanted.notify_one();
    state.request_heartbeat();
}

fn broken(reason: impl Into<String>) -> RunEnd {
    RunEnd::Failed(ItemFailure::Broken, reason.into())
}

async fn drive(
    state: &Arc<GatewayState>,
    start: &ItemStart,
    run: TargetRun,
    progress: &mut ItemProgress,
) -> RunEnd {
    let Some(spec) = lock(&state.jobs).get(&start.job).map(|job| job.spec().clone()) else {
        return RunEnd::Failed(ItemFailure::GaveWay, "the job is gone".into());
    };
    let head = TargetHead {
        deadline: Some(ITEM_LIMIT),
        team: Some(&spec.team),
        target: &run.target.id.clone(),
        last_event: progress.last_event,
    };
    let headers = match state.calls.item_headers(&start.item, &spec.host, &head) {
        Ok(headers) => headers,
        Err(error) => return RunEnd::Failed(ItemFailure::Failed, error.to_string()),
    };
    let Ok(path) = start.item.path.parse::<Uri>() else {
        return RunEnd::Failed(ItemFailure::Failed, "the path can't be used".into());
    };
    let request = TargetRequest {
        method: Method::POST,
        path,
        headers,
        body: start.item.body.clone(),
        request_id: Some(start.item.id.clone()),
        is_fresh: false,
        head_limit: SILENCE_LIMIT,
    };
    match send_request(run, request).await {
        Ok(answer) => {
            let notes = ProgressNotes::new(state, start, progress);
            read_answer(answer, progress, notes).await
        }
        Err(failure @ (SendFailure::NotSent(_) | SendFailure::Refused { .. })) => {
            RunEnd::Failed(ItemFailure::GaveWay, failure.word().into())
        }
        Err(failure) => broken(format!("{failure:?}")),
    }
}

async fn read_answer(
    answer: TargetAnswer,
    progress: &mut ItemProgress,
    notes: ProgressNotes,
) -> RunEnd {
    let status = answer.parts.status;
    if status == StatusCode::UNPROCESSABLE_ENTITY {
        return RunEnd::Failed(ItemFailure::Impossible, status.to_string());
    }
    if status == StatusCode::INTERNAL_SERVER_ERROR {
        return RunEnd::Failed(ItemFailure::Failed, status.to_string());
    }
    if !status.is_success() {
        return broken(status.to_string());
    }
    read_events(answer, progress, notes).await
}

async fn read_events(
    mut answer: TargetAnswer,
    progress: &mut ItemProgress,
    mut notes: ProgressNotes,
) -> RunEnd {
    let mut splitter = EventSplitter::default();
    loop {
        let frame = match tokio::time::timeout(SILENCE_LIMIT, answer.body.frame()).await {
            Err(_) => {
                answer.run.end_failed();
                return broken("silent");
            }
            Ok(Some(Err(error))) => {
                answer.run.end_failed();
                return broken(error.to_string());
            }
            Ok(Some(Ok(frame))) => frame,
            Ok(None) if splitter.rest().is_empty() && progress.last_event.is_some() => {
                answer.run.end_whole(answer.head.keep_alive);
                return RunEnd::Whole;
            }
            Ok(None) => {
                answer.run.end_failed();
                return broken("ended in the middle of an event");
            }
        };
        let Ok(bytes) = frame.into_data() else { continue };
        splitter.push(&bytes);
        while let Some(event) = splitter.next_event() {
            let Some(id) = event.id else { continue };
            match EventOrder::of(Some(id), progress.last_event) {
                EventOrder::Repeated => continue,
                EventOrder::Gap(reason) => return broken(reason),
                EventOrder::Next => {}
            }
            if progress.last_event.is_some() {
                progress.text.push('\n');
            }
            progress.text.push_str(&event.data());
            progress.last_event = Some(id);
        }
        notes.note(progress);
        if let Some(reason) = splitter.overlong_event() {
            answer.run.end_failed();
            return broken(reason);
        }
    }
}

/// Tells the board of jobs now and then how far a running item came.
struct ProgressNotes {
    state: Arc<GatewayState>,
    job: Name,
    index: usize,
    began: Instant,
    ran_before: Duration,
    noted: Instant,
}

impl ProgressNotes {
    fn new(state: &Arc<GatewayState>, start: &ItemStart, progress: &ItemProgress) -> Self {
        let now = Instant::now();
        ProgressNotes {
            state: state.clone(),
            job: start.job.clone(),
            index: start.index,
            began: now,
            ran_before: progress.ran,
            noted: now,
        }
    }

    fn note(&mut self, progress: &ItemProgress) {
        if self.noted.elapsed() < NOTE_EVERY {
            return;
        }
        self.noted = Instant::now();
        let ran = self.ran_before + self.began.elapsed();
        let progress = ItemProgress { ran, ..progress.clone() };
        lock(&self.state.jobs).record_progress(&self.job, self.index, &progress);
    }
}
