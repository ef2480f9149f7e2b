//! Text that the engine stand-in generates.

use std::hash::{DefaultHasher, Hash, Hasher};

/// The word at `index` of the answer to a prompt, followed by a space.
#[must_use]
pub fn word(prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    index.hash(&mut hasher);
    format!("{:04x}-{index} ", hasher.finish() & 0xffff)
}

/// The complete answer of `tokens` words to a prompt.
#[must_use]
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| word(prompt, index)).collect()
}
