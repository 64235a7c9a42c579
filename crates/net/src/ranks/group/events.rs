//! Events of a group for the timeline.

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::ranks::{
    LeaderEvent, Order, OrderResult, RankIndex, RankOrder, RolloutOutcome, order_name,
};

use super::Group;

impl Group {
    /// Records the result of an order. Accepted prepare and arm orders are not recorded: the end of
    /// the rollout shows whether the ranks loaded and armed in time, and an event for each rank
    /// would cost the leader of a large group more than planning does.
    pub(super) fn record_order(&self, order: &RankOrder, result: OrderResult) {
        let routine = matches!(order.order, Order::Prepare { .. } | Order::Arm { .. });
        if routine && result == OrderResult::Accepted {
            return;
        }
        let event = Event::new(EventKind::RankOrdered, "")
            .with("order", order_name(&order.order))
            .with("rank", order.rank)
            .with("epoch", order.epoch)
            .with("result", result.name());
        self.record(event);
    }

    /// Records that the sidecar of `child` did not answer for itself and `members` others.
    pub(super) fn record_silence(&self, child: RankIndex, members: usize) {
        let event = Event::new(EventKind::BranchSilent, "")
            .with("rank", child)
            .with("members", members);
        self.record(event);
    }

    pub(super) fn record(&self, event: Event) {
        let group = self.local.view().map(|v| v.group);
        self.timeline.record(match group {
            Some(group) => event.about_group(group),
            None => event,
        });
    }

    pub(super) fn record_event(&self, event: &LeaderEvent) {
        let percent = |x: f64| (x * 100.0).round() as u64;
        let event = match *event {
            LeaderEvent::LeadershipChanged(true) => Event::new(EventKind::GroupLed, ""),
            LeaderEvent::LeadershipChanged(false) => Event::new(EventKind::GroupNotLed, ""),
            LeaderEvent::Planned {
                version,
                before,
                after,
                loads,
            } => Event::new(EventKind::PlanMade, "")
                .with("version", version)
                .with("most_loaded_before_percent", percent(before))
                .with("most_loaded_after_percent", percent(after))
                .with("loads", loads),
            LeaderEvent::RolloutTakenOver { holder, pass } => {
                Event::new(EventKind::RolloutTakenOver, "")
                    .with("holder", holder)
                    .with("pass", pass)
            }
            LeaderEvent::RolloutEnded {
                version,
                pass,
                outcome,
            } => {
                let kind = match outcome {
                    RolloutOutcome::Switched => EventKind::MapSwitched,
                    _ => EventKind::PlanGivenUp,
                };
                Event::new(kind, "")
                    .with("version", version)
                    .with("pass", pass)
                    .with("outcome", outcome.name())
            }
        };
        self.record(event);
    }
}
