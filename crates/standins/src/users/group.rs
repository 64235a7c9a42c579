//! A group of ranks that runs passes and takes orders for expert maps.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::Arrival;

/// Time between two passes.
const PASS: Duration = Duration::from_millis(20);
/// Choices of the most popular expert and of each other one in a pass.
const POPULAR: u64 = 4_000;
const OTHERS: u64 = 300;

#[derive(Clone, Debug, Default)]
struct Rank {
    map: u64,
    experts: Vec<Vec<usize>>,
    prepared: Option<(u64, Vec<Vec<usize>>)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
    orders: u64,
}

#[derive(Debug)]
struct State {
    ranks: Vec<Rank>,
    pass: u64,
    /// Passes in which two ranks had different maps.
    torn: u64,
}

/// A group of ranks with one set of experts.
#[derive(Debug)]
pub struct RankGroup {
    experts: usize,
    state: Mutex<State>,
}

impl RankGroup {
    /// A group that begins a pass each 20 ms. Its first expert is by far the most popular.
    #[must_use]
    pub fn start(ranks: usize, experts: usize) -> (Arc<Self>, JoinHandle<()>) {
        let dealt = |rank: usize| Rank {
            experts: vec![(rank..experts).step_by(ranks).collect()],
            counts: vec![0; experts],
            ..Rank::default()
        };
        let group = Arc::new(Self {
            experts,
            state: Mutex::new(State {
                ranks: (0..ranks).map(dealt).collect(),
                pass: 0,
                torn: 0,
            }),
        });
        let passes = {
            let group = Arc::clone(&group);
            tokio::spawn(async move {
                loop {
                    tokio::time::sleep(PASS).await;
                    group.pass();
                }
            })
        };
        (group, passes)
    }

    /// Version of the map in use.
    #[must_use]
    pub fn map(&self) -> u64 {
        self.lock().ranks[0].map
    }

    /// Ranks that hold an expert.
    #[must_use]
    pub fn holders(&self, expert: usize) -> usize {
        let state = self.lock();
        let holds = |r: &&Rank| r.experts[0].contains(&expert);
        state.ranks.iter().filter(holds).count()
    }

    /// Passes in which two ranks had different maps.
    #[must_use]
    pub fn torn(&self) -> u64 {
        self.lock().torn
    }

    /// Passes that were begun.
    #[must_use]
    pub fn passes(&self) -> u64 {
        self.lock().pass
    }

    /// Holds the pass after the next one at a rank, as a process does that then dies or is paused.
    pub fn hold(&self, rank: usize) {
        let mut state = self.lock();
        state.ranks[rank].held = Some(state.pass + 2);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pass(&self) {
        let mut state = self.lock();
        let next = state.pass + 1;
        if state.ranks.iter().any(|r| r.held == Some(next)) {
            return;
        }
        state.pass = next;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|a| a.1 == next)
                && let Some((version, experts)) = rank.prepared.take()
            {
                rank.map = version;
                rank.experts = experts;
                rank.armed = None;
            }
            for (expert, count) in rank.counts.iter_mut().enumerate() {
                *count += if expert == 0 { POPULAR } else { OTHERS };
            }
        }
        let first = state.ranks[0].map;
        state.torn += u64::from(state.ranks.iter().any(|r| r.map != first));
    }

    /// Answers a call to a rank: status and body.
    pub(super) fn answer(&self, rank: usize, arrival: &Arrival) -> (u16, Value) {
        let mut state = self.lock();
        let (pass, size) = (state.pass, state.ranks.len());
        let own = &mut state.ranks[rank];
        match arrival.path.as_str() {
            "/report" => (200, report(own, rank, size, pass)),
            "/picked" => (
                200,
                json!({ "step": pass, "epoch": 1, "counts": own.counts }),
            ),
            "/order" => {
                let order: Value = serde_json::from_slice(&arrival.body).unwrap_or_default();
                own.orders += 1;
                (order_status(own, rank, pass, &order), Value::Null)
            }
            _ => {
                let map = json!({ "version": own.map, "experts": own.experts });
                (
                    200,
                    json!({ "step": pass, "epoch": 1, "map": map, "prepared": null }),
                )
            }
        }
    }

    /// Experts of the group.
    #[must_use]
    pub fn experts(&self) -> usize {
        self.experts
    }
}

fn report(own: &Rank, rank: usize, size: usize, pass: u64) -> Value {
    json!({
        "stage": "both",
        "group": { "name": "g", "epoch": 1, "rank": rank, "state": "open" },
        "size": size,
        "active": 2,
        "seq": 0,
        "step": pass,
        "map": own.map,
        "prepared": own.prepared.as_ref().map(|p| p.0),
        "armed": own.armed.map(|a| json!({ "version": a.0, "step": a.1 })),
        "held": own.held,
    })
}

fn order_status(own: &mut Rank, rank: usize, pass: u64, order: &Value) -> u16 {
    let version = order["version"].as_u64().unwrap_or(0);
    let step = order["step"].as_u64().unwrap_or(0);
    match order["op"].as_str() {
        Some("prepare") => {
            let newest = own.prepared.as_ref().map_or(own.map, |p| p.0.max(own.map));
            if version <= newest || own.armed.is_some() {
                return 409;
            }
            let sets: Vec<Vec<Vec<usize>>> =
                serde_json::from_value(order["map"].clone()).unwrap_or_default();
            let held = sets.iter().map(|set| set[rank].clone()).collect();
            own.prepared = Some((version, held));
            202
        }
        Some("arm") if step > pass && own.prepared.as_ref().is_some_and(|p| p.0 == version) => {
            own.armed = Some((version, step));
            200
        }
        Some("hold") if step > pass && own.held.is_none_or(|h| h == step) => {
            own.held = Some(step);
            200
        }
        Some("go") => {
            own.held.take_if(|h| *h == step);
            200
        }
        Some("disarm") => {
            own.armed.take_if(|a| a.0 == version);
            200
        }
        _ => 409,
    }
}
