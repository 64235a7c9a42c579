//! Claims of idempotency keys, before non-idempotent requests are dispatched.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::held::{Held, HeldClaim};
use super::machine::Entry;
use super::{Output, PeerMessage, Timer};
use crate::event::{Event, EventKind};
use crate::platform::{CallId, Reply};
use crate::serving::claims::{
    Claim, ClaimResult, Effect, Nonce, SHARDS, Shard, VALIDITY, key_hash, lifetime_s, owner,
    shard_of,
};
use crate::types::{HostId, Now, Refusal, RefusalKind, RequestHandle};

/// Time after which a claim is made without the shard's owner.
const OWNER_PATIENCE: Duration = Duration::from_secs(2);
/// Keys of finished requests that are remembered for replay at most.
const MAX_FINISHED: usize = 16_384;

/// What this host knows of a key by itself.
#[derive(Clone, Copy, Debug)]
enum KeyState {
    Held(RequestHandle),
    Finished { original: RequestHandle, until: Now },
}

/// State of claims.
#[derive(Clone, Debug)]
pub(super) struct Claiming {
    shards: Vec<Shard>,
    /// Owner of each shard; none if it is this host.
    owners: Vec<Option<HostId>>,
    /// Requests that wait for their claims.
    claimants: BTreeMap<Nonce, RequestHandle>,
    keys: BTreeMap<u64, KeyState>,
    calls: BTreeMap<CallId, u8>,
    last_call: CallId,
}

impl Default for Claiming {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(Shard::new).collect(),
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

    /// Forgets finished requests whose keys' lifetime has ended.
    pub(super) fn forget(&mut self, now: Now) {
        self.keys
            .retain(|_, s| !matches!(s, KeyState::Finished { until, .. } if *until <= now));
    }

    pub(super) fn finished(&mut self, now: Now, handle: RequestHandle, held: &Held) {
        self.ended(handle, held);
        let Some(held) = &held.claim else {
            return;
        };
        if self.keys.len() < MAX_FINISHED {
            let until = now + Duration::from_secs(held.claim.lifetime_s.into());
            let state = KeyState::Finished {
                original: handle,
                until,
            };
            self.keys.insert(held.claim.key, state);
        }
    }

    pub(super) fn ended(&mut self, handle: RequestHandle, held: &Held) {
        let Some(held) = &held.claim else {
            return;
        };
        self.claimants.remove(&held.claim.nonce);
        if matches!(self.keys.get(&held.claim.key), Some(KeyState::Held(h)) if *h == handle) {
            self.keys.remove(&held.claim.key);
        }
    }

    fn owner(&self, key: u64) -> Option<HostId> {
        self.owners[usize::from(shard_of(key))].clone()
    }

    fn shard(&mut self, shard: u8) -> &mut Shard {
        &mut self.shards[usize::from(shard % SHARDS)]
    }
}

impl Entry {
    /// Asks for the claim of a request's key, unless this host knows the key.
    pub(super) fn begin_claim(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let nonce = self.rng.random();
        let Some(held) = self.requests.get_mut(&handle) else {
            return;
        };
        let key = key_hash(&held.request);
        match self.claiming.keys.get(&key) {
            Some(KeyState::Held(_)) => {
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
            .and_then(|c| c.services.get(&held.request.service));
        let key_lifetime_s = service.map_or(0, |s| s.key_lifetime_s);
        let claim = Claim {
            key,
            nonce,
            lifetime_s: lifetime_s(key_lifetime_s, held.request.deadline),
        };
        let owner = self.claiming.owner(key);
        held.claim = Some(HeldClaim {
            claim,
            asked: now,
            granted: false,
            local: owner.is_none(),
        });
        self.claiming.claimants.insert(nonce, handle);
        self.claiming.keys.insert(key, KeyState::Held(handle));
        let patience = if let Some(to) = owner {
            let message = PeerMessage::Claims(vec![claim]);
            out.push(Output::Send { to, message });
            OWNER_PATIENCE
        } else {
            self.claim_for(now, None, claim, out);
            VALIDITY
        };
        out.push(Output::SetTimer {
            at: now + patience,
            timer: Timer::Claim(handle),
        });
    }

    fn replay(&mut self, handle: RequestHandle, original: RequestHandle, out: &mut Vec<Output>) {
        self.remove(handle);
        out.push(Output::Replay {
            handle,
            original,
            fallback: taken(),
        });
    }

    /// Writes a claim as the shard's owner, or in its place.
    pub(super) fn claim_for(
        &mut self,
        now: Now,
        from: Option<HostId>,
        claim: Claim,
        out: &mut Vec<Output>,
    ) {
        let shard = shard_of(claim.key);
        let effects = self.claiming.shard(shard).claim(now, from, claim);
        self.apply(now, shard, effects, out);
    }

    pub(super) fn release_here(&mut self, now: Now, key: u64, nonce: Nonce, out: &mut Vec<Output>) {
        let shard = shard_of(key);
        let effects = self.claiming.shard(shard).release(now, key, nonce);
        self.apply(now, shard, effects, out);
    }

    pub(super) fn flush_shard(&mut self, now: Now, shard: u8, out: &mut Vec<Output>) {
        let effects = self.claiming.shard(shard).flush(now);
        self.apply(now, shard, effects, out);
    }

    pub(super) fn platform(&mut self, now: Now, id: CallId, reply: Reply, out: &mut Vec<Output>) {
        let Some(shard) = self.claiming.calls.remove(&id) else {
            return;
        };
        let effects = self.claiming.shard(shard).reply(now, reply);
        self.apply(now, shard, effects, out);
    }

    fn apply(&mut self, now: Now, shard: u8, effects: Vec<Effect>, out: &mut Vec<Output>) {
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
                let held = self.requests.get_mut(&handle);
                if let Some(claim) = held.and_then(|h| h.claim.as_mut()) {
                    claim.granted = true;
                }
                self.dispatch(now, handle, out);
            }
            ClaimResult::Taken => {
                if let Some(held) = self.requests.get_mut(&handle) {
                    // The key is another request's, so there is nothing to release.
                    self.claiming.ended(handle, held);
                    held.claim = None;
                }
                self.refuse(now, handle, taken(), out);
            }
            ClaimResult::Unavailable => {
                let detail = "the claim of the idempotency key can't be written now";
                let refusal = Refusal::not_run(RefusalKind::ClaimUnavailable, detail);
                self.refuse_later(now, handle, refusal, out);
            }
        }
    }

    /// Claims in the owner's place when it is late, and gives up when the claim would be too
    /// old to dispatch on.
    pub(super) fn claim_late(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let held = self.requests.get_mut(&handle);
        let Some(claim) = held.and_then(|h| h.claim.as_mut()) else {
            return;
        };
        if claim.granted {
            return;
        }
        if claim.local || now >= claim.asked + VALIDITY {
            self.refuse_old_claim(now, handle, out);
            return;
        }
        claim.local = true;
        let held = *claim;
        out.push(Output::SetTimer {
            at: held.asked + VALIDITY,
            timer: Timer::Claim(handle),
        });
        self.claim_for(now, None, held.claim, out);
    }

    /// Whether a request needs no claim or holds one that is young enough; refuses it if not.
    pub(super) fn claim_holds(
        &mut self,
        now: Now,
        handle: RequestHandle,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(held) = self.requests.get(&handle) else {
            return false;
        };
        if held.idempotent() {
            return true;
        }
        let valid = |c: &HeldClaim| c.granted && now < c.asked + VALIDITY;
        let holds = held.claim.as_ref().is_some_and(valid);
        if !holds {
            self.refuse_old_claim(now, handle, out);
        }
        holds
    }

    fn refuse_old_claim(&mut self, now: Now, handle: RequestHandle, out: &mut Vec<Output>) {
        let detail = "the claim of the idempotency key is too old to dispatch on";
        let refusal = Refusal::not_run(RefusalKind::ClaimUnavailable, detail);
        self.refuse_later(now, handle, refusal, out);
    }

    /// Gives up the claim of a request that did not run, so that its key can be used again.
    pub(super) fn release(&mut self, now: Now, held: &Held, out: &mut Vec<Output>) {
        let Some(held) = &held.claim else {
            return;
        };
        let (key, nonce) = (held.claim.key, held.claim.nonce);
        if held.local {
            self.release_here(now, key, nonce, out);
        }
        if let Some(to) = self.claiming.owner(key) {
            let message = PeerMessage::Release(vec![(key, nonce)]);
            out.push(Output::Send { to, message });
        }
    }
}

fn taken() -> Refusal {
    let detail = "the idempotency key was used before; its request may have run";
    Refusal::unknown(RefusalKind::DuplicateKey, detail)
}
