//! Changes of duty and version.

use std::collections::BTreeMap;

use super::{Change, Duty, Need, Needs, PlacementSettings, Upstreams};
use crate::types::{HostId, Now};

/// Placement of models on upstreams.
///
/// ```
/// use std::collections::BTreeMap;
/// use std::time::Duration;
/// use eelgrasshold_core::group::placement::{
///     Duty, Need, Placement, PlacementSettings, Present, Role,
/// };
///
/// let duty = |role| Duty { service: "drafts".into(), role };
/// let need = |upstreams| Need { upstreams, floor: 1, version: 1 };
/// let needs = BTreeMap::from([
///     (duty(Role::Prefill), need(0.5)),
///     (duty(Role::Decode), need(2.5)),
/// ]);
/// let present = |role| Present { duty: duty(role), version: 1, ready: true, changing: false };
/// let upstreams = BTreeMap::from([
///     ("a".to_owned(), present(Role::Prefill)),
///     ("b".to_owned(), present(Role::Prefill)),
///     ("c".to_owned(), present(Role::Decode)),
/// ]);
/// let mut placement = Placement::new(PlacementSettings::default());
/// assert!(placement.plan(Duration::ZERO, &needs, &upstreams).is_empty());
/// let changes = placement.plan(Duration::from_secs(40), &needs, &upstreams);
/// assert_eq!(changes[0].duty, duty(Role::Decode));
/// ```
#[derive(Clone, Debug)]
pub struct Placement {
    settings: PlacementSettings,
    lacking_since: BTreeMap<Duty, Now>,
}

/// Upstreams of a duty.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    ready: u32,
    /// Ready or on their way to it.
    coming: u32,
}

impl Placement {
    /// A placement that has seen no lack.
    #[must_use]
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            lacking_since: BTreeMap::new(),
        }
    }

    /// Changes that shall begin now.
    pub fn plan(&mut self, now: Now, needs: &Needs, upstreams: &Upstreams) -> Vec<Change> {
        let mut tallies = tally(upstreams);
        self.note_lacks(now, needs, &tallies);
        let changing = upstreams.values().filter(|p| p.changing).count();
        let most = (upstreams.len() as f64 * self.settings.churn)
            .floor()
            .max(1.0) as usize;
        let mut left = most.saturating_sub(changing);
        let mut changes: Vec<Change> = Vec::new();
        for duty in self.lasting_lacks(now, needs, &tallies) {
            while left > 0 && lack(&duty, needs, &tallies) > 0.0 {
                let Some(host) = self.donor(&duty, needs, upstreams, &tallies, &changes) else {
                    break;
                };
                let from = &upstreams[&host].duty;
                let giver = tallies.entry(from.clone()).or_default();
                giver.ready -= 1;
                giver.coming -= 1;
                tallies.entry(duty.clone()).or_default().coming += 1;
                let version = needs[&duty].version;
                changes.push(Change {
                    host,
                    duty: duty.clone(),
                    version,
                });
                left -= 1;
            }
        }
        versions(left, needs, upstreams, &mut tallies, &mut changes);
        changes
    }

    fn note_lacks(&mut self, now: Now, needs: &Needs, tallies: &BTreeMap<Duty, Tally>) {
        for duty in needs.keys() {
            if lack(duty, needs, tallies) > 0.0 {
                self.lacking_since.entry(duty.clone()).or_insert(now);
            } else {
                self.lacking_since.remove(duty);
            }
        }
        self.lacking_since.retain(|d, _| needs.contains_key(d));
    }

    /// Duties whose lack has lasted, the largest first. Below its floor a duty doesn't wait.
    fn lasting_lacks(&self, now: Now, needs: &Needs, tallies: &BTreeMap<Duty, Tally>) -> Vec<Duty> {
        let lasting = |d: &Duty, since: Now| {
            let below = tallies.get(d).map_or(0, |t| t.coming) < needs[d].floor;
            below || now.saturating_sub(since) >= self.settings.hold
        };
        let mut duties: Vec<(f64, Duty)> = self
            .lacking_since
            .iter()
            .filter(|(d, since)| lasting(d, **since))
            .map(|(d, _)| (lack(d, needs, tallies), d.clone()))
            .collect();
        duties.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        duties.into_iter().map(|(_, d)| d).collect()
    }

    /// An upstream that its duty can spare: of the same service first, then of the duty
    /// with the most to spare.
    fn donor(
        &self,
        to: &Duty,
        needs: &Needs,
        upstreams: &Upstreams,
        tallies: &BTreeMap<Duty, Tally>,
        changes: &[Change],
    ) -> Option<HostId> {
        let taken = |host: &HostId| changes.iter().any(|c| c.host == *host);
        let candidates = upstreams
            .iter()
            .filter(|(host, p)| p.ready && !p.changing && p.duty != *to && !taken(host));
        let spare = |duty: &Duty| {
            let tally = tallies.get(duty).copied().unwrap_or_default();
            let need = needs.get(duty);
            let floor = need.map_or(0, |n| n.floor);
            let wanted = need.map_or(0.0, |n| n.upstreams + self.settings.margin);
            let left = f64::from(tally.ready) - 1.0;
            (tally.ready > floor && left >= wanted).then_some(left - wanted)
        };
        let ranked = candidates.filter_map(|(host, p)| {
            let same = p.duty.service == to.service;
            spare(&p.duty).map(|s| (same, s, host))
        });
        let better = |a: &(bool, f64, &HostId), b: &(bool, f64, &HostId)| {
            a.0.cmp(&b.0)
                .then(a.1.total_cmp(&b.1))
                .then_with(|| b.2.cmp(a.2))
        };
        ranked.max_by(better).map(|(_, _, host)| host.clone())
    }
}

fn tally(upstreams: &Upstreams) -> BTreeMap<Duty, Tally> {
    let mut tallies: BTreeMap<Duty, Tally> = BTreeMap::new();
    for present in upstreams.values() {
        let tally = tallies.entry(present.duty.clone()).or_default();
        tally.ready += u32::from(present.ready);
        tally.coming += u32::from(present.ready || present.changing);
    }
    tallies
}

/// Upstreams' worth that a duty lacks, also to its floor; not above 0 if it has enough.
fn lack(duty: &Duty, needs: &Needs, tallies: &BTreeMap<Duty, Tally>) -> f64 {
    let Some(Need {
        upstreams, floor, ..
    }) = needs.get(duty)
    else {
        return 0.0;
    };
    let coming = tallies.get(duty).map_or(0, |t| t.coming);
    upstreams.max(f64::from(*floor)) - f64::from(coming)
}

/// Upstreams with an old version load the new one, while their duty keeps its floor and need.
fn versions(
    mut left: usize,
    needs: &Needs,
    upstreams: &Upstreams,
    tallies: &mut BTreeMap<Duty, Tally>,
    changes: &mut Vec<Change>,
) {
    for (host, present) in upstreams {
        let Some(need) = needs.get(&present.duty) else {
            continue;
        };
        let tally = tallies.entry(present.duty.clone()).or_default();
        let idle = present.ready && !present.changing;
        let enough = tally.ready > need.floor && f64::from(tally.ready) - 1.0 >= need.upstreams;
        let taken = changes.iter().any(|c| c.host == *host);
        if left == 0 || !idle || !enough || taken || present.version == need.version {
            continue;
        }
        tally.ready -= 1;
        left -= 1;
        changes.push(Change {
            host: host.clone(),
            duty: present.duty.clone(),
            version: need.version,
        });
    }
}
