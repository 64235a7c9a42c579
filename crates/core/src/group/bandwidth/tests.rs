use std::time::Duration;

use super::*;

const LOAN_DURATION: Duration = Duration::from_secs(2);
const RATE_BYTES_PER_S: f64 = 4e6;

fn member(member: MemberId) -> StoreLimiter<u32> {
    StoreLimiter::new(LimiterSettings {
        member,
        members: 4,
        bytes_per_s: RATE_BYTES_PER_S,
        loan_duration: LOAN_DURATION,
        lenders_per_round: 3,
        seed: 7,
    })
}

fn request(load: u32, bytes: u64, urgent: bool) -> Input<u32> {
    Input::Request {
        load,
        bytes,
        urgent,
    }
}

/// Runs members with immediate delivery of messages; returns grants as (time, member, load, bytes).
fn run(
    members: &mut [StoreLimiter<u32>],
    from: Duration,
    to: Duration,
) -> Vec<(Duration, usize, u32, u64)> {
    let mut grants = Vec::new();
    let mut now = from;
    while now < to {
        for m in 0..members.len() {
            let mut queue = vec![(m, Input::Timer)];
            while let Some((m, input)) = queue.pop() {
                for output in members[m].handle(now, input) {
                    match output {
                        Output::Grant { load, bytes, .. } => grants.push((now, m, load, bytes)),
                        Output::Send { to, message } => {
                            let from = m as u32;
                            queue.push((to as usize, Input::Message { from, message }));
                        }
                        Output::SetTimer(_) => {}
                    }
                }
            }
        }
        now += Duration::from_millis(10);
    }
    grants
}

fn started() -> Vec<StoreLimiter<u32>> {
    let mut members: Vec<_> = (0..4).map(member).collect();
    for m in &mut members {
        m.handle(Duration::ZERO, Input::Start);
    }
    members
}

// Guards against granting in order of arrival, where urgent loads wait for long ones before them.
#[test]
fn urgent_load_goes_before_earlier_ones() {
    let mut members = started();
    let now = LOAN_DURATION * 2;
    members[0].handle(now, request(1, 8_000_000, false));
    members[0].handle(now, request(2, 400_000, true));
    let grants = run(&mut members, now, now + Duration::from_secs(4));
    let done = |load| grants.iter().rposition(|g| g.2 == load);
    assert!(done(2) < done(1), "{grants:?}");
}

// Guards against a load that waits forever behind a stream of urgent ones.
#[test]
fn load_that_is_not_urgent_is_not_starved() {
    let mut members = started();
    let now = LOAN_DURATION * 2;
    let first = members[0].handle(now, request(1, 500_000, false));
    assert!(matches!(first[0], Output::Grant { bytes: 100_000, .. }));
    members[0].handle(now, request(2, 1_000_000_000, true));
    let grants = run(&mut members, now, now + Duration::from_secs(10));
    let bytes: u64 = grants.iter().filter(|g| g.2 == 1).map(|g| g.3).sum();
    assert_eq!(bytes, 400_000);
}

// Guards against a single loading member that is held to its own share while the others are idle.
#[test]
fn idle_members_lend_their_shares() {
    let mut members = started();
    let now = LOAN_DURATION * 2;
    members[0].handle(now, request(1, 1_000_000_000, true));
    let grants = run(&mut members, now, now + LOAN_DURATION * 10);
    let bytes: u64 = grants.iter().map(|g| g.3).sum();
    let own = RATE_BYTES_PER_S / 4.0 * (LOAN_DURATION * 10).as_secs_f64();
    assert!(bytes as f64 > 2.5 * own, "{bytes} of {own}");
}

// Guards against exceeding the store's rate in any window, in particular when all members restart
// and load at once.
#[test]
fn rate_holds_after_a_mass_restart() {
    let mut members = started();
    for m in &mut members {
        m.handle(Duration::ZERO, request(1, 1_000_000_000, true));
    }
    let grants = run(&mut members, Duration::ZERO, LOAN_DURATION * 10);
    let mut level: f64 = 0.0;
    let mut last = Duration::ZERO;
    for (at, _, _, bytes) in grants {
        level = (level - at.saturating_sub(last).as_secs_f64() * RATE_BYTES_PER_S).max(0.0)
            + bytes as f64;
        last = at;
        assert!(
            level <= RATE_BYTES_PER_S * 0.2,
            "{level} bytes above the rate at {at:?}"
        );
    }
    assert!(last > LOAN_DURATION * 9, "loads stopped at {last:?}");
}

// Guards against a restarted member that uses a share which its earlier incarnation lent.
#[test]
fn restarted_member_waits_for_its_earlier_loans() {
    let mut members = started();
    let now = LOAN_DURATION * 2;
    members[1] = member(1);
    members[1].handle(now, Input::Start);
    let out = members[1].handle(now + LOAN_DURATION, request(1, 1_000, true));
    assert!(!out.iter().any(|o| matches!(o, Output::Grant { .. })));
    let out = members[1].handle(
        now + LOAN_DURATION * 5 / 4 + Duration::from_millis(100),
        Input::Timer,
    );
    assert!(out.iter().any(|o| matches!(o, Output::Grant { .. })));
}

// Guards against a late loan to an earlier incarnation that is used beyond the lender's time: when
// each incarnation counts rounds from zero, the late answer matches a round of the new one.
#[test]
fn late_loan_to_an_earlier_incarnation_is_ignored() {
    let round = |seed| {
        let mut limiter = StoreLimiter::new(LimiterSettings {
            member: 0,
            members: 4,
            bytes_per_s: RATE_BYTES_PER_S,
            loan_duration: LOAN_DURATION,
            lenders_per_round: 3,
            seed,
        });
        let out = limiter.handle(Duration::ZERO, request(1, 1_000, true));
        let rounds = out.into_iter().find_map(|o| match o {
            Output::Send {
                message: LoanMessage::Borrow { round, .. },
                ..
            } => Some(round),
            _ => None,
        });
        (limiter, rounds.expect("a request for a loan"))
    };
    let (_, earlier) = round(1);
    let (mut later, present) = round(2);
    let lend = |round| Input::Message {
        from: 1,
        message: LoanMessage::Lend {
            round,
            bytes_per_s: 1e6,
        },
    };
    later.handle(Duration::ZERO, lend(earlier));
    let at = Duration::from_secs(1);
    assert_eq!(later.handle(at, Input::Timer).len(), 1, "only a timer");
    later.handle(at, lend(present));
    let out = later.handle(at * 3 / 2, Input::Timer);
    assert!(out.iter().any(|o| matches!(o, Output::Grant { .. })));
}
