//! Search for the other ranks of a group.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eelgrasshold_core::event::{Event, EventKind};
use eelgrasshold_core::ranks::{RankIndex, RankView, ReadScope};
use eelgrasshold_core::types::{DataCentreId, Now};
use futures::StreamExt;

use super::{Group, KnownRank};
use crate::ranks::lock;
use crate::ranks::remote::RemoteRank;
use crate::ranks::wire::RankReply;

/// Interval between searches for ranks of the group.
const SEARCH_INTERVAL: Duration = Duration::from_millis(2_500);
/// The same after the start, when the group may wait for its first plan.
const START_SEARCH_INTERVAL: Duration = Duration::from_millis(350);
/// Time after the start in which searches follow each other sooner.
const START_TIME: Duration = Duration::from_secs(4);
/// Time without an answer after which a rank is searched for again, since it may have moved to
/// another engine.
const SILENCE_LIMIT: Duration = Duration::from_secs(4);
/// Highest rank whose sidecar searches for the other ranks before it leads, since the group may be
/// holding a pass when it takes over.
const MAX_STANDBY_RANK: RankIndex = 2;
/// Engines that are asked at a time; each answers over a connection of its own.
const MAX_CONCURRENT_SEARCHES: usize = 24;

/// An engine of the service, which may be a rank of the local group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::ranks) struct Candidate {
    pub(in crate::ranks) engine: SocketAddr,
    pub(in crate::ranks) sidecar: SocketAddr,
    pub(in crate::ranks) data_centre: DataCentreId,
}

impl Group {
    /// Searches for ranks of the group among the engines of the service while some are unknown or
    /// unresponsive; never returns. `list` reads the registry.
    pub(in crate::ranks) async fn search<F, R>(self: Arc<Self>, list: F)
    where
        F: Fn() -> R + Send,
        R: Future<Output = Vec<Candidate>> + Send,
    {
        let started = Instant::now();
        loop {
            let pause = if started.elapsed() < START_TIME {
                START_SEARCH_INTERVAL
            } else {
                SEARCH_INTERVAL
            };
            tokio::time::sleep(pause.mul_f64(rand::random_range(0.7..1.3))).await;
            if let Some(local_view) = self.view_if_incomplete() {
                self.search_once(&local_view, list().await).await;
            }
        }
    }

    /// The local rank's state if ranks are unknown and the sidecar leads or may soon take over.
    fn view_if_incomplete(&self) -> Option<RankView> {
        let local_view = self.local.view()?;
        let leads = lock(&self.leader).leads();
        if !leads && local_view.rank > MAX_STANDBY_RANK {
            return None;
        }
        let now = self.clock.now();
        let mut ranks = lock(&self.ranks);
        for known in ranks.values_mut().filter(|_| !leads) {
            // Only a leader reads the other ranks, so missing answers mean nothing here.
            known.last_answer_at = now;
        }
        ranks.retain(|_, k| now.saturating_sub(k.last_answer_at) < SILENCE_LIMIT);
        (ranks.len() + 1 < local_view.size).then_some(local_view)
    }

    async fn search_once(&self, local_view: &RankView, candidates: Vec<Candidate>) {
        let mut known: BTreeSet<SocketAddr> = BTreeSet::from([self.local_sidecar]);
        known.extend(lock(&self.ranks).values().map(|k| k.remote.sidecar()));
        let others = candidates
            .into_iter()
            .filter(|c| !known.contains(&c.sidecar));
        let caller = &self.caller(&local_view.group, None);
        let reads = others.map(|candidate| async move {
            let links = Arc::clone(&self.links);
            let remote = RemoteRank::new(candidate.engine, candidate.sidecar, self.experts, links);
            // The rank is not known yet; the state that is read has it.
            let reading = remote.read(caller, RankIndex::MAX, ReadScope::View).await?;
            match reading.reply {
                RankReply::View(view) => Some((view, remote, candidate.data_centre)),
                _ => None,
            }
        });
        let found: Vec<_> = futures::stream::iter(reads)
            .buffer_unordered(MAX_CONCURRENT_SEARCHES)
            .collect()
            .await;
        let now = self.clock.now();
        let mut ranks = lock(&self.ranks);
        for (view, remote, data_centre) in found.into_iter().flatten() {
            if view.group == local_view.group && !ranks.contains_key(&view.rank) {
                let remote = Arc::new(remote);
                let known = KnownRank {
                    remote,
                    data_centre,
                    last_answer_at: now,
                    suspect_until: Now::ZERO,
                };
                ranks.insert(view.rank, known);
            }
        }
        let event = Event::new(EventKind::RanksFound, "")
            .with("known", ranks.len() + 1)
            .with("size", local_view.size);
        self.record(event);
    }
}
