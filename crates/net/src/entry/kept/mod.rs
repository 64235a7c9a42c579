//! Answers of non-idempotent requests, kept for repeats with the same key.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use eelgrasshold_core::types::RequestHandle;
use http::{HeaderMap, StatusCode};

/// Largest answer that is kept, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// All kept answers together, in bytes; the oldest give way.
const MAX_TOTAL_BYTES: usize = 8 << 20;
/// Memory that an answer takes besides its body, in bytes.
const OVERHEAD_BYTES: usize = 1_024;

/// A whole answer.
#[derive(Clone, Debug)]
pub(super) struct KeptAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An answer that is being recorded while it is passed on.
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

/// Kept answers by the handles of their requests, which grow with time.
#[derive(Debug, Default)]
pub(super) struct KeptAnswers {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    answers: BTreeMap<RequestHandle, KeptAnswer>,
    bytes: usize,
}

impl KeptAnswers {
    pub(super) fn keep(&self, handle: RequestHandle, recording: Recording) {
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
            KeptAnswer {
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

    pub(super) fn get(&self, handle: RequestHandle) -> Option<KeptAnswer> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.answers.get(&handle).cloned()
    }
}

#[cfg(test)]
mod tests;
