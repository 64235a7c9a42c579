//! Planned changes of assignment and version.

use std::collections::BTreeMap;

use super::{
    Assignment, CapacityTarget, CapacityTargets, PlacementSettings, UpstreamChange, Upstreams,
};
use crate::types::{HostId, Now};

/// Placement of models on upstreams.
///
/// ```
/// use std::collections::BTreeMap;
/// use std::time::Duration;
/// use eelgrasshold_core::group::placement::{
///     Assignment, CapacityTarget, Placement, PlacementSettings, Role, UpstreamState,
/// };
///
/// let assignment = |role| Assignment { service: "drafts".into(), role };
/// let target = |upstreams| CapacityTarget { upstreams, min_ready: 1, version: 1 };
/// let targets = BTreeMap::from([
///     (assignment(Role::Prefill), target(0.5)),
///     (assignment(Role::Decode), target(2.5)),
/// ]);
/// let state = |role| UpstreamState {
///     assignment: assignment(role),
///     version: 1,
///     ready: true,
///     changing: false,
/// };
/// let upstreams = BTreeMap::from([
///     ("a".to_owned(), state(Role::Prefill)),
///     ("b".to_owned(), state(Role::Prefill)),
///     ("c".to_owned(), state(Role::Decode)),
/// ]);
/// let mut placement = Placement::new(PlacementSettings::default());
/// assert!(placement.plan(Duration::ZERO, &targets, &upstreams).is_empty());
/// let changes = placement.plan(Duration::from_secs(40), &targets, &upstreams);
/// assert_eq!(changes[0].assignment, assignment(Role::Decode));
/// ```
#[derive(Clone, Debug)]
pub struct Placement {
    settings: PlacementSettings,
    shortage_since: BTreeMap<Assignment, Now>,
}

/// Number of upstreams of an assignment.
#[derive(Clone, Copy, Debug, Default)]
struct ReadyCounts {
    ready: u32,
    /// Upstreams that are ready or have a change in progress.
    ready_or_changing: u32,
}

impl Placement {
    /// Creates a placement that knows of no shortages.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            shortage_since: BTreeMap::new(),
        }
    }

    /// Returns the changes that should start at `now`.
    pub fn plan(
        &mut self,
        now: Now,
        targets: &CapacityTargets,
        upstreams: &Upstreams,
    ) -> Vec<UpstreamChange> {
        let mut counts = count_ready(upstreams);
        self.update_shortages(now, targets, &counts);
        let changing = upstreams.values().filter(|u| u.changing).count();
        let max_changes = (upstreams.len() as f64 * self.settings.max_changing_share)
            .floor()
            .max(1.0) as usize;
        let mut remaining = max_changes.saturating_sub(changing);
        let mut changes: Vec<UpstreamChange> = Vec::new();
        for assignment in self.lasting_shortages(now, targets, &counts) {
            while remaining > 0 && shortage(&assignment, targets, &counts) > 0.0 {
                let Some(host) = self.donor(&assignment, targets, upstreams, &counts, &changes)
                else {
                    break;
                };
                let from = &upstreams[&host].assignment;
                let donor_counts = counts.entry(from.clone()).or_default();
                donor_counts.ready -= 1;
                donor_counts.ready_or_changing -= 1;
                counts
                    .entry(assignment.clone())
                    .or_default()
                    .ready_or_changing += 1;
                let version = targets[&assignment].version;
                changes.push(UpstreamChange {
                    host,
                    assignment: assignment.clone(),
                    version,
                });
                remaining -= 1;
            }
        }
        plan_version_changes(remaining, targets, upstreams, &mut counts, &mut changes);
        changes
    }

    fn update_shortages(
        &mut self,
        now: Now,
        targets: &CapacityTargets,
        counts: &BTreeMap<Assignment, ReadyCounts>,
    ) {
        for assignment in targets.keys() {
            if shortage(assignment, targets, counts) > 0.0 {
                self.shortage_since.entry(assignment.clone()).or_insert(now);
            } else {
                self.shortage_since.remove(assignment);
            }
        }
        self.shortage_since.retain(|a, _| targets.contains_key(a));
    }

    /// Assignments whose shortage has lasted, the largest first. An assignment below its minimum
    /// number of ready upstreams doesn't wait.
    fn lasting_shortages(
        &self,
        now: Now,
        targets: &CapacityTargets,
        counts: &BTreeMap<Assignment, ReadyCounts>,
    ) -> Vec<Assignment> {
        let lasting = |a: &Assignment, since: Now| {
            let below_minimum =
                counts.get(a).map_or(0, |c| c.ready_or_changing) < targets[a].min_ready;
            below_minimum || now.saturating_sub(since) >= self.settings.min_shortage_duration
        };
        let mut assignments: Vec<(f64, Assignment)> = self
            .shortage_since
            .iter()
            .filter(|(a, since)| lasting(a, **since))
            .map(|(a, _)| (shortage(a, targets, counts), a.clone()))
            .collect();
        assignments.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        assignments.into_iter().map(|(_, a)| a).collect()
    }

    /// Chooses an upstream that its assignment can spare: one of the same service first, then one
    /// of the assignment with the largest surplus.
    fn donor(
        &self,
        to: &Assignment,
        targets: &CapacityTargets,
        upstreams: &Upstreams,
        counts: &BTreeMap<Assignment, ReadyCounts>,
        changes: &[UpstreamChange],
    ) -> Option<HostId> {
        let already_changed = |host: &HostId| changes.iter().any(|c| c.host == *host);
        let candidates = upstreams.iter().filter(|(host, u)| {
            u.ready && !u.changing && u.assignment != *to && !already_changed(host)
        });
        let surplus = |assignment: &Assignment| {
            let count = counts.get(assignment).copied().unwrap_or_default();
            let target = targets.get(assignment);
            let min_ready = target.map_or(0, |t| t.min_ready);
            let required =
                target.map_or(0.0, |t| t.upstreams + self.settings.donor_margin_upstreams);
            let ready_after = f64::from(count.ready) - 1.0;
            (count.ready > min_ready && ready_after >= required).then_some(ready_after - required)
        };
        let ranked = candidates.filter_map(|(host, u)| {
            let same_service = u.assignment.service == to.service;
            surplus(&u.assignment).map(|s| (same_service, s, host))
        });
        let better = |a: &(bool, f64, &HostId), b: &(bool, f64, &HostId)| {
            a.0.cmp(&b.0)
                .then(a.1.total_cmp(&b.1))
                .then_with(|| b.2.cmp(a.2))
        };
        ranked.max_by(better).map(|(_, _, host)| host.clone())
    }
}

fn count_ready(upstreams: &Upstreams) -> BTreeMap<Assignment, ReadyCounts> {
    let mut counts: BTreeMap<Assignment, ReadyCounts> = BTreeMap::new();
    for state in upstreams.values() {
        let count = counts.entry(state.assignment.clone()).or_default();
        count.ready += u32::from(state.ready);
        count.ready_or_changing += u32::from(state.ready || state.changing);
    }
    counts
}

/// Number of upstreams that an assignment lacks for its demand and its minimum; 0 or negative if it
/// has enough.
fn shortage(
    assignment: &Assignment,
    targets: &CapacityTargets,
    counts: &BTreeMap<Assignment, ReadyCounts>,
) -> f64 {
    let Some(CapacityTarget {
        upstreams,
        min_ready,
        ..
    }) = targets.get(assignment)
    else {
        return 0.0;
    };
    let ready_or_changing = counts.get(assignment).map_or(0, |c| c.ready_or_changing);
    upstreams.max(f64::from(*min_ready)) - f64::from(ready_or_changing)
}

/// Makes upstreams with an old version load the new one, while their assignment keeps its minimum
/// and its demand covered.
fn plan_version_changes(
    mut remaining: usize,
    targets: &CapacityTargets,
    upstreams: &Upstreams,
    counts: &mut BTreeMap<Assignment, ReadyCounts>,
    changes: &mut Vec<UpstreamChange>,
) {
    for (host, state) in upstreams {
        let Some(target) = targets.get(&state.assignment) else {
            continue;
        };
        let count = counts.entry(state.assignment.clone()).or_default();
        let idle = state.ready && !state.changing;
        let can_spare =
            count.ready > target.min_ready && f64::from(count.ready) - 1.0 >= target.upstreams;
        let already_changed = changes.iter().any(|c| c.host == *host);
        if remaining == 0
            || !idle
            || !can_spare
            || already_changed
            || state.version == target.version
        {
            continue;
        }
        count.ready -= 1;
        remaining -= 1;
        changes.push(UpstreamChange {
            host: host.clone(),
            assignment: state.assignment.clone(),
            version: target.version,
        });
    }
}
