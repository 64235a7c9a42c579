//! Streams of several hosts at one group, with and without the limit that keeps pauses short.

mod world;

use std::time::Duration;

use self::world::{Burst, Caller, Setup, TARGET_PAUSE, World};
use super::ms;

const LENGTH: Duration = Duration::from_secs(24);

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

fn share(callers: &[Caller], filter: impl Fn(&Caller) -> bool) -> f64 {
    let counted: Vec<&Caller> = callers.iter().filter(|c| filter(c)).collect();
    let in_time = counted.iter().filter(|c| c.in_time()).count();
    in_time as f64 / counted.len().max(1) as f64
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
    for hosts in [1, 7, 33] {
        let mean = |pause_control| {
            let shares = (1..=4).map(|seed| {
                let world = World::play(setup(hosts, pause_control, seed));
                let in_burst = |c: &Caller| (ms(8_000)..ms(15_000)).contains(&c.came);
                let (late, most) = late_passes(&world);
                println!("{hosts} hosts, seed {seed}: {late} late passes, up to {most} streams");
                assert!(!pause_control || late <= 3, "{late} late passes");
                share(&world.callers, in_burst)
            });
            shares.sum::<f64>() / 4.0
        };
        let (without, with) = (mean(false), mean(true));
        println!("{hosts} hosts: {without:.3} in time without the limit, {with:.3} with it");
        assert!(
            with > without + 0.3,
            "{hosts} hosts: {with:.3} after {without:.3}"
        );
    }
}
