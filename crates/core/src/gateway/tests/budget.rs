use super::requests::{admit, end, route, send, settings};
use super::{ms, upstream};
use crate::gateway::budget::{RetryBound, RetryBudget};
use crate::gateway::notices::Notice;
use crate::gateway::routes::{CallerTeam, RouteKind, RouteTable};
use crate::gateway::{Admitted, Gateway, Next, Outcome};
use crate::types::Now;

const BOUND: RetryBound = RetryBound {
    window: std::time::Duration::from_secs(10),
    ratio: 0.2,
    allowance: 90.0,
};

fn spend(budget: &mut RetryBudget, now: std::time::Duration) -> usize {
    (0..1_000).filter(|_| budget.try_take(now, "s")).count()
}

// Guards against hosts that together exceed the bound: each may spend only its own part.
#[test]
fn all_hosts_together_stay_within_the_bound() {
    let hosts = 7;
    let mut total = 0;
    for _ in 0..hosts {
        let mut budget = RetryBudget::new(BOUND, None);
        budget.set_hosts(hosts);
        (0..60).for_each(|n| budget.record_request(ms(n * 100), "s"));
        total += spend(&mut budget, ms(6_000));
    }
    let allowed = BOUND.ratio * 60.0 * 7.0 + BOUND.allowance;
    assert!((total as f64) < allowed, "{total} of {allowed}");
    assert!((total as f64) > allowed * 0.5, "{total} of {allowed}");
}

// Guards against retries that stop counting before the end of the window.
#[test]
fn spent_retries_count_for_a_whole_window() {
    let mut budget = RetryBudget::new(BOUND, None);
    let first = spend(&mut budget, ms(0));
    assert!(first > 0);
    assert_eq!(spend(&mut budget, ms(9_000)), 0);
    assert_eq!(spend(&mut budget, ms(10_001)), first);
}

// Guards against a fleet whose processes all restart and spend an allowance that their earlier
// incarnations have just spent.
#[test]
fn the_allowance_of_a_restarted_process_grows_over_one_window() {
    let start = ms(50_000);
    let mut budget = RetryBudget::new(BOUND, Some(start));
    assert_eq!(spend(&mut budget, start), 0);
    let later = spend(&mut budget, start + ms(5_000));
    assert!(later <= 32, "{later} after half a window");
}

// Guards against one service that spends the budget of another.
#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(BOUND, None);
    assert!(spend(&mut budget, ms(0)) > 0);
    assert!(budget.try_take(ms(0), "other"));
}

/// Sends a request to an upstream that is full, and chooses a second one for it; `None` if the budget is
/// spent.
fn choose_second(gateway: &mut Gateway, now: Now) -> Option<(Admitted, String)> {
    let mut request = admit(gateway, now, "/long/x");
    let first = send(gateway, now, &mut request);
    end(gateway, now, &mut request, &first, Outcome::Full);
    match gateway.next(now, &mut request) {
        Next::Send(second, _) => Some((request, second.id)),
        _ => None,
    }
}

// Guards against sends that are charged when an upstream is chosen and arrive when others are charged that
// the same window has to hold.
#[test]
fn repeated_sends_that_wait_for_a_pause_stay_within_the_bound() {
    const UPSTREAMS: u8 = 100;
    let mut table = RouteTable::new(2);
    let mut long = route("/long/", RouteKind::Safe, 3);
    long.timeout = ms(30_000);
    table.add_route(long);
    let team = CallerTeam { priority: Some(1) };
    table.add_team("shearers".into(), team, vec!["k".into()]);
    let mut gateway = Gateway::new(ms(0), settings(), 7);
    gateway.set_table(ms(0), table.into());
    let list: Vec<_> = (1..=UPSTREAMS).map(upstream).collect();
    gateway.registry.replace(ms(0), list.clone(), 1);
    let head_deadline = ms(30_000);
    let mut waiting = Vec::new();
    while let Some((mut request, second)) = choose_second(&mut gateway, ms(0)) {
        request.deadline = head_deadline;
        waiting.push((request, second));
    }
    // All upstreams ask for a pause while the connections for these sends are opened.
    let notice = Notice {
        leaving: false,
        pause: Some(ms(9_000)),
    };
    for upstream in &list {
        gateway.record_notice(ms(10), upstream, ms(0), notice);
    }
    let mut arrivals = 0;
    for (request, second) in &mut waiting {
        end(&mut gateway, ms(10), request, second, Outcome::Moved);
        let Next::Wait(time) = gateway.next(ms(10), request) else {
            panic!("all upstreams pause");
        };
        assert!(ms(10) + time <= ms(10_000));
    }
    let back = ms(9_990);
    for (request, _) in &mut waiting {
        if let Next::Send(upstream, _) = gateway.next(back, request) {
            arrivals += 1;
            end(&mut gateway, back, request, &upstream.id, Outcome::Answered);
            let listed = list.iter().find(|u| u.id == upstream.id).unwrap();
            gateway.record_notice(back, listed, back, Notice::default());
        }
    }
    let mut requests = waiting.len();
    while choose_second(&mut gateway, ms(10_020)).is_some() {
        arrivals += 1;
        requests += 1;
    }
    let bound = settings().retry_bound;
    let allowed = bound.ratio * requests as f64 + bound.allowance;
    assert!(
        f64::from(arrivals) <= allowed,
        "{arrivals} arrivals within 30 ms, {allowed:.0} allowed in 10 s"
    );
}
