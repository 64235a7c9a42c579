//! Requests of callers.

use std::time::Duration;

use eelgrasshold_core::types::{Request, RequestHandle, WorkClass};

/// Work that a caller requests.
#[derive(Clone, Debug)]
pub enum Work {
    /// An idempotent request of the service `drafts`. With `poison`, it crashes each engine that
    /// runs it.
    Draft {
        fingerprint: u64,
        poison: bool,
        deadline: Duration,
    },
    /// A request of the service `cards` that may run only once. Its idempotency key is sent, or
    /// else its request id counts as the key.
    Call {
        key: u8,
        keyed: bool,
        deadline: Duration,
    },
}

/// Smallest fingerprint that crashes engines.
const FIRST_POISON: u64 = 1_000_000;

pub fn is_poison(fingerprint: u64) -> bool {
    fingerprint >= FIRST_POISON
}

/// Number of tokens of the complete answer.
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
                    FIRST_POISON + fingerprint
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
