use super::*;

fn hosts(n: usize) -> Vec<HostId> {
    (0..n).map(|i| format!("up-{i}")).collect()
}

fn observe_answers(
    health: &mut Health,
    now: Now,
    peers: &[HostId],
    latency_ms: impl Fn(usize) -> u64,
) {
    for _ in 0..40 {
        for (i, host) in peers.iter().enumerate() {
            let latency = Duration::from_millis(latency_ms(i));
            health.observe(now, host, peers, Observation::Answered(latency));
        }
    }
}

fn avoided(health: &Health, now: Now, peers: &[HostId]) -> usize {
    peers
        .iter()
        .filter(|p| health.is_avoided(now, p, 0))
        .count()
}

// Guards against an upstream that answers far later than its peers and still gets its full load.
#[test]
fn upstream_slower_than_its_peers_is_ejected() {
    let mut health = Health::default();
    let peers = hosts(6);
    observe_answers(&mut health, Now::ZERO, &peers, |i| {
        if i == 2 { 2_000 } else { 100 }
    });
    assert!(health.is_avoided(Now::ZERO, &peers[2], 0));
    assert_eq!(avoided(&health, Now::ZERO, &peers), 1);
}

// Guards against ejections because the whole service is slow at peak load.
#[test]
fn load_that_slows_all_upstreams_ejects_none() {
    let mut health = Health::default();
    let peers = hosts(6);
    observe_answers(&mut health, Now::ZERO, &peers, |_| 100);
    observe_answers(&mut health, Now::ZERO, &peers, |_| 5_000);
    assert_eq!(avoided(&health, Now::ZERO, &peers), 0);
}

// Guards against ejections that leave too few upstreams for the load.
#[test]
fn at_most_a_third_is_ejected() {
    for n in [2, 3, 6, 12] {
        let mut health = Health::default();
        let peers = hosts(n);
        observe_answers(&mut health, Now::ZERO, &peers, |_| 100);
        for _ in 0..40 {
            for host in &peers[..n / 2] {
                health.observe(Now::ZERO, host, &peers, Observation::Failed);
            }
        }
        assert_eq!(avoided(&health, Now::ZERO, &peers), n / 3, "of {n}");
    }
}

// Guards against an upstream that stays ejected after it has recovered, or gets its full load
// immediately.
#[test]
fn ejected_upstream_returns_on_probation() {
    let mut health = Health::default();
    let peers = hosts(3);
    observe_answers(&mut health, Now::ZERO, &peers, |i| {
        if i == 0 { 2_000 } else { 100 }
    });
    assert!(health.is_avoided(Now::ZERO, &peers[0], 0));
    let later = EJECTION_TIME;
    health.tick(later);
    assert!(!health.is_avoided(later, &peers[0], 0));
    assert!(health.is_avoided(later, &peers[0], 1));
    let good = Observation::Answered(Duration::from_millis(100));
    let changes: Vec<_> = (0..PROBATION_ANSWERS)
        .filter_map(|_| health.observe(later, &peers[0], &peers, good))
        .collect();
    assert_eq!(changes, [Change::Returned]);
    assert!(!health.is_avoided(later, &peers[0], 1));
}
