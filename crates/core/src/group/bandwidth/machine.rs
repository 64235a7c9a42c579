//! State machine of one member's limiter.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Input, LimiterSettings, LoanMessage, MemberId, Output};
use crate::types::Now;

/// Length of the burst that a member may accumulate, in seconds at its current rate. Over any window,
/// all members together exceed the store's rate by at most twice this burst.
const BURST_S: f64 = 0.1;
/// One in this many grants goes to the load that has waited longest, so that urgent loads don't
/// starve it.
const GRANTS_PER_OLDEST_FIRST: u64 = 4;
/// Shortest delay of a timer, which bounds the rate of wake-ups.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(5);

#[derive(Clone, Debug)]
struct PendingLoad<K> {
    load: K,
    remaining_bytes: u64,
    urgent: bool,
}

/// Rate that one member lends to another for a limited time.
#[derive(Clone, Copy, Debug)]
struct Loan {
    rate: f64,
    from: Now,
    until: Now,
}

impl Loan {
    fn bytes(&self, from: Now, to: Now) -> f64 {
        let from = from.max(self.from);
        let to = to.min(self.until);
        to.saturating_sub(from).as_secs_f64() * self.rate
    }
}

/// One member's limiter for reads from the weight store.
///
/// ```
/// use std::time::Duration;
/// use eelgrasshold_core::group::bandwidth::{Input, LimiterSettings, Output, StoreLimiter};
///
/// let mut limiter = StoreLimiter::new(LimiterSettings {
///     member: 0,
///     members: 4,
///     bytes_per_s: 4e9,
///     loan_duration: Duration::from_secs(2),
///     lenders_per_round: 3,
///     seed: 1,
/// });
/// limiter.handle(Duration::ZERO, Input::Start);
/// let request = Input::Request { load: "adapter", bytes: 1_000, urgent: true };
/// let out = limiter.handle(Duration::from_secs(10), request);
/// assert!(out.iter().any(|o| matches!(o, Output::Grant { last: true, .. })));
/// ```
#[derive(Clone, Debug)]
pub struct StoreLimiter<K> {
    settings: LimiterSettings,
    waiting: VecDeque<PendingLoad<K>>,
    own_usable_from: Now,
    lent: BTreeMap<MemberId, Loan>,
    borrowed: BTreeMap<MemberId, Loan>,
    round: u64,
    round_started_at: Option<Now>,
    available_bytes: f64,
    accrued_at: Now,
    grants: u64,
    timer_at: Option<Now>,
    rng: SmallRng,
}

impl<K: Clone> StoreLimiter<K> {
    /// Creates a limiter that grants nothing before [`Input::Start`].
    #[must_use]
    pub fn new(settings: LimiterSettings) -> Self {
        let mut rng = SmallRng::seed_from_u64(settings.seed ^ u64::from(settings.member));
        Self {
            // A random start keeps rounds distinct from those of earlier incarnations, so that a
            // late `Lend` for an earlier round is ignored: its loan ends at another time.
            round: u64::from(rng.random::<u32>()) << 32,
            rng,
            settings,
            waiting: VecDeque::new(),
            own_usable_from: Now::MAX,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            round_started_at: None,
            available_bytes: 0.0,
            accrued_at: Duration::ZERO,
            grants: 0,
            timer_at: None,
        }
    }

    /// Number of loads that have not been granted in full.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Handles an input at the time `now` and returns the actions for the driver.
    pub fn handle(&mut self, now: Now, input: Input<K>) -> Vec<Output<K>> {
        let mut out = Vec::new();
        self.accrue(now);
        match input {
            Input::Start => {
                self.own_usable_from = now + self.lender_hold_time();
                self.accrued_at = now;
            }
            Input::Request {
                load,
                bytes,
                urgent,
            } => self.waiting.push_back(PendingLoad {
                load,
                remaining_bytes: bytes.max(1),
                urgent,
            }),
            Input::CancelAll => self.waiting.clear(),
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

    /// Time for which a lender doesn't use the rate that it lent.
    fn lender_hold_time(&self) -> Duration {
        self.settings.loan_duration * 5 / 4
    }

    /// Size of a grant, in bytes, below which only the rest of a load is granted. It is also the
    /// minimum burst.
    fn quantum(&self) -> f64 {
        (self.own_rate() * BURST_S).max(1.0)
    }

    fn rate(&self, now: Now) -> f64 {
        let active = |l: &&Loan| now >= l.from && now < l.until;
        let lent: f64 = self.lent.values().filter(active).map(|l| l.rate).sum();
        let borrowed: f64 = self.borrowed.values().filter(active).map(|l| l.rate).sum();
        let own = if now >= self.own_usable_from {
            self.own_rate()
        } else {
            0.0
        };
        (own - lent).max(0.0) + borrowed
    }

    /// Adds the bytes that became available since the last call, up to the burst limit.
    fn accrue(&mut self, now: Now) {
        let from = self.accrued_at;
        let own_from = from.max(self.own_usable_from);
        let own = now.saturating_sub(own_from).as_secs_f64() * self.own_rate();
        let lent: f64 = self.lent.values().map(|l| l.bytes(from, now)).sum();
        let borrowed: f64 = self.borrowed.values().map(|l| l.bytes(from, now)).sum();
        self.available_bytes += (own - lent).max(0.0) + borrowed;
        let cap = self.quantum().max(self.rate(now) * BURST_S);
        self.available_bytes = self.available_bytes.min(cap);
        self.accrued_at = now;
        self.lent.retain(|_, l| now < l.until);
        self.borrowed.retain(|_, l| now < l.until);
    }

    fn message(
        &mut self,
        now: Now,
        from: MemberId,
        message: &LoanMessage,
        out: &mut Vec<Output<K>>,
    ) {
        match *message {
            LoanMessage::Borrow { round, urgent } => self.lend(now, from, round, urgent, out),
            LoanMessage::Lend { round, bytes_per_s } => {
                let Some(requested_at) = self.round_started_at else {
                    return;
                };
                let until = requested_at + self.settings.loan_duration;
                let usable = bytes_per_s.is_finite() && bytes_per_s > 0.0;
                let rate = bytes_per_s.min(self.own_rate());
                if round == self.round && now < until && usable {
                    let earlier = self.borrowed.get(&from);
                    let loan = Loan {
                        rate,
                        from: earlier.map_or(now, |l| l.from),
                        until,
                    };
                    self.borrowed.insert(from, loan);
                }
            }
        }
    }

    fn lend(&mut self, now: Now, to: MemberId, round: u64, urgent: bool, out: &mut Vec<Output<K>>) {
        let others = self.lent.iter().filter(|(m, _)| **m != to);
        let lent: f64 = others.map(|(_, l)| l.rate).sum();
        let keep = match (self.waiting.is_empty(), urgent) {
            (true, _) => 0.0,
            (false, true) if !self.waiting.iter().any(|w| w.urgent) => self.own_rate() / 2.0,
            (false, _) => self.own_rate(),
        };
        // An existing loan to the borrower is extended at its rate, or left to expire.
        let earlier = self.lent.get(&to).copied();
        let free = self.own_rate() - lent - keep;
        let rate = earlier.map_or(free, |l| l.rate);
        if now < self.own_usable_from || rate > free || rate < self.own_rate() / 100.0 {
            return;
        }
        let loan = Loan {
            rate,
            from: earlier.map_or(now, |l| l.from),
            until: now + self.lender_hold_time(),
        };
        self.lent.insert(to, loan);
        let message = LoanMessage::Lend {
            round,
            bytes_per_s: rate,
        };
        out.push(Output::Send { to, message });
    }

    fn grant(&mut self, out: &mut Vec<Output<K>>) {
        while let Some(i) = self.next_load() {
            let waiting = &mut self.waiting[i];
            let bytes = (self.available_bytes as u64).min(waiting.remaining_bytes);
            waiting.remaining_bytes -= bytes;
            let last = waiting.remaining_bytes == 0;
            let load = waiting.load.clone();
            self.available_bytes -= bytes as f64;
            self.grants += 1;
            out.push(Output::Grant { load, bytes, last });
            if last {
                self.waiting.remove(i);
            }
        }
    }

    /// Index of the load that is granted next, if enough bytes are available for a grant.
    fn next_load(&self) -> Option<usize> {
        let urgent = self.waiting.iter().position(|w| w.urgent);
        let i = match urgent {
            Some(i) if !(self.grants + 1).is_multiple_of(GRANTS_PER_OLDEST_FIRST) => i,
            _ => 0,
        };
        let remaining = self.waiting.get(i)?.remaining_bytes as f64;
        (self.available_bytes >= remaining.min(self.quantum())).then_some(i)
    }

    /// Requests loans from other members, from current lenders first.
    fn borrow(&mut self, now: Now, out: &mut Vec<Output<K>>) {
        let members = self.settings.members;
        if self.waiting.is_empty()
            || members < 2
            || self
                .round_started_at
                .is_some_and(|t| now < t + self.settings.loan_duration * 3 / 4)
        {
            return;
        }
        self.round += 1;
        self.round_started_at = Some(now);
        let urgent = self.waiting.iter().any(|w| w.urgent);
        let lenders = self.settings.lenders_per_round.min(members - 1);
        let first = self.rng.random_range(0..members);
        let earlier_lenders: Vec<_> = self.borrowed.keys().copied().collect();
        let others = (0..members)
            .map(|i| (first + i) % members)
            .filter(|m| *m != self.settings.member && !self.borrowed.contains_key(m));
        let candidates: Vec<_> = earlier_lenders.into_iter().chain(others).collect();
        for to in candidates.into_iter().take(lenders as usize) {
            let message = LoanMessage::Borrow {
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
        let lacking_bytes = self.quantum() - self.available_bytes;
        let rate = self.rate(now).max(self.own_rate() / 100.0);
        let wait =
            Duration::from_secs_f64((lacking_bytes / rate).clamp(0.0, 0.5)).max(MIN_TIMER_DELAY);
        let at = now + wait;
        self.timer_at = Some(at);
        out.push(Output::SetTimer(at));
    }
}
