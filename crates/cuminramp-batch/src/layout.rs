//! How a job's items are cut into chunks.

use serde::{Deserialize, Serialize};

/// How many chunks a job should have, so that hosts can share it.
const WANTED_CHUNKS: u32 = 64;

/// Where a chunk lies in the job's input file.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkPlace {
    /// First byte.
    pub start: u64,
    /// The byte after the last.
    pub end: u64,
    /// Number of the first line, from 1.
    pub first_line: u32,
    /// Items in it; empty lines don't count.
    pub items: u32,
}

/// All chunks of a job. Written once as an object beside the input, so that a host can read just the
/// part of the file that it works on.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkLayout {
    /// The chunks in order.
    pub chunks: Vec<ChunkPlace>,
    /// Items in all.
    pub items: u32,
}

impl ChunkLayout {
    /// Cuts a file into chunks of between `least` and `most` items.
    ///
    /// A chunk costs the table two writes, so large jobs get large chunks; a small job gets small
    /// ones, so that several hosts share it.
    ///
    /// ```
    /// let layout = cuminramp_batch::ChunkLayout::cut("a\n\nb\nc\n", 2, 2);
    /// assert_eq!(layout.items, 3);
    /// assert_eq!(layout.chunks.len(), 2);
    /// assert_eq!(layout.chunks[1].first_line, 4);
    /// ```
    pub fn cut(text: &str, least: u32, most: u32) -> Self {
        let items = text.lines().filter(|line| !line.trim().is_empty()).count() as u32;
        let size = (items / WANTED_CHUNKS).clamp(least.max(1), most.max(1));
        let mut layout = ChunkLayout { chunks: Vec::new(), items };
        let mut place = ChunkPlace { start: 0, end: 0, first_line: 1, items: 0 };
        for (index, line) in text.split_inclusive('\n').enumerate() {
            if place.items == size {
                layout.chunks.push(place);
                let first_line = index as u32 + 1;
                place = ChunkPlace { start: place.end, end: place.end, first_line, items: 0 };
            }
            place.end += line.len() as u64;
            place.items += u32::from(!line.trim().is_empty());
        }
        if place.items > 0 {
            layout.chunks.push(place);
        }
        layout
    }
}

/// The key of a job's row.
///
/// ```
/// assert_eq!(cuminramp_batch::job_key("j"), "job/j");
/// ```
pub fn job_key(job: &str) -> String {
    format!("job/{job}")
}

/// The key of the row that lists a job as open.
///
/// ```
/// assert_eq!(cuminramp_batch::open_key("j"), "open/j");
/// ```
pub fn open_key(job: &str) -> String {
    format!("open/{job}")
}

/// The key of a chunk's row; keys of one job sort by chunk.
///
/// ```
/// assert_eq!(cuminramp_batch::chunk_key("j", 7), "chunk/j/000007");
/// ```
pub fn chunk_key(job: &str, index: u32) -> String {
    format!("chunk/{job}/{index:06}")
}

#[cfg(test)]
mod tests;
