use std::sync::Arc;
use std::time::Duration;

use crate::ranks::{
    GroupMap, MapVersion, Order, OrderResult, Pass, RankIndex, RankOrder, RankView, Rollout,
    RolloutOutcome, RolloutParams,
};
use crate::types::Now;

const RANKS: usize = 4;
/// Rank at which the sidecar of rank 0 holds passes.
const HOLDER: RankIndex = 1;
const EPOCH: u64 = 3;
const VERSION: MapVersion = 5 * 1_024;
const LOADING: Duration = Duration::from_millis(300);
const LEAD_PASSES: Pass = 2;
const LOSSY_LEAD_PASSES: Pass = 8;

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn params(rank: RankIndex, version: MapVersion) -> RolloutParams {
    RolloutParams {
        rank,
        size: RANKS,
        epoch: EPOCH,
        version,
        invalidating_version: version + 512,
        current_map: Arc::new(GroupMap::round_robin(1, RANKS, 8)),
        lead_passes: LEAD_PASSES,
        lossy_lead_passes: LOSSY_LEAD_PASSES,
        lossy: false,
        after_pass: 0,
    }
}

fn rollout() -> Rollout {
    let map = Arc::new(GroupMap::round_robin(1, RANKS, 8));
    Rollout::new(ms(0), params(0, VERSION), map, LOADING)
}

fn view(rank: RankIndex, prepared: Option<MapVersion>) -> RankView {
    RankView {
        group: "g".into(),
        rank,
        size: RANKS,
        epoch: EPOCH,
        open: true,
        pass: 1,
        prepared,
        ..RankView::default()
    }
}

/// Answers each due order with the given result and returns the orders.
fn answer_orders(
    rollout: &mut Rollout,
    now: Now,
    result: impl Fn(&RankOrder) -> OrderResult,
) -> Vec<RankOrder> {
    let orders = rollout.orders(now, 1);
    for order in &orders {
        rollout.result(now, order, result(order));
    }
    orders
}

/// Answers the reads of ranks that are due, with the version prepared, and then each due order.
fn answer_reads_and_orders(rollout: &mut Rollout, now: Now) -> Vec<RankOrder> {
    let mut orders = answer_orders(rollout, now, accept);
    for rank in rollout.ranks_to_read() {
        rollout.observe(now, now, rank, &view(rank, Some(VERSION)));
    }
    orders.extend(answer_orders(rollout, now, accept));
    orders
}

fn accept(_: &RankOrder) -> OrderResult {
    OrderResult::Accepted
}

fn held_pass(orders: &[RankOrder]) -> Option<Pass> {
    orders.iter().find_map(|o| match o.order {
        Order::Hold { pass } => Some(pass),
        _ => None,
    })
}

/// Guards against a release before all ranks are armed.
#[test]
fn a_held_pass_is_released_only_after_all_ranks_are_armed() {
    let mut rollout = rollout();
    let prepared = answer_orders(&mut rollout, ms(0), accept);
    assert_eq!(prepared.len(), RANKS);
    assert!(answer_orders(&mut rollout, ms(100), accept).is_empty());
    let held = answer_reads_and_orders(&mut rollout, LOADING);
    assert_eq!(held_pass(&held), Some(1 + LEAD_PASSES + 1));
    let lost = |o: &RankOrder| match o.rank {
        2 => OrderResult::Unknown,
        _ => OrderResult::Accepted,
    };
    let mut armed = answer_orders(&mut rollout, ms(310), lost);
    assert_eq!(armed.len(), 1, "the owner's rank is armed first: {armed:?}");
    armed.extend(answer_orders(&mut rollout, ms(310), lost));
    assert_eq!(armed.len(), RANKS);
    assert!(armed.iter().all(|o| matches!(o.order, Order::Arm { .. })));
    assert!(answer_orders(&mut rollout, ms(311), accept).is_empty());
    let again = answer_orders(&mut rollout, ms(340), accept);
    assert_eq!(again.len(), 1, "{again:?}");
    assert_eq!(again[0].rank, 2);
    let released = answer_orders(&mut rollout, ms(341), accept);
    assert!(matches!(
        released[..],
        [RankOrder {
            rank: HOLDER,
            order: Order::Go { .. },
            ..
        }]
    ));
    assert_eq!(rollout.ended(), Some(RolloutOutcome::Switched));
}

/// Guards against a held group that waits for a rank whose first prepare order was lost, so that it
/// began to load later than the others: passes stalled for up to 0.5 s per switch.
#[test]
fn a_pass_is_not_held_before_a_rank_whose_prepare_was_lost_has_loaded() {
    let mut rollout = rollout();
    let lost = |o: &RankOrder| match o.rank {
        2 => OrderResult::Unknown,
        _ => OrderResult::Accepted,
    };
    answer_orders(&mut rollout, ms(0), lost);
    let again = answer_orders(&mut rollout, ms(100), accept);
    assert_eq!(again.len(), 1);
    for at in [LOADING + ms(100), LOADING + ms(150)] {
        assert!(answer_orders(&mut rollout, at, accept).is_empty());
        for rank in rollout.ranks_to_read() {
            let prepared = (rank != 2).then_some(VERSION);
            rollout.observe(at, at, rank, &view(rank, prepared));
        }
    }
    let loaded = LOADING + ms(200);
    assert!(answer_orders(&mut rollout, loaded, accept).is_empty());
    assert_eq!(
        rollout.ranks_to_read(),
        [2],
        "the other ranks have reported that they have loaded"
    );
    rollout.observe(loaded, loaded, 2, &view(2, Some(VERSION)));
    let held = answer_orders(&mut rollout, loaded, accept);
    assert_eq!(
        held_pass(&held),
        Some(1 + LOSSY_LEAD_PASSES + 1),
        "arming can be repeated before the group has to wait"
    );
}

/// Guards against a group that waits at a held pass for a rank that froze while it loaded: callers
/// of all ranks gave up, and their requests stayed at the frozen one.
#[test]
fn a_pass_is_not_held_while_a_rank_that_accepted_the_version_is_frozen() {
    let mut rollout = rollout();
    assert_eq!(answer_orders(&mut rollout, ms(0), accept).len(), RANKS);
    let frozen = 2;
    for at in (50..6_000).step_by(10).map(ms) {
        let orders = answer_orders(&mut rollout, at, accept);
        assert!(orders.is_empty(), "{at:?}: {orders:?}");
        for rank in rollout.ranks_to_read().into_iter().filter(|r| *r != frozen) {
            rollout.observe(at, at, rank, &view(rank, Some(VERSION)));
        }
    }
    let thawed = answer_reads_and_orders(&mut rollout, ms(6_000));
    assert!(held_pass(&thawed).is_some(), "{thawed:?}");
}

/// Guards against a held pass on the word of ranks that reported before another one froze.
#[test]
fn reports_of_ranks_that_loaded_expire_while_another_rank_is_awaited() {
    let mut rollout = rollout();
    answer_orders(&mut rollout, ms(0), accept);
    answer_orders(&mut rollout, LOADING, accept);
    assert_eq!(rollout.ranks_to_read(), [0, 1, 2, 3]);
    for rank in 0..3 {
        rollout.observe(LOADING, LOADING, rank, &view(rank, Some(VERSION)));
    }
    let late = LOADING + ms(300);
    answer_orders(&mut rollout, late, accept);
    rollout.observe(late, late, 3, &view(3, Some(VERSION)));
    let orders = answer_orders(&mut rollout, late, accept);
    assert!(orders.is_empty(), "{orders:?}");
    assert_eq!(rollout.ranks_to_read(), [0, 1, 2]);
}

/// Guards against arming ranks that still load because their prepare order was slow to arrive:
/// behind a slow link, 24 orders take up to 0.1 s. They refuse, and the group waits.
#[test]
fn loading_time_counts_from_the_last_accepted_prepare() {
    let mut rollout = rollout();
    let orders = rollout.orders(ms(0), 1);
    for (n, order) in orders.iter().enumerate() {
        rollout.result(ms(25 * n as u64), order, OrderResult::Accepted);
    }
    assert!(answer_reads_and_orders(&mut rollout, LOADING + ms(70)).is_empty());
    let held = answer_reads_and_orders(&mut rollout, LOADING + ms(75));
    assert!(held_pass(&held).is_some());
}

/// Guards against releasing a held pass while some rank cannot arm the version: the other ranks
/// would switch without it.
#[test]
fn a_version_that_a_rank_replaced_is_invalidated_before_the_release() {
    let mut rollout = rollout();
    answer_orders(&mut rollout, ms(0), accept);
    answer_reads_and_orders(&mut rollout, LOADING);
    let refuse = |o: &RankOrder| match o.rank {
        3 => OrderResult::Refused,
        _ => OrderResult::Accepted,
    };
    answer_orders(&mut rollout, ms(310), refuse);
    answer_orders(&mut rollout, ms(310), refuse);
    let pass = rollout.pass();
    let held = |rank: RankIndex, prepared| RankView {
        held: (rank == HOLDER).then_some(pass),
        ..view(rank, prepared)
    };
    rollout.observe(ms(320), ms(320), 3, &held(3, Some(VERSION + 1_024)));
    let mut released = false;
    for at in (320..500).step_by(20) {
        for rank in rollout.ranks_to_read() {
            let newer = VERSION + if rank == 3 { 1_024 } else { 0 };
            rollout.observe(ms(at), ms(at), rank, &held(rank, Some(newer)));
        }
        let orders = answer_orders(&mut rollout, ms(at), accept);
        released |= orders.iter().any(|o| matches!(o.order, Order::Go { .. }));
        let arms = orders.iter().any(|o| matches!(o.order, Order::Arm { .. }));
        assert!(!arms, "nothing is armed any more: {orders:?}");
    }
    assert!(released);
    assert_eq!(rollout.ended(), Some(RolloutOutcome::Invalidated));
}

/// Guards against a group that waits for ever because the sidecar that held its pass is gone.
#[test]
fn another_sidecar_finishes_an_abandoned_rollout_with_a_held_pass() {
    let params = params(1, VERSION + 1_025);
    let views: Vec<RankView> = (0..RANKS)
        .map(|rank| RankView {
            held: (rank == HOLDER).then_some(6),
            ..view(rank, Some(VERSION))
        })
        .collect();
    let mut rollout = Rollout::take_over(ms(900), params, HOLDER, 6, &views);
    let mut armed = answer_orders(&mut rollout, ms(900), accept);
    armed.extend(answer_orders(&mut rollout, ms(900), accept));
    assert_eq!(armed.len(), RANKS);
    let arms_held_pass = |o: &RankOrder| {
        o.order
            == Order::Arm {
                version: VERSION,
                pass: 6,
            }
    };
    assert!(armed.iter().all(arms_held_pass), "{armed:?}");
    let released = answer_orders(&mut rollout, ms(901), accept);
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].rank, HOLDER, "the holder's pass is released");
    assert_eq!(rollout.ended(), Some(RolloutOutcome::Switched));
}

/// Guards against a rank that is armed while the owner's may not be: if the owner's machine then
/// froze, its rank would keep the old map when another sidecar released the pass.
#[test]
fn no_rank_is_armed_before_the_owners_has_accepted() {
    let mut rollout = rollout();
    answer_orders(&mut rollout, ms(0), accept);
    let held = answer_reads_and_orders(&mut rollout, LOADING);
    assert!(held_pass(&held).is_some());
    for at in (310..900).step_by(25).map(ms) {
        let orders = answer_orders(&mut rollout, at, |_| OrderResult::Unknown);
        assert!(orders.iter().all(|o| o.rank == 0), "{orders:?}");
    }
}

/// Guards against a group that waits for its frozen leader: what the owner's rank accepted is known
/// from any other rank that is armed.
#[test]
fn a_rollout_is_finished_without_the_rank_of_its_owner() {
    let mut rollout = Rollout::finish(ms(900), EPOCH, RANKS, HOLDER, (VERSION, 6));
    let lost = |o: &RankOrder| match o.rank {
        3 => OrderResult::Unknown,
        _ => OrderResult::Accepted,
    };
    let armed = answer_orders(&mut rollout, ms(900), lost);
    let ranks: Vec<_> = armed.iter().map(|o| o.rank).collect();
    assert_eq!(ranks, [1, 2, 3]);
    assert!(answer_orders(&mut rollout, ms(910), accept).is_empty());
    assert_eq!(answer_orders(&mut rollout, ms(920), accept).len(), 1);
    let released = answer_orders(&mut rollout, ms(921), accept);
    assert!(matches!(
        released[..],
        [RankOrder {
            rank: HOLDER,
            order: Order::Go { pass: 6 },
            ..
        }]
    ));
    assert_eq!(rollout.ended(), Some(RolloutOutcome::Switched));
}

/// Guards against the release of a version that a rank can no longer arm by a sidecar that knows
/// nothing of the map in use, and against a rank that this sidecar disarms.
#[test]
fn a_rollout_without_the_rank_of_its_owner_is_abandoned_if_a_rank_took_a_higher_version() {
    let mut rollout = Rollout::finish(ms(900), EPOCH, RANKS, HOLDER, (VERSION, 6));
    let refuse = |o: &RankOrder| match o.rank {
        3 => OrderResult::Refused,
        _ => OrderResult::Accepted,
    };
    answer_orders(&mut rollout, ms(900), refuse);
    assert_eq!(rollout.ranks_to_read(), [3]);
    rollout.observe(ms(905), ms(901), 3, &view(3, Some(VERSION + 1_024)));
    assert_eq!(rollout.ended(), Some(RolloutOutcome::Abandoned));
    assert!(answer_orders(&mut rollout, ms(1_000), accept).is_empty());
}
