//! Faults of the simulation, and the check that the group makes progress after them.

use eelgrasshold_core::group::coordinator;
use eelgrasshold_core::group::map::{ExpertCopy, LayerMap, RankId, WHOLE_SHARE};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine::Engine;
use crate::simulation::{EXPERTS, Host, LAYERS, SimEvent, Simulation, ms};

impl Simulation {
    pub fn target(&mut self, choice: u64) {
        let layers = self.random_layers(choice);
        for rank in 0..self.settings.ranks {
            if !self.is_paused(rank) {
                self.planner(rank, coordinator::Input::Target(layers.clone()));
            }
        }
    }

    pub fn restart(&mut self, rank: RankId, millis: u64) {
        let host = &mut self.hosts[rank as usize];
        if host.process.take().is_none() {
            return;
        }
        // The last orders of a killed process may be lost before they reach the engine.
        let keep = self.rng.random_range(0..=host.orders.len());
        host.orders.truncate(keep);
        host.paused_until = std::time::Duration::ZERO;
        self.push(ms(millis), SimEvent::Start(rank));
    }

    pub fn replace(&mut self, rank: RankId, millis: u64) {
        self.restart(rank, millis);
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let host = &mut self.hosts[rank as usize];
        host.engine = Engine::new(rank, incarnation, self.settings.engine_checks_fence);
        host.orders.clear();
    }

    pub fn pause(&mut self, rank: RankId, millis: u64) {
        self.hosts[rank as usize].paused_until = self.now + ms(millis);
    }

    pub fn cut_off(&mut self, rank: RankId, millis: u64) {
        self.hosts[rank as usize].unreachable_until = self.now + ms(millis);
    }

    pub fn cut_from_platform(&mut self, rank: RankId, millis: u64) {
        self.hosts[rank as usize].cut_from_platform_until = self.now + ms(millis);
    }

    pub fn stall(&mut self, rank: RankId, millis: u64) {
        self.hosts[rank as usize].stalled_until = self.now + ms(millis);
    }

    pub fn platform_down(&mut self, millis: u64) {
        self.platform_down_until = self.now + ms(millis);
    }

    pub fn lose_answers(&mut self, millis: u64) {
        self.lose_answers_until = self.now + ms(millis);
    }

    pub fn network(&mut self, percent: u32) {
        self.disturbed_percent = percent;
    }

    /// Ends all faults. Delayed messages still arrive late.
    pub fn heal(&mut self) {
        self.disturbed_percent = 0;
        self.platform_down_until = self.now;
        self.lose_answers_until = self.now;
        for host in &mut self.hosts {
            host.paused_until = self.now;
            host.unreachable_until = self.now;
            host.cut_from_platform_until = self.now;
            host.stalled_until = self.now;
        }
    }

    /// Versions of the maps in the engines.
    pub fn versions(&self) -> Vec<u64> {
        let map = |h: &Host| h.engine.state.map.as_ref().map_or(0, |m| m.id.version);
        self.hosts.iter().map(map).collect()
    }

    /// Number of steps that engines held, counted for each engine.
    pub fn held_steps(&self) -> u64 {
        self.held_steps
    }

    /// Once all ranks are reachable, steps continue and a new map is switched to.
    pub fn expect_progress(&mut self) {
        self.pass(15_000);
        let step = self.step;
        self.pass(3_000);
        assert!(
            self.step > step + 20,
            "blocked at step {step}: {}",
            self.describe_hosts()
        );
        let before = self.versions();
        let choice = self.other_target();
        self.target(choice);
        self.pass(20_000);
        let after = self.versions();
        let moved = before.iter().zip(&after).all(|(a, b)| b > a);
        assert!(
            moved,
            "no switch: {before:?} {after:?}: {}",
            self.describe_hosts()
        );
    }

    /// A target that differs from the present map, since an equal one needs no switch.
    fn other_target(&mut self) -> u64 {
        loop {
            let choice = self.rng.random();
            let layers = self.random_layers(choice);
            let present = self.hosts[0].engine.state.map.as_ref();
            if present.is_none_or(|m| m.layers != layers) {
                return choice;
            }
        }
    }

    fn describe_hosts(&self) -> String {
        let phase = |h: &Host| match &h.process {
            Some(p) => format!(
                "incarnation {} lease {:?} {}\n  {}\n",
                p.incarnation,
                p.planner.holds_lease(self.clock(h.engine.rank)),
                p.rank.summary(),
                p.planner.summary()
            ),
            None => "no process\n".into(),
        };
        self.hosts.iter().map(phase).collect()
    }

    fn random_layers(&self, choice: u64) -> Vec<LayerMap> {
        let mut rng = SmallRng::seed_from_u64(choice);
        let ranks = self.settings.ranks;
        let layer = |rng: &mut SmallRng| {
            let mut map = LayerMap {
                ranks: vec![Vec::new(); ranks as usize],
            };
            for expert in 0..EXPERTS {
                let a = rng.random_range(0..ranks);
                let b = rng.random_range(0..ranks);
                let share = if a == b { WHOLE_SHARE } else { WHOLE_SHARE / 2 };
                map.ranks[a as usize].push(ExpertCopy { expert, share });
                if a != b {
                    map.ranks[b as usize].push(ExpertCopy { expert, share });
                }
            }
            map
        };
        (0..LAYERS).map(|_| layer(&mut rng)).collect()
    }
}
