use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::ms;
use crate::gateway::peers::{PeerRecord, PeerState};
use crate::gateway::sources::{Source, Sources, WATCHERS, watchers};

fn host(n: usize, places: usize) -> PeerRecord {
    let address = SocketAddr::from((
        [
            10,
            1,
            u8::try_from(n / 200).unwrap(),
            u8::try_from(n % 200).unwrap(),
        ],
        7_000,
    ));
    PeerRecord {
        host: format!("edge-{n}"),
        incarnation: 1,
        version: 0,
        region: "north".into(),
        data_centre: format!("north-{}", n % places),
        callers: address,
        peers: address,
        state: PeerState::Ready,
    }
}

/// Guards against calls to the store that grow with the fleet, against hosts that disagree on who
/// calls it, and against one host that all others of its data centre ask.
#[test]
fn a_few_hosts_watch_the_store_and_the_others_spread_over_them() {
    for (size, places) in [(40, 3), (149, 5), (400, 5)] {
        let hosts: Vec<PeerRecord> = (0..size).map(|n| host(n, places)).collect();
        let members: Vec<&PeerRecord> = hosts.iter().collect();
        let mut watching = BTreeSet::new();
        let mut followers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for local in &hosts {
            let mut sources = Sources::new(ms(0), true, 1);
            match sources.choose(ms(5_000), local, &members) {
                Source::Store => {
                    watching.insert(local.peers);
                }
                Source::Host(address) => *followers.entry(address).or_default() += 1,
                Source::NoneUntil(at) => panic!("{} waits until {at:?}", local.host),
            }
        }
        assert!((3..=10).contains(&watching.len()), "{watching:?}");
        assert!(followers.keys().all(|a| watching.contains(a)));
        let most = followers.values().max().unwrap();
        assert!(*most <= size / watching.len() * 2, "{followers:?}");
    }
}

/// Guards against bytes between data centres, and against a data centre that nobody watches for.
#[test]
fn hosts_follow_a_host_of_their_own_data_centre_first() {
    let hosts: Vec<PeerRecord> = (0..60).map(|n| host(n, 5)).collect();
    let members: Vec<&PeerRecord> = hosts.iter().collect();
    for local in &hosts {
        let watchers = watchers(local, &members, WATCHERS);
        assert_eq!(watchers[0].data_centre, local.data_centre);
    }
    // Two of five data centres are silent.
    let left: Vec<&PeerRecord> = members
        .into_iter()
        .filter(|m| m.data_centre < "north-3".into())
        .collect();
    for local in &left {
        let watchers = watchers(local, &left, WATCHERS);
        assert_eq!(watchers[0].data_centre, local.data_centre);
    }
}

/// Guards against a fleet that waits for hosts that are dead or cut off from the store.
#[test]
fn a_host_passes_over_hosts_that_do_not_answer_and_asks_the_store_in_the_end() {
    let hosts: Vec<PeerRecord> = (0..60).map(|n| host(n, 3)).collect();
    let members: Vec<&PeerRecord> = hosts.iter().collect();
    let order = watchers(&hosts[0], &members, WATCHERS);
    let local = hosts
        .iter()
        .find(|h| order.iter().all(|w| w.host != h.host))
        .unwrap();
    let mut sources = Sources::new(ms(0), true, 1);
    let mut now = ms(5_000);
    let mut asked = Vec::new();
    loop {
        match sources.choose(now, local, &members) {
            Source::Host(address) => {
                asked.push(address);
                sources.failed(now, Source::Host(address));
                now += ms(10);
            }
            Source::NoneUntil(at) => now = at.max(now + ms(1)),
            Source::Store => break,
        }
    }
    let different: BTreeSet<_> = asked.iter().collect();
    assert_eq!(different.len(), watchers(local, &members, WATCHERS).len());
    assert!(now < ms(5_000) + ms(3_200), "{now:?}");
    // The store does not answer either: it is not asked all the time.
    sources.failed(now, Source::Store);
    let mut calls = 0;
    let end = now + ms(10_000);
    while now < end {
        match sources.choose(now, local, &members) {
            Source::Host(address) => sources.failed(now, Source::Host(address)),
            Source::Store => {
                calls += 1;
                sources.failed(now, Source::Store);
            }
            Source::NoneUntil(_) => {}
        }
        now += ms(20);
    }
    assert!(calls <= 5, "{calls} calls in 10 s");
}

/// Guards against a host that asks one silent host after the other and never the store.
#[test]
fn a_host_whose_watchers_fall_silent_one_after_the_other_asks_the_store() {
    let hosts: Vec<PeerRecord> = (0..60).map(|n| host(n, 3)).collect();
    let members: Vec<&PeerRecord> = hosts.iter().collect();
    let order = watchers(&hosts[0], &members, WATCHERS);
    let local = hosts
        .iter()
        .find(|h| order.iter().all(|w| w.host != h.host))
        .unwrap();
    let time_limit = ms(1_400);
    // The first host, the longest wait, and the host that is asked when it ends.
    let limit = time_limit + ms(3_000) + time_limit;
    for seed in 0..50 {
        let mut sources = Sources::new(ms(0), true, seed);
        let mut now = ms(5_000);
        loop {
            match sources.choose(now, local, &members) {
                Source::Host(address) => {
                    now += time_limit;
                    sources.failed(now, Source::Host(address));
                }
                Source::NoneUntil(at) => now = at.max(now + ms(1)),
                Source::Store => break,
            }
            assert!(now <= ms(5_000) + limit, "the store is not asked");
        }
    }
}

/// Guards against a server that left, or a key that was withdrawn, while a host was down: another
/// host's copy may be older than the store.
#[test]
fn a_restarted_host_begins_with_the_store() {
    let hosts: Vec<PeerRecord> = (0..60).map(|n| host(n, 3)).collect();
    let members: Vec<&PeerRecord> = hosts.iter().collect();
    for local in &hosts {
        let mut sources = Sources::new(ms(0), false, 1);
        assert_eq!(sources.choose(ms(10), local, &members), Source::Store);
    }
}

/// Guards against each host of a new fleet asking the store before it has met the others.
#[test]
fn a_new_fleet_meets_before_it_asks_the_store() {
    let hosts: Vec<PeerRecord> = (0..60).map(|n| host(n, 3)).collect();
    let mut sources = Sources::new(ms(0), true, 1);
    let alone = sources.choose(ms(10), &hosts[0], &[&hosts[0]]);
    assert!(matches!(alone, Source::NoneUntil(_)));
    let alone = sources.choose(ms(4_000), &hosts[0], &[&hosts[0]]);
    assert_eq!(alone, Source::Store);
}
