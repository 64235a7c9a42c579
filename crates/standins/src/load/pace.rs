//! Sends calls at their times.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

use super::calls::{Due, Target, Targets};

/// Calls to all targets that may be under way at once.
const MAX_UNDER_WAY: usize = 8_192;

/// A call in the plan of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Planned {
    pub(super) after: Duration,
    pub(super) target: Target,
    pub(super) warm_up: bool,
}

/// Calls in the order of their times. Direct ones come halfway between those
/// through the system.
pub(super) fn plan(
    rate_per_s: u32,
    warm_up: Duration,
    run_for: Duration,
    with_direct: bool,
) -> impl Iterator<Item = Planned> {
    let whole = warm_up + run_for;
    let count = (whole.as_secs_f64() * f64::from(rate_per_s)).floor() as u64;
    let targets: &[Target] = if with_direct {
        &[Target::System, Target::Direct]
    } else {
        &[Target::System]
    };
    let interval_s = 1.0 / f64::from(rate_per_s.max(1));
    (0..count).flat_map(move |index| {
        targets.iter().enumerate().map(move |(part, target)| {
            let offset = part as f64 / targets.len() as f64;
            let after = Duration::from_secs_f64((index as f64 + offset) * interval_s);
            Planned {
                after,
                target: *target,
                warm_up: after < warm_up,
            }
        })
    })
}

/// Sends all calls and waits for their ends, which the callers' deadlines bound.
pub(super) async fn run(
    targets: &Arc<Targets>,
    rate_per_s: u32,
    warm_up: Duration,
    run_for: Duration,
) {
    if rate_per_s == 0 {
        tokio::time::sleep(warm_up + run_for).await;
        return;
    }
    let plan = plan(rate_per_s, warm_up, run_for, targets.has_direct());
    let calls = TaskTracker::new();
    let sender = Sender {
        targets: targets.clone(),
        calls: calls.clone(),
        limit: Arc::new(Semaphore::new(MAX_UNDER_WAY)),
        runtime: Handle::current(),
    };
    // A thread sleeps with a finer grain than the runtime's timer, which ticks once a millisecond.
    let paced = tokio::task::spawn_blocking(move || sender.send_all(plan));
    if let Err(error) = paced.await {
        log::error!("the pacing thread failed: {error}");
    }
    calls.close();
    calls.wait().await;
}

struct Sender {
    targets: Arc<Targets>,
    calls: TaskTracker,
    limit: Arc<Semaphore>,
    runtime: Handle,
}

impl Sender {
    fn send_all(&self, plan: impl Iterator<Item = Planned>) {
        let start = Instant::now();
        for planned in plan {
            let at = start + planned.after;
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let due = Due {
                at,
                warm_up: planned.warm_up,
            };
            self.send(planned.target, due);
        }
    }

    fn send(&self, target: Target, due: Due) {
        let Ok(permit) = self.limit.clone().try_acquire_owned() else {
            self.targets.skip(target, due);
            return;
        };
        let targets = self.targets.clone();
        let call = async move {
            targets.call(target, due).await;
            drop(permit);
        };
        self.calls.spawn_on(call, &self.runtime);
    }
}
