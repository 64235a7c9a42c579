use std::time::Duration;

use super::*;
use crate::types::WorkClass;

fn request(team: &str) -> Request {
    Request {
        id: "r".into(),
        service: "drafts".into(),
        team: team.into(),
        priority: 4,
        deadline: Duration::from_secs(10),
        class: WorkClass::Idempotent,
        idempotency_key: None,
        fingerprint: 1,
        prefix: None,
        prompt_tokens: 10,
        max_tokens: 10,
        resume_from: 0,
    }
}

// Guards against retries that multiply the load when every attempt fails.
#[test]
fn retries_are_a_tenth_of_the_requests() {
    let mut budgets = Budgets::default();
    let request = request("classers");
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.earn(&request);
        while budgets.retry(&request) {
            retries += 1;
        }
    }
    assert_eq!(retries, 101);
}

// Guards against a team whose failing requests exhaust the retries of another team.
#[test]
fn teams_have_separate_budgets() {
    let mut budgets = Budgets::default();
    while budgets.retry(&request("classers")) {}
    assert!(budgets.retry(&request("shearers")));
}

// Guards against hedges that leave no budget to retry failed requests.
#[test]
fn hedges_leave_half_of_the_budget_to_retries() {
    let mut budgets = Budgets::default();
    let request = request("classers");
    for _ in 0..1_000 {
        budgets.earn(&request);
    }
    let hedges = (0..20).filter(|_| budgets.hedge(&request)).count();
    let retries = (0..20).filter(|_| budgets.retry(&request)).count();
    assert_eq!((hedges, retries), (5, 5));
}

// Guards against hedges before the delay can be estimated, and against hedges of answers that are
// within the usual range.
#[test]
fn hedge_needs_samples_and_a_delay_above_usual_answers() {
    let mut delay = HedgeDelay::default();
    let samples_ms = [90, 100, 110, 95, 105];
    for n in 0..19 {
        delay.observe(Duration::from_millis(samples_ms[n % 5]));
    }
    assert_eq!(delay.delay(), None);
    delay.observe(Duration::from_millis(100));
    assert!(delay.delay().unwrap() > Duration::from_millis(110));
    assert!(delay.delay().unwrap() < Duration::from_millis(200));
}
