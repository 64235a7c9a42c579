//! Invariants, checked on engines, the platform and the store alone.

use eelgrasshold_core::group::map::{FenceNumber, Step};
use eelgrasshold_core::group::switch::Order;

use crate::engine::Engine;

/// Burst by which all members together may exceed the store's rate in any window, in seconds;
/// guaranteed by the limiter.
const BURST_S: f64 = 0.2;

/// Leaky bucket that drains at the store's rate.
pub struct RateCheck {
    bytes_per_s: f64,
    level: f64,
    at_s: f64,
}

impl RateCheck {
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            level: 0.0,
            at_s: 0.0,
        }
    }

    pub fn read(&mut self, at_s: f64, bytes: u64) {
        let drained = (at_s - self.at_s) * self.bytes_per_s;
        self.level = (self.level - drained).max(0.0) + bytes as f64;
        self.at_s = at_s;
        let max_level = self.bytes_per_s * BURST_S;
        assert!(
            self.level <= max_level + 1.0,
            "{} bytes above the store's rate at {at_s} s",
            self.level
        );
    }
}

/// All ranks that run a step use the same map.
pub fn check_step(step: Step, engines: &[Engine]) {
    let first = engines[0].started;
    for engine in engines {
        assert_eq!(
            engine.started, first,
            "step {step}: rank {} uses another map than rank 0",
            engine.rank
        );
    }
}

/// No rank uses an expert that it has not loaded.
pub fn check_weights(step: Step, engine: &Engine) {
    if engine.started.is_some() {
        let missing = engine.missing_weight();
        assert_eq!(
            missing, None,
            "step {step}: rank {} lacks a weight of its map",
            engine.rank
        );
    }
}

/// No order with an old number reaches an engine after a newer one.
pub fn check_order(engine: &mut Engine, order: &Order) {
    if let Some(number) = order.fence {
        assert!(
            number >= engine.highest_order,
            "rank {}: order {order:?} after one with number {}",
            engine.rank,
            engine.highest_order
        );
        engine.highest_order = number;
    }
}

/// A planner acts only while no other planner can have taken the lease.
pub fn check_lease(acting: FenceNumber, written: Option<FenceNumber>) {
    assert!(
        written.is_none_or(|n| n <= acting),
        "planner {acting} acts after {written:?} was written"
    );
}
