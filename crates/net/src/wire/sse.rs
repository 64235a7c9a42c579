//! Server-sent events: splits a byte stream into whole events.

use bytes::{Buf, Bytes, BytesMut};

/// Data of the event that ends a whole answer.
const DONE: &str = "[DONE]";
/// An event larger than this is treated as a broken stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SseEvent {
    /// Token index, from the `id` field.
    pub id: Option<u32>,
    /// The event ends the answer.
    pub done: bool,
    /// The event as it came, with the empty line behind it.
    pub raw: Bytes,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct SseSplitter {
    buf: BytesMut,
    searched: usize,
}

impl SseSplitter {
    /// Takes more bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
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

    /// Whether the unfinished event is larger than any event may be.
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
