//! Answers to non-idempotent requests, stored for repeats with the same idempotency key.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use eelgrasshold_core::types::RequestHandle;
use http::{HeaderMap, StatusCode};

/// Larger answers are not stored.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Limit of all stored answers together; the oldest are evicted first.
const MAX_TOTAL_BYTES: usize = 8 << 20;
/// Estimated memory of an answer besides its body.
const OVERHEAD_BYTES: usize = 1_024;

/// A complete answer.
#[derive(Clone, Debug)]
pub(super) struct StoredAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An answer that is recorded while it is forwarded to the caller.
#[derive(Debug)]
pub(super) struct Recording {
    status: StatusCode,
    headers: HeaderMap,
    body: Vec<u8>,
    too_large: bool,
}

impl Recording {
    pub(super) fn new(status: StatusCode, headers: HeaderMap) -> Self {
        Self {
            status,
            headers,
            body: Vec::new(),
            too_large: false,
        }
    }

    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.too_large |= self.body.len() + bytes.len() > MAX_ANSWER_BYTES;
        if !self.too_large {
            self.body.extend_from_slice(bytes);
        }
    }
}

/// Stored answers by request handle. Handles ascend, so the first entry is the oldest.
#[derive(Debug, Default)]
pub(super) struct StoredAnswers {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    answers: BTreeMap<RequestHandle, StoredAnswer>,
    bytes: usize,
}

impl StoredAnswers {
    pub(super) fn store(&self, handle: RequestHandle, recording: Recording) {
        if recording.too_large {
            return;
        }
        let Recording {
            status,
            headers,
            body,
            ..
        } = recording;
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.bytes += body.len() + OVERHEAD_BYTES;
        inner.answers.insert(
            handle,
            StoredAnswer {
                status,
                headers,
                body: body.into(),
            },
        );
        while inner.bytes > MAX_TOTAL_BYTES {
            let Some((_, oldest)) = inner.answers.pop_first() else {
                return;
            };
            inner.bytes -= oldest.body.len() + OVERHEAD_BYTES;
        }
    }

    pub(super) fn get(&self, handle: RequestHandle) -> Option<StoredAnswer> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.answers.get(&handle).cloned()
    }
}

#[cfg(test)]
mod tests;
