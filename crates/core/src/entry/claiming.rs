//! Claims of idempotency keys, which non-idempotent requests need before they are dispatched.
//!
//! Each key belongs to a shard. The shard's owner writes the claim; if it does not answer in
//! time, the claimant writes it itself.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::machine::Entry;
use super::open_request::{OpenRequest, RequestClaim};
use super::{Output, PeerMessage, Timer};
use crate::event::{Event, EventKind};
use crate::platform::{CallId, Reply};
use crate::serving::claims::{
    CLAIM_VALIDITY, Claim, ClaimResult, Effect, Nonce, SHARDS, ShardWriter, key_hash, lifetime_s,
    owner, shard_of,
};
use crate::types::{HostId, Now, Refusal, RefusalKind, RequestHandle};

/// Time to wait for the shard's owner before the claim is written without it.
const OWNER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of keys of which answers can be replayed; bounds memory.
const MAX_FINISHED_KEYS: usize = 16_384;

/// State of a key that a request of this host uses or has used.
#[derive(Clone, Copy, Debug)]
enum KeyState {
    Open(RequestHandle),
    Finished { original: RequestHandle, until: Now },
}

/// Claims that this host needs or writes.
#[derive(Clone, Debug)]
pub(super) struct Claiming {
    shards: Vec<ShardWriter>,
    /// Owner of each shard; `None` if it is this host or there is none.
    owners: Vec<Option<HostId>>,
    /// Requests whose claims are not settled.
    claimants: BTreeMap<Nonce, RequestHandle>,
    keys: BTreeMap<u64, KeyState>,
    calls: BTreeMap<CallId, u8>,
    last_call: CallId,
}

impl Default for Claiming {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(ShardWriter::new).collect(),
            owners: vec![None; usize::from(SHARDS)],
            claimants: BTreeMap::new(),
            keys: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
        }
    }
}

impl Claiming {
    pub(super) fn set_owners(&mut self, hosts: &[HostId], this: &HostId) {
        let other = |shard| owner(shard, hosts).filter(|h| *h != this).cloned();
        self.owners = (0..SHARDS).map(other).collect();
    }

    /// Removes keys of finished requests whose lifetime has ended.
    pub(super) fn expire_keys(&mut self, now: Now) {
        self.keys
            .retain(|_, s| !matches!(s, KeyState::Finished { until, .. } if *until <= now));
    }

    pub(super) fn record_finished(&mut self, now: Now, handle: RequestHandle, open: &OpenRequest) {
        self.forget_request(handle, open);
        let Some(request_claim) = &open.claim else {
            return;
        };
        if self.keys.len() < MAX_FINISHED_KEYS {
            let until = now + Duration::from_secs(request_claim.claim.lifetime_s.into());
            let state = KeyState::Finished {
                original: handle,
                until,
            };
            self.keys.insert(request_claim.claim.key, state);
        }
    }

    pub(super) fn forget_request(&mut self, handle: RequestHandle, open: &OpenRequest) {
        let Some(request_claim) = &open.claim else {
            return;
        };
        self.claimants.remove(&request_claim.claim.nonce);
        if matches!(self.keys.get(&request_claim.claim.key), Some(KeyState::Open(h)) if *h == handle)
        {
            self.keys.remove(&request_claim.claim.key);
        }
    }

    fn owner(&self, key: u64) -> Option<HostId> {
        self.owners[usize::from(shard_of(key))].clone()
    }

    fn shard(&mut self, shard: u8) -> &mut ShardWriter {
        &mut self.shards[usize::from(shard % SHARDS)]
    }
}

impl Entry {
    /// Requests the claim of a request's key. If another request of this host has used the key,
    /// refuses the request or answers it with the stored answer.
    pub(super) fn begin_claim(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let nonce = self.rng.random();
        let Some(open) = self.requests.get_mut(&handle) else {
            return;
        };
        let key = key_hash(&open.request);
        match self.claiming.keys.get(&key) {
            Some(KeyState::Open(_)) => {
                let detail = "a request with this idempotency key is running";
                let refusal = Refusal::unknown(RefusalKind::DuplicateKey, detail);
                self.refuse(now, handle, refusal, out);
                return;
            }
            Some(KeyState::Finished { original, .. }) => {
                let original = *original;
                self.replay(handle, original, out);
                return;
            }
            None => {}
        }
        let service = self
            .cfg
            .as_ref()
            .and_then(|c| c.services.get(&open.request.service));
        let key_lifetime_s = service.map_or(0, |s| s.key_lifetime_s);
        let claim = Claim {
            key,
            nonce,
            lifetime_s: lifetime_s(key_lifetime_s, open.request.deadline),
        };
        let owner = self.claiming.owner(key);
        open.claim = Some(RequestClaim {
            claim,
            requested: now,
            granted: false,
            local: owner.is_none(),
        });
        self.claiming.claimants.insert(nonce, handle);
        self.claiming.keys.insert(key, KeyState::Open(handle));
        let timeout = if let Some(to) = owner {
            let message = PeerMessage::Claims(vec![claim]);
            out.push(Output::Send { to, message });
            OWNER_TIMEOUT
        } else {
            self.claim_local(now, None, claim, out);
            CLAIM_VALIDITY
        };
        out.push(Output::SetTimer {
            at: now + timeout,
            timer: Timer::Claim(handle),
        });
    }

    fn replay(&mut self, handle: RequestHandle, original: RequestHandle, out: &mut Vec<Output>) {
        self.remove_request(handle);
        out.push(Output::Replay {
            handle,
            original,
            fallback: duplicate_key_refusal(),
        });
    }

    /// Writes a claim from this host, as the shard's owner or in place of it. The result goes to
    /// `from`, or to this host if that is `None`.
    pub(super) fn claim_local(
        &mut self,
        now: Now,
        from: Option<HostId>,
        claim: Claim,
        out: &mut Vec<Output>,
    ) {
        let shard = shard_of(claim.key);
        let effects = self.claiming.shard(shard).claim(now, from, claim);
        self.apply_effects(now, shard, effects, out);
    }

    pub(super) fn release_local(
        &mut self,
        now: Now,
        key: u64,
        nonce: Nonce,
        out: &mut Vec<Output>,
    ) {
        let shard = shard_of(key);
        let effects = self.claiming.shard(shard).release(now, key, nonce);
        self.apply_effects(now, shard, effects, out);
    }

    pub(super) fn flush_shard(&mut self, now: Now, shard: u8, out: &mut Vec<Output>) {
        let effects = self.claiming.shard(shard).flush(now);
        self.apply_effects(now, shard, effects, out);
    }

    pub(super) fn platform_reply(
        &mut self,
        now: Now,
        id: CallId,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        let Some(shard) = self.claiming.calls.remove(&id) else {
            return;
        };
        let effects = self.claiming.shard(shard).reply(now, reply);
        self.apply_effects(now, shard, effects, out);
    }

    fn apply_effects(&mut self, now: Now, shard: u8, effects: Vec<Effect>, out: &mut Vec<Output>) {
        let mut remote: BTreeMap<HostId, Vec<(Nonce, ClaimResult)>> = BTreeMap::new();
        for effect in effects {
            match effect {
                Effect::Call(call) => {
                    self.claiming.last_call += 1;
                    let id = self.claiming.last_call;
                    self.claiming.calls.insert(id, shard);
                    out.push(Output::Platform { id, call });
                }
                Effect::FlushAt(at) => {
                    let timer = Timer::Shard(shard);
                    out.push(Output::SetTimer { at, timer });
                }
                Effect::Settled { to, nonce, result } => match to {
                    Some(host) => remote.entry(host).or_default().push((nonce, result)),
                    None => self.claim_settled(now, nonce, result, out),
                },
                Effect::Unreadable => {
                    let detail = format!("claims/{shard:02}");
                    let event = Event::new(EventKind::ClaimsUnreadable, detail);
                    out.push(Output::Event(event));
                }
            }
        }
        for (to, results) in remote {
            let message = PeerMessage::ClaimResults(results);
            out.push(Output::Send { to, message });
        }
    }

    pub(super) fn claim_settled(
        &mut self,
        now: Now,
        nonce: Nonce,
        result: ClaimResult,
        out: &mut Vec<Output>,
    ) {
        let Some(handle) = self.claiming.claimants.remove(&nonce) else {
            return;
        };
        match result {
            ClaimResult::Granted => {
                let open = self.requests.get_mut(&handle);
                if let Some(claim) = open.and_then(|h| h.claim.as_mut()) {
                    claim.granted = true;
                }
                self.dispatch(now, handle, out);
            }
            ClaimResult::Taken => {
                if let Some(open) = self.requests.get_mut(&handle) {
                    // The key belongs to another request, so this one must not release it.
                    self.claiming.forget_request(handle, open);
                    open.claim = None;
                }
                self.refuse(now, handle, duplicate_key_refusal(), out);
            }
            ClaimResult::Unavailable => {
                let detail = "the claim of the idempotency key can't be written now";
                let refusal = Refusal::not_run(RefusalKind::ClaimUnavailable, detail);
                self.refuse_with_retry_after(now, handle, refusal, out);
            }
        }
    }

    /// Writes the claim without the owner if that did not answer in time, and refuses the request
    /// once the claim would be too old to dispatch on.
    pub(super) fn claim_timed_out(
        &mut self,
        now: Now,
        handle: RequestHandle,
        out: &mut Vec<Output>,
    ) {
        let open = self.requests.get_mut(&handle);
        let Some(claim) = open.and_then(|h| h.claim.as_mut()) else {
            return;
        };
        if claim.granted {
            return;
        }
        if claim.local || now >= claim.requested + CLAIM_VALIDITY {
            self.refuse_old_claim(now, handle, out);
            return;
        }
        claim.local = true;
        let request_claim = *claim;
        out.push(Output::SetTimer {
            at: request_claim.requested + CLAIM_VALIDITY,
            timer: Timer::Claim(handle),
        });
        self.claim_local(now, None, request_claim.claim, out);
    }

    /// Returns whether a request needs no claim or has a valid one; refuses it otherwise. Validity
    /// counts from the time of the request, which is before the claim was written.
    pub(super) fn ensure_claim_valid(
        &mut self,
        now: Now,
        handle: RequestHandle,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(open) = self.requests.get(&handle) else {
            return false;
        };
        if open.idempotent() {
            return true;
        }
        let is_valid = |c: &RequestClaim| c.granted && now < c.requested + CLAIM_VALIDITY;
        let valid = open.claim.as_ref().is_some_and(is_valid);
        if !valid {
            self.refuse_old_claim(now, handle, out);
        }
        valid
    }

    fn refuse_old_claim(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let detail = "the claim of the idempotency key is too old to dispatch on";
        let refusal = Refusal::not_run(RefusalKind::ClaimUnavailable, detail);
        self.refuse_with_retry_after(now, handle, refusal, out);
    }

    /// Releases the claim of a request that did not run, so that its key can be used again.
    pub(super) fn release_claim(&mut self, now: Now, open: &OpenRequest, out: &mut Vec<Output>) {
        let Some(request_claim) = &open.claim else {
            return;
        };
        let (key, nonce) = (request_claim.claim.key, request_claim.claim.nonce);
        if request_claim.local {
            self.release_local(now, key, nonce, out);
        }
        if let Some(to) = self.claiming.owner(key) {
            let message = PeerMessage::Release(vec![(key, nonce)]);
            out.push(Output::Send { to, message });
        }
    }
}

fn duplicate_key_refusal() -> Refusal {
    let detail = "the idempotency key was used before; its request may have run";
    Refusal::unknown(RefusalKind::DuplicateKey, detail)
}
