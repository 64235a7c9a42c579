//! State of one upstream, and transitions of its queued and running work.

use std::time::Duration;

use super::quarantine::Quarantine;
use super::{Bounce, EngineEvent, Input, Output, Timer};
use crate::event::{Event, EventKind};
use crate::serving::queue::{
    FairQueue, Item, LengthEstimates, Level, Levels, Policy, Running, WaitCorrections, admission,
};
use crate::types::{AttemptId, Load, Now, Request, Run};

/// Largest age of a dispatch. An older one comes from a sender that was paused, and is bounced.
const MAX_DISPATCH_AGE: Duration = Duration::from_secs(60);
/// Time for which long work keeps a slot of its share before other long work takes over. With
/// shorter slices, the engine spends more on bringing paused work back.
const LONG_WORK_SLICE: Duration = Duration::from_secs(1);

/// State machine of the process next to an upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    policy: Policy,
    queue: FairQueue,
    levels: Levels,
    lengths: LengthEstimates,
    waits: WaitCorrections,
    quarantine: Quarantine,
    /// Time of the last input, for a load that is read between inputs.
    now: Now,
    leaving: bool,
    engine_up: bool,
    expire_at: Option<Now>,
    slice_ends_at: Option<Now>,
}

impl Upstream {
    /// Creates a machine with the default policy, whose engine runs up to `concurrency` requests
    /// at once.
    #[must_use]
    pub fn new(concurrency: usize) -> Self {
        Self::with_policy(Policy::builder().concurrency(concurrency).build())
    }

    /// Creates a machine with a policy; its engine counts as up.
    #[must_use]
    pub fn with_policy(policy: Policy) -> Self {
        Self {
            policy,
            queue: FairQueue::default(),
            levels: Levels::default(),
            lengths: LengthEstimates::default(),
            waits: WaitCorrections::default(),
            quarantine: Quarantine::default(),
            now: Now::ZERO,
            leaving: false,
            engine_up: true,
            expire_at: None,
            slice_ends_at: None,
        }
    }

    /// Whether any new work can be queued: the engine is up, the host is not leaving, and there is
    /// no suspect.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.engine_up && !self.leaving && !self.quarantine.is_active()
    }

    /// Current load, which is sent to entry hosts with each answer.
    #[must_use]
    pub fn load(&self) -> Load {
        let count = |n| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            in_flight: count(self.levels.len()),
            queued: count(self.queue.len()),
            queued_tokens: self.queue.waiting_cost() as u64,
            predicted_wait_ms: count(self.wait_of_idle_team().as_millis() as usize),
        }
    }

    /// Processes an input at the time `now` and returns the actions for the driver, in order.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.now = now;
        match input {
            Input::Work {
                attempt,
                request,
                age,
                alone,
            } => {
                let item = self.queue_item(now, attempt, request);
                self.accept(now, item, age, alone, &mut out);
            }
            Input::Cancel(attempt) => self.cancel(now, attempt, &mut out),
            Input::Engine(attempt, EngineEvent::Tokens(tokens)) => {
                if !self.levels.produce(now, &self.policy, attempt, tokens) {
                    return out;
                }
                self.assign_levels(now, &mut out);
            }
            Input::Engine(attempt, EngineEvent::Finished) => {
                self.finished(now, attempt, &mut out);
            }
            Input::Engine(attempt, EngineEvent::Failed(run)) => {
                self.failed(now, attempt, run, &mut out);
            }
            Input::EngineDown => self.engine_down(&mut out),
            Input::EngineUp => self.engine_up = true,
            Input::Leave => self.leaving = true,
            Input::Policy(policy) => {
                self.policy = policy;
                self.assign_levels(now, &mut out);
            }
            Input::Timer(Timer::Expire) => self.expire_at = None,
            Input::Timer(Timer::TimeSlice) => {
                self.slice_ends_at = None;
                self.assign_levels(now, &mut out);
            }
        }
        self.expire(now, &mut out);
        self.start_queued(now, &mut out);
        self.set_timers(now, &mut out);
        let idle = self.queue.is_empty() && self.levels.is_empty();
        if self.leaving && idle && !self.quarantine.is_active() {
            out.push(Output::Drained);
        }
        out
    }

    fn accept(
        &mut self,
        now: Now,
        mut item: Item,
        age: Duration,
        alone: bool,
        out: &mut Vec<Output>,
    ) {
        item.predicted_wait = self.predicted_wait(now, &item);
        if let Some(reason) = self.check_work(now, &item, age) {
            out.push(self.bounce(&item, reason));
            let event = Event::new(
                EventKind::WorkBounced,
                format!("attempt {}: {reason:?}", item.attempt),
            );
            out.push(Output::Event(event.about_request(item.request.id)));
            return;
        }
        out.push(work_event(
            EventKind::WorkQueued,
            item.attempt,
            &item.request,
        ));
        if alone {
            let (at, timer) = (item.latest_start, Timer::Expire);
            out.push(Output::SetTimer { at, timer });
            self.quarantine.wait(item);
        } else {
            self.queue.push(&self.policy, item);
        }
    }

    fn queue_item(&self, now: Now, attempt: AttemptId, request: Request) -> Item {
        let expected_tokens = admission::expected_tokens(&self.lengths, &request);
        let run = admission::expected_run(&self.levels, expected_tokens);
        Item {
            attempt,
            arrived: now,
            latest_start: admission::latest_start(now + request.deadline, run),
            predicted_wait: Duration::ZERO,
            expected_tokens,
            long: expected_tokens >= f64::from(self.policy.long_tokens()),
            request,
        }
    }

    fn check_work(&self, now: Now, item: &Item, age: Duration) -> Option<Bounce> {
        let attempt = item.attempt;
        let duplicate = self.levels.contains(attempt)
            || self.queue.contains(attempt)
            || self.quarantine.is_waiting_for(attempt);
        if duplicate || age > MAX_DISPATCH_AGE {
            return Some(Bounce::Stale);
        }
        if self.leaving {
            return Some(Bounce::Leaving);
        }
        if !self.engine_up {
            return Some(Bounce::EngineDown);
        }
        if self.quarantine.is_active() {
            return Some(Bounce::Quarantined);
        }
        if self.queue.len() >= self.policy.max_queued() {
            return Some(Bounce::QueueFull);
        }
        let run = admission::expected_run(&self.levels, item.expected_tokens);
        let team = &item.request.team;
        let wait = self.waits.correct(now, team, item.predicted_wait);
        let within_share = self.queue.within_share(now, &self.policy, item);
        let admitted = admission::admits(&self.policy, wait, run, item, within_share);
        (!admitted).then_some(Bounce::Deadline)
    }

    fn predicted_wait(&self, now: Now, item: &Item) -> Duration {
        let Self {
            policy,
            queue,
            levels,
            lengths,
            ..
        } = self;
        admission::predicted_wait(now, policy, queue, levels, lengths, item)
    }

    fn bounce(&self, item: &Item, reason: Bounce) -> Output {
        Output::Bounce {
            attempt: item.attempt,
            reason,
            load: self.load(),
        }
    }

    fn cancel(&mut self, now: Now, attempt: AttemptId, out: &mut Vec<Output>) {
        let suspect = self.quarantine.end(attempt);
        if let Some(item) = suspect.or_else(|| self.queue.remove(attempt)) {
            out.push(work_event(EventKind::WorkCancelled, attempt, &item.request));
        }
        if let Some(running) = self.levels.remove(attempt) {
            out.push(Output::Stop(attempt));
            out.push(work_event(
                EventKind::WorkCancelled,
                attempt,
                &running.request,
            ));
            self.charge_actual_cost(now, &running);
        }
    }

    fn finished(&mut self, now: Now, attempt: AttemptId, out: &mut Vec<Output>) {
        let Some(running) = self.levels.finish(now, attempt) else {
            return;
        };
        self.quarantine.end(attempt);
        let request = &running.request;
        if request.max_tokens > 0 {
            let tokens = request.resume_from + running.produced;
            self.lengths
                .observe(&request.service, &request.team, tokens);
        }
        out.push(work_event(EventKind::WorkFinished, attempt, request));
        self.charge_actual_cost(now, &running);
    }

    fn failed(&mut self, now: Now, attempt: AttemptId, run: Run, out: &mut Vec<Output>) {
        let Some(running) = self.levels.remove(attempt) else {
            return;
        };
        self.quarantine.end(attempt);
        out.push(Output::Fail { attempt, run });
        out.push(work_event(EventKind::WorkFailed, attempt, &running.request));
        self.charge_actual_cost(now, &running);
    }

    /// Replaces the expected cost that the team was charged with by the actual one.
    fn charge_actual_cost(&mut self, now: Now, running: &Running) {
        let request = &running.request;
        let used = if request.max_tokens == 0 {
            1.0
        } else {
            f64::from(running.produced)
        };
        self.queue
            .correct(now, &self.policy, &request.team, used - running.charged);
    }

    fn engine_down(&mut self, out: &mut Vec<Output>) {
        self.engine_up = false;
        for attempt in self.levels.drain().into_keys() {
            let run = Run::Unknown;
            out.push(Output::Fail { attempt, run });
        }
        let suspect = self.quarantine.clear();
        for item in self.queue.drain().into_iter().chain(suspect) {
            out.push(self.bounce(&item, Bounce::EngineDown));
        }
    }

    /// Bounces queued work that can no longer meet its deadline.
    fn expire(&mut self, now: Now, out: &mut Vec<Output>) {
        let suspect = self.quarantine.expire(now);
        let queue = &mut self.queue;
        let expired: Vec<_> = std::iter::from_fn(|| queue.expire(now))
            .chain(suspect)
            .collect();
        for item in expired {
            self.record_wait(now, &item);
            out.push(self.bounce(&item, Bounce::Deadline));
            out.push(work_event(
                EventKind::WorkExpired,
                item.attempt,
                &item.request,
            ));
        }
    }

    fn start_queued(&mut self, now: Now, out: &mut Vec<Output>) {
        loop {
            let long_level = self.levels.slot_for_long(&self.policy);
            if long_level.is_none() && !self.levels.has_slot(&self.policy) {
                return;
            }
            let Some(item) = self.queue.pop(now, &self.policy, long_level.is_some()) else {
                break;
            };
            let level = match long_level {
                Some(level) if item.long => level,
                _ => Level::Short,
            };
            self.start_item(now, item, level, out);
        }
        if self.queue.is_empty()
            && self.levels.is_empty()
            && let Some(suspect) = self.quarantine.start()
        {
            self.start_item(now, suspect, Level::Short, out);
        }
    }

    fn start_item(&mut self, now: Now, item: Item, level: Level, out: &mut Vec<Output>) {
        self.record_wait(now, &item);
        let attempt = item.attempt;
        out.push(work_event(EventKind::WorkStarted, attempt, &item.request));
        let charged = item.expected_tokens;
        let priority = self
            .levels
            .start(now, attempt, level, item.request, charged);
        out.push(Output::Start { attempt, priority });
    }

    fn record_wait(&mut self, now: Now, item: &Item) {
        let waited = now.saturating_sub(item.arrived);
        self.waits
            .observe(now, &item.request.team, item.predicted_wait, waited);
    }

    fn assign_levels(&mut self, now: Now, out: &mut Vec<Output>) {
        let changes = self.levels.assign(now, &self.policy);
        for (attempt, priority) in changes {
            out.push(Output::Reprioritize { attempt, priority });
        }
    }

    fn set_timers(&mut self, now: Now, out: &mut Vec<Output>) {
        if let Some(at) = self.queue.next_expiry()
            && self.expire_at.is_none_or(|t| t > at)
        {
            self.expire_at = Some(at);
            let timer = Timer::Expire;
            out.push(Output::SetTimer { at, timer });
        }
        if self.slice_ends_at.is_none() && self.levels.needs_time_slicing(&self.policy) {
            let at = now + LONG_WORK_SLICE;
            self.slice_ends_at = Some(at);
            let timer = Timer::TimeSlice;
            out.push(Output::SetTimer { at, timer });
        }
    }

    /// Predicted wait of a short request from a team that has nothing queued.
    fn wait_of_idle_team(&self) -> Duration {
        let before = self.queue.cost_before_new_team(self.now);
        admission::wait_for_slot(&self.policy, &self.levels, &self.lengths, false, before)
    }
}

fn work_event(kind: EventKind, attempt: AttemptId, request: &Request) -> Output {
    let event = Event::new(kind, format!("attempt {attempt}"));
    Output::Event(event.about_request(request.id.clone()))
}
