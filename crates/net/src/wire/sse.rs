//! Incremental parser for server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Data of the event that marks an answer as complete.
const DONE: &str = "[DONE]";
/// A stream with an unfinished event larger than this is malformed.
const MAX_EVENT_BYTES: usize = 32 << 10;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Token index from the `id` field; `None` if it is missing or not a number.
    pub id: Option<u32>,
    /// Whether the event marks the answer as complete.
    pub done: bool,
    /// Bytes of the event as received, including the blank line that ends it.
    pub raw: Bytes,
}

/// Splits a byte stream into events at blank lines.
#[derive(Debug, Default)]
pub struct SseSplitter {
    buf: BytesMut,
    /// Length of the front of `buf` that contains no end of an event.
    searched: usize,
}

impl SseSplitter {
    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next event; `None` until its last byte has been pushed.
    pub fn next_event(&mut self) -> Option<SseEvent> {
        let from = self.searched.saturating_sub(1);
        let end = self.buf[from..].windows(2).position(|w| w == b"\n\n");
        let Some(end) = end else {
            self.searched = self.buf.len();
            return None;
        };
        let raw = self.buf.copy_to_bytes(from + end + 2);
        self.searched = 0;
        Some(parse(raw))
    }

    /// Whether more is buffered than one event may have. If [`Self::next_event`] has just returned `None`,
    /// the stream is then malformed.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }
}

fn parse(raw: Bytes) -> SseEvent {
    let text = String::from_utf8_lossy(&raw);
    let field = |name: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(name))
            .map(|value| value.trim().to_owned())
    };
    let id = field("id:").and_then(|value| value.parse().ok());
    let done = field("data:").is_some_and(|value| value == DONE);
    SseEvent { id, done, raw }
}
