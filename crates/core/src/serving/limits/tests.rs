use std::time::Duration;

use super::*;
use crate::types::Now;

const LIMIT: f64 = 100.0;

fn hosts(n: usize) -> Vec<HostId> {
    (0..n).map(|i| format!("entry-{i}")).collect()
}

fn demand(requests_per_s: f64, share_per_s: f64) -> Demand {
    Demand {
        team: "a".into(),
        requests_per_s,
        share_per_s,
    }
}

/// Reports each host's demand in turn for six rounds, by which the shares have converged.
fn converge(accountant: &mut Accountant, start: Now, demands: &[f64], shares: &mut [f64]) -> Now {
    let hosts = hosts(demands.len());
    let mut now = start;
    for _ in 0..6 {
        for (n, host) in hosts.iter().enumerate() {
            let report = demand(demands[n], shares[n]);
            let share = accountant.report(now, host, &report, LIMIT, hosts.len());
            shares[n] = share.requests_per_s;
        }
        now += REPORT_INTERVAL;
    }
    now
}

// Guards against shares that stay equal although all traffic arrives at one host.
#[test]
fn shares_follow_the_demand() {
    let mut accountant = Accountant::default();
    let mut shares = [0.0; 4];
    let now = converge(
        &mut accountant,
        Now::ZERO,
        &[300.0, 0.0, 0.0, 0.0],
        &mut shares,
    );
    assert!(shares[0] > 99.0, "{shares:?}");
    converge(&mut accountant, now, &[0.0, 30.0, 30.0, 0.0], &mut shares);
    assert!(shares[1] >= 30.0 && shares[2] >= 30.0, "{shares:?}");
}

// Guards against granting capacity to one host while another may still use it: a reply that
// lowers a host's share can be lost.
#[test]
fn shares_in_force_never_exceed_the_limit_while_demand_moves() {
    let mut accountant = Accountant::default();
    let mut shares = [0.0; 3];
    let hosts = hosts(3);
    let mut now = converge(&mut accountant, Now::ZERO, &[400.0, 1.0, 1.0], &mut shares);
    for step in 0..20 {
        for (n, host) in hosts.iter().enumerate() {
            let wanted = if n == 2 { 400.0 } else { 1.0 };
            let report = demand(wanted, shares[n]);
            let share = accountant.report(now, host, &report, LIMIT, 3);
            // Every third reply is lost, so the host keeps its previous share.
            if (step + n) % 3 != 0 {
                shares[n] = share.requests_per_s;
            }
            assert!(shares.iter().sum::<f64>() <= LIMIT + 1e-6, "{shares:?}");
        }
        now += REPORT_INTERVAL;
    }
    assert!(shares[2] > 90.0, "{shares:?}");
}

// Guards against a new accountant that grants the full limit while shares of the previous one
// are still valid.
#[test]
fn new_accountant_grants_at_most_equal_shares_at_first() {
    let mut accountant = Accountant::default();
    let hosts = hosts(10);
    accountant.hosts_changed(Now::ZERO, &hosts);
    let first = accountant.report(Now::ZERO, &hosts[0], &demand(500.0, 0.0), LIMIT, 10);
    assert!(first.requests_per_s <= 10.0);
    let known = accountant.report(Now::ZERO, &hosts[1], &demand(500.0, 40.0), LIMIT, 10);
    assert!(known.requests_per_s <= 40.0);
    let later = SHARE_VALIDITY + Duration::from_millis(1);
    let share = accountant.report(later, &hosts[0], &demand(500.0, 10.0), LIMIT, 10);
    assert!(share.requests_per_s > 90.0, "{share:?}");
}

// Guards against a host that is partitioned from the accountant and keeps its last share forever.
#[test]
fn host_without_a_valid_share_falls_back_to_an_equal_share() {
    let mut meter = Meter::new(Now::ZERO, LIMIT, 10, 0.0);
    let share = Share {
        team: "a".into(),
        requests_per_s: 80.0,
    };
    meter.set_share(Now::ZERO, &share);
    let admitted = |meter: &mut Meter, from: u64| {
        let times = (0..1_000).map(|ms| Now::from_millis(from * 1_000 + ms));
        times.filter(|now| meter.admit(*now)).count()
    };
    let with_share = admitted(&mut meter, 0);
    assert!((79..=101).contains(&with_share), "{with_share}");
    admitted(&mut meter, 1);
    assert!(meter.expire_share(Now::from_secs(2)));
    assert!(!meter.expire_share(Now::from_secs(2)));
    let without_share = admitted(&mut meter, 3);
    // The equal share is 10 per second, plus a burst of 2.5 after a second without requests.
    assert!((9..=12).contains(&without_share), "{without_share}");
}

// Guards against exceeding a small limit when hundreds of idle hosts each admit a first request.
#[test]
fn first_requests_at_many_hosts_keep_to_the_limit() {
    let admitted = (0..380)
        .map(|n| f64::from(n) / 380.0)
        .filter(|chance| Meter::new(Now::ZERO, 10.0, 380, *chance).admit(Now::ZERO))
        .count();
    assert!((9..=11).contains(&admitted), "{admitted}");
}

// Guards against an accountant that does not move when its host is gone, and against one that
// moves when another host leaves.
#[test]
fn accountant_moves_only_if_its_host_leaves() {
    let hosts = hosts(7);
    let accountant = accountant_of(&"a".into(), &hosts).cloned();
    let other = hosts.iter().find(|h| Some(*h) != accountant.as_ref());
    let without = |gone: Option<&HostId>| -> Vec<HostId> {
        hosts.iter().filter(|h| Some(*h) != gone).cloned().collect()
    };
    let same = accountant_of(&"a".into(), &without(other)).cloned();
    assert_eq!(same, accountant);
    let next = accountant_of(&"a".into(), &without(accountant.as_ref())).cloned();
    assert!(next.is_some() && next != accountant);
}
