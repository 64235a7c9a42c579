//! Buffers answers that are not streams, within the memory of the host.
//!
//! A server in trouble may send bytes without end. Each answer is bounded, and so is the sum of all
//! answers that are being read, but for a small part of each that every answer may use: short
//! answers are read whatever the long ones do. All of them count towards the budget of the host, also
//! while their callers read them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::http::{HeldBytes, Hold};

/// Largest answer that is buffered, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Part of each answer that does not count towards the sum, in bytes.
const FREE_BYTES: usize = 32 << 10;
/// Largest sum of the other parts, in bytes.
const MAX_TOTAL_BYTES: usize = 12 << 20;

/// Bytes of answers that are being read.
#[derive(Clone, Debug)]
pub(super) struct AnswerBuffers {
    total: Arc<AtomicUsize>,
    budget: HeldBytes,
}

/// Part of the sum, returned when dropped.
struct Reservation<'a> {
    total: &'a AtomicUsize,
    bytes: usize,
}

impl Reservation<'_> {
    /// Extends the reservation to `bytes`; false if the sum would exceed the limit.
    fn extend_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let within = |total: usize| (total + more <= MAX_TOTAL_BYTES).then_some(total + more);
        let reserved = self
            .total
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, within)
            .is_ok();
        self.bytes += if reserved { more } else { 0 };
        reserved
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AnswerBuffers {
    pub(super) fn new(budget: HeldBytes) -> Self {
        Self {
            total: Arc::default(),
            budget,
        }
    }

    /// Reads a whole body. The hold covers its bytes as long as they are in memory.
    ///
    /// # Errors
    ///
    /// If the body breaks off, is too long, or exceeds what all answers together may use.
    pub(super) async fn collect(&self, mut body: Incoming) -> Result<(Bytes, Hold), String> {
        let hold = self.budget.open(None);
        // The request may have run, so that its answer is not given up for others.
        let _ = hold.keep();
        let mut reservation = Reservation {
            total: &self.total,
            bytes: 0,
        };
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| e.to_string())?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            let length = buf.len() + data.len();
            if length > MAX_ANSWER_BYTES {
                return Err(format!("it is longer than {MAX_ANSWER_BYTES} bytes"));
            }
            if !reservation.extend_to(length.saturating_sub(FREE_BYTES)) {
                return Err("answers in progress use all memory for them".to_owned());
            }
            if length > buf.capacity() {
                let capacity = (buf.capacity() * 2).clamp(length, MAX_ANSWER_BYTES);
                let reserved = hold.reserve(capacity);
                reserved.map_err(|_| "the host holds too many bytes of other requests")?;
                buf.reserve(capacity - buf.len());
            }
            buf.extend_from_slice(data);
        }
        Ok((buf.freeze(), hold))
    }
}
