//! Serves this host's copy of the store's objects to hosts that do not watch the store, and asks
//! other hosts for theirs.

use std::collections::{BTreeMap, VecDeque};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bincode::Options;
use eelgrasshold_core::gateway::follow::FollowUpdate;
use eelgrasshold_core::gateway::mirror::{Mirror, Reach};
use eelgrasshold_core::platform::{KindCall, KindReply, Version};
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::pulls::StoreCopyClient;
use crate::rpc;

/// Time for which a host holds a watch of its copy; an answer without changes shows that the host
/// is alive and reaches the store.
const COPY_WAIT: Duration = Duration::from_secs(1);
/// Time limit of a call to another host, beyond [`COPY_WAIT`].
const CALL_MARGIN: Duration = Duration::from_millis(400);
/// Time limit of a watch that a host answers at once. It is the first one on a new link, so that one
/// silent host after the other costs less time.
const FIRST_WATCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest answer after decompression, in bytes: all objects of a kind.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Encoded answers that are kept; hosts that follow this one mostly ask for the same.
const MAX_ENCODED: usize = 4;

/// An encoded answer, and the call and the revision that it is for.
type Encoded = (KindCall, Option<Version>, Vec<u8>);

/// Copy of the store's objects, with what is needed to serve it.
#[derive(Debug, Default)]
pub(super) struct Copies {
    mirror: Mutex<Mirror>,
    /// How this host reaches the store, by kind.
    reach: Mutex<BTreeMap<String, Reach>>,
    changed: Notify,
    encoded: Mutex<VecDeque<Encoded>>,
    /// Counts the times that this host was found to be behind others.
    behind: AtomicU64,
}

impl Copies {
    /// Applies an update. `direct` tells whether the store itself gave it, and `may_doubt` whether calls
    /// are held after one failed call.
    pub(super) fn apply(&self, kind: &str, update: &FollowUpdate, direct: bool, may_doubt: bool) {
        lock(&self.mirror).apply(kind, update);
        let after = self.reach(kind).after(update, direct, may_doubt);
        lock(&self.reach).insert(kind.to_owned(), after);
        self.changed.notify_waiters();
    }

    /// Records that other hosts have known newer versions for some time, so that whoever this host
    /// follows is not up to date, and those that follow this one go elsewhere.
    pub(super) fn mark_behind(&self) {
        self.behind.fetch_add(1, Ordering::Relaxed);
        lock(&self.reach).clear();
        self.changed.notify_waiters();
    }

    /// Number of times that this host was found to be behind.
    pub(super) fn times_behind(&self) -> u64 {
        self.behind.load(Ordering::Relaxed)
    }

    fn reach(&self, kind: &str) -> Reach {
        lock(&self.reach).get(kind).copied().unwrap_or_default()
    }

    /// Answers a call of another host; a watch waits for a change for [`COPY_WAIT`] at most, and any call
    /// while this host is in doubt whether it reaches the store.
    pub(super) async fn answer(&self, call: KindCall) -> Vec<u8> {
        let began = Instant::now();
        let wait = match &call {
            KindCall::Watch { wait, .. } => COPY_WAIT.min(*wait),
            KindCall::List { .. } => COPY_WAIT,
        };
        let (KindCall::List { kind, .. } | KindCall::Watch { kind, .. }) = &call;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let reach = self.reach(kind);
            if reach == Reach::Lost {
                return unreachable_store();
            }
            if reach == Reach::Direct
                && let Some(answer) = self.encoded_answer(&call)
            {
                return answer;
            }
            let wait = if reach == Reach::InDoubt {
                COPY_WAIT
            } else {
                wait
            };
            if tokio::time::timeout_at(began + wait, changed)
                .await
                .is_err()
            {
                if self.reach(kind) != Reach::Direct {
                    return unreachable_store();
                }
                let after = match &call {
                    KindCall::Watch { after, .. } => *after,
                    KindCall::List { .. } => 0,
                };
                // A change since the last look belongs to its revision.
                let reply = {
                    let mirror = lock(&self.mirror);
                    let known = mirror.revision(kind).unwrap_or_default();
                    mirror.answer(&call).unwrap_or(KindReply::Changes {
                        changes: Vec::new(),
                        revision: known.max(after),
                    })
                };
                return encode(&reply);
            }
        }
    }

    fn encoded_answer(&self, call: &KindCall) -> Option<Vec<u8>> {
        let (KindCall::List { kind, .. } | KindCall::Watch { kind, .. }) = call;
        let mirror = lock(&self.mirror);
        let revision = mirror.revision(kind);
        let mut encoded = lock(&self.encoded);
        if let Some((_, _, bytes)) = encoded.iter().find(|e| e.0 == *call && e.1 == revision) {
            return Some(bytes.clone());
        }
        let reply = mirror.answer(call)?;
        drop(mirror);
        let bytes = encode(&reply);
        encoded.push_back((call.clone(), revision, bytes.clone()));
        while encoded.len() > MAX_ENCODED {
            encoded.pop_front();
        }
        Some(bytes)
    }
}

/// The call to make on a new link in place of `call`, with its time limit.
fn first_call(call: KindCall) -> (KindCall, Duration) {
    match call {
        KindCall::Watch { kind, after, .. } => {
            let wait = Duration::ZERO;
            (KindCall::Watch { kind, after, wait }, FIRST_WATCH_TIMEOUT)
        }
        list @ KindCall::List { .. } => (list, COPY_WAIT + CALL_MARGIN),
    }
}

fn unreachable_store() -> Vec<u8> {
    let reason = "this host does not reach the store".to_owned();
    encode(&KindReply::Failed { reason })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_ANSWER_BYTES)
}

/// Encodes and compresses a reply; empty if that fails, which the other host takes for a failure.
fn encode(reply: &KindReply) -> Vec<u8> {
    let mut bytes = Vec::new();
    let encoded = options()
        .serialize(reply)
        .map_err(|e| e.to_string())
        .and_then(|plain| {
            let mut encoder = DeflateEncoder::new(plain.as_slice(), Compression::fast());
            encoder.read_to_end(&mut bytes).map_err(|e| e.to_string())
        });
    if let Err(error) = encoded {
        log::warn!("can't encode an answer to another entry host: {error}");
        bytes.clear();
    }
    bytes
}

fn decode(bytes: &[u8]) -> Result<KindReply, String> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(bytes).take(MAX_ANSWER_BYTES);
    decoder.read_to_end(&mut plain).map_err(|e| e.to_string())?;
    options().deserialize(&plain).map_err(|e| e.to_string())
}

/// Link to the host whose copy is followed.
#[derive(Debug, Default)]
pub(super) struct CopyLink(Option<(SocketAddr, StoreCopyClient)>);

impl CopyLink {
    /// Sends a call to the host at `address`.
    ///
    /// # Errors
    ///
    /// If the host can't be reached, does not answer in time, or sends no valid answer.
    pub(super) async fn call(
        &mut self,
        address: SocketAddr,
        call: KindCall,
    ) -> Result<KindReply, String> {
        let linked = self.0.take().filter(|(linked, _)| *linked == address);
        let (client, call, limit) = if let Some((_, client)) = linked {
            (client, call, COPY_WAIT + CALL_MARGIN)
        } else {
            let link = rpc::open(address).await.map_err(|e| e.to_string())?;
            let client = StoreCopyClient::new(tarpc::client::Config::default(), link).spawn();
            let (call, limit) = first_call(call);
            (client, call, limit)
        };
        let cx = rpc::context_with_timeout(limit);
        let answer = client.follow(cx, call).await.map_err(|e| e.to_string())?;
        // A link whose call failed is dropped, so that a late answer can't delay the next call.
        self.0 = Some((address, client));
        decode(&answer)
    }
}

#[cfg(test)]
mod tests;
