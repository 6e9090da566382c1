//! Text that an engine stand-in generates.
//!
//! It depends on the prompt and the position alone, so that a client can check that an answer is
//! complete and belongs to its prompt.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the token at `position` of the answer to `prompt`.
///
/// ```
/// use cuminramp_standin::expected_token;
/// assert_ne!(expected_token("hello", 0), expected_token("hello", 1));
/// ```
pub fn expected_token(prompt: &str, position: usize) -> String {
    format!("w{:06x} ", xxh3_64_with_seed(prompt.as_bytes(), position as u64) & 0xff_ffff)
}

/// Returns the first `tokens` tokens of the answer to `prompt`.
///
/// ```
/// use cuminramp_standin::{expected_answer, expected_token};
/// assert_eq!(expected_answer("hello", 1), expected_token("hello", 0));
/// ```
pub fn expected_answer(prompt: &str, tokens: usize) -> String {
    (0..tokens).map(|position| expected_token(prompt, position)).collect()
}
