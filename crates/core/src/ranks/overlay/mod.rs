//! Distribution of calls to the ranks of a group along a tree of sidecars.
//!
//! A call to all ranks costs the caller's link one message per branch instead of one per rank. The
//! tree is described by each call itself: a branch lists its members, and the sidecar that receives
//! a branch calls its own engine and splits the rest again. Sidecars therefore keep no state of a
//! tree that could be out of date, and two leaders use two trees without knowing of each other.

use std::collections::BTreeMap;

/// Part of a call's members that one sidecar takes over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch<T> {
    /// Member that receives the call.
    pub child: T,
    /// Members that it passes the call on to.
    pub members: Vec<T>,
}

/// Splits members into at most `fanout` branches of nearly equal size, in order.
#[must_use]
pub fn split<T>(members: Vec<T>, fanout: usize) -> Vec<Branch<T>> {
    let branches = fanout.clamp(1, members.len().max(1));
    let (each, larger) = (members.len() / branches, members.len() % branches);
    let mut members = members.into_iter();
    let mut split = Vec::with_capacity(branches);
    for branch in 0..branches {
        let size = each + usize::from(branch < larger);
        let Some(child) = members.next() else {
            break;
        };
        let members = members.by_ref().take(size.saturating_sub(1)).collect();
        split.push(Branch { child, members });
    }
    split
}

/// Splits members at the root of a tree: no branch spans two places, so that a call crosses to
/// another data centre once per branch. Members that `is_suspect` get a branch of their own, since
/// a call that waits for one of them would delay the rest of its branch.
#[must_use]
pub fn split_by_place<T, P: Ord>(
    members: Vec<T>,
    fanout: usize,
    place: impl Fn(&T) -> P,
    is_suspect: impl Fn(&T) -> bool,
) -> Vec<Branch<T>> {
    let (suspects, sound): (Vec<T>, Vec<T>) = members.into_iter().partition(is_suspect);
    let mut by_place: BTreeMap<P, Vec<T>> = BTreeMap::new();
    for member in sound {
        by_place.entry(place(&member)).or_default().push(member);
    }
    let per_place = fanout.div_ceil(by_place.len().max(1));
    let mut branches: Vec<Branch<T>> = by_place
        .into_values()
        .flat_map(|members| split(members, per_place))
        .collect();
    branches.extend(suspects.into_iter().map(|child| Branch {
        child,
        members: Vec::new(),
    }));
    branches
}
