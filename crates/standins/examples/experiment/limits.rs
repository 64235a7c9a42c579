//! Requests admitted for a team that exceeds its rate limit, by number of entry hosts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::config::{Config, Service, Team};
use eelgrasshold_core::entry::{Entry, Input, Output};
use eelgrasshold_core::types::{Now, RefusalKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::load::{self, Size};
use crate::report::Row;
use crate::simulation::SERVICE;

const LIMIT_PER_S: f64 = 200.0;
const TEAM: &str = "large-0";
/// One-way latency between entry hosts.
const LATENCY: Duration = Duration::from_millis(1);
/// Second at which the demand starts to rise, within 1 s, from half to three times the limit.
const DEMAND_RISE_AT_S: f64 = 20.0;
/// Second at which most of the demand moves to other hosts.
const DEMAND_SHIFT_AT_S: f64 = 40.0;
const RUN_END: Duration = Duration::from_secs(60);
/// Time after each change of demand that is evaluated separately, in seconds.
const SETTLING_SECONDS: usize = 5;
const SIZE: Size = Size {
    prompt_tokens: 10,
    output_tokens: 10,
};

/// Name of each policy, and whether entry hosts receive messages from each other.
const POLICIES: [(&str, bool); 2] = [("eelgrasshold", true), ("all_cut_off", false)];

/// Measures the admitted rate with and without messages between entry hosts.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (policy, connected) in POLICIES {
        for hosts in [1, 7, 20, 100, 380] {
            let admitted = admitted_per_s(hosts, connected, seed);
            let mut row = |metric, value| {
                rows.push(Row {
                    experiment: "limits",
                    policy,
                    metric,
                    x: hosts as f64,
                    value,
                    extrapolated: false,
                });
            };
            let rise_at = DEMAND_RISE_AT_S as usize;
            let shift_at = DEMAND_SHIFT_AT_S as usize;
            let steady = [
                rise_at + SETTLING_SECONDS..shift_at,
                shift_at + SETTLING_SECONDS..admitted.len(),
            ];
            let share = |seconds: &[u32]| {
                f64::from(seconds.iter().sum::<u32>()) / (LIMIT_PER_S * seconds.len() as f64)
            };
            let worst_second = |seconds: &[u32]| {
                f64::from(seconds.iter().copied().max().unwrap_or(0)) / LIMIT_PER_S
            };
            let seconds_in = |r: &std::ops::Range<usize>| &admitted[r.clone()];
            let overshoot = steady.iter().map(|r| worst_second(seconds_in(r)));
            row("overshoot", overshoot.fold(0.0, f64::max));
            row(
                "swing_overshoot",
                worst_second(&admitted[rise_at..rise_at + SETTLING_SECONDS]),
            );
            row(
                "move_overshoot",
                worst_second(&admitted[shift_at..shift_at + SETTLING_SECONDS]),
            );
            let used = steady.iter().map(|r| share(seconds_in(r)));
            row("used_share", used.fold(f64::INFINITY, f64::min));
            row(
                "swing_used_share",
                share(&admitted[rise_at..rise_at + SETTLING_SECONDS]),
            );
        }
    }
    rows
}

/// Requests admitted in each second, summed over all hosts.
fn admitted_per_s(hosts: usize, connected: bool, seed: u64) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries: Vec<_> = (0..hosts)
        .map(|n| Entry::new(host_name(n), seed + n as u64))
        .collect();
    let mut events = BTreeMap::new();
    let mut sequence = 0_u64;
    let mut schedule = |events: &mut BTreeMap<_, _>, time: Now, event| {
        sequence += 1;
        events.insert((time, sequence), event);
    };
    for host in 0..hosts {
        let list = (0..hosts).map(host_name).collect();
        schedule(&mut events, Now::ZERO, (host, Input::Config(config())));
        schedule(&mut events, Now::ZERO, (host, Input::EntryHosts(list)));
    }
    for (n, time) in arrivals(&mut rng).into_iter().enumerate() {
        let host = draw_host(&mut rng, hosts, time);
        let request = load::call(&mut rng, time, hosts, TEAM.into(), SIZE).request;
        let handle = n as u64;
        schedule(
            &mut events,
            time,
            (host, Input::Request { handle, request }),
        );
    }
    let mut admitted = vec![0; RUN_END.as_secs() as usize];
    while let Some(((now, _), (host, input))) = events.pop_first() {
        if now >= RUN_END {
            break;
        }
        let is_request = matches!(input, Input::Request { .. });
        for output in entries[host].handle(now, input) {
            match output {
                Output::Send { to, message } if connected => {
                    let Some(peer) = (0..hosts).find(|n| host_name(*n) == to) else {
                        continue;
                    };
                    let from = host_name(host);
                    let input = Input::Peer { from, message };
                    schedule(&mut events, now + LATENCY, (peer, input));
                }
                Output::SetTimer { at: time, timer } => {
                    schedule(&mut events, time, (host, Input::Timer(timer)));
                }
                // Without upstreams, a request that passes the limit is refused for another reason.
                Output::Refuse { refusal, .. }
                    if is_request && refusal.kind != RefusalKind::TeamLimit =>
                {
                    admitted[now.as_secs() as usize] += 1;
                }
                _ => {}
            }
        }
    }
    admitted
}

fn host_name(host: usize) -> String {
    format!("entry-{host}")
}

fn config() -> Arc<Config> {
    let team = Team {
        requests_per_s: Some(LIMIT_PER_S),
        ..Team::default()
    };
    Arc::new(Config {
        revision: 1,
        services: BTreeMap::from([(SERVICE.into(), Service::default())]),
        teams: BTreeMap::from([(TEAM.into(), team)]),
        groups: BTreeMap::new(),
    })
}

fn arrivals(rng: &mut SmallRng) -> Vec<Now> {
    let rate = |now: Now| {
        let risen = (now.as_secs_f64() - DEMAND_RISE_AT_S).clamp(0.0, 1.0);
        LIMIT_PER_S * (0.5 + 2.5 * risen)
    };
    load::arrivals(rng, RUN_END, 3.0 * LIMIT_PER_S, rate)
}

/// Draws the host of a request. 90% of the requests arrive at the first quarter of the hosts, or
/// at the last quarter once the demand has shifted.
fn draw_host(rng: &mut SmallRng, hosts: usize, now: Now) -> usize {
    let quarter = hosts.div_ceil(4);
    let hot_host = rng.random_range(0..quarter);
    if rng.random::<f64>() >= 0.9 {
        rng.random_range(0..hosts)
    } else if now.as_secs_f64() < DEMAND_SHIFT_AT_S {
        hot_host
    } else {
        hosts - 1 - hot_host
    }
}
