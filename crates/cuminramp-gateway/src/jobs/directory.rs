//! All jobs as the table lists them.

use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_trait::async_trait;
use cuminramp_core::{HostId, Name, SortedMap};
use cuminramp_fleet::{EndedJob, HeartbeatSchedule};
use cuminramp_platform::{Row, RowChange, TableSnapshot};
use cuminramp_wire::decode_row;
use cuminramp_wire::fleet::{JobPhase, JobRow};
use tokio::sync::watch;
use tokio::time::Instant;

use super::names::{JOBS, acceptance_lock_key, is_acceptance_lock};
use super::run::stop_job;
use crate::state::{GatewayState, lock};
use crate::sync::TableFollower;

/// Pause between two watches of jobs: progress of many jobs then comes in one answer. Callers read
/// about twice a second, and an ended job has to stop within seconds.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// The longest such pause. Every host watches every job, so in a large fleet most of the calls of the
/// store would be these.
const LONGEST_WATCH_PAUSE: Duration = Duration::from_millis(1_000);

/// Ends of jobs that one heartbeat tells. A heartbeat that grew over what receivers read, 60 KiB, would make
/// its host seem silent; this many are some 2 KB.
const MAX_REPORTED_ENDS: usize = 64;

/// Unix time in milliseconds.
pub(super) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}

/// A job with the version of its row.
#[derive(Clone, Debug)]
pub(crate) struct KnownJob {
    pub(crate) row: JobRow,
    pub(crate) version: u64,
}

impl KnownJob {
    /// Whether work on it goes on.
    pub(crate) fn is_open(&self) -> bool {
        self.row.phase() == JobPhase::Open
    }
}

#[derive(Debug, Default)]
struct DirectoryRows {
    jobs: SortedMap<Name, KnownJob>,
    gates: SortedMap<String, u64>,
    /// Jobs that were ended through this host, and when.
    ended: Vec<(EndedJob, Instant)>,
}

/// Jobs and gates of all teams, as of the last watch.
#[derive(Debug)]
pub(crate) struct JobDirectory {
    rows: Mutex<DirectoryRows>,
    changed: watch::Sender<u64>,
}

impl Default for JobDirectory {
    fn default() -> Self {
        JobDirectory { rows: Mutex::default(), changed: watch::Sender::new(0) }
    }
}

impl JobDirectory {
    /// A job by its identity.
    pub(crate) fn get(&self, id: &str) -> Option<KnownJob> {
        lock(&self.rows).jobs.get(id).cloned()
    }

    /// Takes a job's row if it is newer than what is known.
    pub(crate) fn put(&self, row: JobRow, version: u64) -> bool {
        let mut rows = lock(&self.rows);
        let id = Name::from(row.id.as_str());
        if rows.jobs.get(&id).is_some_and(|held| held.version >= version) {
            return false;
        }
        rows.jobs.insert(id, KnownJob { row, version });
        drop(rows);
        self.changed.send_modify(|count| *count += 1);
        true
    }

    /// A job was ended through this host: others learn of it.
    pub(crate) fn record_end(&self, job: &str, version: u64, now: Instant) {
        let mut rows = lock(&self.rows);
        if rows.ended.iter().any(|(ended, _)| *ended.job == *job) {
            return;
        }
        rows.ended.push((EndedJob { job: job.into(), version }, now));
    }

    /// Jobs that were ended through this host within the last `within`, the newest [`MAX_REPORTED_ENDS`];
    /// older ones are dropped.
    pub(crate) fn ended_lately(&self, within: Duration, now: Instant) -> Vec<EndedJob> {
        let mut rows = lock(&self.rows);
        rows.ended.retain(|(_, at)| now.duration_since(*at) < within);
        rows.ended.iter().rev().take(MAX_REPORTED_ENDS).map(|(ended, _)| ended.clone()).collect()
    }

    /// The version of a team's gate; 0 where it has none yet.
    pub(crate) fn acceptance_lock_version(&self, team: &str) -> u64 {
        lock(&self.rows).gates.get(&acceptance_lock_key(team)).copied().unwrap_or(0)
    }

    /// Takes a gate's version.
    pub(crate) fn put_acceptance_lock(&self, key: &str, version: u64) {
        let mut rows = lock(&self.rows);
        let held = rows.gates.get_or_insert_with(key.to_owned(), || 0);
        *held = (*held).max(version);
    }

    /// Tokens of a team's unfinished items on a route.
    pub(crate) fn waiting_tokens(&self, team: &str, route: &str) -> u64 {
        let rows = lock(&self.rows);
        let open = rows
            .jobs
            .values()
            .filter(|job| job.is_open() && job.row.team == team && job.row.route == route);
        open.map(|job| job.row.waiting_tokens).sum()
    }

    /// All open jobs.
    pub(crate) fn open_jobs(&self) -> Vec<KnownJob> {
        lock(&self.rows).jobs.values().filter(|job| job.is_open()).cloned().collect()
    }

    /// A receiver that wakes with each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Takes a row of the table, whichever it is; returns the job it is of.
    pub(crate) fn record_row(&self, row: &Row) -> Option<JobRow> {
        if is_acceptance_lock(&row.key) {
            self.put_acceptance_lock(&row.key, row.version);
            return None;
        }
        match decode_row::<JobRow>(&row.value) {
            Ok(job) => self.put(job.clone(), row.version).then_some(job),
            Err(error) => {
                let reason = error.to_string();
                log::warn!(
                    key = row.key.as_str(), row_version = row.version, reason = reason.as_str();
                    "job-unreadable"
                );
                None
            }
        }
    }
}

/// Follows the table of jobs.
pub(crate) struct JobsFollower;

#[async_trait]
impl TableFollower for JobsFollower {
    fn table(&self) -> &'static str {
        JOBS
    }

    fn pause(&self, schedule: &HeartbeatSchedule) -> Duration {
        schedule.scale(WATCH_PAUSE, LONGEST_WATCH_PAUSE)
    }

    async fn reset(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot) {
        for row in snapshot.rows {
            apply_row(state, &row);
        }
    }

    async fn change(&self, state: &Arc<GatewayState>, changes: Vec<RowChange>, _version: u64) {
        for change in changes.into_iter().filter(|change| !change.is_deleted) {
            apply_row(state, &change.row);
        }
    }
}

/// Takes word of another host that a job was ended through it. The row says the same, but a slow
/// store brings it late: with answers after half a second and reads refused for their number, items
/// of a job ran 3.5 s after its end.
pub(crate) fn notice_end(state: &Arc<GatewayState>, ended: &EndedJob, source: &HostId) {
    let Some(known) = state.directory.get(&ended.job) else { return };
    let mut row = known.row;
    row.phase = JobPhase::Ended as i32;
    row.waiting_tokens = 0;
    if !state.directory.put(row, ended.version) {
        return;
    }
    if lock(&state.jobs).get(&ended.job).is_some() {
        log::info!(
            job = &*ended.job, row_version = ended.version, source = &*source.address;
            "job-released"
        );
        stop_job(state, &ended.job);
    }
}

/// Takes a row, and lets a job go that ended or that another host holds.
pub(super) fn apply_row(state: &Arc<GatewayState>, row: &Row) {
    let Some(job) = state.directory.record_row(row) else { return };
    let is_mine =
        *job.holder_address == *state.me.address && job.holder_incarnation == state.me.incarnation;
    if is_mine && job.phase() == JobPhase::Open {
        return;
    }
    let is_held = lock(&state.jobs).get(&job.id).is_some();
    if is_held && (job.phase() == JobPhase::Ended || !is_mine) {
        log::info!(
            job = job.id.as_str(), phase = job.phase().as_str_name(),
            holder = job.holder_address.as_str(), fence = job.fence, row_version = row.version;
            "job-released"
        );
        stop_job(state, &job.id);
    }
}

#[cfg(test)]
mod tests;
