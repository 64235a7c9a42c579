//! Stateful fuzz test of serving: entry hosts, upstream processes and the platform under faults.
//!
//! `EELGRASSHOLD_FUZZ_CASES` and `EELGRASSHOLD_FUZZ_SEED` set the number of cases and the seed;
//! `EELGRASSHOLD_FUZZ_TRACE=1` runs a failing case again and prints what happens in it.

mod serving;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use serving::caller::Work;
use serving::platform::Mode;
use serving::world::World;

/// Cases of a run that names no number.
const DEFAULT_CASES: u32 = 400;
const DEFAULT_SEED: u64 = 20_261_204;

/// A step from outside; numbers name processes and requests modulo how many there are.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        entry: usize,
        work: Work,
    },
    Repeat {
        request: usize,
        entry: usize,
    },
    Resume {
        request: usize,
        entry: usize,
    },
    CallerGone {
        request: usize,
    },
    Advance(Duration),
    KillEntry(usize),
    RestartEntry(usize),
    PauseEntry {
        entry: usize,
        time: Duration,
        after_decision: bool,
    },
    DrainEntry(usize),
    KillUpstream(usize),
    RestartUpstream(usize),
    PauseUpstream {
        upstream: usize,
        time: Duration,
    },
    LeaveUpstream(usize),
    CrashEngine(usize),
    Platform(Mode),
    Lossy(bool),
}

/// The seed of delays and losses; the steps need no other model.
struct Steps;

fn work() -> impl Strategy<Value = Work> {
    let deadline = prop_oneof![
        4 => Just(Duration::from_secs(10)),
        1 => Just(Duration::from_millis(300)),
        1 => Just(Duration::from_secs(120)),
    ];
    let draft = (0..200_u64).prop_map(|n| (n, false));
    let poison = (0..3_u64).prop_map(|n| (n, true));
    let call = (0..6_u8, any::<bool>());
    prop_oneof![
        4 => (draft, deadline.clone()).prop_map(|((fingerprint, poison), deadline)| Work::Draft {
            fingerprint, poison, deadline
        }),
        1 => (poison, deadline.clone()).prop_map(|((fingerprint, poison), deadline)| Work::Draft {
            fingerprint, poison, deadline
        }),
        5 => (call, deadline).prop_map(|((key, keyed), deadline)| Work::Call {
            key, keyed, deadline
        }),
    ]
}

fn pause() -> impl Strategy<Value = Duration> {
    prop_oneof![Just(1), Just(4), Just(8), Just(70), Just(130), Just(200)]
        .prop_map(Duration::from_secs)
}

fn step() -> impl Strategy<Value = Step> {
    let n = 0..64_usize;
    let mode = prop_oneof![
        3 => Just(Mode::Up),
        1 => Just(Mode::Down),
        1 => Just(Mode::Slow),
        2 => Just(Mode::Lossy),
    ];
    prop_oneof![
        14 => (n.clone(), work()).prop_map(|(entry, work)| Step::Submit { entry, work }),
        5 => (n.clone(), n.clone()).prop_map(|(request, entry)| Step::Repeat { request, entry }),
        3 => (n.clone(), n.clone()).prop_map(|(request, entry)| Step::Resume { request, entry }),
        1 => n.clone().prop_map(|request| Step::CallerGone { request }),
        10 => (0..500_u64).prop_map(|ms| Step::Advance(Duration::from_millis(ms))),
        3 => (1..8_u64).prop_map(|s| Step::Advance(Duration::from_secs(s))),
        1 => (30..150_u64).prop_map(|s| Step::Advance(Duration::from_secs(s))),
        1 => n.clone().prop_map(Step::KillEntry),
        2 => n.clone().prop_map(Step::RestartEntry),
        2 => (n.clone(), pause(), any::<bool>()).prop_map(|(entry, time, after_decision)| {
            Step::PauseEntry { entry, time, after_decision }
        }),
        1 => n.clone().prop_map(Step::DrainEntry),
        1 => n.clone().prop_map(Step::KillUpstream),
        2 => n.clone().prop_map(Step::RestartUpstream),
        1 => (n.clone(), pause()).prop_map(|(upstream, time)| Step::PauseUpstream {
            upstream, time
        }),
        2 => n.clone().prop_map(Step::LeaveUpstream),
        1 => n.prop_map(Step::CrashEngine),
        3 => mode.prop_map(Step::Platform),
        1 => any::<bool>().prop_map(Step::Lossy),
    ]
}

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

struct Serving;

impl StateMachineTest for Serving {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(seed: &u64) -> World {
        World::new(*seed)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        world.trace(|| format!("step {step:?}"));
        match step {
            Step::Submit { entry, work } => world.submit(entry, &work),
            Step::Repeat { request, entry } => world.repeat(request, entry),
            Step::Resume { request, entry } => world.resume(request, entry),
            Step::CallerGone { request } => world.caller_gone(request),
            Step::Advance(time) => world.advance(time),
            Step::KillEntry(n) => world.kill_entry(n),
            Step::RestartEntry(n) => world.restart_entry(n),
            Step::PauseEntry {
                entry,
                time,
                after_decision,
            } => {
                world.pause_entry(entry, time, after_decision);
            }
            Step::DrainEntry(n) => world.drain_entry(n),
            Step::KillUpstream(n) => world.kill_upstream(n),
            Step::RestartUpstream(n) => world.restart_upstream(n),
            Step::PauseUpstream { upstream, time } => world.pause_upstream(upstream, time),
            Step::LeaveUpstream(n) => world.leave_upstream(n),
            Step::CrashEngine(n) => world.crash_engine(n),
            Step::Platform(mode) => world.platform.mode = mode,
            Step::Lossy(lossy) => world.lossy = lossy,
        }
        world
    }

    fn teardown(mut world: World, _: u64) {
        world.heal();
        world.advance(Duration::from_secs(330));
        world.check_all_ended();
    }
}

fn number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}

// Guards against answers that are cut or mixed up, refusals that lie, work that runs twice,
// new work on leaving upstreams, stops that cut requests, and requests that crash upstreams
// again and again, under two and more faults at once.
#[test]
fn fuzz_serving_keeps_its_promises_under_faults() {
    let cases = number("EELGRASSHOLD_FUZZ_CASES", DEFAULT_CASES.into());
    let config = Config {
        cases: u32::try_from(cases).expect("too many cases"),
        rng_seed: RngSeed::Fixed(number("EELGRASSHOLD_FUZZ_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let tried = std::cell::Cell::new(0_u64);
    let failed_at = std::cell::Cell::new(None);
    let mut runner = TestRunner::new(config.clone());
    let strategy = Steps::sequential_strategy(5..80);
    let result = runner.run(&strategy, |(seed, steps, seen)| {
        if failed_at.get().is_none() {
            tried.set(tried.get() + 1);
            failed_at.set(Some(tried.get()));
        }
        Serving::test_sequential(config.clone(), seed, steps, seen);
        if failed_at.get() == Some(tried.get()) {
            failed_at.set(None);
        }
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps, _))) = result {
        if std::env::var_os("EELGRASSHOLD_FUZZ_TRACE").is_some() {
            serving::world::trace_worlds();
            Serving::test_sequential(config, seed, steps.clone(), None);
        }
        let case = tried.get();
        panic!("case {case}: {reason}\nsteps: {steps:?}\nseed of the world: {seed}");
    }
    result.expect("the runner ends without an error of its own");
}
