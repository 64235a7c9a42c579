//! Stateful fuzz test of serving: entry hosts, upstream processes and the platform with faults.
//!
//! `EELGRASSHOLD_FUZZ_CASES` and `EELGRASSHOLD_FUZZ_SEED` set the number of cases and the seed;
//! `EELGRASSHOLD_FUZZ_TRACE=1` runs a failing case again and prints its events.

mod serving;

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use serving::caller::Work;
use serving::platform::Mode;
use serving::simulation::Simulation;

/// Number of cases if the environment does not set it.
const DEFAULT_CASES: u32 = 400;
const DEFAULT_SEED: u64 = 20_261_204;

/// An external action or fault. Indices of processes and requests are taken modulo their number.
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

/// Reference model: only the seed of the simulation's delays and losses, since steps are valid in
/// any state.
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
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test(seed: &u64) -> Simulation {
        Simulation::new(*seed)
    }

    fn apply(mut simulation: Simulation, _: &u64, step: Step) -> Simulation {
        simulation.trace(|| format!("step {step:?}"));
        match step {
            Step::Submit { entry, work } => simulation.submit(entry, &work),
            Step::Repeat { request, entry } => simulation.repeat(request, entry),
            Step::Resume { request, entry } => simulation.resume(request, entry),
            Step::CallerGone { request } => simulation.caller_gone(request),
            Step::Advance(time) => simulation.advance(time),
            Step::KillEntry(n) => simulation.kill_entry(n),
            Step::RestartEntry(n) => simulation.restart_entry(n),
            Step::PauseEntry {
                entry,
                time,
                after_decision,
            } => {
                simulation.pause_entry(entry, time, after_decision);
            }
            Step::DrainEntry(n) => simulation.drain_entry(n),
            Step::KillUpstream(n) => simulation.kill_upstream(n),
            Step::RestartUpstream(n) => simulation.restart_upstream(n),
            Step::PauseUpstream { upstream, time } => simulation.pause_upstream(upstream, time),
            Step::LeaveUpstream(n) => simulation.leave_upstream(n),
            Step::CrashEngine(n) => simulation.crash_engine(n),
            Step::Platform(mode) => simulation.platform.mode = mode,
            Step::Lossy(lossy) => simulation.lossy = lossy,
        }
        simulation
    }

    fn teardown(mut simulation: Simulation, _: u64) {
        simulation.clear_faults();
        simulation.advance(Duration::from_secs(330));
        simulation.check_all_ended();
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text
            .parse()
            .unwrap_or_else(|_| panic!("{name} is not a number: {text}")),
        Err(_) => default,
    }
}

// Guards, under several faults at once, against truncated or mixed-up answers, wrong refusals as
// not run, work that runs twice, new work on leaving upstreams, graceful shutdowns that cut
// requests, and requests that crash upstreams repeatedly.
#[test]
fn fuzz_serving_keeps_its_guarantees_under_faults() {
    let cases = env_number("EELGRASSHOLD_FUZZ_CASES", DEFAULT_CASES.into());
    let config = Config {
        cases: u32::try_from(cases).expect("too many cases"),
        rng_seed: RngSeed::Fixed(env_number("EELGRASSHOLD_FUZZ_SEED", DEFAULT_SEED)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let cases_run = std::cell::Cell::new(0_u64);
    let failed_at = std::cell::Cell::new(None);
    let mut runner = TestRunner::new(config.clone());
    let strategy = Steps::sequential_strategy(5..80);
    let result = runner.run(&strategy, |(seed, steps, seen)| {
        if failed_at.get().is_none() {
            cases_run.set(cases_run.get() + 1);
            failed_at.set(Some(cases_run.get()));
        }
        Serving::test_sequential(config.clone(), seed, steps, seen);
        if failed_at.get() == Some(cases_run.get()) {
            failed_at.set(None);
        }
        Ok(())
    });
    if let Err(TestError::Fail(reason, (seed, steps, _))) = result {
        if std::env::var_os("EELGRASSHOLD_FUZZ_TRACE").is_some() {
            serving::simulation::trace_simulations();
            Serving::test_sequential(config, seed, steps.clone(), None);
        }
        let case = cases_run.get();
        panic!("case {case}: {reason}\nsteps: {steps:?}\nseed of the simulation: {seed}");
    }
    result.expect("the runner ends without an error of its own");
}
