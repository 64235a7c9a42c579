//! Load of a large fleet, in which each host sees a fraction of the requests.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::ms;
use super::requests::{admit, gateway_of, table_with_engine};
use crate::gateway::load_reports::LoadReport;
use crate::gateway::registry::Upstream;
use crate::gateway::{Gateway, Next, Outcome};
use crate::types::{HostId, Now};

const HOSTS: usize = 149;
const UPSTREAMS: usize = 192;
/// Requests of each host per second.
const RATE: f64 = 3.2;
/// Time that an upstream takes for a request, and its spread.
const RUN_MS: (f64, f64) = (900.0, 1_500.0);
/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(3);

fn upstream(n: usize) -> Upstream {
    Upstream {
        id: format!("u-{n}"),
        service: "drafts".into(),
        address: SocketAddr::from((
            [
                10,
                2,
                u8::try_from(n / 200).unwrap(),
                u8::try_from(n % 200).unwrap(),
            ],
            80,
        )),
        data_centre: format!("north-{}", n % 5),
        slots: 6,
        leaving: false,
        born: None,
        warm_up: Some(Duration::ZERO),
        version: 1,
    }
}

/// What callers and upstreams see of a load.
#[derive(Debug)]
struct Seen {
    /// Share of requests that found no idle connection to their upstream.
    new_connections: f64,
    /// Mean over time of the busiest upstream's requests relative to the mean.
    busiest: f64,
    /// Share of requests that met an upstream whose slots were all taken.
    waiting: f64,
}

/// Which reports of the upstreams' load reach the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reports {
    None,
    /// Every 100 ms, to the hosts that use the upstream first.
    Subscribed,
    /// The same until halfway through, then none.
    UntilHalfway,
    /// The same from some upstreams, and impossible ones from the others.
    PartlyImpossible,
}

fn play(with_subsets: bool) -> Seen {
    play_with(with_subsets, Reports::None, 5)
}

/// Sends the load of all upstreams to the hosts that use them first.
fn report(
    now: Now,
    reports: Reports,
    hosts: &mut [Gateway],
    upstreams: &[Upstream],
    running: &BTreeMap<String, usize>,
) {
    for host in hosts {
        let used: Vec<String> = host.reported_upstreams().map(|u| u.id.clone()).collect();
        for upstream in upstreams.iter().filter(|u| used.contains(&u.id)) {
            let is_possible = reports != Reports::PartlyImpossible || upstream.id.ends_with('1');
            let active = running.get(&upstream.id).copied().unwrap_or_default();
            let report = LoadReport {
                engine: upstream.address,
                born: None,
                active: if is_possible {
                    u32::try_from(active).unwrap()
                } else {
                    9_999
                },
                queued: 0,
                pace: 1.0,
                group: None,
            };
            assert_eq!(host.record_load(now, &report), is_possible);
        }
    }
}

fn play_with(with_subsets: bool, reports: Reports, seed: u64) -> Seen {
    let mut rng = SmallRng::seed_from_u64(seed);
    let upstreams: Vec<Upstream> = (0..UPSTREAMS).map(upstream).collect();
    let names: Vec<HostId> = (0..HOSTS).map(|n| format!("edge-{n}")).collect();
    let fleet: BTreeSet<HostId> = names.iter().cloned().collect();
    let mut hosts: Vec<Gateway> = names
        .iter()
        .enumerate()
        .map(|(n, name)| {
            let mut gateway = gateway_of(name, &format!("north-{}", n % 5), n as u64);
            gateway.registry.replace(ms(0), upstreams.clone(), 1);
            let live = if with_subsets {
                fleet.clone()
            } else {
                BTreeSet::new()
            };
            gateway.set_hosts(HOSTS, live);
            gateway.set_table(ms(0), table_with_engine());
            gateway
        })
        .collect();
    // Ends of requests: time, host, upstream, work in thousandths.
    let mut ends: BinaryHeap<Reverse<(Duration, usize, String, u64)>> = BinaryHeap::new();
    let mut idle: BTreeMap<(usize, String), Vec<Duration>> = BTreeMap::new();
    let mut running: BTreeMap<String, usize> = BTreeMap::new();
    let (mut sends, mut opened, mut waiting) = (0_usize, 0_usize, 0_usize);
    let mut busiest = Vec::new();
    let mut now = Duration::ZERO;
    let warm = Duration::from_secs(10);
    let mut report_at = Duration::ZERO;
    while now < Duration::from_secs(40) {
        now += Duration::from_secs_f64(rng.random_range(0.0..2.0) / (RATE * HOSTS as f64));
        while ends.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((at, host, id, work))) = ends.pop() else {
                break;
            };
            hosts[host].attempt_ended(at, &id, work as f64 / 1e3, Outcome::Answered);
            *running.get_mut(&id).unwrap() -= 1;
            idle.entry((host, id)).or_default().push(at);
        }
        let is_reported = match reports {
            Reports::None => false,
            Reports::UntilHalfway => now < Duration::from_secs(9),
            Reports::Subscribed | Reports::PartlyImpossible => true,
        };
        if is_reported && now >= report_at {
            report_at = now + Duration::from_millis(100);
            report(now, reports, &mut hosts, &upstreams, &running);
        }
        let host = rng.random_range(0..HOSTS);
        let mut request = admit(&mut hosts[host], now, "/s/x");
        let Next::Send(chosen, _) = hosts[host].next(now, &mut request) else {
            panic!("an upstream takes requests");
        };
        let kept = idle.entry((host, chosen.id.clone())).or_default();
        kept.retain(|at| now.saturating_sub(*at) < IDLE);
        let reused = kept.pop().is_some();
        let count = running.entry(chosen.id.clone()).or_default();
        if now > warm {
            sends += 1;
            opened += usize::from(!reused);
            waiting += usize::from(*count >= 6);
        }
        *count += 1;
        let time = Duration::from_secs_f64(rng.random_range(RUN_MS.0..RUN_MS.1) / 1e3);
        let work = (request.work * 1e3) as u64;
        ends.push(Reverse((now + time, host, chosen.id, work)));
        if now > warm && sends % 100 == 0 {
            let most = running.values().copied().max().unwrap_or_default() as f64;
            let mean = running.values().sum::<usize>() as f64 / UPSTREAMS as f64;
            busiest.push(most / mean);
        }
    }
    Seen {
        new_connections: opened as f64 / sends as f64,
        busiest: busiest.iter().sum::<f64>() / busiest.len() as f64,
        waiting: waiting as f64 / sends as f64,
    }
}

/// Guards against a new connection for nearly every request, and against subsets that load some
/// upstreams more than others.
#[test]
fn hosts_of_a_large_fleet_reuse_connections_and_spread_their_requests() {
    let (all, subset) = (play(false), play(true));
    assert!(
        subset.new_connections < 0.6 * all.new_connections,
        "{} against {}",
        subset.new_connections,
        all.new_connections
    );
    assert!(
        subset.busiest <= all.busiest * 1.05,
        "{} against {}",
        subset.busiest,
        all.busiest
    );
    assert!(
        subset.waiting <= all.waiting + 0.01,
        "{} against {}",
        subset.waiting,
        all.waiting
    );
}

/// Guards against busiest upstreams that have far more requests than the mean although their sidecars report
/// it, and against reports that make it worse when they are missing, old or impossible.
#[test]
fn reports_of_the_load_even_out_the_requests_of_a_large_fleet() {
    for seed in [5, 6] {
        let all = play_with(false, Reports::None, seed);
        let own = play_with(true, Reports::None, seed);
        let reported = play_with(true, Reports::Subscribed, seed);
        let detail = format!("{reported:?} with and {own:?} without reports");
        assert!(reported.busiest < own.busiest - 0.1, "{detail}");
        assert!(reported.waiting <= own.waiting, "{detail}");
        let most = 0.6 * all.new_connections;
        assert!(reported.new_connections < most, "{detail}, {all:?}");
        for faulty in [Reports::UntilHalfway, Reports::PartlyImpossible] {
            let seen = play_with(true, faulty, seed);
            let detail = format!("{faulty:?}: {} and {} without", seen.busiest, own.busiest);
            assert!(seen.busiest < own.busiest * 1.1, "{detail}");
        }
    }
}

/// Guards against a small fleet whose hosts leave some of a few upstreams to the others: 7 hosts
/// with subsets of 8 would load 12 upstreams unevenly.
#[test]
fn hosts_of_a_small_fleet_use_all_upstreams() {
    let names: BTreeSet<HostId> = (0..7).map(|n| format!("edge-{n}")).collect();
    for name in &names {
        let mut gateway = gateway_of(name, "north-1", 3);
        let upstreams = (0..12).map(upstream).collect();
        gateway.registry.replace(ms(0), upstreams, 1);
        gateway.set_hosts(names.len(), names.clone());
        let mut used = BTreeSet::new();
        for _ in 0..12 {
            let mut request = admit(&mut gateway, ms(10), "/s/x");
            let Next::Send(chosen, _) = gateway.next(ms(10), &mut request) else {
                panic!("an upstream takes requests");
            };
            used.insert(chosen.id);
        }
        assert_eq!(used.len(), 12, "{name}");
    }
}
