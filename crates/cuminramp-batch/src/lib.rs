//! Batch jobs: chunks, their leases and their commits.
//!
//! A job's items are split into chunks. Each chunk has a row in the table that records the host
//! holding its lease and the lease's fencing number. A commit of results names that number, so when
//! two hosts have run the same chunk, only the host with the latest lease can commit, and each item
//! has exactly one result.
//!
//! - [`parse_input`] parses a file of JSON lines and returns an error for each invalid line.
//! - [`ChunkLayout`] splits a job into chunks and records each chunk's byte range in the input file.
//! - [`lease_chunk`], [`commit_chunk`], [`release_chunk`] and [`record_crashes`] are the state
//!   transitions of a chunk's row.
//! - [`JobPicker`] selects the job that a host works on next.
//! - [`ItemOutcome`] is an item's result and its line in the output or error file.
//!
//! `docs/design/batch.md` compares the alternatives; `models/chunks.pml` checks the protocol.

mod chunk;
mod input;
mod layout;
mod outcome;
mod picker;

pub use chunk::{
    ChunkCounts, ChunkError, HeldLease, commit_chunk, is_claimable, lease_chunk, record_crashes,
    release_chunk,
};
pub use input::{BatchItem, ItemError, parse_input, parse_line};
pub use layout::{ChunkLayout, ChunkRange, chunk_key, job_key, open_job_key};
pub use outcome::ItemOutcome;
pub use picker::{JobPicker, OpenJob};
