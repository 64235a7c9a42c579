//! Schedules the requests of a run and sends each at its time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

use super::calls::{Scheduled, Target, Targets};

/// Upper limit of requests in flight, over both targets.
const MAX_IN_FLIGHT: usize = 8_192;

/// A request in the plan of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PlannedCall {
    /// Time since the start of the run.
    pub(super) after: Duration,
    pub(super) target: Target,
    pub(super) warm_up: bool,
}

/// Plans the requests in the order of their times. Direct requests fall halfway between those
/// through the system.
pub(super) fn plan(
    rate_per_s: u32,
    warm_up: Duration,
    run_for: Duration,
    with_direct: bool,
) -> impl Iterator<Item = PlannedCall> {
    let total = warm_up + run_for;
    let count = (total.as_secs_f64() * f64::from(rate_per_s)).floor() as u64;
    let targets: &[Target] = if with_direct {
        &[Target::System, Target::Direct]
    } else {
        &[Target::System]
    };
    let interval_s = 1.0 / f64::from(rate_per_s.max(1));
    (0..count).flat_map(move |index| {
        targets.iter().enumerate().map(move |(position, target)| {
            let offset = position as f64 / targets.len() as f64;
            let after = Duration::from_secs_f64((index as f64 + offset) * interval_s);
            PlannedCall {
                after,
                target: *target,
                warm_up: after < warm_up,
            }
        })
    })
}

/// Sends all requests and waits until each has ended, which their deadlines bound.
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
        limit: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
        runtime: Handle::current(),
    };
    // A thread of its own, since its sleep has a finer resolution than the runtime's timer, which
    // ticks once per millisecond.
    let paced = tokio::task::spawn_blocking(move || sender.send_all(plan));
    if let Err(error) = paced.await {
        log::error!("pacing thread failed before it had sent all requests: {error}");
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
    fn send_all(&self, plan: impl Iterator<Item = PlannedCall>) {
        let start = Instant::now();
        for planned in plan {
            let at = start + planned.after;
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let scheduled = Scheduled {
                at,
                warm_up: planned.warm_up,
            };
            self.send(planned.target, scheduled);
        }
    }

    fn send(&self, target: Target, scheduled: Scheduled) {
        let Ok(permit) = self.limit.clone().try_acquire_owned() else {
            self.targets.skip(target, scheduled);
            return;
        };
        let targets = self.targets.clone();
        let call = async move {
            targets.call(target, scheduled).await;
            drop(permit);
        };
        self.calls.spawn_on(call, &self.runtime);
    }
}
