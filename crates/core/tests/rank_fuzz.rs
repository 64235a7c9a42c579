//! Fuzz test of map rollouts with late, lost and unanswered orders, several leaders, pauses, frozen
//! machines and crashes. Calls to several ranks go along a tree of sidecars, whose inner nodes pause, restart
//! and lose calls and answers.
//!
//! The invariant is checked in `Group::step`: in every pass, all ranks use the same map, by version
//! and content. `EELGRASSHOLD_FUZZ_CASES`, `EELGRASSHOLD_FUZZ_SEED` and `EELGRASSHOLD_FUZZ_FIRST`
//! set the number of cases, the seed and the first case of a run; `EELGRASSHOLD_FUZZ_TRACE` prints
//! its events.

#[path = "rank_fuzz/group.rs"]
mod group;
#[path = "rank_fuzz/tree.rs"]
mod tree;

use std::time::Duration;

use eelgrasshold_core::gateway::routes::ExpertLayout;
use eelgrasshold_core::ranks::counts::Reporter;
use eelgrasshold_core::ranks::{
    Input, KnownMaps, Leader, LeaderEvent, LeaderSettings, Order, OrderResult, Output, RankOrder,
    ReadScope,
};
use eelgrasshold_core::types::Now;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use group::Group;

/// Branches of a call at each sidecar.
const FANOUT: usize = 2;
const STEP: Duration = Duration::from_millis(10);
const FAULT_PERIOD: Duration = Duration::from_secs(40);
/// Late orders are executed within 12 s, and their effects are repaired within a few more seconds.
const RECOVERY_PERIOD: Duration = Duration::from_secs(25);
/// A group without faults begins a pass at least this often.
const STALL_LIMIT: Duration = Duration::from_secs(3);

/// Time for which the machine of a leader is frozen.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Messages in flight.
#[derive(Debug)]
enum Event {
    Order(RankOrder),
    /// Calls that wait in the socket buffers of a paused sidecar.
    Buffered(usize, RankOrder),
    Input(usize, Box<Input>),
}

struct Sidecar {
    leader: Leader,
    reporter: Reporter,
    maps: KnownMaps,
    /// Time until which each rank is called outside the tree.
    suspect_until: Vec<Now>,
    /// Time until which the sidecar executes nothing.
    paused_until: Now,
    /// Time until which its whole machine is frozen, so that the engine cannot be reached either.
    /// The engine goes on with the passes of the group.
    frozen_until: Now,
    /// Time until which each rank is unreachable for the sidecar.
    unreachable_until: Vec<Now>,
    next_tick: Now,
}

struct Simulation {
    rng: SmallRng,
    now: Now,
    group: Group,
    sidecars: Vec<Sidecar>,
    events: Vec<(Now, u64, Event)>,
    sequence: u64,
    /// Fraction of orders that get no answer.
    unanswered_share: f64,
    popular: usize,
    reached: Reached,
}

/// How often a run reached states that it must cover.
#[derive(Clone, Copy, Debug, Default)]
struct Reached {
    /// The owner of a held pass froze, its holder did, and both did.
    frozen_owners: u64,
    frozen_holders: u64,
    frozen_pairs: u64,
    /// A rollout was taken over while its owner was frozen.
    taken_over: u64,
    /// Steps with a held pass and several leaders.
    several_leaders: u64,
    /// A late order was accepted.
    late_orders: u64,
}

impl Reached {
    fn add(&mut self, other: Self) {
        self.frozen_owners += other.frozen_owners;
        self.frozen_holders += other.frozen_holders;
        self.frozen_pairs += other.frozen_pairs;
        self.taken_over += other.taken_over;
        self.several_leaders += other.several_leaders;
        self.late_orders += other.late_orders;
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let size = [2, 3, 4, 7][rng.random_range(0..4)];
        let experts = size * 3;
        let sidecars = (0..size)
            .map(|rank| Sidecar {
                leader: leader(&mut rng, experts, Now::ZERO, true),
                reporter: Reporter::default(),
                maps: KnownMaps::default(),
                suspect_until: vec![Now::ZERO; size],
                paused_until: Now::ZERO,
                frozen_until: Now::ZERO,
                unreachable_until: vec![Now::ZERO; size],
                next_tick: Duration::from_millis(rank as u64 * 7),
            })
            .collect();
        let unanswered_share = *[0.0, 0.1, 0.35, 0.6].get(rng.random_range(0..4)).unwrap();
        Self {
            group: Group::new(size, 2, experts),
            sidecars,
            events: Vec::new(),
            sequence: 0,
            unanswered_share,
            popular: 0,
            reached: Reached::default(),
            now: Now::ZERO,
            rng,
        }
    }

    fn run(&mut self) -> Result<(), String> {
        while self.now < FAULT_PERIOD + RECOVERY_PERIOD {
            self.now += STEP;
            if self.now < FAULT_PERIOD {
                self.inject_faults();
            } else {
                self.unanswered_share = 0.0;
            }
            self.count_experts();
            self.deliver();
            self.tick();
            self.group.step(self.now, &mut self.rng)?;
            let settled = self.now > FAULT_PERIOD + Duration::from_secs(18);
            if settled && self.now.saturating_sub(self.group.pass_began_at) > STALL_LIMIT {
                let views: Vec<_> = (0..self.group.size()).map(|r| self.group.view(r)).collect();
                let began = self.group.pass_began_at;
                return Err(format!("no pass since {began:?}; ranks: {views:#?}"));
            }
        }
        if self.group.is_held() && self.now.saturating_sub(self.group.pass_began_at) > STALL_LIMIT {
            return Err("a pass is still held at the end".to_owned());
        }
        Ok(())
    }

    fn count_experts(&mut self) {
        if self.rng.random_bool(0.002) {
            self.popular = self.rng.random_range(0..self.group.size() * 3);
        }
        if self.rng.random_bool(0.2) {
            self.group.add_selections(&mut self.rng, self.popular);
        }
    }

    fn inject_faults(&mut self) {
        let now = self.now;
        let size = self.sidecars.len();
        if self.rng.random_bool(0.002) {
            let pause = Duration::from_millis(self.rng.random_range(200..8_000));
            let sidecar = self.rng.random_range(0..size);
            self.sidecars[sidecar].paused_until = now + pause;
        }
        if self.rng.random_bool(0.001) {
            let sidecar = self.rng.random_range(0..size);
            let experts = size * 3;
            self.sidecars[sidecar].leader = leader(&mut self.rng, experts, now, false);
            self.sidecars[sidecar].maps = KnownMaps::default();
            self.sidecars[sidecar].reporter = Reporter::default();
            let down = Duration::from_millis(self.rng.random_range(500..3_000));
            self.sidecars[sidecar].paused_until = now + down;
            self.events
                .retain(|(_, _, e)| !matches!(e, Event::Input(a, _) | Event::Buffered(a, _) if *a == sidecar));
        }
        if self.rng.random_bool(0.002) {
            let (sidecar, rank) = (
                self.rng.random_range(0..size),
                self.rng.random_range(0..size),
            );
            let outage = Duration::from_millis(self.rng.random_range(500..6_000));
            if sidecar != rank {
                self.sidecars[sidecar].unreachable_until[rank] = now + outage;
            }
        }
        if self.rng.random_bool(0.0003) {
            self.group.crash(now);
        }
        self.freeze_machines();
    }

    /// Freezes machines, most often while a pass is held: that of the owner, of the holder, or both.
    fn freeze_machines(&mut self) {
        let size = self.sidecars.len();
        let leaders = self.sidecars.iter().filter(|s| s.leader.leads()).count();
        let held = (0..size).find(|r| self.group.view(*r).held.is_some());
        self.reached.several_leaders += u64::from(held.is_some() && leaders > 1);
        let time = Duration::from_millis(self.rng.random_range(200..8_000));
        if self.rng.random_bool(0.0005) {
            let rank = self.rng.random_range(0..size);
            self.freeze(rank, time);
        }
        let Some(holder) = held.filter(|_| self.rng.random_bool(0.02)) else {
            return;
        };
        let owner = owner_of_hold(holder, size);
        match self.rng.random_range(0..4) {
            0 => {
                self.reached.frozen_holders += 1;
                self.freeze(holder, time);
            }
            1 => {
                self.reached.frozen_pairs += 1;
                self.freeze(holder, time / 2);
                self.freeze(owner, time);
            }
            _ => {
                self.reached.frozen_owners += 1;
                self.freeze(owner, time);
            }
        }
    }

    /// Freezes the machine of a rank: its sidecar, and the way to its engine.
    fn freeze(&mut self, rank: usize, time: Duration) {
        let now = self.now;
        trace(now, || format!("machine {rank} freezes for {time:?}"));
        let sidecar = &mut self.sidecars[rank];
        sidecar.frozen_until = sidecar.frozen_until.max(now + time);
        sidecar.paused_until = sidecar.paused_until.max(now + time);
    }

    fn deliver(&mut self) {
        let now = self.now;
        self.events
            .sort_by_key(|(at, sequence, _)| (*at, *sequence));
        let due = self.events.partition_point(|(at, _, _)| *at <= now);
        let due: Vec<_> = self.events.drain(..due).collect();
        for (_, _, event) in due {
            match event {
                Event::Order(order) if now < self.sidecars[order.rank].frozen_until => {
                    let thawed = self.sidecars[order.rank].frozen_until;
                    self.schedule(thawed + STEP, Event::Order(order));
                }
                Event::Order(order) => {
                    let result = self.group.order(now, &order, &mut self.rng);
                    self.reached.late_orders += u64::from(result == OrderResult::Accepted);
                    trace(now, || {
                        format!("late or unanswered {result:?}: {}", describe(&order))
                    });
                }
                Event::Buffered(sidecar, order) => {
                    let paused = self.sidecars[sidecar].paused_until;
                    if now < paused {
                        self.schedule(paused + STEP, Event::Buffered(sidecar, order));
                    } else {
                        self.events.push((now, 0, Event::Order(order)));
                    }
                }
                Event::Input(sidecar, input) => {
                    let paused = self.sidecars[sidecar].paused_until;
                    if now < paused {
                        // The input stays in the socket buffers until the sidecar resumes.
                        self.schedule(paused + STEP, Event::Input(sidecar, input));
                        continue;
                    }
                    let out = self.sidecars[sidecar].leader.handle(now, *input);
                    self.act(sidecar, out);
                }
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        for sidecar in 0..self.sidecars.len() {
            let state = &mut self.sidecars[sidecar];
            if now < state.paused_until || now < state.next_tick {
                continue;
            }
            state.next_tick = now + Duration::from_millis(30);
            let own = Input::OwnView(self.group.view(sidecar));
            let mut out = state.leader.handle(now, own);
            out.extend(state.leader.handle(now, Input::Tick));
            self.act(sidecar, out);
        }
    }

    fn act(&mut self, sidecar: usize, outputs: Vec<Output>) {
        let mut reads: Vec<(ReadScope, Vec<usize>)> = Vec::new();
        let mut orders: Vec<(RankOrder, Vec<usize>)> = Vec::new();
        for output in outputs {
            match output {
                Output::Read(rank, scope) => match reads.iter_mut().find(|r| r.0 == scope) {
                    Some((_, ranks)) => ranks.push(rank),
                    None => reads.push((scope, vec![rank])),
                },
                Output::Send(order) => {
                    let equal = |o: &RankOrder| o.epoch == order.epoch && o.order == order.order;
                    match orders.iter_mut().find(|o| equal(&o.0)) {
                        Some((_, ranks)) => ranks.push(order.rank),
                        None => orders.push((order.clone(), vec![order.rank])),
                    }
                }
                Output::Event(event) => {
                    trace(self.now, || format!("sidecar {sidecar}: {event:?}"));
                    if let LeaderEvent::RolloutTakenOver { holder, .. } = event {
                        let owner = owner_of_hold(holder, self.sidecars.len());
                        let frozen = self.now < self.sidecars[owner].frozen_until;
                        self.reached.taken_over += u64::from(frozen);
                    }
                }
            }
        }
        for (scope, ranks) in reads {
            self.read(sidecar, ranks, scope);
        }
        for (order, ranks) in orders {
            self.order(sidecar, &order, ranks);
        }
    }

    fn schedule(&mut self, at: Now, event: Event) {
        self.sequence += 1;
        self.events.push((at, self.sequence, event));
    }
}

/// Rank whose sidecar holds its passes at `holder`.
fn owner_of_hold(holder: usize, size: usize) -> usize {
    (holder + size - 1) % size
}

/// Prints a line if `EELGRASSHOLD_FUZZ_TRACE` is set.
fn trace(now: Now, line: impl Fn() -> String) {
    if std::env::var_os("EELGRASSHOLD_FUZZ_TRACE").is_some() {
        eprintln!("{now:?} {}", line());
    }
}

fn describe(order: &RankOrder) -> String {
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
        link_bytes_per_s: 750_000.0,
        fanout: 4,
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

/// Seeds of simulations that found a fault.
const REGRESSIONS: [u64; 2] = [
    // Two sidecars each left a held pass. A third one waited for the later pass, which the group
    // cannot reach, and never released the earlier one.
    21_006_527,
    // Two passes were held before any rank was armed. The sidecars beside them looked for evidence, which kept all
    // from leading, so nobody released the passes.
    9_102_034_423,
];

/// Guards against the return of faults that the fuzzer found.
#[test]
fn fuzz_regression_seeds_pass() {
    for simulation_seed in REGRESSIONS {
        if let Err(failure) = Simulation::new(simulation_seed).run() {
            panic!("simulation seed {simulation_seed}: {failure}");
        }
    }
}

/// Guards against two ranks that run a pass on different maps, and against a group that waits for a
/// release that never comes.
#[test]
fn fuzz_all_ranks_use_one_map_at_each_pass() {
    let cases = setting("EELGRASSHOLD_FUZZ_CASES", 150);
    let seed = setting("EELGRASSHOLD_FUZZ_SEED", 1);
    let first = setting("EELGRASSHOLD_FUZZ_FIRST", 0);
    let mut switches = 0;
    let mut reached = Reached::default();
    for case in first..first + cases {
        let simulation_seed = seed.wrapping_mul(1_000_003).wrapping_add(case);
        let mut simulation = Simulation::new(simulation_seed);
        if let Err(failure) = simulation.run() {
            panic!(
                "case {case}, simulation seed {simulation_seed}, at {:?}: {failure}",
                simulation.now
            );
        }
        switches += simulation.group.switches;
        reached.add(simulation.reached);
    }
    println!("{switches} switches, {reached:?}");
    // Without switches the invariant would hold trivially.
    assert!(switches > cases, "{switches} switches in {cases} cases");
    let Reached {
        frozen_owners,
        frozen_holders,
        frozen_pairs,
        taken_over,
        several_leaders,
        late_orders,
    } = reached;
    let counts = [
        frozen_owners,
        frozen_holders,
        frozen_pairs,
        taken_over,
        several_leaders,
        late_orders,
    ];
    assert!(cases < 100 || counts.iter().all(|n| *n > 0), "{reached:?}");
}

/// Longest time between two passes after the machine of the leader froze with a pass held and some
/// other rank armed. No other fault occurs.
fn stall_of_a_frozen_leader(seed: u64) -> Duration {
    let mut simulation = Simulation::new(seed);
    simulation.unanswered_share = 0.0;
    let mut frozen_at = None;
    let mut longest = Duration::ZERO;
    while frozen_at.is_none_or(|at| simulation.now < at + 2 * FREEZE_TIME) {
        simulation.now += STEP;
        simulation.count_experts();
        simulation.deliver();
        simulation.tick();
        let now = simulation.now;
        simulation.group.step(now, &mut simulation.rng).unwrap();
        let leads = |s: &Sidecar| s.leader.leads();
        let leader = simulation.sidecars.iter().position(leads);
        if let (None, Some(leader)) = (frozen_at, leader) {
            let armed = |r| r != leader && simulation.group.view(r).armed.is_some();
            if simulation.group.is_held() && (0..simulation.group.size()).any(armed) {
                simulation.freeze(leader, FREEZE_TIME);
                frozen_at = Some(now);
            }
        } else if frozen_at.is_some() {
            longest = longest.max(now.saturating_sub(simulation.group.pass_began_at));
        }
        assert!(now < Duration::from_secs(120), "no rollout to disturb");
    }
    longest
}

/// Guards against a group that waits for the machine of its leader: frozen between the hold of a
/// pass and its release, it stalled the group for 3.8 to 3.9 s.
#[test]
fn a_frozen_leader_does_not_stall_its_group() {
    let longest = (0..40).map(stall_of_a_frozen_leader).max();
    assert!(longest < Some(Duration::from_millis(500)), "{longest:?}");
}
