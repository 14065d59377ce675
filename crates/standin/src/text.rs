//! Deterministic answers, so that a caller can tell whether it got exactly its own.
//!
//! ```
//! assert_eq!(standin::answer("hail?", 2), format!("{}{}", standin::token("hail?", 0), standin::token("hail?", 1)));
//! ```

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of text for one token.
const BYTES_PER_TOKEN: usize = 4;

/// The token at `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u64) -> String {
    format!("{:04x} ", xxh3_64_with_seed(prompt.as_bytes(), index) & 0xffff)
}

/// The first `count` tokens of the answer to `prompt`.
pub fn answer(prompt: &str, count: u64) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// How many tokens a prompt counts for.
pub fn prompt_tokens(prompt: &str) -> u64 {
    (prompt.len() / BYTES_PER_TOKEN + 1) as u64
}
