//! Admission control: compares the predicted wait and run time with the deadline.

use std::time::Duration;

use super::{FairQueue, Item, LengthEstimates, Levels, Policy};
use crate::types::{Now, Request};

/// Safety factor on the predicted wait. Other teams' work may overtake queued work, and work that
/// is dropped late costs its caller more than an early refusal.
const WAIT_MARGIN: f64 = 1.25;

/// Factor on the maximum wait for a team within its fair share.
const WITHIN_SHARE_FACTOR: u32 = 4;

/// Expected tokens that a request still has to generate; 1 for a plain call.
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

/// Expected run time on the engine; zero before the token interval has been measured.
#[must_use]
pub fn expected_run(levels: &Levels, expected_tokens: f64) -> Duration {
    levels
        .token_interval()
        .unwrap_or_default()
        .mul_f64(expected_tokens)
}

/// Predicted time until a new item would start; zero before the token interval has been measured.
#[must_use]
pub fn predicted_wait(
    now: Now,
    policy: &Policy,
    queue: &FairQueue,
    levels: &Levels,
    lengths: &LengthEstimates,
    item: &Item,
) -> Duration {
    let include_long = item.long || levels.slot_for_long(policy).is_some();
    let cost_before = queue.cost_before(now, item, include_long);
    wait_for_slot(policy, levels, lengths, item.long, cost_before)
}

/// Predicted time until a slot is free and queued work of the cost `cost_before`, in tokens, has
/// run.
#[must_use]
pub fn wait_for_slot(
    policy: &Policy,
    levels: &Levels,
    lengths: &LengthEstimates,
    long: bool,
    cost_before: f64,
) -> Duration {
    let Some(token_interval) = levels.token_interval() else {
        return Duration::ZERO;
    };
    let (free, slots) = if long {
        let level = levels.slot_for_long(policy);
        (level.is_some(), policy.long_limit())
    } else {
        (levels.has_slot(policy), policy.concurrency())
    };
    if free && cost_before <= 0.0 {
        return Duration::ZERO;
    }
    let next_end = token_interval.mul_f64(tokens_to_next_end(levels, lengths, long));
    next_end + token_interval.mul_f64(cost_before / slots as f64)
}

/// Whether work is queued: its wait is within the limit and its deadline can be met. A team
/// within its share may wait longer, so that no team above its share gets the slot instead. An
/// answer that has begun may wait until its deadline, since a refusal would cut it.
#[must_use]
pub fn admits(
    policy: &Policy,
    wait: Duration,
    run: Duration,
    item: &Item,
    within_share: bool,
) -> bool {
    let has_begun = item.request.resume_from > 0;
    let max_wait = match (item.long, within_share) {
        _ if has_begun => item.request.deadline,
        (true, _) => policy.max_wait().max(run / 2),
        (false, true) => policy.max_wait() * WITHIN_SHARE_FACTOR,
        (false, false) => policy.max_wait(),
    };
    wait <= max_wait && wait.mul_f64(WAIT_MARGIN) + run <= item.request.deadline
}

/// Latest start that is expected to meet a deadline.
#[must_use]
pub fn latest_start(deadline: Now, run: Duration) -> Now {
    deadline.saturating_sub(run)
}

/// Expected tokens per request until the first running request ends, from the sum of their end
/// rates.
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
