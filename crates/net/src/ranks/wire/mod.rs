//! Calls between the sidecars of a group.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use eelgrasshold_core::ranks::counts::Selections;
use eelgrasshold_core::ranks::{
    Expert, GroupEpoch, GroupMap, MapChange, MapVersion, Order, OrderResult, RankIndex, RankView,
    ReadScope,
};
use serde::{Deserialize, Serialize};

/// Calls that a sidecar answers.
#[tarpc::service]
pub(super) trait RankSidecar {
    /// Carries a call out at the sidecar's own rank, which the caller takes for `rank` of its group, and
    /// passes it on to `members`.
    async fn call(rank: RankIndex, call: Call, members: Vec<Member>) -> Reply;
}

/// The sidecar that makes a call.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Caller {
    pub(super) service: String,
    /// Group whose ranks it calls. An engine at a known address may have moved to another one.
    pub(super) group: String,
    /// Rank of the sidecar that leads or drives a rollout; `None` if the caller only looks for ranks or for
    /// evidence.
    pub(super) leader: Option<RankIndex>,
}

/// A call to any number of ranks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Call {
    pub(super) caller: Caller,
    pub(super) task: Task,
}

/// What a call asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum Task {
    Read(ReadScope),
    Execute(GroupEpoch, WireOrder),
}

impl Task {
    /// Whether the task holds or releases a pass.
    pub(super) fn changes_hold(&self) -> bool {
        let Self::Execute(_, WireOrder::Whole(order)) = self else {
            return false;
        };
        matches!(order, Order::Hold { .. } | Order::Go { .. })
    }
}

/// An order on its way between sidecars.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum WireOrder {
    /// [`Order::Prepare`], with the difference to the map of another version.
    PrepareChange {
        version: MapVersion,
        base: MapVersion,
        /// Encoded [`MapChange`].
        change: Vec<u8>,
    },
    /// An order in full.
    Whole(Order),
}

/// A rank that a call is passed on to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Member {
    pub(super) rank: RankIndex,
    pub(super) sidecar: SocketAddr,
}

/// Answers of the ranks that a call reached.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Reply {
    pub(super) ranks: Vec<(RankIndex, RankReply)>,
    /// Encoded sum of the ranks' [`Selections`]; empty if there are none.
    pub(super) selections: Vec<u8>,
}

/// Answer of one rank.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RankReply {
    View(RankView),
    /// The state, and the version of the map in use with the experts held, by set.
    Held(RankView, MapVersion, Vec<BTreeSet<Expert>>),
    Result(OrderResult),
    /// The sidecar does not know the map to which a change refers; nothing was ordered.
    UnknownBase,
}

impl WireOrder {
    /// Encodes an order, as a difference to the map `base` where that is possible.
    pub(super) fn encode(order: &Order, base: Option<&(MapVersion, Arc<GroupMap>)>) -> Self {
        let Order::Prepare { version, map } = order else {
            return Self::Whole(order.clone());
        };
        let change = base.and_then(|(base, from)| {
            let change = MapChange::between(from, map)?;
            Some((*base, postcard::to_allocvec(&change).ok()?))
        });
        match change {
            Some((base, change)) => Self::PrepareChange {
                version: *version,
                base,
                change,
            },
            None => Self::Whole(order.clone()),
        }
    }

    /// Decodes an order. `known` returns the content of a version; `None` if that is not known, or
    /// if the change does not fit it.
    pub(super) fn decode(
        self,
        known: impl FnOnce(MapVersion) -> Option<Arc<GroupMap>>,
    ) -> Option<Order> {
        match self {
            Self::Whole(order) => Some(order),
            Self::PrepareChange {
                version,
                base,
                change,
            } => {
                let change: MapChange = postcard::from_bytes(&change).ok()?;
                let map = Arc::new(change.apply(known(base)?.as_ref())?);
                Some(Order::Prepare { version, map })
            }
        }
    }
}

/// Answers of ranks, decoded. Selections are rounded once per hop, when they are encoded.
#[derive(Clone, Debug, Default)]
pub(super) struct Answers {
    pub(super) ranks: Vec<(RankIndex, RankReply)>,
    pub(super) selections: Selections,
}

impl Answers {
    /// Adds the answers of other ranks.
    pub(super) fn add(&mut self, mut reply: Reply) {
        self.ranks.append(&mut reply.ranks);
        self.selections.add(&reply.selections());
    }
}

impl From<Answers> for Reply {
    fn from(answers: Answers) -> Self {
        let mut reply = Self {
            ranks: answers.ranks,
            selections: Vec::new(),
        };
        reply.set_selections(&answers.selections);
        reply
    }
}

impl Reply {
    /// Sum of the selections; empty if none were reported or they are malformed.
    pub(super) fn selections(&self) -> Selections {
        if self.selections.is_empty() {
            return Selections::default();
        }
        match postcard::from_bytes::<(u32, Selections)>(&self.selections) {
            Ok((exponent, rounded)) => rounded.scaled(exponent),
            Err(error) => {
                log::warn!("can't decode a report of expert selections: {error}");
                Selections::default()
            }
        }
    }

    fn set_selections(&mut self, selections: &Selections) {
        self.selections.clear();
        if selections.is_empty() {
            return;
        }
        match postcard::to_allocvec(&selections.rounded()) {
            Ok(bytes) => self.selections = bytes,
            Err(error) => log::warn!("can't encode a report of expert selections: {error}"),
        }
    }
}

#[cfg(test)]
mod tests;
