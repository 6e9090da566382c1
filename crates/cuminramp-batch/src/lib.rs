//! Batch jobs: chunks, their leases and their commits.
//!
//! A job's items are cut into chunks. A row of the table says who works on a chunk, under which
//! fencing number; the commit of its results names that number, so that of two hosts that worked on
//! the same chunk only the one whose lease is the last can commit, and each item has one result.
//!
//! - [`parse_input`] reads a file of JSON lines; a bad line gets its own error.
//! - [`ChunkLayout`] cuts a job into chunks and knows where in the file each lies.
//! - [`lease_chunk`], [`commit_chunk`], [`release_chunk`] and [`record_crashes`] are the steps of a
//!   chunk's row.
//! - [`JobPicker`] says which job a host works on next.
//! - [`ItemOutcome`] is the line that a caller reads for an item.
//!
//! `docs/design/batch.md` weighs the ways; `models/chunks.pml` checks the protocol.

mod chunk;
mod input;
mod layout;
mod outcome;
mod picker;

pub use chunk::{
    ChunkError, ChunkTally, LeaseHolder, commit_chunk, is_claimable, lease_chunk, record_crashes,
    release_chunk,
};
pub use input::{BatchItem, ItemError, parse_input, parse_line};
pub use layout::{ChunkLayout, ChunkPlace, chunk_key, job_key, open_key};
pub use outcome::ItemOutcome;
pub use picker::{JobPicker, OpenJob};
