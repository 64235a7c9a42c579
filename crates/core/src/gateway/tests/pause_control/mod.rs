//! Streams of several hosts at one group, with and without the limit that keeps pauses short.

mod world;

use std::collections::BTreeSet;
use std::time::Duration;

use self::world::{Burst, Caller, Setup, TARGET_PAUSE, TEAMS, World};
use super::ms;

const LENGTH: Duration = Duration::from_secs(24);
const SEEDS: u64 = 6;
const HOSTS: [usize; 3] = [1, 7, 33];
/// Largest difference that a burst of less urgent requests makes to urgent ones.
const MAX_URGENT_LOSS: f64 = 0.05;
/// Smallest ratio of the served share of a kind, team or size to that of all.
const MIN_SERVED_RATIO: f64 = 0.5;
/// Largest number of passes above the target in one play.
const MAX_LATE_PASSES: usize = 3;

fn bursts() -> Vec<Burst> {
    vec![
        Burst {
            kind: 2,
            from: ms(8_000),
            until: ms(14_000),
            ratio: 2.5,
        },
        Burst {
            kind: 0,
            from: ms(10_000),
            until: ms(13_000),
            ratio: 1.7,
        },
    ]
}

fn setup(hosts: usize, pause_control: bool, seed: u64) -> Setup {
    Setup {
        hosts,
        pause_control,
        bursts: bursts(),
        seed,
        length: LENGTH,
        stalls: Vec::new(),
        weights: Vec::new(),
    }
}

/// Share of the callers with a property among those that a filter selects.
fn share(
    callers: &[Caller],
    filter: impl Fn(&Caller) -> bool,
    property: impl Fn(&Caller) -> bool,
) -> f64 {
    let counted: Vec<&Caller> = callers.iter().filter(|c| filter(c)).collect();
    let with = counted.iter().filter(|c| property(c)).count();
    with as f64 / counted.len().max(1) as f64
}

/// Plays all seeds and returns the callers that came in the burst of the least urgent kind.
fn play(hosts: usize, pause_control: bool, has_burst: bool) -> Vec<Caller> {
    let mut callers = Vec::new();
    for seed in 1..=SEEDS {
        let mut setup = setup(hosts, pause_control, seed);
        setup.bursts.retain(|b| has_burst || b.kind != 2);
        let world = World::play(setup);
        let (late, most) = late_passes(&world);
        println!("{hosts} hosts, seed {seed}: {late} late passes, up to {most} streams");
        assert!(
            !pause_control || late <= MAX_LATE_PASSES,
            "{hosts} hosts, seed {seed}: {late} late passes"
        );
        let in_burst = |c: &Caller| (ms(8_000)..ms(14_000)).contains(&c.came);
        callers.extend(world.callers.into_iter().filter(in_burst));
    }
    callers
}

fn in_time(callers: &[Caller], kind: usize) -> f64 {
    share(callers, |c| c.kind == kind, Caller::in_time)
}

fn served(callers: &[Caller], filter: impl Fn(&Caller) -> bool) -> f64 {
    share(callers, filter, |c| c.done)
}

/// Passes above the target, and the most streams at the ranks.
fn late_passes(world: &World) -> (usize, usize) {
    let late = world.samples.iter();
    let late = late.filter(|s| s.at > ms(8_000) && s.pass > TARGET_PAUSE);
    let most = world.samples.iter().map(|s| s.in_flight).max();
    (late.count(), most.unwrap_or_default())
}

// Guards against a burst of the least urgent requests that makes the streams of all callers late.
#[test]
fn pauses_stay_short_in_a_burst() {
    for hosts in HOSTS {
        let (without, with) = (play(hosts, false, true), play(hosts, true, true));
        let all = |callers: &[Caller]| share(callers, |_| true, Caller::in_time);
        println!(
            "{hosts} hosts: {:.3} in time without the limit, {:.3} with it",
            all(&without),
            all(&with)
        );
        assert!(all(&with) > all(&without) + 0.3, "{hosts} hosts");
        for kind in 0..3 {
            let (without, with) = (in_time(&without, kind), in_time(&with, kind));
            println!(
                "{hosts} hosts, kind {kind}: {without:.3} without the limit, {with:.3} with it"
            );
            assert!(
                with > without,
                "{hosts} hosts, kind {kind}: {with:.3} after {without:.3}"
            );
        }
    }
}

/// Shares of the urgent callers that were not served, began late, and had a pause that was too long.
fn losses(callers: &[Caller]) -> [f64; 3] {
    let urgent = |c: &Caller| c.kind == 0;
    let is_late = |c: &Caller| c.done && c.first.is_some_and(|f| f > ms(500));
    [
        share(callers, urgent, |c| !c.done),
        share(callers, urgent, is_late),
        share(callers, urgent, |c| c.longest_pause > TARGET_PAUSE),
    ]
}

// Guards against urgent requests that wait or are late because less urgent ones came in a burst.
#[test]
fn a_burst_of_less_urgent_requests_does_not_harm_urgent_ones() {
    let mut harmed = Vec::new();
    for hosts in HOSTS {
        let (baseline, with) = (play(hosts, true, false), play(hosts, true, true));
        let unlimited = in_time(&play(hosts, false, true), 0);
        let causes = losses(&with);
        let (baseline, with) = (in_time(&baseline, 0), in_time(&with, 0));
        println!(
            "{hosts} hosts: urgent {baseline:.3} without the burst, {with:.3} with it (not served, began late, paused: {causes:.3?}), {unlimited:.3} without the limit"
        );
        assert!(
            unlimited < baseline - MAX_URGENT_LOSS,
            "{hosts} hosts: the burst is harmless without the limit"
        );
        if with < baseline - MAX_URGENT_LOSS {
            harmed.push(format!("{hosts} hosts: {with:.3} after {baseline:.3}"));
        }
    }
    assert!(harmed.is_empty(), "{harmed:?}");
}

// Guards against an order of starts in which some kind, team or size of request starves.
#[test]
fn no_kind_team_or_size_starves() {
    for hosts in HOSTS {
        let callers = play(hosts, true, true);
        let all = served(&callers, |_| true);
        let mut sizes: Vec<f64> = callers.iter().map(|c| c.work).collect();
        sizes.sort_by(f64::total_cmp);
        let large = sizes[sizes.len() * 9 / 10];
        let largest = served(&callers, |c| c.work >= large);
        let kinds: Vec<f64> = (0..3).map(|k| served(&callers, |c| c.kind == k)).collect();
        // The draw of teams leaves out the last one.
        let teams: BTreeSet<usize> = callers.iter().map(|c| c.team).collect();
        assert_eq!(teams.len(), TEAMS - 1, "teams without callers");
        let teams = teams.iter();
        let teams = teams.map(|t| served(&callers, |c| c.team == *t));
        let least = teams.fold(f64::INFINITY, f64::min);
        println!(
            "{hosts} hosts: served {all:.3} of all, {kinds:.3?} by kind, {least:.3} of the least served team, {largest:.3} of the largest"
        );
        for (name, share) in [
            ("kind 0", kinds[0]),
            ("kind 1", kinds[1]),
            ("kind 2", kinds[2]),
            ("a team", least),
            ("the largest", largest),
        ] {
            assert!(
                share >= all * MIN_SERVED_RATIO,
                "{hosts} hosts: {share:.3} of {name}, {all:.3} of all"
            );
        }
    }
}
