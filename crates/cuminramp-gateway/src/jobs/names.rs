//! Keys of rows and names of objects.

use cuminramp_core::hash_parts;

/// The table of jobs and of the gates of teams.
pub(super) const JOBS: &str = "jobs";
const RESULTS: &str = "results";
const PROGRESS: &str = "progress";
const INPUTS: &str = "inputs";
/// Teams are spread over so many partitions, each of which bears a few hundred writes a second.
const PARTITIONS: u64 = 4;
/// Longest identity that stands in a key as it is.
const LONGEST_PLAIN: usize = 64;

/// An identity of a caller as part of a key: as it is where it is plain, else its hash.
fn plain(id: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if !id.is_empty() && id.len() <= LONGEST_PLAIN && id.bytes().all(is_plain) {
        return id.to_owned();
    }
    format!("~{:016x}{:016x}", hash_parts(&[id, "1"]), hash_parts(&[id, "2"]))
}

fn part(team: &str) -> u64 {
    hash_parts(&[team]) % PARTITIONS
}

/// The row of a job.
pub(super) fn job_key(team: &str, job: &str) -> String {
    format!("{JOBS}/p{}/job.{}", part(team), plain(job))
}

/// The row through which a team's acceptances go one after another.
pub(super) fn acceptance_lock_key(team: &str) -> String {
    format!("{JOBS}/p{}/gate.{}", part(team), plain(team))
}

/// What the keys of a partition's jobs begin with.
pub(super) fn jobs_prefix(team: &str) -> String {
    format!("{JOBS}/p{}/", part(team))
}

/// Whether a key is a gate's.
pub(super) fn is_acceptance_lock(key: &str) -> bool {
    key.rsplit('/').next().is_some_and(|name| name.starts_with("gate."))
}

/// What the keys of a job's results begin with.
pub(super) fn results_prefix(team: &str, job: &str) -> String {
    format!("{RESULTS}/p{}/{}.", part(team), plain(job))
}

/// The row of a result.
pub(super) fn result_key(team: &str, job: &str, position: u32) -> String {
    format!("{}{position:08}", results_prefix(team, job))
}

/// What the keys of a job's progress begin with.
pub(super) fn progress_prefix(team: &str, job: &str) -> String {
    format!("{PROGRESS}/p{}/{}.", part(team), plain(job))
}

/// The row of an item's progress.
pub(super) fn progress_key(team: &str, job: &str, item: &str) -> String {
    format!("{}{}", progress_prefix(team, job), plain(item))
}

/// What the keys of the rows of a job's input begin with.
pub(super) fn input_prefix(team: &str, job: &str) -> String {
    format!("{INPUTS}/p{}/{}.", part(team), plain(job))
}

/// A row of a job's input.
pub(super) fn input_key(team: &str, job: &str, piece: usize) -> String {
    format!("{}{piece:04}", input_prefix(team, job))
}

/// The object with a job's input, where it is too large for rows.
pub(super) fn input_object(team: &str, job: &str) -> String {
    format!("input-{}-{}", plain(team), plain(job))
}

/// The object with a result that is too long for a row.
pub(super) fn result_object(team: &str, job: &str, position: u32, fence: u64) -> String {
    format!("result-{}-{}-{position}-{fence}", plain(team), plain(job))
}
