use std::sync::Arc;
use std::time::Duration;

use crate::ranks::{
    GroupMap, MapVersion, Order, OrderResult, Pass, RankIndex, RankOrder, RankView, Rollout,
    RolloutOutcome, RolloutParams,
};
use crate::types::Now;

const RANKS: usize = 4;
const EPOCH: u64 = 3;
const VERSION: MapVersion = 5 * 1_024;
const LOADING: Duration = Duration::from_millis(300);
const LEAD: Pass = 2;
const LOSSY_LEAD: Pass = 8;

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn start(rank: RankIndex, version: MapVersion) -> RolloutParams {
    RolloutParams {
        rank,
        size: RANKS,
        epoch: EPOCH,
        version,
        kill_version: version + 512,
        present: Arc::new(GroupMap::round_robin(1, RANKS, 8)),
        lead: LEAD,
        lossy_lead: LOSSY_LEAD,
        lossy: false,
        after: 0,
    }
}

fn rollout() -> Rollout {
    let map = Arc::new(GroupMap::round_robin(1, RANKS, 8));
    Rollout::new(ms(0), start(0, VERSION), map, LOADING)
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

/// Gives each order its result and returns those that were given.
fn carry(
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
fn a_calm_rollout_prepares_holds_arms_and_releases_in_turn() {
    let mut rollout = rollout();
    let prepared = carry(&mut rollout, ms(0), accept);
    assert_eq!(prepared.len(), RANKS);
    assert!(carry(&mut rollout, ms(100), accept).is_empty());
    let held = carry(&mut rollout, LOADING, accept);
    assert_eq!(held_pass(&held), Some(1 + LEAD + 1));
    let late = |o: &RankOrder| match o.rank {
        2 => OrderResult::Unknown,
        _ => OrderResult::Accepted,
    };
    let armed = carry(&mut rollout, ms(310), late);
    assert_eq!(armed.len(), RANKS);
    assert!(armed.iter().all(|o| matches!(o.order, Order::Arm { .. })));
    assert!(carry(&mut rollout, ms(311), accept).is_empty());
    let again = carry(&mut rollout, ms(340), accept);
    assert_eq!(again.len(), 1, "{again:?}");
    assert_eq!(again[0].rank, 2);
    let released = carry(&mut rollout, ms(341), accept);
    assert!(matches!(
        released[..],
        [RankOrder {
            rank: 0,
            order: Order::Go { .. },
            ..
        }]
    ));
    assert_eq!(rollout.ended(), Some(RolloutOutcome::Switched));
}

/// Guards against a group that waits for a rank that began to load later, because its first order
/// got lost: passes stood still for up to 0.5 s at each switch.
#[test]
fn a_group_is_not_held_before_a_rank_whose_order_got_lost_has_loaded() {
    let mut rollout = rollout();
    let lost = |o: &RankOrder| match o.rank {
        2 => OrderResult::Unknown,
        _ => OrderResult::Accepted,
    };
    carry(&mut rollout, ms(0), lost);
    let again = carry(&mut rollout, ms(100), accept);
    assert_eq!(again.len(), 1);
    for at in [LOADING + ms(100), LOADING + ms(150)] {
        assert!(carry(&mut rollout, at, accept).is_empty());
        for rank in rollout.unclear() {
            let prepared = (rank != 2).then_some(VERSION);
            rollout.look(at, at, rank, &view(rank, prepared));
        }
    }
    let loaded = LOADING + ms(200);
    assert!(carry(&mut rollout, loaded, accept).is_empty());
    assert_eq!(
        rollout.unclear(),
        [2],
        "others have said that they have loaded"
    );
    rollout.look(loaded, loaded, 2, &view(2, Some(VERSION)));
    let held = carry(&mut rollout, loaded, accept);
    assert_eq!(
        held_pass(&held),
        Some(1 + LOSSY_LEAD + 1),
        "there is time to arm ranks again before the group has to wait"
    );
}

/// Guards against ranks that refuse to be armed, while the group waits, because the order to load
/// took long to reach them: with 24 ranks behind a slow link it takes up to 0.1 s.
#[test]
fn loading_counts_from_when_the_last_rank_accepted_it() {
    let mut rollout = rollout();
    let orders = rollout.orders(ms(0), 1);
    for (n, order) in orders.iter().enumerate() {
        rollout.result(ms(25 * n as u64), order, OrderResult::Accepted);
    }
    assert!(carry(&mut rollout, LOADING + ms(70), accept).is_empty());
    let held = carry(&mut rollout, LOADING + ms(75), accept);
    assert!(held_pass(&held).is_some());
}

/// Guards against a held pass that is released while a rank can't be armed with the version: the
/// others would switch alone.
#[test]
fn a_version_that_a_rank_replaced_is_made_impossible_before_the_release() {
    let mut rollout = rollout();
    carry(&mut rollout, ms(0), accept);
    carry(&mut rollout, LOADING, accept);
    let refuse = |o: &RankOrder| match o.rank {
        3 => OrderResult::Refused,
        _ => OrderResult::Accepted,
    };
    carry(&mut rollout, ms(310), refuse);
    let pass = rollout.pass();
    let held = |rank: RankIndex, prepared| RankView {
        held: (rank == 0).then_some(pass),
        ..view(rank, prepared)
    };
    rollout.look(ms(320), ms(320), 3, &held(3, Some(VERSION + 1_024)));
    let mut released = false;
    for at in (320..500).step_by(20) {
        for rank in rollout.unclear() {
            let newer = VERSION + if rank == 3 { 1_024 } else { 0 };
            rollout.look(ms(at), ms(at), rank, &held(rank, Some(newer)));
        }
        let orders = carry(&mut rollout, ms(at), accept);
        released |= orders.iter().any(|o| matches!(o.order, Order::Go { .. }));
        let arms = orders.iter().any(|o| matches!(o.order, Order::Arm { .. }));
        assert!(!arms, "nothing is armed any more: {orders:?}");
    }
    assert!(released);
    assert_eq!(rollout.ended(), Some(RolloutOutcome::Invalidated));
}

/// Guards against a group that stands still because the process that held it is gone.
#[test]
fn another_process_finishes_a_rollout_that_was_left_with_a_held_pass() {
    let start = start(1, VERSION + 1_025);
    let views: Vec<RankView> = (0..RANKS)
        .map(|rank| RankView {
            held: (rank == 0).then_some(6),
            ..view(rank, Some(VERSION))
        })
        .collect();
    let mut rollout = Rollout::take_over(ms(900), start, 0, 6, &views);
    let armed = carry(&mut rollout, ms(900), accept);
    let arms_left = |o: &RankOrder| {
        o.order
            == Order::Arm {
                version: VERSION,
                pass: 6,
            }
    };
    assert!(armed.iter().all(arms_left), "{armed:?}");
    let released = carry(&mut rollout, ms(901), accept);
    assert_eq!(released.len(), 1);
    assert_eq!(released[0].rank, 0, "the holder's pass is released");
    assert_eq!(rollout.ended(), Some(RolloutOutcome::Switched));
}
