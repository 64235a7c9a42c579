//! Splits a server-sent event stream into events without parsing them.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 128 << 10;
/// A stream may begin with it; it is no part of the first event.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";
/// Fields that the format of event streams defines.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Buffers bytes and returns whole events, each with the blank line that ends it.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: BytesMut,
    /// Number of leading bytes of `buf` that contain no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event, if one has arrived.
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

    /// Whether an incomplete event is longer than any event may be: bytes that are no stream may
    /// come without end.
    pub(super) fn is_too_long(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Whether the buffer holds an incomplete event, after [`Self::next_event`] returned none.
    pub(super) fn has_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards an incomplete event, before the stream is resumed at another upstream.
    pub(super) fn clear(&mut self) {
        self.buf.clear();
        self.searched = 0;
    }
}

/// Whether the last line is blank. `bytes` end with a line feed.
fn ends_event(bytes: &[u8]) -> bool {
    bytes == b"\n" || bytes == b"\r\n" || bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

/// Whether bytes up to a blank line are an event: each line is a comment or a field whose name is a word,
/// and some field is a known one. The head of an HTTP answer and the text of an error are no event.
pub(super) fn is_event(bytes: &[u8]) -> bool {
    let bytes = bytes.strip_prefix(BYTE_ORDER_MARK).unwrap_or(bytes);
    let mut has_fields = false;
    let mut is_known = false;
    for line in bytes.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let name = line.split(|b| *b == b':').next().unwrap_or_default();
        if !name.iter().all(|b| is_word_byte(*b)) {
            return false;
        }
        has_fields |= !name.is_empty();
        is_known |= FIELDS.contains(&name);
    }
    is_known || !has_fields
}

fn is_word_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_')
}

/// Parses the `id` field of an event; `None` if it is missing or not a number.
pub(super) fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
