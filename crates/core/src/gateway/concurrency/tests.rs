use std::collections::BTreeMap;
use std::time::Duration;

use super::refused::RetryKey;
use super::{Candidate, LATE_SHARE, PauseControl, Ticket, Verdict};
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

/// A request that is late whenever it starts, but may still start.
fn late_candidate(now: Now, priority: u8, team: &TeamId) -> Candidate<'_> {
    Candidate {
        in_time_by: now.saturating_sub(ms(1)),
        begin_by: now + ms(3_000),
        leaves_at: now + ms(4_000),
        ..candidate(now, priority, team)
    }
}

// Guards against late requests that are refused, or that take the places of requests that can be in time.
#[test]
fn a_late_request_waits_and_starts_below_its_share_of_the_limit() {
    let (mut control, tickets) = loaded();
    let team = "team-1".to_owned();
    let (verdict, late) = decide(
        &mut control,
        &late_candidate(ms(1_400), 0, &team),
        ms(1_400),
    );
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    control.take_woken();
    let limit = limit(&control);
    let mut in_flight = tickets.len();
    for ticket in tickets {
        control.release(ms(1_500), SERVICE, ticket);
        in_flight -= 1;
        let starts = control.take_woken();
        if in_flight as f64 + 1.0 <= limit * LATE_SHARE {
            assert_eq!(starts, [late.expect("it waits")]);
            return;
        }
        assert!(starts.is_empty(), "{in_flight} of {limit} in flight");
    }
    panic!("it never starts");
}

// Guards against a late request that goes before one that can be in time because it is urgent or has waited longest.
#[test]
fn late_requests_go_last() {
    let (mut control, tickets) = loaded();
    let (team, other) = ("team-1".to_owned(), "team-2".to_owned());
    let late: Vec<Ticket> = (0..3)
        .filter_map(|n| {
            let now = ms(1_400 + n);
            decide(&mut control, &late_candidate(now, 0, &other), now).1
        })
        .collect();
    let in_time: Vec<Ticket> = (0..6)
        .filter_map(|n| {
            let now = ms(1_410 + n);
            decide(&mut control, &candidate(now, 2, &team), now).1
        })
        .collect();
    assert_eq!((late.len(), in_time.len()), (3, 6));
    control.take_woken();
    for ticket in tickets {
        control.release(ms(1_500), SERVICE, ticket);
    }
    let woken = control.take_woken();
    assert_eq!(woken, [in_time, late].concat());
}

// Guards against a request that never starts because others always go before it.
#[test]
fn every_fourth_start_goes_to_the_request_that_has_waited_longest() {
    let (mut control, tickets) = loaded();
    let team = "team-1".to_owned();
    let mut wait = |time_left: u64, n: u64| {
        let now = ms(1_400 + n);
        let request = Candidate {
            leaves_at: now + ms(time_left),
            ..candidate(now, 2, &team)
        };
        decide(&mut control, &request, now).1.expect("it waits")
    };
    let oldest = wait(3_000, 0);
    let others: Vec<Ticket> = (1..7).map(|n| wait(2_000, n)).collect();
    control.take_woken();
    for ticket in tickets {
        control.release(ms(1_500), SERVICE, ticket);
    }
    let woken = control.take_woken();
    assert_eq!(woken, [&others[..3], &[oldest], &others[3..]].concat());
}

// Guards against a request that waits until its caller has left.
#[test]
fn a_waiting_request_is_refused_when_it_could_not_begin_any_more() {
    let (mut control, _tickets) = loaded();
    let team = "team-1".to_owned();
    let request = late_candidate(ms(1_400), 2, &team);
    let mut ticket = None;
    let verdict = control.decide(ms(1_400), &request, &mut ticket);
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    let verdict = control.decide(ms(4_400), &request, &mut ticket);
    assert!(matches!(verdict, Verdict::Wait(_)), "{verdict:?}");
    let verdict = control.decide(ms(4_401), &request, &mut ticket);
    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
}

// Guards against a request that is refused while there is a place, since only late ones wait and none has started for
// longer than the starts are counted.
#[test]
fn a_request_starts_at_once_when_only_late_ones_wait() {
    let (mut control, tickets) = loaded();
    let team = "team-1".to_owned();
    let late = decide(
        &mut control,
        &late_candidate(ms(1_400), 2, &team),
        ms(1_400),
    );
    assert!(matches!(late.0, Verdict::Wait(_)), "{late:?}");
    let limit = limit(&control);
    let excess = tickets.len() - (limit - 1.0) as usize;
    for ticket in &tickets[..excess] {
        control.release(ms(1_500), SERVICE, *ticket);
    }
    let (verdict, _) = decide(&mut control, &candidate(ms(4_000), 2, &team), ms(4_000));
    assert_eq!(verdict, Verdict::Start);
}
