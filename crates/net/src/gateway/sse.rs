//! Splitting a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Collects bytes and gives out whole events, each with the blank line that ends it.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Bytes that were searched for an end.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes of the stream.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub(super) fn next_event(&mut self) -> Option<Bytes> {
        let mut at = self.searched;
        while let Some(found) = self.buf[at..].iter().position(|b| *b == b'\n') {
            let end = at + found + 1;
            if ends_event(&self.buf[..end]) {
                self.searched = 0;
                return Some(self.buf.split_to(end).freeze());
            }
            at = end;
        }
        self.searched = at;
        None
    }

    /// Whether part of an event has arrived.
    pub(super) fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Forgets a part of an event, since the stream goes on elsewhere.
    pub(super) fn clear(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }
}

/// Whether the last line, which ends with a line feed, is blank.
fn ends_event(bytes: &[u8]) -> bool {
    bytes == b"\n" || bytes == b"\r\n" || bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

/// Number in the `id` field of an event.
pub(super) fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
