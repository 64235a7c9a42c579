use super::ms;
use crate::gateway::budget::{RetryBound, RetryBudget};

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
