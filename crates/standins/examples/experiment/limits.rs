//! Admitted requests of a team over its limit, at many entry hosts.

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
use crate::world::SERVICE;

const LIMIT_PER_S: f64 = 200.0;
const TEAM: &str = "large-0";
/// One-way latency between entry hosts.
const LATENCY: Duration = Duration::from_millis(1);
/// The demand rises from half the limit to three times the limit within a second.
const SWING_S: f64 = 20.0;
/// The demand moves to other hosts.
const MOVE_S: f64 = 40.0;
const RUN_ENDS: Duration = Duration::from_secs(60);
/// Seconds after a change of the demand that count as its swing.
const SETTLING_S: usize = 5;
const SIZE: Size = Size {
    prompt_tokens: 10,
    output_tokens: 10,
};

/// What is compared: a name, and whether hosts hear each other.
const COMPARED: [(&str, bool); 2] = [("eelgrasshold", true), ("all_cut_off", false)];

/// Runs the experiment.
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (policy, connected) in COMPARED {
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
            let swing = SWING_S as usize;
            let moved = MOVE_S as usize;
            let steady = [
                swing + SETTLING_S..moved,
                moved + SETTLING_S..admitted.len(),
            ];
            let share = |seconds: &[u32]| {
                f64::from(seconds.iter().sum::<u32>()) / (LIMIT_PER_S * seconds.len() as f64)
            };
            let worst_second = |seconds: &[u32]| {
                f64::from(seconds.iter().copied().max().unwrap_or(0)) / LIMIT_PER_S
            };
            let of = |r: &std::ops::Range<usize>| &admitted[r.clone()];
            let overshoot = steady.iter().map(|r| worst_second(of(r)));
            row("overshoot", overshoot.fold(0.0, f64::max));
            row(
                "swing_overshoot",
                worst_second(&admitted[swing..swing + SETTLING_S]),
            );
            row(
                "move_overshoot",
                worst_second(&admitted[moved..moved + SETTLING_S]),
            );
            let used = steady.iter().map(|r| share(of(r)));
            row("used_share", used.fold(f64::INFINITY, f64::min));
            row(
                "swing_used_share",
                share(&admitted[swing..swing + SETTLING_S]),
            );
        }
    }
    rows
}

/// Requests that all hosts together admitted in each second.
fn admitted_per_s(hosts: usize, connected: bool, seed: u64) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut entries: Vec<_> = (0..hosts)
        .map(|n| Entry::new(name(n), seed + n as u64))
        .collect();
    let mut events = BTreeMap::new();
    let mut next = 0_u64;
    let mut at = |events: &mut BTreeMap<_, _>, at: Now, event| {
        next += 1;
        events.insert((at, next), event);
    };
    for host in 0..hosts {
        let list = (0..hosts).map(name).collect();
        at(&mut events, Now::ZERO, (host, Input::Config(config())));
        at(&mut events, Now::ZERO, (host, Input::EntryHosts(list)));
    }
    for (n, time) in arrivals(&mut rng).into_iter().enumerate() {
        let host = host_of(&mut rng, hosts, time);
        let request = load::call(&mut rng, time, hosts, TEAM.into(), SIZE).request;
        let handle = n as u64;
        at(
            &mut events,
            time,
            (host, Input::Request { handle, request }),
        );
    }
    let mut admitted = vec![0; RUN_ENDS.as_secs() as usize];
    while let Some(((now, _), (host, input))) = events.pop_first() {
        if now >= RUN_ENDS {
            break;
        }
        let request = matches!(input, Input::Request { .. });
        for output in entries[host].handle(now, input) {
            match output {
                Output::Send { to, message } if connected => {
                    let Some(peer) = (0..hosts).find(|n| name(*n) == to) else {
                        continue;
                    };
                    let from = name(host);
                    let input = Input::Peer { from, message };
                    at(&mut events, now + LATENCY, (peer, input));
                }
                Output::SetTimer { at: time, timer } => {
                    at(&mut events, time, (host, Input::Timer(timer)));
                }
                // There are no upstreams, so what passes the limit ends here.
                Output::Refuse { refusal, .. }
                    if request && refusal.kind != RefusalKind::TeamLimit =>
                {
                    admitted[now.as_secs() as usize] += 1;
                }
                _ => {}
            }
        }
    }
    admitted
}

fn name(host: usize) -> String {
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
        let risen = (now.as_secs_f64() - SWING_S).clamp(0.0, 1.0);
        LIMIT_PER_S * (0.5 + 2.5 * risen)
    };
    load::arrivals(rng, RUN_ENDS, 3.0 * LIMIT_PER_S, rate)
}

/// Nine tenths of the requests come in at the first quarter of the hosts, and later at the last.
fn host_of(rng: &mut SmallRng, hosts: usize, now: Now) -> usize {
    let quarter = hosts.div_ceil(4);
    let favoured = rng.random_range(0..quarter);
    if rng.random::<f64>() >= 0.9 {
        rng.random_range(0..hosts)
    } else if now.as_secs_f64() < MOVE_S {
        favoured
    } else {
        hosts - 1 - favoured
    }
}
