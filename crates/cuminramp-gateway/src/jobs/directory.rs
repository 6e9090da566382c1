//! Directory of all jobs of the fleet, as last read from the jobs table.

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
use crate::peers::renew_incarnation;
use crate::state::{GatewayState, lock};
use crate::sync::TableFollower;

/// Minimum pause between two watches of the jobs table, so that one response carries changes of many jobs.
/// Callers read results about twice a second, and an ended job has to stop within seconds.
const MIN_WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause between two watches in a large fleet. Every host watches every job, so with the minimum
/// pause most calls to the store would be watches.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(1_000);

/// Maximum number of ended jobs that one heartbeat reports, some 2 KB. Receivers don't read heartbeats
/// over 60 KiB, so a larger one would make its host appear silent.
const MAX_REPORTED_ENDS: usize = 64;

/// Returns the current Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |passed| passed.as_millis() as u64)
}

/// Last known row of a job and the row's version.
#[derive(Clone, Debug)]
pub(crate) struct KnownJob {
    pub(crate) row: JobRow,
    pub(crate) version: u64,
}

impl KnownJob {
    /// Returns whether the job is neither done nor ended.
    pub(crate) fn is_open(&self) -> bool {
        self.row.phase() == JobPhase::Open
    }
}

#[derive(Debug, Default)]
struct DirectoryRows {
    jobs: SortedMap<Name, KnownJob>,
    acceptance_locks: SortedMap<String, u64>,
    /// Jobs that this host ended at a caller's request, and when.
    ended: Vec<(EndedJob, Instant)>,
}

/// Job rows and acceptance lock versions of all teams, as last read or written by this host.
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
    /// Returns a job by its ID.
    pub(crate) fn get(&self, id: &str) -> Option<KnownJob> {
        lock(&self.rows).jobs.get(id).cloned()
    }

    /// Records a job's row if it is newer than the known one; returns whether it was.
    pub(crate) fn put(&self, row: JobRow, version: u64) -> bool {
        let mut rows = lock(&self.rows);
        let id = Name::from(row.id.as_str());
        if rows.jobs.get(&id).is_some_and(|known| known.version >= version) {
            return false;
        }
        rows.jobs.insert(id, KnownJob { row, version });
        drop(rows);
        self.changed.send_modify(|count| *count += 1);
        true
    }

    /// Records that this host ended a job, so that its heartbeats report the end to other hosts.
    pub(crate) fn record_end(&self, job: &str, version: u64, now: Instant) {
        let mut rows = lock(&self.rows);
        if rows.ended.iter().any(|(ended, _)| *ended.job == *job) {
            return;
        }
        rows.ended.push((EndedJob { job: job.into(), version }, now));
    }

    /// Returns the jobs that this host ended within the past `window`: the newest ones, at most
    /// [`MAX_REPORTED_ENDS`]. Forgets ends that are older.
    pub(crate) fn recently_ended(&self, window: Duration, now: Instant) -> Vec<EndedJob> {
        let mut rows = lock(&self.rows);
        rows.ended.retain(|(_, at)| now.duration_since(*at) < window);
        rows.ended.iter().rev().take(MAX_REPORTED_ENDS).map(|(ended, _)| ended.clone()).collect()
    }

    /// Returns the addresses of the hosts that hold the jobs which this host ended within the past `window`.
    pub(crate) fn holders_of_ended(&self, window: Duration, now: Instant) -> Vec<Name> {
        let rows = lock(&self.rows);
        let recent = rows.ended.iter().filter(|(_, at)| now.duration_since(*at) < window);
        let known = recent.filter_map(|(ended, _)| rows.jobs.get(&ended.job));
        let holders = known.filter(|job| !job.row.holder_address.is_empty());
        holders.map(|job| Name::from(job.row.holder_address.as_str())).collect()
    }

    /// Returns the version of a team's acceptance lock row; 0 if the row isn't known to exist.
    pub(crate) fn acceptance_lock_version(&self, team: &str) -> u64 {
        lock(&self.rows).acceptance_locks.get(&acceptance_lock_key(team)).copied().unwrap_or(0)
    }

    /// Records the version of an acceptance lock row unless a newer one is known.
    pub(crate) fn put_acceptance_lock(&self, key: &str, version: u64) {
        let mut rows = lock(&self.rows);
        let known = rows.acceptance_locks.get_or_insert_with(key.to_owned(), || 0);
        *known = (*known).max(version);
    }

    /// Returns the tokens of unfinished items in a team's open jobs on a route.
    pub(crate) fn waiting_tokens(&self, team: &str, route: &str) -> u64 {
        let rows = lock(&self.rows);
        let open = rows
            .jobs
            .values()
            .filter(|job| job.is_open() && job.row.team == team && job.row.route == route);
        open.map(|job| job.row.waiting_tokens).sum()
    }

    /// Returns all open jobs.
    pub(crate) fn open_jobs(&self) -> Vec<KnownJob> {
        lock(&self.rows).jobs.values().filter(|job| job.is_open()).cloned().collect()
    }

    /// Returns a receiver that is notified each time a job's row changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Records a row of the jobs table, either a job's or an acceptance lock. Returns the job if its row is
    /// newer than the known one.
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

/// Applies changes of the jobs table to the directory and to the jobs that this host holds.
pub(crate) struct JobsFollower;

#[async_trait]
impl TableFollower for JobsFollower {
    fn table(&self) -> &'static str {
        JOBS
    }

    fn pause(&self, schedule: &HeartbeatSchedule) -> Duration {
        schedule.scale(MIN_WATCH_PAUSE, MAX_WATCH_PAUSE)
    }

    async fn apply_snapshot(&self, state: &Arc<GatewayState>, snapshot: TableSnapshot) {
        for row in snapshot.rows {
            apply_row(state, &row);
        }
    }

    async fn apply_changes(
        &self,
        state: &Arc<GatewayState>,
        changes: Vec<RowChange>,
        _version: u64,
    ) {
        for change in changes.into_iter().filter(|change| !change.is_deleted) {
            apply_row(state, &change.row);
        }
    }
}

/// Applies a job's end that another host reported, and stops the job's items here.
///
/// The job's row shows the end as well, but arrives late while the store is slow: when the store responded
/// after half a second and rejected reads for exceeding its rate limit, items of a job ran 3.5 s after its
/// end.
pub(crate) fn record_reported_end(state: &Arc<GatewayState>, ended: &EndedJob, source: &HostId) {
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

/// Records a row of the jobs table. Releases the row's job if this host holds it and it has ended or another
/// host has taken it over.
pub(super) fn apply_row(state: &Arc<GatewayState>, row: &Row) {
    let Some(job) = state.directory.record_row(row) else { return };
    let names_this_host = *job.holder_address == *state.local_host.address;
    if names_this_host && job.phase() == JobPhase::Open {
        // The row of the host may name neither of two runs, and others would take the holder for the present one.
        lock(&state.peers).record_own_run(job.holder_incarnation);
        renew_incarnation(state);
    }
    let is_holder = names_this_host && job.holder_incarnation == state.incarnation();
    if is_holder && job.phase() == JobPhase::Open {
        return;
    }
    let is_held = lock(&state.jobs).get(&job.id).is_some();
    if is_held && (job.phase() == JobPhase::Ended || !is_holder) {
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
