//! Reads a draft's events and checks them against the prompt.

use serde::Deserialize;

use crate::engine::{answer_tokens, token};

/// What a checked event means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The next token came.
    Token,
    /// The answer is whole.
    Done,
}

#[derive(Deserialize)]
struct Data {
    token: String,
}

/// Splits a stream into events and checks each.
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

    /// Tokens that came.
    pub(super) fn tokens(&self) -> u32 {
        self.next
    }

    /// Drops the unfinished event of a stream that broke off.
    pub(super) fn begin_stream(&mut self) {
        self.buf.clear();
    }

    /// Takes bytes of the stream.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Checks the next whole event, if there is one; says what is wrong with it otherwise.
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
            return Err(format!("token {id:?} came in place of {}", self.next));
        }
        let data: Data = serde_json::from_str(data)
            .map_err(|e| format!("token {} is no JSON: {e}", self.next))?;
        if data.token != token(&self.prompt, self.next) {
            let text = format!("token {} is `{}`, not the prompt's", self.next, data.token);
            return Err(text);
        }
        self.next += 1;
        Ok(Progress::Token)
    }

    fn check_end(&self) -> Result<Progress, String> {
        if self.next == self.expected_tokens {
            return Ok(Progress::Done);
        }
        let (came, expected) = (self.next, self.expected_tokens);
        Err(format!("it ended after {came} of {expected} tokens"))
    }
}
