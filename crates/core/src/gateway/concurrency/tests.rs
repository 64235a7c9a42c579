use std::collections::BTreeMap;
use std::time::Duration;

use super::refused::RetryKey;
use super::{Candidate, PauseControl, Ticket, Verdict};
use crate::types::{Now, TeamId};

const SERVICE: &str = "drafts";
const TARGET: Duration = Duration::from_millis(150);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn control() -> PauseControl {
    let mut control = PauseControl::default();
    control.set_targets(&BTreeMap::from([(SERVICE.to_owned(), TARGET)]));
    control
}

fn candidate(now: Now, priority: u8, team: &TeamId) -> Candidate<'_> {
    Candidate {
        service: SERVICE,
        team: Some(team),
        priority,
        work: 1.0,
        in_time_by: now + ms(1_000),
        begin_by: now + ms(1_000),
        leaves_at: now + ms(2_000),
        wait_at_upstreams: Duration::ZERO,
        has_begun: false,
        retry: None,
    }
}

fn decide(
    control: &mut PauseControl,
    request: &Candidate<'_>,
    now: Now,
) -> (Verdict, Option<Ticket>) {
    let mut ticket = None;
    let verdict = control.decide(now, request, &mut ticket);
    (verdict, ticket)
}

/// Passes of the given duration that yield an event of each of `streams` streams, until `until`.
fn run(control: &mut PauseControl, mut now: Now, until: Now, pass: Duration, streams: usize) {
    while now < until {
        now += pass;
        (0..streams).for_each(|_| control.record_pause(now, SERVICE, pass));
    }
}

fn limit(control: &PauseControl) -> f64 {
    let state = control.states().next().expect("a service");
    state.1.limit.unwrap_or(f64::INFINITY)
}

/// A control with 30 streams in flight of the least urgent kind whose pauses have been too long.
fn loaded() -> (PauseControl, Vec<Ticket>) {
    let mut control = control();
    let team = "team-1".to_owned();
    let tickets =
        (0..30).filter_map(|n| decide(&mut control, &candidate(ms(n), 2, &team), ms(n)).1);
    let tickets: Vec<Ticket> = tickets.collect();
    run(&mut control, ms(100), ms(1_400), ms(140), 30);
    (control, tickets)
}

// Guards against a stalled group, whose streams all pause once, that is taken for overload.
#[test]
fn a_stall_of_all_streams_does_not_change_the_limit() {
    let (mut control, _) = loaded();
    run(&mut control, ms(1_500), ms(2_500), ms(80), 30);
    let before = limit(&control);
    (0..30).for_each(|_| control.record_pause(ms(3_500), SERVICE, ms(1_000)));
    run(&mut control, ms(3_500), ms(4_500), ms(80), 30);
    assert!(
        limit(&control) >= before,
        "{} after {before}",
        limit(&control)
    );
}

// Guards against a limit that stays low after pauses are short again.
#[test]
fn a_limit_recovers_within_a_second() {
    let (mut control, _) = loaded();
    let team = "team-1".to_owned();
    for n in 0..4 {
        decide(
            &mut control,
            &candidate(ms(1_500 + n), 2, &team),
            ms(1_500 + n),
        );
    }
    let before = limit(&control);
    run(&mut control, ms(1_500), ms(2_500), ms(60), 30);
    assert!(
        limit(&control) > before * 1.1,
        "{} after {before}",
        limit(&control)
    );
}

// Guards against a caller that is told to retry and then waits behind others.
#[test]
fn a_retry_goes_first_once_and_only_at_the_host_that_refused() {
    let (mut control, tickets) = loaded();
    let team = "team-1".to_owned();
    let key = RetryKey {
        content: 7,
        team: Some(team.clone()),
        route: "drafts".into(),
    };
    control.record_refusal(ms(1_400), key.clone(), ms(500));
    let plain = candidate(ms(1_500), 2, &team);
    let (_, first) = decide(&mut control, &plain, ms(1_500));
    let retry = Candidate {
        retry: Some(key),
        ..plain.clone()
    };
    let (_, second) = decide(&mut control, &retry, ms(1_501));
    assert_eq!(control.counts().retries, 1);
    let again = decide(&mut control, &retry, ms(1_502)).1;
    assert_eq!(control.counts().retries, 1, "it counts once");
    control.take_woken();
    for ticket in tickets {
        control.release(ms(1_600), SERVICE, ticket);
    }
    let woken = control.take_woken();
    assert_eq!(woken, [second, first, again].map(|t| t.expect("it waits")));
}
