//! Deterministic answers: tokens and lengths computed from the prompt.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Crashes an engine when the first token of a prompt with this text is due.
pub const CRASH_MARKER: &str = "<crash>";
/// Prompt characters that count as one token; no tokenizer is involved.
pub const CHARS_PER_TOKEN: usize = 4;

const LENGTH_MARKER_START: &str = "<tokens=";

/// Text that ends the answer after `tokens` tokens when it is contained in the prompt.
#[must_use]
pub fn length_marker(tokens: u32) -> String {
    format!("{LENGTH_MARKER_START}{tokens}>")
}

/// Text of the token at `index` in the answer to `prompt`. Different prompts or indices give
/// different tokens.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    (prompt, index).hash(&mut hasher);
    format!(" t{index}-{:08x}", hasher.finish() as u32)
}

/// Number of tokens in the complete answer to a prompt: `max_tokens`, or fewer if the prompt
/// contains a [`length_marker`].
#[must_use]
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let marker_tokens = prompt
        .split_once(LENGTH_MARKER_START)
        .and_then(|(_, rest)| rest.split_once('>'))
        .and_then(|(tokens, _)| tokens.parse().ok());
    marker_tokens.map_or(max_tokens, |tokens: u32| tokens.min(max_tokens))
}

/// Number of tokens in a prompt, rounded up.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(CHARS_PER_TOKEN)).unwrap_or(u32::MAX)
}
