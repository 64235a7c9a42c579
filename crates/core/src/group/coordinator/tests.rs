use std::collections::BTreeSet;
use std::time::Duration;

use super::*;
use crate::group::lease::lease_key;
use crate::group::map::{Attempt, ExpertMap};
use crate::group::switch::{Message, RankReport, RefusalReason, Sender};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn planner() -> GroupPlanner {
    GroupPlanner::new(CoordinatorSettings {
        group: "drafts".into(),
        rank: 0,
        ranks: 2,
        incarnation: 1,
        lease: LeaseSettings {
            key: lease_key("drafts"),
            holder: "host-0".into(),
            incarnation: 1,
            duration: ms(1_000),
            poll_every: ms(200),
        },
        poll_every: ms(200),
        retry_every: ms(100),
        prepare_timeout: ms(5_000),
        propose_timeout: ms(1_000),
        margin_steps: 8,
        planner: PlannerSettings {
            slots_per_rank: 3,
            ..PlannerSettings::default()
        },
    })
}

/// A planner with a platform that stores its lease object.
struct Harness {
    planner: GroupPlanner,
    now: Duration,
    object: Option<(u64, Vec<u8>)>,
    platform_up: bool,
    sent: Vec<Message>,
}

impl Harness {
    fn new() -> Self {
        Self {
            planner: planner(),
            now: ms(0),
            object: None,
            platform_up: true,
            sent: Vec::new(),
        }
    }

    fn input(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in self.planner.handle(self.now, input) {
                match output {
                    Output::Platform(id, call) => {
                        let reply = self.call(call);
                        inputs.push(Input::Platform(id, reply));
                    }
                    Output::Send { envelope, .. } => self.sent.push(envelope.message),
                    Output::SetTimer { .. } | Output::Event(_) => {}
                }
            }
        }
    }

    fn call(&mut self, call: Call) -> Reply {
        if !self.platform_up {
            return Reply::Unavailable;
        }
        match (call, &self.object) {
            (Call::Get { .. }, None) => Reply::Missing,
            (Call::Get { .. }, Some((version, value))) => Reply::Object {
                version: *version,
                value: value.clone(),
            },
            (Call::Put { value, .. }, object) => {
                let version = object.as_ref().map_or(0, |o| o.0) + 1;
                self.object = Some((version, value));
                Reply::Written { version }
            }
            _ => Reply::Unavailable,
        }
    }

    fn ticks(&mut self, count: u32) {
        for _ in 0..count {
            self.now += ms(100);
            self.input(Input::Timer(Timer::Tick));
        }
    }

    fn receive(&mut self, rank: u32, message: Message) {
        let from = Sender {
            rank,
            incarnation: 1,
        };
        self.input(Input::Message(Envelope { from, message }));
    }

    /// Requests a new map and delivers reports of settled ranks.
    fn plan(&mut self) {
        let mut layers = ExpertMap::initial(2, 1, 4).layers;
        layers[0].ranks.swap(0, 1);
        self.input(Input::Target(layers));
        for rank in 0..2 {
            let report = RankReport {
                content: Some(ExpertMap::initial(2, 1, 4)),
                settled: true,
                ..RankReport::default()
            };
            self.receive(rank, Message::Report(report));
        }
    }

    fn attempts(&self) -> BTreeSet<Attempt> {
        let attempt = |m: &Message| match m {
            Message::Prepare { id, .. } => Some(id.attempt),
            _ => None,
        };
        self.sent.iter().filter_map(attempt).collect()
    }
}

// Guards against messages from a process that doesn't hold the lease.
#[test]
fn planner_without_the_lease_sends_nothing() {
    let mut harness = Harness::new();
    harness.platform_up = false;
    harness.ticks(50);
    harness.plan();
    assert!(harness.sent.is_empty());
}

// Guards against a commit before every rank has acknowledged.
#[test]
fn commit_follows_the_last_acknowledgement() {
    let mut harness = Harness::new();
    harness.ticks(15);
    harness.plan();
    let attempt = *harness.attempts().first().expect("an attempt");
    for rank in 0..2 {
        harness.receive(rank, Message::Ready { attempt, step: 3 });
    }
    let proposed = Message::Propose { attempt, step: 11 };
    assert!(harness.sent.contains(&proposed));
    let committed = |h: &Harness| h.sent.iter().any(|m| matches!(m, Message::Commit { .. }));
    let acked = Message::Acked { attempt, step: 11 };
    harness.receive(1, acked.clone());
    harness.receive(1, acked.clone());
    assert!(!committed(&harness));
    harness.receive(0, acked);
    assert!(committed(&harness));
}

// Guards against two maps with the same identity, of which no rank accepts the second: if a lease
// lapses and is acquired again under the same number, attempts must not be counted from zero.
#[test]
fn lapsed_lease_does_not_repeat_an_attempt() {
    let mut harness = Harness::new();
    harness.ticks(15);
    harness.plan();
    let first = harness.attempts();
    harness.platform_up = false;
    harness.ticks(20);
    assert_eq!(harness.planner.holds_lease(harness.now), None);
    harness.platform_up = true;
    harness.ticks(20);
    assert!(harness.planner.holds_lease(harness.now).is_some());
    harness.plan();
    let all = harness.attempts();
    assert_eq!((first.len(), all.len()), (1, 2), "{all:?}");
}

// Guards against a planner that continues below a number that a rank has seen.
#[test]
fn refusal_with_a_higher_number_ends_the_term() {
    let mut harness = Harness::new();
    harness.ticks(15);
    harness.plan();
    let attempt = *harness.attempts().first().expect("an attempt");
    let reason = RefusalReason::Stale(9);
    harness.receive(0, Message::Refused { attempt, reason });
    harness.ticks(20);
    let number = harness.planner.holds_lease(harness.now);
    assert!(number.is_some_and(|n| n > 9), "{number:?}");
}

// Guards against measurements that never reach the planner or are attributed to another map.
#[test]
fn measured_load_leads_to_a_plan() {
    let mut harness = Harness::new();
    harness.ticks(15);
    let mut report = |rank: u32, version: u64, tokens: &[u32]| {
        let mut report = RankReport {
            content: Some(ExpertMap::initial(2, 1, 4)),
            settled: true,
            tokens: vec![tokens.to_vec()],
            busy: ms(u64::from(tokens.iter().sum::<u32>())),
            ..RankReport::default()
        };
        report.map.version = version;
        harness.receive(rank, Message::Report(report));
        harness.attempts().len()
    };
    assert_eq!(report(0, 0, &[700, 100]), 0);
    assert_eq!(report(1, 9, &[100, 100]), 0, "another map");
    assert_eq!(report(1, 0, &[100, 100]), 0, "rank 0 hasn't measured since");
    assert_eq!(report(0, 0, &[700, 100]), 1);
}

// Guards against losing a requested map when the lease lapses during its attempt.
#[test]
fn target_outlives_a_lapsed_lease() {
    let mut harness = Harness::new();
    harness.ticks(15);
    harness.plan();
    harness.platform_up = false;
    harness.ticks(20);
    harness.platform_up = true;
    harness.ticks(20);
    for rank in 0..2 {
        let report = RankReport {
            content: Some(ExpertMap::initial(2, 1, 4)),
            settled: true,
            ..RankReport::default()
        };
        harness.receive(rank, Message::Report(report));
    }
    assert_eq!(harness.attempts().len(), 2);
}
