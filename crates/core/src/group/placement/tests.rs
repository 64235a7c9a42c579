use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::*;

fn assignment(service: &str, role: Role) -> Assignment {
    Assignment {
        service: service.into(),
        role,
    }
}

fn target(upstreams: f64, min_ready: u32, version: u64) -> CapacityTarget {
    CapacityTarget {
        upstreams,
        min_ready,
        version,
    }
}

fn fleet(counts: &[(&str, Role, usize)]) -> Upstreams {
    let mut upstreams = Upstreams::new();
    for (service, role, count) in counts {
        for i in 0..*count {
            let present = UpstreamState {
                assignment: assignment(service, *role),
                version: 1,
                ready: true,
                changing: false,
            };
            upstreams.insert(format!("{service}-{role:?}-{i}"), present);
        }
    }
    upstreams
}

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Starts changes: an upstream serves nothing until its change is finished.
fn begin(upstreams: &mut Upstreams, changes: &[UpstreamChange]) {
    for change in changes {
        let present = upstreams.get_mut(&change.host).expect("a host");
        *present = UpstreamState {
            assignment: change.assignment.clone(),
            version: change.version,
            ready: false,
            changing: true,
        };
    }
}

fn finish(upstreams: &mut Upstreams) {
    for present in upstreams.values_mut().filter(|p| p.changing) {
        present.ready = true;
        present.changing = false;
    }
}

fn ready(upstreams: &Upstreams, of: &Assignment) -> usize {
    upstreams
        .values()
        .filter(|p| p.ready && p.assignment == *of)
        .count()
}

// Guards against a service below its minimum, and against more changes at once than allowed.
#[test]
fn minimum_and_change_limit_hold_through_a_shift_of_demand() {
    let (a, b) = (assignment("a", Role::Both), assignment("b", Role::Both));
    let targets = CapacityTargets::from([
        (a.clone(), target(0.2, 3, 1)),
        (b.clone(), target(30.0, 1, 1)),
    ]);
    let mut upstreams = fleet(&[("a", Role::Both, 30), ("b", Role::Both, 10)]);
    let mut placement = Placement::new(PlacementSettings::default());
    for round in 0..60 {
        let changes = placement.plan(s(round * 20), &targets, &upstreams);
        begin(&mut upstreams, &changes);
        let changing = upstreams.values().filter(|p| p.changing).count();
        assert!(changing <= 2, "{changing} of 40 change at once");
        assert!(ready(&upstreams, &a) >= 3);
        finish(&mut upstreams);
    }
    assert_eq!(ready(&upstreams, &b), 30);
}

// Guards against changes for demand that swings faster than the minimum time of a shortage.
#[test]
fn brief_shortage_changes_nothing() {
    let (a, b) = (assignment("a", Role::Both), assignment("b", Role::Both));
    let upstreams = fleet(&[("a", Role::Both, 5), ("b", Role::Both, 5)]);
    let mut placement = Placement::new(PlacementSettings::default());
    for round in 0..20 {
        let high = if round % 2 == 0 { 6.0 } else { 2.0 };
        let low = 8.0 - high;
        let targets = CapacityTargets::from([
            (a.clone(), target(high, 1, 1)),
            (b.clone(), target(low, 1, 1)),
        ]);
        let changes = placement.plan(s(round * 20), &targets, &upstreams);
        assert!(changes.is_empty(), "{changes:?}");
    }
}

// Guards against two assignments that pass an upstream back and forth.
#[test]
fn balanced_targets_change_nothing() {
    let (a, b) = (assignment("a", Role::Both), assignment("b", Role::Both));
    let targets = CapacityTargets::from([(a, target(4.9, 1, 1)), (b, target(5.2, 1, 1))]);
    let mut upstreams = fleet(&[("a", Role::Both, 5), ("b", Role::Both, 5)]);
    let mut placement = Placement::new(PlacementSettings::default());
    for round in 0..20 {
        let changes = placement.plan(s(round * 60), &targets, &upstreams);
        assert!(changes.is_empty(), "{changes:?}");
        finish(&mut upstreams);
    }
}

// Guards against loading another model where a change of role is enough.
#[test]
fn change_of_role_comes_before_change_of_model() {
    let decode = assignment("a", Role::Decode);
    let targets = CapacityTargets::from([
        (assignment("a", Role::Prefill), target(1.0, 1, 1)),
        (decode.clone(), target(3.0, 1, 1)),
        (assignment("b", Role::Both), target(1.0, 1, 1)),
    ]);
    let upstreams = fleet(&[
        ("a", Role::Prefill, 3),
        ("a", Role::Decode, 2),
        ("b", Role::Both, 9),
    ]);
    let mut placement = Placement::new(PlacementSettings::default());
    placement.plan(s(0), &targets, &upstreams);
    let changes = placement.plan(s(60), &targets, &upstreams);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].assignment, decode);
    assert!(changes[0].host.starts_with("a-Prefill"), "{changes:?}");
}

// Guards against a rollout of a version that takes too many upstreams out of service at once.
#[test]
fn rollout_keeps_the_minimum_and_the_demand() {
    let a = assignment("a", Role::Both);
    let targets = CapacityTargets::from([(a.clone(), target(3.0, 2, 2))]);
    let mut upstreams = fleet(&[("a", Role::Both, 4)]);
    let mut placement = Placement::new(PlacementSettings::default());
    for round in 0..4 {
        let changes = placement.plan(s(round), &targets, &upstreams);
        begin(&mut upstreams, &changes);
        assert_eq!(ready(&upstreams, &a), 3, "one at a time");
        finish(&mut upstreams);
    }
    assert!(upstreams.values().all(|p| p.version == 2));
}

// Guards against adapters that evict each other over a small difference in demand, and against an
// adapter with high demand that is never loaded.
#[test]
fn adapter_is_evicted_only_for_much_higher_demand() {
    let host = AdapterHost {
        loaded: BTreeSet::from(["x".to_owned()]),
        slots: 1,
    };
    let hosts = BTreeMap::from([("h".to_owned(), host)]);
    let demand = |y| BTreeMap::from([("x".to_owned(), 0.5), ("y".to_owned(), y)]);
    assert!(plan_adapters(&demand(0.6), &hosts, 4).is_empty());
    let changes = plan_adapters(&demand(0.9), &hosts, 4);
    let wanted = AdapterChange {
        host: "h".into(),
        load: "y".into(),
        evict: Some("x".into()),
    };
    assert_eq!(changes, vec![wanted]);
}

// Guards against a popular adapter that has a single copy while slots are empty.
#[test]
fn popular_adapter_gets_a_copy_per_unit_of_demand() {
    let host = || AdapterHost {
        loaded: BTreeSet::new(),
        slots: 2,
    };
    let hosts = BTreeMap::from([("h".to_owned(), host()), ("i".to_owned(), host())]);
    let demand = BTreeMap::from([("x".to_owned(), 1.7), ("y".to_owned(), 0.1)]);
    let changes = plan_adapters(&demand, &hosts, 10);
    let copies = |a: &str| changes.iter().filter(|c| c.load == a).count();
    assert_eq!((copies("x"), copies("y")), (2, 1));
    assert!(plan_adapters(&demand, &hosts, 1).len() == 1, "bounded");
}
