//! Rollouts of maps under late, lost and unanswered orders, several leaders, pauses and crashes.
//!
//! The oracle is one line of `Group::step`: all ranks use the same map, by version and content,
//! at each pass. `EELGRASSHOLD_FUZZ_CASES` and `EELGRASSHOLD_FUZZ_SEED` make longer runs.

#[path = "rank_fuzz/group.rs"]
mod group;

use std::time::Duration;

use eelgrasshold_core::gateway::routes::ExpertLayout;
use eelgrasshold_core::ranks::{
    Input, Leader, LeaderSettings, Order, OrderResult, Output, RankOrder, ReadScope,
};
use eelgrasshold_core::types::Now;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use group::Group;

const STEP: Duration = Duration::from_millis(10);
const FAULTS: Duration = Duration::from_secs(40);
/// Late orders are carried out within 12 s, and what they leave is cleared up within a few more.
const QUIET: Duration = Duration::from_secs(25);
/// A group that nobody disturbs makes a pass at least this often.
const STALL_LIMIT: Duration = Duration::from_secs(3);

/// What is on its way.
#[derive(Debug)]
enum Event {
    Carry(RankOrder),
    Tell(usize, Box<Input>),
}

struct Actor {
    leader: Leader,
    /// It runs no code until then.
    paused_until: Now,
    /// Ranks that it can't reach until then.
    cut: Vec<Now>,
    next_tick: Now,
}

struct World {
    rng: SmallRng,
    now: Now,
    group: Group,
    actors: Vec<Actor>,
    events: Vec<(Now, u64, Event)>,
    serial: u64,
    /// Share of orders that get no answer.
    unanswered: f64,
    popular: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = rng.random_range(2..=4);
        let experts = size * 3;
        let actors = (0..size)
            .map(|rank| Actor {
                leader: leader(&mut rng, experts, Now::ZERO, true),
                paused_until: Now::ZERO,
                cut: vec![Now::ZERO; size],
                next_tick: Duration::from_millis(rank as u64 * 7),
            })
            .collect();
        let unanswered = *[0.0, 0.1, 0.35, 0.6].get(rng.random_range(0..4)).unwrap();
        Self {
            group: Group::new(size, 2, experts),
            actors,
            events: Vec::new(),
            serial: 0,
            unanswered,
            popular: 0,
            now: Now::ZERO,
            rng,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        while self.now < FAULTS + QUIET {
            self.now += STEP;
            if self.now < FAULTS {
                self.faults();
            } else {
                self.unanswered = 0.0;
            }
            self.demand();
            self.deliver();
            self.tick();
            self.group.step(self.now, &mut self.rng)?;
            let settled = self.now > FAULTS + Duration::from_secs(18);
            if settled && self.now.saturating_sub(self.group.began) > STALL_LIMIT {
                let views: Vec<_> = (0..self.group.size()).map(|r| self.group.view(r)).collect();
                let began = self.group.began;
                return Err(format!("no pass since {began:?}; ranks: {views:#?}"));
            }
        }
        if self.group.is_held() && self.now.saturating_sub(self.group.began) > STALL_LIMIT {
            return Err("a pass is still held at the end".to_owned());
        }
        Ok(())
    }

    fn demand(&mut self) {
        if self.rng.random_bool(0.002) {
            self.popular = self.rng.random_range(0..self.group.size() * 3);
        }
        if self.rng.random_bool(0.2) {
            self.group.count(&mut self.rng, self.popular);
        }
    }

    fn faults(&mut self) {
        let now = self.now;
        let size = self.actors.len();
        if self.rng.random_bool(0.002) {
            let pause = Duration::from_millis(self.rng.random_range(200..8_000));
            let actor = self.rng.random_range(0..size);
            self.actors[actor].paused_until = now + pause;
        }
        if self.rng.random_bool(0.001) {
            let actor = self.rng.random_range(0..size);
            let experts = size * 3;
            self.actors[actor].leader = leader(&mut self.rng, experts, now, false);
            let down = Duration::from_millis(self.rng.random_range(500..3_000));
            self.actors[actor].paused_until = now + down;
            self.events
                .retain(|(_, _, e)| !matches!(e, Event::Tell(a, _) if *a == actor));
        }
        if self.rng.random_bool(0.002) {
            let (actor, rank) = (
                self.rng.random_range(0..size),
                self.rng.random_range(0..size),
            );
            let cut = Duration::from_millis(self.rng.random_range(500..6_000));
            if actor != rank {
                self.actors[actor].cut[rank] = now + cut;
            }
        }
        if self.rng.random_bool(0.0003) {
            self.group.crash(now);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        self.events.sort_by_key(|(at, serial, _)| (*at, *serial));
        let due = self.events.partition_point(|(at, _, _)| *at <= now);
        let due: Vec<_> = self.events.drain(..due).collect();
        for (_, _, event) in due {
            match event {
                Event::Carry(order) => {
                    let result = self.group.order(now, &order, &mut self.rng);
                    trace(now, || {
                        format!("late or unanswered {result:?}: {}", brief(&order))
                    });
                }
                Event::Tell(actor, input) => {
                    let paused = self.actors[actor].paused_until;
                    if now < paused {
                        // It lies in the process's sockets until it goes on.
                        self.at(paused + STEP, Event::Tell(actor, input));
                        continue;
                    }
                    let out = self.actors[actor].leader.handle(now, *input);
                    self.act(actor, out);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        for actor in 0..self.actors.len() {
            let state = &mut self.actors[actor];
            if now < state.paused_until || now < state.next_tick {
                continue;
            }
            state.next_tick = now + Duration::from_millis(30);
            let own = Input::OwnView(self.group.view(actor));
            let mut out = state.leader.handle(now, own);
            out.extend(state.leader.handle(now, Input::Tick));
            self.act(actor, out);
        }
    }

    fn act(&mut self, actor: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Read(rank, sight) => self.read(actor, rank, sight),
                Output::Send(order) => self.send(actor, order),
                Output::Event(note) => trace(self.now, || format!("process {actor}: {note:?}")),
            }
        }
    }

    fn read(&mut self, actor: usize, rank: usize, sight: ReadScope) {
        if self.now < self.actors[actor].cut[rank] {
            return;
        }
        let view = self.group.view(rank);
        let counts = (sight == ReadScope::Counts).then(|| self.group.counts(rank));
        let held = (sight == ReadScope::HeldExperts).then(|| self.group.held(rank));
        let delay = Duration::from_millis(self.rng.random_range(1..40));
        let input = Input::Read {
            requested_at: self.now,
            view,
            counts,
            held,
        };
        self.at(self.now + delay, Event::Tell(actor, Box::new(input)));
        if actor != rank {
            let asked = Event::Tell(rank, Box::new(Input::PolledBy(actor)));
            self.at(self.now + STEP, asked);
        }
    }

    fn send(&mut self, actor: usize, order: RankOrder) {
        let now = self.now;
        let cut = now < self.actors[actor].cut[order.rank];
        let delay = Duration::from_millis(self.rng.random_range(1..20));
        let timeout = Duration::from_millis(150);
        let dice: f64 = self.rng.random();
        let (answer, at) = if cut {
            (OrderResult::Unknown, now + timeout)
        } else if dice < self.unanswered * 0.7 {
            let late = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.at(now + late, Event::Carry(order.clone()));
            (OrderResult::Unknown, now + timeout)
        } else if dice < self.unanswered * 0.85 {
            self.at(now + delay, Event::Carry(order.clone()));
            (OrderResult::Unknown, now + timeout)
        } else if dice < self.unanswered {
            (OrderResult::Unknown, now + timeout)
        } else {
            (self.group.order(now, &order, &mut self.rng), now + delay)
        };
        trace(now, || {
            format!("process {actor}, answer {answer:?}: {}", brief(&order))
        });
        let told = Event::Tell(actor, Box::new(Input::Result(order, answer)));
        self.at(at, told);
    }

    fn at(&mut self, at: Now, event: Event) {
        self.serial += 1;
        self.events.push((at, self.serial, event));
    }
}

/// Prints what happens if `EELGRASSHOLD_FUZZ_TRACE` is set.
fn trace(now: Now, line: impl Fn() -> String) {
    if std::env::var_os("EELGRASSHOLD_FUZZ_TRACE").is_some() {
        eprintln!("{now:?} {}", line());
    }
}

fn brief(order: &RankOrder) -> String {
    let RankOrder { rank, epoch, order } = order;
    match order {
        Order::Prepare { version, .. } => format!("rank {rank}, epoch {epoch}: prepare {version}"),
        other => format!("rank {rank}, epoch {epoch}: {other:?}"),
    }
}

fn leader(rng: &mut SmallRng, experts: usize, now: Now, first_start: bool) -> Leader {
    let settings = LeaderSettings {
        layout: ExpertLayout {
            sets: 2,
            experts: experts as u32,
            slots_per_rank: 5,
            spare: 2,
            share: 0.85,
            expert_mb: 2_200.0,
            link_mbps: 44_000.0,
            form_time: Duration::from_millis(600),
        },
        fixed_pass: Duration::from_millis(20),
        first_start,
        started_ms: 1_770_000_000_000 + u64::try_from(now.as_millis()).unwrap(),
        seed: rng.random(),
    };
    Leader::new(now, settings)
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(default)
}

/// Worlds that failed once.
const REGRESSIONS: [u64; 1] = [
    // Two processes had left a held pass each. Another one waited for the later pass, which the
    // group can't reach, and never released the earlier one.
    21_006_527,
];

/// Guards against the faults that the fuzzer found before.
#[test]
fn fuzz_worlds_that_failed_once_pass() {
    for world_seed in REGRESSIONS {
        if let Err(fault) = World::new(world_seed).run() {
            panic!("world seed {world_seed}: {fault}");
        }
    }
}

/// Guards against two ranks of a group that run a pass on different maps, and against a group
/// that waits for a release that nobody gives.
#[test]
fn fuzz_all_ranks_use_one_map_at_each_pass() {
    let cases = setting("EELGRASSHOLD_FUZZ_CASES", 150);
    let seed = setting("EELGRASSHOLD_FUZZ_SEED", 1);
    let first = setting("EELGRASSHOLD_FUZZ_FIRST", 0);
    let mut switches = 0;
    for case in first..first + cases {
        let world_seed = seed.wrapping_mul(1_000_003).wrapping_add(case);
        let mut world = World::new(world_seed);
        if let Err(fault) = world.run() {
            panic!(
                "case {case}, world seed {world_seed}, at {:?}: {fault}",
                world.now
            );
        }
        switches += world.group.switches;
    }
    // Without switches the oracle would see nothing.
    assert!(switches > cases, "{switches} switches in {cases} cases");
}
