//! A group of ranks that runs forward passes and executes orders for expert maps.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::Arrival;

const PASS_INTERVAL: Duration = Duration::from_millis(20);
/// Tokens routed to the most popular expert in a pass.
const POPULAR_EXPERT_CHOICES: u64 = 4_000;
/// Tokens routed to each other expert in a pass.
const OTHER_EXPERT_CHOICES: u64 = 300;

#[derive(Clone, Debug, Default)]
struct Rank {
    map_version: u64,
    /// Experts held by the rank, by set.
    experts: Vec<Vec<usize>>,
    /// Version and experts of the prepared map.
    prepared: Option<(u64, Vec<Vec<usize>>)>,
    /// Version of the armed map, and the pass that switches to it.
    armed: Option<(u64, u64)>,
    /// Pass that the rank must not start.
    held: Option<u64>,
    /// Tokens routed to each expert since the start.
    counts: Vec<u64>,
    /// Orders received.
    orders: u64,
}

#[derive(Debug)]
struct State {
    ranks: Vec<Rank>,
    epoch: u64,
    /// Latest pass that started.
    pass: u64,
    /// Passes in which ranks used different maps.
    mixed_map_passes: u64,
}

/// A group of ranks with a single set of experts.
#[derive(Debug)]
pub struct RankGroup {
    name: String,
    experts: usize,
    state: Mutex<State>,
}

impl RankGroup {
    /// Starts a group and the task that runs a pass every 20 ms. Expert 0 is by far the most
    /// popular; the initial map assigns the experts to the ranks round-robin.
    #[must_use]
    pub fn start(name: &str, ranks: usize, experts: usize) -> (Arc<Self>, JoinHandle<()>) {
        let group = Arc::new(Self {
            name: name.to_owned(),
            experts,
            state: Mutex::new(State {
                ranks: initial(ranks, experts),
                epoch: 1,
                pass: 0,
                mixed_map_passes: 0,
            }),
        });
        let passes = {
            let group = Arc::clone(&group);
            tokio::spawn(async move {
                loop {
                    tokio::time::sleep(PASS_INTERVAL).await;
                    group.pass();
                }
            })
        };
        (group, passes)
    }

    /// Opens the group in a new epoch, as after the loss of a rank.
    pub fn reopen(&self) {
        let mut state = self.lock();
        state.ranks = initial(state.ranks.len(), self.experts);
        state.epoch += 1;
        state.pass = 0;
    }

    /// Version of the map that the first rank uses; 0 is the initial map.
    #[must_use]
    pub fn map_version(&self) -> u64 {
        self.lock().ranks[0].map_version
    }

    /// Number of ranks that hold a copy of an expert.
    #[must_use]
    pub fn holders(&self, expert: usize) -> usize {
        let state = self.lock();
        let holds = |r: &&Rank| r.experts[0].contains(&expert);
        state.ranks.iter().filter(holds).count()
    }

    /// Number of passes in which ranks used different maps.
    #[must_use]
    pub fn mixed_map_passes(&self) -> u64 {
        self.lock().mixed_map_passes
    }

    /// Number of passes that started.
    #[must_use]
    pub fn passes(&self) -> u64 {
        self.lock().pass
    }

    /// Holds the pass after the next one at a rank, as a sidecar does that then crashes or is
    /// paused before it releases the pass.
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
                rank.map_version = version;
                rank.experts = experts;
                rank.armed = None;
            }
            for (expert, count) in rank.counts.iter_mut().enumerate() {
                *count += if expert == 0 {
                    POPULAR_EXPERT_CHOICES
                } else {
                    OTHER_EXPERT_CHOICES
                };
            }
        }
        let first = state.ranks[0].map_version;
        state.mixed_map_passes += u64::from(state.ranks.iter().any(|r| r.map_version != first));
    }

    /// Handles a request to a rank; returns the status and the body of the answer.
    pub(super) fn answer(&self, rank: usize, arrival: &Arrival) -> (u16, Value) {
        let mut state = self.lock();
        let (pass, epoch, group_size) = (state.pass, state.epoch, state.ranks.len());
        let rank_state = &mut state.ranks[rank];
        match arrival.path.as_str() {
            "/report" => {
                let mut report = rank_report(rank_state, rank, group_size, pass);
                report["group"]["name"] = self.name.as_str().into();
                report["group"]["epoch"] = epoch.into();
                (200, report)
            }
            "/picked" => (
                200,
                json!({ "step": pass, "epoch": epoch, "counts": rank_state.counts }),
            ),
            "/order" => {
                let order: Value = serde_json::from_slice(&arrival.body).unwrap_or_default();
                rank_state.orders += 1;
                if order["epoch"].as_u64().is_some_and(|named| named != epoch) {
                    return (409, Value::Null);
                }
                (apply_order(rank_state, rank, pass, &order), Value::Null)
            }
            _ => {
                let map =
                    json!({ "version": rank_state.map_version, "experts": rank_state.experts });
                (
                    200,
                    json!({ "step": pass, "epoch": epoch, "map": map, "prepared": null }),
                )
            }
        }
    }

    /// Number of distinct experts in the group.
    #[must_use]
    pub fn experts(&self) -> usize {
        self.experts
    }
}

/// Ranks with the initial map, which assigns the experts round-robin.
fn initial(ranks: usize, experts: usize) -> Vec<Rank> {
    let round_robin = |rank: usize| Rank {
        experts: vec![(rank..experts).step_by(ranks).collect()],
        counts: vec![0; experts],
        ..Rank::default()
    };
    (0..ranks).map(round_robin).collect()
}

fn rank_report(rank_state: &Rank, rank: usize, group_size: usize, pass: u64) -> Value {
    json!({
        "stage": "both",
        "group": { "rank": rank, "state": "open" },
        "size": group_size,
        "active": 2,
        "seq": 0,
        "step": pass,
        "map": rank_state.map_version,
        "prepared": rank_state.prepared.as_ref().map(|p| p.0),
        "armed": rank_state.armed.map(|a| json!({ "version": a.0, "step": a.1 })),
        "held": rank_state.held,
    })
}

fn apply_order(rank_state: &mut Rank, rank: usize, pass: u64, order: &Value) -> u16 {
    let version = order["version"].as_u64().unwrap_or(0);
    let step = order["step"].as_u64().unwrap_or(0);
    match order["op"].as_str() {
        Some("prepare") => {
            let newest = rank_state
                .prepared
                .as_ref()
                .map_or(rank_state.map_version, |p| p.0.max(rank_state.map_version));
            if version <= newest || rank_state.armed.is_some() {
                return 409;
            }
            let sets: Vec<Vec<Vec<usize>>> =
                serde_json::from_value(order["map"].clone()).unwrap_or_default();
            let rank_experts = sets.iter().map(|set| set[rank].clone()).collect();
            rank_state.prepared = Some((version, rank_experts));
            202
        }
        Some("arm")
            if step > pass && rank_state.prepared.as_ref().is_some_and(|p| p.0 == version) =>
        {
            rank_state.armed = Some((version, step));
            200
        }
        Some("hold") if step > pass && rank_state.held.is_none_or(|h| h == step) => {
            rank_state.held = Some(step);
            200
        }
        Some("go") => {
            rank_state.held.take_if(|h| *h == step);
            200
        }
        Some("disarm") => {
            rank_state.armed.take_if(|a| a.0 == version);
            200
        }
        _ => 409,
    }
}
