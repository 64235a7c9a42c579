use std::collections::BTreeMap;
use std::time::Duration;

use super::*;
use crate::group::map::LayerMap;

const NOW: Duration = Duration::from_secs(1);

fn settings(rank: RankId, incarnation: u64, checks: bool) -> RankSettings {
    RankSettings {
        group: "drafts".into(),
        rank,
        ranks: 3,
        incarnation,
        engine_checks_fence: checks,
        initial_map: ExpertMap::initial(3, 1, 3),
        retry_every: Duration::from_millis(250),
    }
}

fn attempt(fence: u64) -> Attempt {
    Attempt { fence, sequence: 1 }
}

fn new_map(fence: u64) -> (MapId, MapChange) {
    let mut layer = LayerMap::in_blocks(3, 3);
    layer.ranks.swap(0, 2);
    let id = MapId {
        version: 1,
        attempt: attempt(fence),
    };
    let layers = BTreeMap::from([(0, layer)]);
    (id, MapChange { layers })
}

fn armed(fence: u64, committed: bool) -> Armed {
    let (id, change) = new_map(fence);
    Armed {
        id,
        step: 50,
        change,
        committed,
    }
}

fn engine_state(armed: Option<Armed>) -> EngineState {
    EngineState {
        map: Some(ExpertMap::initial(3, 1, 3)),
        step: 10,
        armed,
        loaded: (0..3).map(|e| (0, e)).collect(),
        ..EngineState::default()
    }
}

fn from(rank: RankId, incarnation: u64, message: Message) -> Input {
    let from = Sender { rank, incarnation };
    Input::Message(Envelope { from, message })
}

fn rank_state(map: Option<ExpertMap>, armed: Option<Armed>) -> RankState {
    RankState {
        map: map.as_ref().map(|m| m.id),
        content: map,
        armed,
        closed_up_to: Attempt::default(),
        fence: 0,
    }
}

fn answer(view: &[u64], about: Option<Attempt>, outcome: Outcome, state: RankState) -> Message {
    Message::Answer {
        attempt: about,
        outcome,
        view: view.to_vec(),
        state,
    }
}

fn settled() -> RankState {
    rank_state(Some(ExpertMap::initial(3, 1, 3)), None)
}

/// A rank whose process started with this engine state and has answers from the other ranks.
fn started(state: EngineState) -> GroupRank {
    let mut rank = GroupRank::new(settings(0, 1, true));
    rank.handle(NOW, Input::Start);
    rank.handle(NOW, Input::Engine(EngineEvent::State(state)));
    for other in [1, 2] {
        let contact = answer(&[1, 1, 1], None, Outcome::Undecided, settled());
        rank.handle(NOW, from(other, 1, contact));
    }
    rank
}

fn prepare(fence: u64) -> Message {
    let (id, change) = new_map(fence);
    Message::Prepare {
        id,
        base: MapId::default(),
        change,
    }
}

/// A rank that acknowledged the switch at step 50 to the planner at rank 1.
fn acknowledged() -> GroupRank {
    let mut rank = started(engine_state(None));
    rank.handle(NOW, from(1, 1, prepare(1)));
    let state = engine_state(None);
    rank.handle(NOW, Input::Engine(EngineEvent::State(state)));
    let propose = Message::Propose {
        attempt: attempt(1),
        step: 50,
    };
    rank.handle(NOW, from(1, 1, propose));
    let out = rank.handle(NOW, Input::Engine(EngineEvent::Armed(attempt(1))));
    assert!(sent(&out).any(|(to, m)| to == 1 && matches!(m, Message::Acked { .. })));
    rank
}

fn sent(out: &[Output]) -> impl Iterator<Item = (RankId, &Message)> {
    out.iter().filter_map(|o| match o {
        Output::Send { to, envelope } => Some((*to, &envelope.message)),
        _ => None,
    })
}

fn orders(out: &[Output]) -> Vec<&Action> {
    let action = |o| match o {
        &Output::Engine(Order { ref action, .. }) => Some(action),
        _ => None,
    };
    out.iter().filter_map(action).collect()
}

fn commit(view: &[u64]) -> Message {
    Message::Commit {
        attempt: attempt(1),
        step: 50,
        view: view.to_vec(),
    }
}

fn ask(view: &[u64]) -> Message {
    Message::Ask {
        attempt: Some(attempt(1)),
        view: view.to_vec(),
        want_map: false,
    }
}

// Guards against a switch that holds a step although the decision arrived in time.
#[test]
fn commit_before_the_step_reaches_the_engine() {
    let mut rank = acknowledged();
    let out = rank.handle(NOW, from(1, 1, commit(&[1, 1, 1])));
    assert_eq!(orders(&out), vec![&Action::Commit(attempt(1))]);
}

// Guards against a rank that commits on the planner's message after it pledged to abort.
#[test]
fn pledge_outweighs_a_later_commit_of_the_planner() {
    let mut rank = acknowledged();
    let out = rank.handle(NOW, from(2, 1, ask(&[1, 1, 1])));
    let pledged = |m: &Message| {
        matches!(
            m,
            Message::Answer {
                outcome: Outcome::Pledged,
                ..
            }
        )
    };
    assert!(sent(&out).any(|(to, m)| to == 2 && pledged(m)));
    let out = rank.handle(NOW, from(1, 1, commit(&[1, 1, 1])));
    assert!(orders(&out).is_empty());
}

// Guards against an abort before every rank has pledged.
#[test]
fn held_step_is_released_when_all_ranks_pledged() {
    let mut rank = acknowledged();
    let out = rank.handle(NOW, Input::Engine(EngineEvent::Held(attempt(1))));
    let asked = sent(&out).filter(|(_, m)| matches!(m, Message::Ask { .. }));
    assert_eq!(asked.count(), 2);
    let pledge = || answer(&[1, 1, 1], Some(attempt(1)), Outcome::Pledged, settled());
    let out = rank.handle(NOW, from(1, 1, pledge()));
    assert!(orders(&out).is_empty());
    let out = rank.handle(NOW, from(1, 1, pledge()));
    assert!(orders(&out).is_empty(), "a duplicate is not another rank");
    let out = rank.handle(NOW, from(2, 1, pledge()));
    assert_eq!(orders(&out), vec![&Action::Abort(attempt(1))]);
}

// Guards against a step that stays held although a rank knows of the commit.
#[test]
fn held_step_is_committed_when_a_rank_reports_the_commit() {
    let mut rank = acknowledged();
    rank.handle(NOW, Input::Engine(EngineEvent::Held(attempt(1))));
    let state = rank_state(Some(ExpertMap::initial(3, 1, 3)), Some(armed(1, true)));
    let message = answer(&[1, 1, 1], Some(attempt(1)), Outcome::Committed, state);
    let out = rank.handle(NOW, from(2, 1, message));
    assert_eq!(orders(&out), vec![&Action::Commit(attempt(1))]);
}

// Guards against a commit that is based on an acknowledgement of a replaced process.
#[test]
fn commit_with_an_outdated_view_is_not_applied() {
    let mut rank = acknowledged();
    let contact = Message::Ask {
        attempt: None,
        view: vec![1, 1, 2],
        want_map: true,
    };
    rank.handle(NOW, from(2, 2, contact));
    let out = rank.handle(NOW, from(1, 1, commit(&[1, 1, 1])));
    assert!(orders(&out).is_empty());
}

// Guards against counting pledges that were given before a rank's new incarnation was known.
#[test]
fn pledges_of_different_views_are_not_added_up() {
    let mut rank = acknowledged();
    rank.handle(NOW, Input::Engine(EngineEvent::Held(attempt(1))));
    let pledge = |view: &[u64]| answer(view, Some(attempt(1)), Outcome::Pledged, settled());
    rank.handle(NOW, from(1, 1, pledge(&[1, 1, 1])));
    let out = rank.handle(NOW, from(2, 2, pledge(&[1, 1, 2])));
    assert!(orders(&out).is_empty());
    let out = rank.handle(NOW, from(1, 1, pledge(&[1, 1, 2])));
    assert_eq!(orders(&out), vec![&Action::Abort(attempt(1))]);
}

// Guards against a restarted process that forgot its pledge and commits on the planner's message.
#[test]
fn restarted_process_of_an_armed_engine_asks_the_other_ranks() {
    let mut rank = started(engine_state(Some(armed(1, false))));
    let out = rank.handle(NOW, from(1, 1, commit(&[1, 1, 1])));
    assert!(orders(&out).is_empty());
    let pledge = || answer(&[1, 1, 1], Some(attempt(1)), Outcome::Pledged, settled());
    rank.handle(NOW, from(1, 1, pledge()));
    let out = rank.handle(NOW, from(2, 1, pledge()));
    assert_eq!(orders(&out), vec![&Action::Abort(attempt(1))]);
}

// Guards against a restarted process that accepts an attempt which its earlier incarnation pledged
// against; the rank that asked for the pledge reports the attempt.
#[test]
fn restarted_process_refuses_attempts_that_others_know() {
    let mut rank = GroupRank::new(settings(0, 2, true));
    rank.handle(NOW, Input::Start);
    let state = engine_state(None);
    rank.handle(NOW, Input::Engine(EngineEvent::State(state)));
    let out = rank.handle(NOW, from(1, 1, prepare(1)));
    let refused = |out: &[Output], why: fn(&RefusalReason) -> bool| {
        sent(out).any(|(_, m)| matches!(m, Message::Refused { reason, .. } if why(reason)))
    };
    assert!(refused(&out, |r| *r == RefusalReason::Starting));
    let mut known = settled();
    known.closed_up_to = attempt(1);
    rank.handle(
        NOW,
        from(1, 1, answer(&[2, 1, 1], None, Outcome::Undecided, known)),
    );
    let contact = answer(&[2, 1, 1], None, Outcome::Undecided, settled());
    rank.handle(NOW, from(2, 1, contact));
    let out = rank.handle(NOW, from(1, 1, prepare(1)));
    assert!(refused(&out, |r| matches!(r, RefusalReason::Superseded(_))));
}

// Guards against orders to an engine that ignores numbers before its process knows the highest.
#[test]
fn fence_number_is_read_first_for_an_engine_that_ignores_it() {
    let mut rank = GroupRank::new(settings(0, 1, false));
    let out = rank.handle(NOW, Input::Start);
    let call = out.iter().find_map(|o| match o {
        Output::Platform(id, _) => Some(*id),
        _ => None,
    });
    let state = engine_state(None);
    rank.handle(NOW, Input::Engine(EngineEvent::State(state)));
    for other in [1, 2] {
        let contact = answer(&[1, 1, 1], None, Outcome::Undecided, settled());
        rank.handle(NOW, from(other, 1, contact));
    }
    let out = rank.handle(NOW, from(1, 1, prepare(3)));
    assert!(!out.iter().any(|o| matches!(o, Output::ReadEngine)));
    let reply = Reply::Object {
        version: 1,
        value: br#"{"holder":"a","incarnation":1,"number":3,"write":1,"duration_ms":1}"#.to_vec(),
    };
    rank.handle(NOW, Input::Platform(call.expect("a read"), reply));
    let out = rank.handle(NOW, from(1, 1, prepare(3)));
    assert!(out.iter().any(|o| matches!(o, Output::ReadEngine)));
}

/// A rank with a new engine; `view` holds the incarnations of the ranks.
fn joining(view: &[u64]) -> GroupRank {
    let mut rank = GroupRank::new(settings(0, view[0], true));
    rank.handle(NOW, Input::Start);
    let empty = EngineState::default();
    rank.handle(NOW, Input::Engine(EngineEvent::State(empty)));
    rank
}

// Guards against a joining rank that installs a map whose only source was replaced meanwhile, while
// the replaced rank falls back to the initial map.
#[test]
fn joining_rank_chooses_again_when_another_rank_is_replaced() {
    let mut rank = joining(&[2, 1, 1]);
    let map = ExpertMap::initial(3, 1, 3).with_change(armed(1, true).id, &armed(1, true).change);
    for other in [1, 2] {
        let state = rank_state(Some(map.clone()), None);
        let message = answer(&[2, 1, 1], None, Outcome::Undecided, state);
        rank.handle(NOW, from(other, 1, message));
    }
    let contact = Message::Ask {
        attempt: None,
        view: vec![2, 1, 2],
        want_map: false,
    };
    rank.handle(NOW, from(2, 2, contact));
    for weight in map.weights(0) {
        let out = rank.handle(NOW, Input::Engine(EngineEvent::Loaded(weight)));
        assert!(orders(&out).is_empty(), "installed {weight:?}");
    }
}

// Guards against a rank that doesn't report the committed next map while it is installing, so that
// another new rank installs the present map only.
#[test]
fn installing_rank_reports_the_committed_map() {
    let mut rank = joining(&[2, 1, 1]);
    for other in [1, 2] {
        let map = Some(ExpertMap::initial(3, 1, 3));
        let state = rank_state(map, Some(armed(1, true)));
        let message = answer(&[2, 1, 1], None, Outcome::Undecided, state);
        rank.handle(NOW, from(other, 1, message));
    }
    let mut out = Vec::new();
    for weight in [(0, 0), (0, 1), (0, 2)] {
        out.extend(rank.handle(NOW, Input::Engine(EngineEvent::Loaded(weight))));
    }
    assert!(matches!(orders(&out)[..], [Action::Install { .. }]));
    let contact = Message::Ask {
        attempt: None,
        view: vec![2, 1, 2],
        want_map: false,
    };
    let out = rank.handle(NOW, from(2, 2, contact));
    let reported = sent(&out).any(|(_, m)| match m {
        Message::Answer { state, .. } => state.armed.as_ref().is_some_and(|a| a.committed),
        _ => false,
    });
    assert!(reported);
}

// Guards against using an engine state that was requested before weights were dropped, so that a
// map is acknowledged without its weights.
#[test]
fn state_requested_before_a_trim_is_not_used() {
    let mut rank = started(engine_state(None));
    rank.handle(NOW, from(1, 1, prepare(1)));
    let abort = Message::Abort {
        attempt: attempt(1),
    };
    let out = rank.handle(NOW, from(1, 1, abort));
    assert_eq!(orders(&out), vec![&Action::Trim]);
    rank.handle(NOW, from(1, 1, prepare(2)));
    let ready = |out: &[Output]| sent(out).any(|(_, m)| matches!(m, Message::Ready { .. }));
    let old = EngineEvent::State(engine_state(None));
    assert!(!ready(&rank.handle(NOW, Input::Engine(old))));
    let mut trimmed = engine_state(None);
    trimmed.loaded = [(0, 0)].into();
    let out = rank.handle(NOW, Input::Engine(EngineEvent::State(trimmed)));
    assert!(!ready(&out));
    assert!(out.iter().any(|o| matches!(o, Output::RequestLoad { .. })));
}

// Guards against a rank that keeps a late attempt forever: the planner only repeats the result of
// its latest attempt, and waits for the rank to settle.
#[test]
fn end_of_a_later_attempt_ends_a_prepared_one() {
    let mut rank = started(engine_state(None));
    rank.handle(NOW, from(1, 1, prepare(1)));
    let later = Attempt {
        fence: 1,
        sequence: 2,
    };
    let out = rank.handle(NOW, from(1, 1, Message::Abort { attempt: later }));
    assert_eq!(orders(&out), vec![&Action::Trim]);
    assert!(rank.is_settled());
}
