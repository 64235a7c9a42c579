//! Requests as callers send them.

use std::time::Duration;

use eelgrasshold_core::types::{Request, RequestHandle, WorkClass};

/// What a caller wants.
#[derive(Clone, Debug)]
pub enum Work {
    /// An idempotent draft; poison crashes each engine that runs it.
    Draft {
        fingerprint: u64,
        poison: bool,
        deadline: Duration,
    },
    /// A call that may run once, with an idempotency key or identified by its request id.
    Call {
        key: u8,
        keyed: bool,
        deadline: Duration,
    },
}

/// Fingerprints from here on crash engines.
const POISON: u64 = 1_000_000;

pub fn is_poison(fingerprint: u64) -> bool {
    fingerprint >= POISON
}

/// Tokens of the whole answer.
pub fn answer_tokens(fingerprint: u64) -> u32 {
    1 + (fingerprint % 12) as u32
}

impl Work {
    pub fn request(&self, handle: RequestHandle) -> Request {
        let (service, fingerprint, deadline, class, idempotency_key, id) = match self {
            Self::Draft {
                fingerprint,
                poison,
                deadline,
            } => {
                let fingerprint = if *poison {
                    POISON + fingerprint
                } else {
                    *fingerprint
                };
                let id = format!("draft-{handle}");
                (
                    "drafts",
                    fingerprint,
                    *deadline,
                    WorkClass::Idempotent,
                    None,
                    id,
                )
            }
            Self::Call {
                key,
                keyed,
                deadline,
            } => {
                let fingerprint = 500_000 + u64::from(*key);
                let (key, id) = if *keyed {
                    (Some(format!("key-{key}")), format!("call-{handle}"))
                } else {
                    (None, format!("call-id-{key}"))
                };
                (
                    "cards",
                    fingerprint,
                    *deadline,
                    WorkClass::NonIdempotent,
                    key,
                    id,
                )
            }
        };
        Request {
            id,
            service: service.into(),
            team: "classers".into(),
            priority: 4,
            deadline,
            class,
            idempotency_key,
            fingerprint,
            prefix: None,
            prompt_tokens: 10,
            max_tokens: 12,
            resume_from: 0,
        }
    }
}
