use std::time::Duration;

use crate::gateway::routes::ExpertLayout;
use crate::ranks::{Input, Leader, LeaderEvent, LeaderSettings, Order, Output, RankView};
use crate::types::Now;

fn ms(ms: u64) -> Now {
    Duration::from_millis(ms)
}

fn leader() -> Leader {
    let settings = LeaderSettings {
        layout: ExpertLayout {
            sets: 1,
            experts: 6,
            slots_per_rank: 5,
            spare: 2,
            share: 0.85,
            expert_mb: 400.0,
            link_mbps: 44_000.0,
            form_time: ms(600),
        },
        fixed_pass: ms(30),
        first_start: true,
        started_ms: 1_770_000_000_000,
        link_bytes_per_s: 750_000.0,
        fanout: 4,
        seed: 1,
    };
    Leader::new(ms(0), settings)
}

fn view(rank: usize, held: u64) -> RankView {
    RankView {
        group: "g".into(),
        rank,
        size: 2,
        epoch: 2,
        open: true,
        pass: 298,
        held: Some(held),
        ..RankView::default()
    }
}

/// Guards against a permanent stall after two sidecars each left a held pass: the group cannot
/// reach the later pass before the earlier one is released.
#[test]
fn the_earliest_of_several_held_passes_is_released_first() {
    let mut leader = leader();
    leader.handle(ms(0), Input::OwnView(view(0, 313)));
    let mut taken_over = Vec::new();
    for at in (0..2_000).step_by(100) {
        for view in [view(0, 313), view(1, 299)] {
            let read = Input::Read {
                requested_at: ms(at),
                view,
                held: None,
            };
            for output in leader.handle(ms(at), read) {
                if let Output::Event(LeaderEvent::RolloutTakenOver { holder, pass }) = output {
                    taken_over.push((holder, pass));
                }
            }
        }
    }
    assert_eq!(taken_over.first(), Some(&(1, 299)));
}

/// Orders that the sidecar of rank 1 of 2 sends until 0.5 s after the pass that rank 0 holds there
/// was seen, if rank 0 falls silent at `silent_at`.
fn orders_beside_a_hold(armed: Option<(u64, u64)>, silent_at: u64) -> Vec<(u64, Order)> {
    let mut leader = leader();
    let view = RankView {
        armed,
        ..view(1, 299)
    };
    let mut orders = Vec::new();
    for at in (0..500).step_by(10) {
        let mut outputs = leader.handle(ms(at), Input::OwnView(view.clone()));
        if at < silent_at {
            outputs.extend(leader.handle(ms(at), Input::PolledBy(0)));
        }
        let sent = outputs.into_iter().filter_map(|o| match o {
            Output::Send(order) => Some((at, order.order)),
            _ => None,
        });
        orders.extend(sent);
    }
    orders
}

/// Guards against a group that waits for a frozen leader although the sidecar beside the hold has
/// all it needs to release it, and against one that interferes with a leader that is heard.
#[test]
fn the_sidecar_beside_a_hold_finishes_the_rollout_of_a_silent_owner() {
    let version = 7 * 1_024;
    let orders = orders_beside_a_hold(Some((version, 299)), 100);
    let arm = Order::Arm { version, pass: 299 };
    let (at, order) = orders.first().expect("the rollout is finished");
    assert_eq!(order, &arm);
    assert!((290..350).contains(at), "{at}");
    assert!(orders_beside_a_hold(Some((version, 299)), 500).is_empty());
}

/// Guards against a release while the frozen owner's rank may be unarmed, or armed for another
/// pass, or by another sidecar.
#[test]
fn the_sidecar_beside_a_hold_waits_without_evidence_that_the_owner_is_armed() {
    let of_owner = 7 * 1_024;
    for armed in [None, Some((of_owner, 298)), Some((of_owner + 1, 299))] {
        let orders = orders_beside_a_hold(armed, 100);
        assert!(orders.is_empty(), "{armed:?}: {orders:?}");
    }
}

/// Guards against a group without a leader since the sidecars beside two held passes, which look for evidence that
/// nobody has, are taken for leaders by the others.
#[test]
fn sidecars_that_look_for_evidence_do_not_keep_others_from_leading() {
    let size = 4;
    // The sidecars of ranks 1 and 3 held a pass each, and were lost before any rank was armed.
    let held = [Some(305), None, Some(309), None];
    let view = |rank: usize| RankView {
        size,
        held: held[rank],
        ..view(rank, 0)
    };
    let mut sidecars: Vec<Leader> = (0..size).map(|_| leader()).collect();
    let mut reads = 0;
    for at in (0..6_000).step_by(10) {
        let mut inputs: Vec<(usize, Input)> = (0..size)
            .map(|rank| (rank, Input::OwnView(view(rank))))
            .collect();
        while let Some((caller, input)) = inputs.pop() {
            let outputs = sidecars[caller].handle(ms(at), input);
            if sidecars[caller].leads() {
                assert!(reads > 0, "no sidecar looked for evidence");
                return;
            }
            let polling_rank = sidecars[caller].polling_rank();
            for output in outputs {
                let Output::Read(rank, _) = output else {
                    continue;
                };
                reads += 1;
                if let Some(leader) = polling_rank.filter(|leader| *leader != rank) {
                    inputs.push((rank, Input::PolledBy(leader)));
                }
                let read = Input::Read {
                    requested_at: ms(at),
                    view: view(rank),
                    held: None,
                };
                inputs.push((caller, read));
            }
        }
    }
    panic!("no sidecar leads");
}

/// Guards against reports of a rank of another group, whose epoch may have the same number, that count as those of the
/// rank with the same position here.
#[test]
fn views_of_another_group_are_ignored() {
    let mut leader = leader();
    leader.handle(ms(0), Input::OwnView(view(0, 313)));
    let mut taken_over = Vec::new();
    for at in (0..2_000).step_by(100) {
        let other = RankView {
            group: "other".into(),
            ..view(1, 299)
        };
        for view in [view(0, 313), other] {
            let read = Input::Read {
                requested_at: ms(at),
                view,
                held: None,
            };
            let outputs = leader.handle(ms(at), read);
            taken_over.extend(outputs.into_iter().filter_map(|output| match output {
                Output::Event(LeaderEvent::RolloutTakenOver { pass, .. }) => Some(pass),
                _ => None,
            }));
        }
    }
    assert!(taken_over.is_empty(), "{taken_over:?}");
}

/// Guards against a leader that goes on to lead its former group after its engine has joined another one.
#[test]
fn a_leader_whose_engine_joins_another_group_starts_anew() {
    let mut leader = leader();
    for at in (0..2_000).step_by(100) {
        leader.handle(ms(at), Input::OwnView(view(0, 313)));
    }
    assert!(leader.leads());
    let moved = RankView {
        group: "other".into(),
        ..view(1, 299)
    };
    leader.handle(ms(2_000), Input::OwnView(moved));
    assert_eq!(leader.group(), "other");
    assert!(!leader.leads());
}
