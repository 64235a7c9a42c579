//! Answers as functions of their prompts.

use std::hash::{DefaultHasher, Hash, Hasher};

/// A prompt that contains this crashes each engine that runs it.
pub const CRASH_MARKER: &str = "<crash>";
/// Characters of a prompt that stand for a token.
pub const CHARS_PER_TOKEN: usize = 4;

const LENGTH_MARKER_START: &str = "<tokens=";

/// Marker that makes the answer to its prompt end after `tokens`.
#[must_use]
pub fn length_marker(tokens: u32) -> String {
    format!("{LENGTH_MARKER_START}{tokens}>")
}

/// Token at an index of the answer to a prompt.
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    (prompt, index).hash(&mut hasher);
    format!(" t{index}-{:08x}", hasher.finish() as u32)
}

/// Tokens of the whole answer to a prompt: `max_tokens`, or fewer if a marker says so.
#[must_use]
pub fn answer_tokens(prompt: &str, max_tokens: u32) -> u32 {
    let marker_tokens = prompt
        .split_once(LENGTH_MARKER_START)
        .and_then(|(_, rest)| rest.split_once('>'))
        .and_then(|(tokens, _)| tokens.parse().ok());
    marker_tokens.map_or(max_tokens, |tokens: u32| tokens.min(max_tokens))
}

/// Tokens of a prompt.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(CHARS_PER_TOKEN)).unwrap_or(u32::MAX)
}
