//! State machine of one member.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Input, MemberId, Output, ShareMessage, ShareSettings};
use crate::types::Now;

/// Time whose bytes a member may save up. All members together exceed the rate
/// by at most twice this time's bytes in any window.
const BURST_S: f64 = 0.1;
/// Every so many grants, the load that has waited longest goes first.
const OLDEST_EVERY: u64 = 4;
/// Shortest time between two timers.
const MIN_TIMER: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
struct Waiting<K> {
    load: K,
    left: u64,
    urgent: bool,
}

/// A part of the rate for a time.
#[derive(Clone, Copy, Debug)]
struct Part {
    rate: f64,
    from: Now,
    until: Now,
}

impl Part {
    fn bytes(&self, from: Now, to: Now) -> f64 {
        let from = from.max(self.from);
        let to = to.min(self.until);
        to.saturating_sub(from).as_secs_f64() * self.rate
    }
}

/// One member's share of the weight store.
///
/// ```
/// use std::time::Duration;
/// use eelgrasshold_core::group::bandwidth::{Input, LoadShare, Output, ShareSettings};
///
/// let mut share = LoadShare::new(ShareSettings {
///     member: 0,
///     members: 4,
///     bytes_per_s: 4e9,
///     loan: Duration::from_secs(2),
///     ask: 3,
///     seed: 1,
/// });
/// share.handle(Duration::ZERO, Input::Start);
/// let want = Input::Want { load: "adapter", bytes: 1_000, urgent: true };
/// let out = share.handle(Duration::from_secs(10), want);
/// assert!(out.iter().any(|o| matches!(o, Output::Grant { last: true, .. })));
/// ```
#[derive(Clone, Debug)]
pub struct LoadShare<K> {
    settings: ShareSettings,
    waiting: VecDeque<Waiting<K>>,
    usable_from: Now,
    lent: BTreeMap<MemberId, Part>,
    borrowed: BTreeMap<MemberId, Part>,
    round: u64,
    round_at: Option<Now>,
    saved_bytes: f64,
    last: Now,
    grants: u64,
    timer_at: Option<Now>,
    rng: SmallRng,
}

impl<K: Clone> LoadShare<K> {
    /// A member that has not started.
    #[must_use]
    pub fn new(settings: ShareSettings) -> Self {
        let mut rng = SmallRng::seed_from_u64(settings.seed ^ u64::from(settings.member));
        Self {
            // Rounds of an earlier life must not match: their loans ended at other times.
            round: u64::from(rng.random::<u32>()) << 32,
            rng,
            settings,
            waiting: VecDeque::new(),
            usable_from: Now::MAX,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            round_at: None,
            saved_bytes: 0.0,
            last: Duration::ZERO,
            grants: 0,
            timer_at: None,
        }
    }

    /// Loads that wait, wholly or in part.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes an input at the time `now` and returns what the driver shall do.
    pub fn handle(&mut self, now: Now, input: Input<K>) -> Vec<Output<K>> {
        let mut out = Vec::new();
        self.accrue(now);
        match input {
            Input::Start => {
                self.usable_from = now + self.lent_for();
                self.last = now;
            }
            Input::Want {
                load,
                bytes,
                urgent,
            } => self.waiting.push_back(Waiting {
                load,
                left: bytes.max(1),
                urgent,
            }),
            Input::DropAll => self.waiting.clear(),
            Input::Message { from, message } => self.message(now, from, &message, &mut out),
            Input::Timer => self.timer_at = None,
        }
        self.grant(&mut out);
        self.borrow(now, &mut out);
        self.set_timer(now, &mut out);
        out
    }

    fn own_rate(&self) -> f64 {
        self.settings.bytes_per_s / f64::from(self.settings.members.max(1))
    }

    /// Time for which a lender leaves its part unused.
    fn lent_for(&self) -> Duration {
        self.settings.loan * 5 / 4
    }

    fn quantum(&self) -> f64 {
        (self.own_rate() * BURST_S).max(1.0)
    }

    fn rate(&self, now: Now) -> f64 {
        let active = |p: &&Part| now >= p.from && now < p.until;
        let lent: f64 = self.lent.values().filter(active).map(|p| p.rate).sum();
        let borrowed: f64 = self.borrowed.values().filter(active).map(|p| p.rate).sum();
        let own = if now >= self.usable_from {
            self.own_rate()
        } else {
            0.0
        };
        (own - lent).max(0.0) + borrowed
    }

    /// Adds the bytes of the time since the last call.
    fn accrue(&mut self, now: Now) {
        let from = self.last;
        let own_from = from.max(self.usable_from);
        let own = now.saturating_sub(own_from).as_secs_f64() * self.own_rate();
        let lent: f64 = self.lent.values().map(|p| p.bytes(from, now)).sum();
        let borrowed: f64 = self.borrowed.values().map(|p| p.bytes(from, now)).sum();
        self.saved_bytes += (own - lent).max(0.0) + borrowed;
        let cap = self.quantum().max(self.rate(now) * BURST_S);
        self.saved_bytes = self.saved_bytes.min(cap);
        self.last = now;
        self.lent.retain(|_, p| now < p.until);
        self.borrowed.retain(|_, p| now < p.until);
    }

    fn message(
        &mut self,
        now: Now,
        from: MemberId,
        message: &ShareMessage,
        out: &mut Vec<Output<K>>,
    ) {
        match *message {
            ShareMessage::Borrow { round, urgent } => self.lend(now, from, round, urgent, out),
            ShareMessage::Lend { round, bytes_per_s } => {
                let Some(asked_at) = self.round_at else {
                    return;
                };
                let until = asked_at + self.settings.loan;
                let usable = bytes_per_s.is_finite() && bytes_per_s > 0.0;
                let rate = bytes_per_s.min(self.own_rate());
                if round == self.round && now < until && usable {
                    let earlier = self.borrowed.get(&from);
                    let part = Part {
                        rate,
                        from: earlier.map_or(now, |p| p.from),
                        until,
                    };
                    self.borrowed.insert(from, part);
                }
            }
        }
    }

    fn lend(&mut self, now: Now, to: MemberId, round: u64, urgent: bool, out: &mut Vec<Output<K>>) {
        let others = self.lent.iter().filter(|(m, _)| **m != to);
        let lent: f64 = others.map(|(_, p)| p.rate).sum();
        let keep = match (self.waiting.is_empty(), urgent) {
            (true, _) => 0.0,
            (false, true) if !self.waiting.iter().any(|w| w.urgent) => self.own_rate() / 2.0,
            (false, _) => self.own_rate(),
        };
        // A part that the borrower has is extended as it is, or ends at its time.
        let earlier = self.lent.get(&to).copied();
        let free = self.own_rate() - lent - keep;
        let rate = earlier.map_or(free, |p| p.rate);
        if now < self.usable_from || rate > free || rate < self.own_rate() / 100.0 {
            return;
        }
        let part = Part {
            rate,
            from: earlier.map_or(now, |p| p.from),
            until: now + self.lent_for(),
        };
        self.lent.insert(to, part);
        let message = ShareMessage::Lend {
            round,
            bytes_per_s: rate,
        };
        out.push(Output::Send { to, message });
    }

    fn grant(&mut self, out: &mut Vec<Output<K>>) {
        while let Some(i) = self.next_load() {
            let waiting = &mut self.waiting[i];
            let bytes = (self.saved_bytes as u64).min(waiting.left);
            waiting.left -= bytes;
            let last = waiting.left == 0;
            let load = waiting.load.clone();
            self.saved_bytes -= bytes as f64;
            self.grants += 1;
            out.push(Output::Grant { load, bytes, last });
            if last {
                self.waiting.remove(i);
            }
        }
    }

    /// The load whose turn it is, if enough bytes are saved up for a part of it.
    fn next_load(&self) -> Option<usize> {
        let urgent = self.waiting.iter().position(|w| w.urgent);
        let i = match urgent {
            Some(i) if !(self.grants + 1).is_multiple_of(OLDEST_EVERY) => i,
            _ => 0,
        };
        let left = self.waiting.get(i)?.left as f64;
        (self.saved_bytes >= left.min(self.quantum())).then_some(i)
    }

    /// Asks other members for their parts, those that lent before first.
    fn borrow(&mut self, now: Now, out: &mut Vec<Output<K>>) {
        let members = self.settings.members;
        if self.waiting.is_empty()
            || members < 2
            || self
                .round_at
                .is_some_and(|t| now < t + self.settings.loan * 3 / 4)
        {
            return;
        }
        self.round += 1;
        self.round_at = Some(now);
        let urgent = self.waiting.iter().any(|w| w.urgent);
        let ask = self.settings.ask.min(members - 1);
        let first = self.rng.random_range(0..members);
        let lenders: Vec<_> = self.borrowed.keys().copied().collect();
        let others = (0..members)
            .map(|i| (first + i) % members)
            .filter(|m| *m != self.settings.member && !self.borrowed.contains_key(m));
        let asked: Vec<_> = lenders.into_iter().chain(others).collect();
        for to in asked.into_iter().take(ask as usize) {
            let message = ShareMessage::Borrow {
                round: self.round,
                urgent,
            };
            out.push(Output::Send { to, message });
        }
    }

    fn set_timer(&mut self, now: Now, out: &mut Vec<Output<K>>) {
        if self.waiting.is_empty() || self.timer_at.is_some() {
            return;
        }
        let wanted = self.quantum() - self.saved_bytes;
        let rate = self.rate(now).max(self.own_rate() / 100.0);
        let wait = Duration::from_secs_f64((wanted / rate).clamp(0.0, 0.5)).max(MIN_TIMER);
        let at = now + wait;
        self.timer_at = Some(at);
        out.push(Output::SetTimer(at));
    }
}
