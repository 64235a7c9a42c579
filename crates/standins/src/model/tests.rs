use std::time::Duration;

use super::*;

fn job(id: JobId, output_tokens: u32) -> Job {
    Job {
        id,
        priority: 4,
        prefix: None,
        prefix_tokens: 0,
        prompt_tokens: 0,
        output_tokens,
    }
}

/// Runs the engine until it is idle; returns the time at which each job finished.
fn finish_times(engine: &mut Engine) -> Vec<(JobId, Duration)> {
    let mut times = Vec::new();
    while let Some(at) = engine.next_at() {
        for report in engine.advance(at) {
            if let Report::Finished(id) = report {
                times.push((id, at));
            }
        }
    }
    times
}

// If a full batch took as long as a single job, the model would hide overload.
#[test]
fn step_time_grows_with_the_batch() {
    let mut engine = Engine::new(Spec::default());
    engine.submit(Duration::ZERO, job(1, 1));
    assert_eq!(engine.next_at(), Some(Duration::from_micros(24_500)));
    finish_times(&mut engine);
    let mut engine = Engine::new(Spec::default());
    for id in 0..17 {
        engine.submit(Duration::ZERO, job(id, 2));
    }
    engine.advance(Duration::from_micros(24_500));
    assert_eq!(engine.next_at(), Some(Duration::from_micros(56_500)));
}

// Guards against priorities that only order waiting jobs and never pause a running one.
#[test]
fn better_priority_pauses_the_running_job() {
    let spec = Spec {
        slots: 1,
        ..Spec::default()
    };
    let mut engine = Engine::new(spec);
    engine.submit(Duration::ZERO, job(1, 10));
    let urgent = Job {
        priority: 0,
        ..job(2, 2)
    };
    engine.submit(Duration::from_millis(1), urgent);
    let order: Vec<_> = finish_times(&mut engine).iter().map(|t| t.0).collect();
    assert_eq!(order, [2, 1]);
}

// Guards against a cache that never fills, never evicts, or saves more than the shared prefix.
#[test]
fn cached_prefix_saves_prefill_until_it_is_evicted() {
    let spec = Spec {
        cache_tokens: 1_000,
        ..Spec::default()
    };
    let mut engine = Engine::new(spec);
    let prompt = |id, prefix| Job {
        prefix: Some(prefix),
        prefix_tokens: 400,
        prompt_tokens: 500,
        ..job(id, 1)
    };
    let mut duration_of = |id, prefix| {
        let begin = Duration::from_secs(id);
        engine.submit(begin, prompt(id, prefix));
        finish_times(&mut engine)[0].1.saturating_sub(begin)
    };
    assert_eq!(duration_of(1, 7), Duration::from_micros(49_500));
    assert_eq!(duration_of(2, 7), Duration::from_micros(29_500));
    duration_of(3, 8);
    duration_of(4, 9);
    assert_eq!(duration_of(5, 7), Duration::from_micros(49_500));
    assert_eq!(engine.prefix_counts(), (5, 1));
}

// Guards against tokens of a job that was cancelled or lost in a crash.
#[test]
fn cancelled_and_crashed_jobs_produce_nothing() {
    let mut engine = Engine::new(Spec::default());
    engine.submit(Duration::ZERO, job(1, 5));
    engine.submit(Duration::ZERO, job(2, 5));
    engine.cancel(Duration::ZERO, 1);
    assert_eq!(engine.advance(Duration::from_secs(1)), []);
    assert_eq!(engine.crash(), [Report::Failed(2)]);
    engine.submit(Duration::from_secs(2), job(3, 1));
    assert_eq!(engine.next_at(), None);
    engine.restart();
    engine.submit(Duration::from_secs(3), job(4, 1));
    assert_eq!(finish_times(&mut engine)[0].0, 4);
}

// Guards against a load report without lag, which would give routing fresher data than a real
// engine does.
#[test]
fn load_report_lags_behind() {
    let mut engine = Engine::new(Spec::default());
    engine.submit(Duration::from_secs(1), job(1, 1_000));
    assert_eq!(engine.load(Duration::from_millis(1_499)).running, 0);
    assert_eq!(engine.load(Duration::from_millis(1_500)).running, 1);
}

// Guards against slowdowns and stalls without effect on the next step.
#[test]
fn slow_and_stalled_engines_take_longer() {
    let mut engine = Engine::new(Spec::default());
    engine.slow_down(2.0);
    engine.stall(Duration::from_secs(1));
    engine.submit(Duration::ZERO, job(1, 1));
    assert_eq!(engine.next_at(), Some(Duration::from_millis(1_049)));
}
