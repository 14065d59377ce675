//! Answers derived from the prompt, so that a caller can check that it got the answer to its own request.
//!
//! ```
//! let tokens = format!("{}{}", standin::token("hail?", 0), standin::token("hail?", 1));
//! assert_eq!(standin::answer("hail?", 2), tokens);
//! ```

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// The token at `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u64) -> String {
    format!("{:04x} ", xxh3_64_with_seed(prompt.as_bytes(), index) & 0xffff)
}

/// The first `count` tokens of the answer to `prompt`.
pub fn answer(prompt: &str, count: u64) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// The number of tokens that a prompt counts as.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() / BYTES_PER_TOKEN + 1) as u64
}
