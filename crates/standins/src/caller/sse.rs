//! Parses the server-sent events of a completion and checks each token against the prompt.

use serde::Deserialize;

use crate::engine::{answer_tokens, token};

/// Meaning of an event that passed the check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The event holds the next expected token.
    Token,
    /// The event ends the answer after its last token.
    Done,
}

#[derive(Deserialize)]
struct TokenData {
    token: String,
}

/// Splits a stream into events and checks each one. The position survives a change of streams, so
/// a resumed stream must continue at the next token.
#[derive(Clone, Debug)]
pub(super) struct CompletionReader {
    prompt: String,
    expected_tokens: u32,
    next: u32,
    buf: Vec<u8>,
}

impl CompletionReader {
    pub(super) fn new(prompt: &str, max_tokens: u32) -> Self {
        Self {
            prompt: prompt.to_owned(),
            expected_tokens: answer_tokens(prompt, max_tokens),
            next: 0,
            buf: Vec::new(),
        }
    }

    /// Number of tokens received so far.
    pub(super) fn tokens(&self) -> u32 {
        self.next
    }

    /// Discards the incomplete event of the previous stream.
    pub(super) fn begin_stream(&mut self) {
        self.buf.clear();
    }

    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and checks the next event; `None` if no complete one is buffered. The error says
    /// what is wrong with the event.
    pub(super) fn next_event(&mut self) -> Option<Result<Progress, String>> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let event: Vec<u8> = self.buf.drain(..end + 2).collect();
        Some(self.check(&String::from_utf8_lossy(&event)))
    }

    fn check(&mut self, event: &str) -> Result<Progress, String> {
        let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let data = field("data:").map(str::trim).unwrap_or_default();
        if data == "[DONE]" {
            return self.check_end();
        }
        let id: Option<u32> = field("id:").and_then(|id| id.trim().parse().ok());
        if id != Some(self.next) {
            return Err(format!("received event id {id:?}, expected {}", self.next));
        }
        let data: TokenData = serde_json::from_str(data)
            .map_err(|e| format!("token {} is not valid JSON: {e}", self.next))?;
        if data.token != token(&self.prompt, self.next) {
            let text = format!(
                "token {} is `{}`, which does not belong to the prompt",
                self.next, data.token
            );
            return Err(text);
        }
        self.next += 1;
        Ok(Progress::Token)
    }

    fn check_end(&self) -> Result<Progress, String> {
        if self.next == self.expected_tokens {
            return Ok(Progress::Done);
        }
        let (received, expected) = (self.next, self.expected_tokens);
        Err(format!(
            "stream ended after {received} of {expected} tokens"
        ))
    }
}
