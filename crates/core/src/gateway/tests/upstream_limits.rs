use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::ms;
use crate::gateway::upstream_limits::{
    Decider, Observation, Permit, Rate, UpstreamLimits, valid_rate,
};
use crate::types::{HostId, Now};

/// Length of the window in which the requests to an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first answer with a limit from which it has to be kept.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time after its first answer with a limit from which a host's requests count.
const REACTION_TIME: Duration = Duration::from_millis(500);

fn allowed(rate: Rate) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

fn limits_of(host: &str) -> UpstreamLimits {
    UpstreamLimits::new(host.to_owned(), 1)
}

fn observed(rate: Option<Rate>, age_ms: u64) -> Observation {
    let age = Duration::from_millis(age_ms);
    Observation { rate, age }
}

// Guards against an answer that was on its way when a limit was named, and that seems to end it.
#[test]
fn a_limit_ends_only_with_an_answer_to_a_later_request() {
    let mut limits = limits_of("a");
    assert!(!limits.record_answer(ms(100), "u", ms(50), None));
    assert!(limits.record_answer(ms(1_000), "u", ms(900), Some(2.0)));
    assert!(!limits.record_answer(ms(1_100), "u", ms(990), None));
    assert_eq!(limits.rate("u"), Some(2.0));
    assert!(!limits.record_answer(ms(1_200), "u", ms(1_100), Some(2.0)));
    assert!(limits.record_answer(ms(1_400), "u", ms(1_300), None));
    assert_eq!(limits.decider(ms(1_400), "u"), Decider::Nobody);
}

// Guards against older knowledge of another host that replaces newer.
#[test]
fn the_latest_word_of_an_upstream_counts() {
    let mut limits = limits_of("a");
    limits.record_answer(ms(5_000), "u", ms(4_900), Some(2.0));
    assert!(!limits.receive(ms(6_000), "u", observed(Some(9.0), 1_500)));
    assert!(limits.receive(ms(6_000), "u", observed(Some(3.0), 200)));
    assert!(limits.receive(ms(7_000), "u", observed(None, 100)));
    assert!(!limits.receive(ms(7_000), "v", observed(None, 100)));
    assert!(limits.is_empty());
}

// Guards against numbers that can't be a limit, from upstreams or from other hosts.
#[test]
fn a_limit_that_is_no_number_is_none() {
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        assert_eq!(valid_rate(rate), None);
        let mut limits = limits_of("a");
        limits.receive(ms(1_000), "u", observed(Some(rate), 0));
        assert_eq!(limits.decide(ms(1_000), "u"), Permit::Granted);
    }
}

// Guards against a limit of nothing that stays in effect for good, since no answer can end it.
#[test]
fn an_upstream_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = limits_of("a");
    limits.record_answer(ms(0), "u", ms(0), Some(0.0));
    let tries = (0..600).map(|n| limits.decide(ms(n * 100), "u"));
    let granted = tries.filter(|p| *p == Permit::Granted).count();
    assert!((10..=16).contains(&granted), "{granted}");
}

/// Upstreams and hosts with datagrams that take no time or are lost.
struct Fleet {
    hosts: Vec<UpstreamLimits>,
    names: Vec<HostId>,
    /// Whether a host runs.
    up: Vec<bool>,
    /// When a host first passed on an answer with a limit.
    named_at: Vec<Option<Now>>,
    loss: f64,
    rng: SmallRng,
}

impl Fleet {
    fn new(hosts: usize, loss: f64, seed: u64) -> Self {
        let names: Vec<HostId> = (0..hosts).map(|n| format!("edge-{n}")).collect();
        let mut fleet = Self {
            hosts: names.iter().map(|n| limits_of(n)).collect(),
            up: vec![true; hosts],
            named_at: vec![None; hosts],
            names,
            loss,
            rng: SmallRng::seed_from_u64(seed),
        };
        fleet.notice();
        fleet
    }

    /// All hosts notice which ones run.
    fn notice(&mut self) {
        let running = self.names.iter().zip(&self.up).filter(|(_, up)| **up);
        let live: BTreeSet<HostId> = running.map(|(name, _)| name.clone()).collect();
        for host in &mut self.hosts {
            host.set_hosts(&live, 0);
        }
    }

    /// The first `count` hosts start anew, and the others tell them of limits.
    fn restart(&mut self, now: Now, count: usize) {
        for n in 0..count {
            self.up[n] = true;
            self.named_at[n] = None;
            self.hosts[n] = limits_of(&self.names[n]);
        }
        for from in count..self.hosts.len() {
            for (upstream, observed) in self.hosts[from].accounted(now) {
                for to in 0..count {
                    if !self.is_lost() {
                        self.hosts[to].receive(now, &upstream, observed);
                    }
                }
            }
        }
        self.notice();
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_bool(self.loss)
    }

    /// Tells of a limit that is new to a host, as its accountant or to it.
    fn publish(&mut self, now: Now, from: usize, upstream: &str) {
        let Some(observed) = self.hosts[from].observation(now, upstream) else {
            return;
        };
        if self.hosts[from].is_accountant(upstream) {
            for to in 0..self.hosts.len() {
                if to != from && self.up[to] && !self.is_lost() {
                    self.hosts[to].receive(now, upstream, observed);
                }
            }
            return;
        }
        let accountant = self.hosts[from].accountant(upstream).cloned().unwrap();
        let to = self.names.iter().position(|n| *n == accountant).unwrap();
        if self.up[to] && !self.is_lost() && self.hosts[to].receive(now, upstream, observed) {
            self.publish(now, to, upstream);
        }
    }

    /// Whether a host may send one request to an upstream.
    fn may_send(&mut self, now: Now, from: usize, upstream: &str) -> bool {
        loop {
            if self.hosts[from].exhausted_for(now, upstream).is_some() {
                return false;
            }
            let accountant = match self.hosts[from].decider(now, upstream) {
                Decider::Nobody => return true,
                Decider::Local => match self.hosts[from].decide(now, upstream) {
                    Permit::Granted => return true,
                    Permit::Denied { wait } => {
                        self.hosts[from].record_denial(now, upstream, wait);
                        return false;
                    }
                },
                Decider::Host(host) => host,
            };
            let to = self.names.iter().position(|n| *n == accountant).unwrap();
            // A question is sent twice, and each copy counts where it arrives.
            let mut permit = None;
            for _ in 0..2 {
                if permit.is_none() && self.up[to] && !self.is_lost() {
                    let observed = self.hosts[from].observation(now, upstream).unwrap();
                    self.hosts[to].receive(now, upstream, observed);
                    let answer = self.hosts[to].decide(now, upstream);
                    if !self.is_lost() {
                        permit = Some(answer);
                    }
                }
            }
            self.hosts[from].record_permit(now, upstream, &accountant, permit);
            if permit == Some(Permit::Granted) {
                return true;
            }
        }
    }
}

/// Plays an upstream with a limit that changes, and more requests for it than it takes, at hosts of which
/// some are killed and start anew. Returns the requests that it got beyond what was allowed in any
/// window, and the share of its limit that was used.
fn play(seed: u64) -> (usize, f64) {
    const STEP_MS: u64 = 10;
    const LENGTH_MS: u64 = 40_000;
    let mut rng = SmallRng::seed_from_u64(seed);
    let hosts = *[1, 3, 7, 46, 149].choose(&mut rng).unwrap();
    let mut fleet = Fleet::new(hosts, rng.random_range(0.0..0.05), seed);
    let rate: Rate = rng.random_range(0.5..30.0);
    let demand = rate * rng.random_range(2.0..4.0);
    let kills_at = rng.random_range(8_000..20_000);
    let killed = rng.random_range(0..=hosts / 2);
    // Times, and whether the host had known the limit for a while.
    let mut arrivals: Vec<(Now, bool)> = Vec::new();
    for at in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let now = ms(at);
        let is_step = |t: u64| at / STEP_MS == t / STEP_MS;
        if is_step(kills_at) {
            fleet.up[..killed].fill(false);
        }
        if is_step(kills_at + 3_000) {
            fleet.notice();
        }
        if is_step(kills_at + 5_000) {
            fleet.restart(now, killed);
        }
        if !rng.random_bool((demand * STEP_MS as f64 / 1_000.0).min(1.0)) {
            continue;
        }
        let host = rng.random_range(0..hosts);
        if fleet.up[host] && fleet.may_send(now, host, "u") {
            let named_at = *fleet.named_at[host].get_or_insert(now);
            arrivals.push((now, now >= named_at + REACTION_TIME));
            if fleet.hosts[host].record_answer(now, "u", now, Some(rate)) {
                fleet.publish(now, host, "u");
            }
        }
    }
    arrivals.retain(|(at, _)| *at > SETTLE_TIME);
    let counted = arrivals.iter().filter(|(_, counts)| *counts);
    let settled: Vec<Now> = counted.map(|(at, _)| *at).collect();
    let in_window = |start: &Now| {
        let in_window = |at: &&Now| **at >= *start && **at < *start + WINDOW;
        settled.iter().filter(in_window).count()
    };
    let most = settled.iter().map(in_window).max().unwrap_or(0);
    let time = ms(LENGTH_MS).saturating_sub(SETTLE_TIME).as_secs_f64();
    let used = arrivals.len() as f64 / (rate * time);
    (most.saturating_sub(allowed(rate)), used)
}

// Guards against hosts that together send more than an upstream takes, or leave much of it unused, in
// fleets of any size, with lost datagrams, and while hosts are killed and start anew.
#[test]
fn hosts_together_keep_the_limit_of_an_upstream_and_use_it() {
    const SEEDS: u64 = 200;
    const MIN_USED: f64 = 0.7;
    for seed in 0..SEEDS {
        let (excess, used) = play(seed);
        assert_eq!(excess, 0, "seed {seed}");
        assert!(used >= MIN_USED, "seed {seed}: {used:.2} used");
    }
}

// Guards against a host that is cut off and goes on as if all of a limit were its own.
#[test]
fn a_host_that_hears_no_other_takes_an_equal_part() {
    let mut limits = limits_of("edge-0");
    limits.set_hosts(&BTreeSet::from(["edge-0".to_owned()]), 3);
    limits.record_answer(ms(0), "u", ms(0), Some(8.0));
    let tries = (0..1_000).map(|n| limits.decide(ms(n * 10), "u"));
    let granted = tries.filter(|p| *p == Permit::Granted).count();
    assert!((18..=22).contains(&granted), "{granted}");
}
