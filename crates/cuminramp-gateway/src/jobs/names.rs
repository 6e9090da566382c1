//! Builds the keys of the store's rows and the names of its objects.

use cuminramp_core::hash_parts;

/// Table of job rows and of the acceptance lock row of each team.
pub(super) const JOBS: &str = "jobs";
const RESULTS: &str = "results";
const PROGRESS: &str = "progress";
const INPUTS: &str = "inputs";
/// Number of partitions that teams are spread over. A partition sustains a few hundred writes a second.
const PARTITIONS: u64 = 4;
/// Maximum length in bytes of an ID that is used in a key unchanged; longer ones are hashed.
const MAX_PLAIN_ID_LEN: usize = 64;

/// Returns an ID that a caller chose as part of a key: unchanged if it is short and has only letters,
/// digits, `-` and `_`, otherwise as a hash.
fn key_part(id: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if !id.is_empty() && id.len() <= MAX_PLAIN_ID_LEN && id.bytes().all(is_plain) {
        return id.to_owned();
    }
    format!("~{:016x}{:016x}", hash_parts(&[id, "1"]), hash_parts(&[id, "2"]))
}

/// Returns the partition that holds a team's rows.
fn partition(team: &str) -> u64 {
    hash_parts(&[team]) % PARTITIONS
}

/// Returns the key of a job's row.
pub(super) fn job_key(team: &str, job: &str) -> String {
    format!("{JOBS}/p{}/job.{}", partition(team), key_part(job))
}

/// Returns the key of a team's acceptance lock row. Every acceptance writes it on the condition that its
/// version is unchanged, so that a team's jobs are accepted one at a time.
pub(super) fn acceptance_lock_key(team: &str) -> String {
    format!("{JOBS}/p{}/gate.{}", partition(team), key_part(team))
}

/// Returns the key prefix of all job rows and acceptance lock rows in a team's partition.
pub(super) fn jobs_prefix(team: &str) -> String {
    format!("{JOBS}/p{}/", partition(team))
}

/// Returns whether a key belongs to an acceptance lock row.
pub(super) fn is_acceptance_lock(key: &str) -> bool {
    key.rsplit('/').next().is_some_and(|name| name.starts_with("gate."))
}

/// Returns the key prefix of a job's result rows.
pub(super) fn results_prefix(team: &str, job: &str) -> String {
    format!("{RESULTS}/p{}/{}.", partition(team), key_part(job))
}

/// Returns the key of the result row at a position. Positions have a fixed width, so that keys sort by
/// position.
pub(super) fn result_key(team: &str, job: &str, position: u32) -> String {
    format!("{}{position:08}", results_prefix(team, job))
}

/// Returns the key prefix of a job's progress rows.
pub(super) fn progress_prefix(team: &str, job: &str) -> String {
    format!("{PROGRESS}/p{}/{}.", partition(team), key_part(job))
}

/// Returns the key of an item's progress row.
pub(super) fn progress_key(team: &str, job: &str, item: &str) -> String {
    format!("{}{}", progress_prefix(team, job), key_part(item))
}

/// Returns the key prefix of a job's input rows.
pub(super) fn input_prefix(team: &str, job: &str) -> String {
    format!("{INPUTS}/p{}/{}.", partition(team), key_part(job))
}

/// Returns the key of one row of a job's input. Numbers have a fixed width, so that keys sort in input
/// order.
pub(super) fn input_key(team: &str, job: &str, piece: usize) -> String {
    format!("{}{piece:04}", input_prefix(team, job))
}

/// Returns the name of the object with a job's input, used where the input is too large for rows.
pub(super) fn input_object(team: &str, job: &str) -> String {
    format!("input-{}-{}", key_part(team), key_part(job))
}

/// Returns the name of the object with a result that is too long for a row.
pub(super) fn result_object(team: &str, job: &str, position: u32, fence: u64) -> String {
    format!("result-{}-{}-{position}-{fence}", key_part(team), key_part(job))
}
