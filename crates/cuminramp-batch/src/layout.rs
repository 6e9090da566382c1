//! Splits a job's input file into chunks and names the keys of its rows.

use serde::{Deserialize, Serialize};

/// Desired number of chunks of a job, so that many hosts can work on it at once.
const DESIRED_CHUNKS: u32 = 64;

/// Range of a chunk in the job's input file.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRange {
    /// Offset of the first byte.
    pub start: u64,
    /// Offset of the byte after the last.
    pub end: u64,
    /// Line number of the first line, from 1.
    pub first_line: u32,
    /// Number of items; blank lines don't count.
    pub items: u32,
}

/// All chunks of a job.
///
/// The layout is written once as an object beside the input file, so that a host reads only the byte
/// range of the chunk that it works on.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkLayout {
    /// Chunks in the order of the input file.
    pub chunks: Vec<ChunkRange>,
    /// Number of items in all chunks.
    pub items: u32,
}

impl ChunkLayout {
    /// Splits an input file into chunks of `min_items` to `max_items` items; the last chunk may have
    /// fewer.
    ///
    /// Each chunk takes two writes to the table, so a large job gets large chunks. A small job gets
    /// small chunks, so that several hosts can work on it.
    ///
    /// ```
    /// let layout = cuminramp_batch::ChunkLayout::split("a\n\nb\nc\n", 2, 2);
    /// assert_eq!(layout.items, 3);
    /// assert_eq!(layout.chunks.len(), 2);
    /// assert_eq!(layout.chunks[1].first_line, 4);
    /// ```
    pub fn split(text: &str, min_items: u32, max_items: u32) -> Self {
        let items = text.lines().filter(|line| !line.trim().is_empty()).count() as u32;
        let size = (items / DESIRED_CHUNKS).clamp(min_items.max(1), max_items.max(1));
        let mut layout = ChunkLayout { chunks: Vec::new(), items };
        let mut range = ChunkRange { start: 0, end: 0, first_line: 1, items: 0 };
        for (index, line) in text.split_inclusive('\n').enumerate() {
            if range.items == size {
                layout.chunks.push(range);
                let first_line = index as u32 + 1;
                range = ChunkRange { start: range.end, end: range.end, first_line, items: 0 };
            }
            range.end += line.len() as u64;
            range.items += u32::from(!line.trim().is_empty());
        }
        if range.items > 0 {
            layout.chunks.push(range);
        }
        layout
    }
}

/// Returns the key of a job's row.
///
/// ```
/// assert_eq!(cuminramp_batch::job_key("j"), "job/j");
/// ```
pub fn job_key(job: &str) -> String {
    format!("job/{job}")
}

/// Returns the key of the row that lists a job as open.
///
/// ```
/// assert_eq!(cuminramp_batch::open_job_key("j"), "open/j");
/// ```
pub fn open_job_key(job: &str) -> String {
    format!("open/{job}")
}

/// Returns the key of a chunk's row; the keys of one job sort by chunk index.
///
/// ```
/// assert_eq!(cuminramp_batch::chunk_key("j", 7), "chunk/j/000007");
/// ```
pub fn chunk_key(job: &str, index: u32) -> String {
    format!("chunk/{job}/{index:06}")
}

#[cfg(test)]
mod tests;
