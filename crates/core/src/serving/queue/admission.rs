//! Whether work is worth queueing: predicted wait against the deadline.

use std::time::Duration;

use super::{FairQueue, Item, LengthEstimates, Levels, Policy};
use crate::types::{Now, Request};

/// Factor on the predicted wait. Other teams may come in front of queued work,
/// and work that is dropped late costs its caller more than an early refusal.
const WAIT_MARGIN: f64 = 1.25;

/// Factor on the longest wait of a team within its share.
const WITHIN_SHARE: u32 = 4;

/// Expected tokens of a request's whole answer that are still to come.
#[must_use]
pub fn expected_tokens(lengths: &LengthEstimates, request: &Request) -> f64 {
    if request.max_tokens == 0 {
        return 1.0;
    }
    let Request {
        service,
        team,
        resume_from,
        max_tokens,
        ..
    } = request;
    lengths.remaining(service, team, *resume_from, *max_tokens)
}

/// Time that the engine is expected to need; zero before the pace is known.
#[must_use]
pub fn expected_run(levels: &Levels, expected_tokens: f64) -> Duration {
    levels.pace().unwrap_or_default().mul_f64(expected_tokens)
}

/// Predicted time until a new item would start; zero before the pace is known.
#[must_use]
pub fn predicted_wait(
    now: Now,
    policy: &Policy,
    queue: &FairQueue,
    levels: &Levels,
    lengths: &LengthEstimates,
    item: &Item,
) -> Duration {
    let with_long = item.long || levels.slot_for_long(policy).is_some();
    let before = queue.cost_before(now, item, with_long);
    wait_for_slot(policy, levels, lengths, item.long, before)
}

/// Predicted time until a slot is free and work of the cost `before`, in tokens, has had its turn.
#[must_use]
pub fn wait_for_slot(
    policy: &Policy,
    levels: &Levels,
    lengths: &LengthEstimates,
    long: bool,
    before: f64,
) -> Duration {
    let Some(pace) = levels.pace() else {
        return Duration::ZERO;
    };
    let (free, slots) = if long {
        let level = levels.slot_for_long(policy);
        (level.is_some(), policy.long_limit())
    } else {
        (levels.has_slot(policy), policy.concurrency())
    };
    if free && before <= 0.0 {
        return Duration::ZERO;
    }
    let next_end = pace.mul_f64(tokens_to_next_end(levels, lengths, long));
    next_end + pace.mul_f64(before / slots as f64)
}

/// Whether work may be queued: its wait is short enough and its deadline can be met. A team
/// within its share may wait longer, since no team above its share shall get the slot instead.
#[must_use]
pub fn admits(
    policy: &Policy,
    wait: Duration,
    run: Duration,
    item: &Item,
    within_share: bool,
) -> bool {
    let longest = match (item.long, within_share) {
        (true, _) => policy.max_wait().max(run / 2),
        (false, true) => policy.max_wait() * WITHIN_SHARE,
        (false, false) => policy.max_wait(),
    };
    wait <= longest && wait.mul_f64(WAIT_MARGIN) + run <= item.request.deadline
}

/// Latest start that is expected to meet a deadline.
#[must_use]
pub fn latest_start(deadline: Now, run: Duration) -> Now {
    deadline.saturating_sub(run)
}

/// Expected tokens until the first running request ends, if each ends at its own rate.
fn tokens_to_next_end(levels: &Levels, lengths: &LengthEstimates, long: bool) -> f64 {
    let rate: f64 = levels
        .iter()
        .filter(|r| !long || r.is_long())
        .map(|r| {
            let q = &r.request;
            let produced = q.resume_from + r.produced;
            lengths.end_rate(&q.service, &q.team, produced, q.max_tokens)
        })
        .sum();
    if rate > 0.0 { 1.0 / rate } else { 0.0 }
}
