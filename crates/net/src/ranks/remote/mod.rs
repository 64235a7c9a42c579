//! Calls to one rank of the group, past its sidecar if that does not answer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eelgrasshold_core::ranks::{OrderResult, RankIndex, RankOrder, ReadScope};

use super::engine::{Engine, RankReading};
use super::lock;
use super::overlay::{CallError, Links};
use super::wire::{Call, Caller, Member, RankReply, Reply, Task, WireOrder};

/// Time limit of a call: the other sidecar's call to its engine and a round trip.
const CALL_TIMEOUT: Duration = Duration::from_millis(220);
/// Time for which an unresponsive sidecar is bypassed and its engine called directly, since the
/// group may be holding a pass until the rank is read.
const BYPASS_TIME: Duration = Duration::from_secs(1);
/// Time without any answer after which a sidecar counts as unresponsive. Single calls also time out
/// while a link is busy.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// Another rank of the group.
#[derive(Debug)]
pub(super) struct RemoteRank {
    address: SocketAddr,
    engine: Engine,
    links: Arc<Links>,
    responsiveness: Mutex<Responsiveness>,
}

/// When a sidecar last answered, and until when it is bypassed.
#[derive(Debug)]
struct Responsiveness {
    last_answer_at: Instant,
    bypassed_until: Option<Instant>,
}

impl Responsiveness {
    fn new(now: Instant) -> Self {
        Self {
            last_answer_at: now,
            bypassed_until: None,
        }
    }

    fn record_answer(&mut self, now: Instant) {
        self.last_answer_at = now;
    }

    fn record_failure(&mut self, now: Instant) {
        if now.duration_since(self.last_answer_at) >= UNRESPONSIVE_AFTER {
            self.bypassed_until = Some(now + BYPASS_TIME);
        }
    }

    fn is_bypassed(&self, now: Instant) -> bool {
        self.bypassed_until.is_some_and(|until| now < until)
    }
}

/// Answer to a read, and where it comes from.
#[derive(Debug)]
pub(super) struct RemoteReading {
    pub(super) reply: RankReply,
    /// Whether it comes directly from the engine, which reports an older state to other hosts.
    pub(super) from_engine: bool,
}

impl RemoteRank {
    /// The rank with this engine and sidecar; `experts` is the size of an expert set.
    pub(super) fn new(
        engine: SocketAddr,
        sidecar: SocketAddr,
        experts: usize,
        links: Arc<Links>,
    ) -> Self {
        Self {
            address: sidecar,
            engine: Engine::new(engine, experts),
            links,
            responsiveness: Mutex::new(Responsiveness::new(Instant::now())),
        }
    }

    /// Address of the rank's sidecar.
    pub(super) fn sidecar(&self) -> SocketAddr {
        self.address
    }

    /// Reads the rank through its sidecar, or from its engine if the sidecar does not answer.
    /// Counts are not read from a remote engine: the platform charges for the call, and the group
    /// pauses.
    pub(super) async fn read(
        &self,
        caller: &Caller,
        rank: RankIndex,
        scope: ReadScope,
    ) -> Option<RemoteReading> {
        if let Some(Ok(mut reply)) = self.call(caller, rank, Task::Read(scope)).await {
            let (_, reply) = reply.ranks.pop()?;
            let from_engine = false;
            return Some(RemoteReading { reply, from_engine });
        }
        let scope = match scope {
            ReadScope::HeldExperts => ReadScope::HeldExperts,
            ReadScope::View | ReadScope::Counts => ReadScope::View,
        };
        let RankReading { view, held, .. } = self.engine.read(scope).await?;
        let reply = match held {
            Some((version, held)) => RankReply::Held(view, version, held),
            None => RankReply::View(view),
        };
        let from_engine = true;
        Some(RemoteReading { reply, from_engine })
    }

    /// Sends an order through the rank's sidecar, or to the engine if there is no link to the
    /// sidecar. `encoded` is the same order as it is sent to sidecars.
    pub(super) async fn execute(
        &self,
        caller: &Caller,
        order: &RankOrder,
        encoded: WireOrder,
    ) -> OrderResult {
        let (rank, epoch) = (order.rank, order.epoch);
        let mut answer = self.call(caller, rank, Task::Execute(epoch, encoded)).await;
        if let Some(Ok(Reply { ranks, .. })) = &answer
            && matches!(ranks.as_slice(), [(_, RankReply::UnknownBase)])
        {
            let whole = WireOrder::Whole(order.order.clone());
            answer = self.call(caller, rank, Task::Execute(epoch, whole)).await;
        }
        match answer {
            None | Some(Err(CallError::Unreachable(_))) => {
                self.engine.execute(&caller.group, order).await
            }
            Some(Err(CallError::NoAnswer(_))) => OrderResult::Unknown,
            Some(Ok(reply)) => match reply.ranks.as_slice() {
                [(_, RankReply::Result(result))] => *result,
                _ => OrderResult::Unknown,
            },
        }
    }

    /// Calls the sidecar; `None` while it is bypassed.
    async fn call(
        &self,
        caller: &Caller,
        rank: RankIndex,
        task: Task,
    ) -> Option<Result<Reply, CallError>> {
        if lock(&self.responsiveness).is_bypassed(Instant::now()) {
            return None;
        }
        let child = Member {
            rank,
            sidecar: self.address,
        };
        let call = Call {
            caller: caller.clone(),
            task,
        };
        let deadline = Instant::now() + CALL_TIMEOUT;
        let answer = self.links.call(child, call, Vec::new(), deadline).await;
        let mut responsiveness = lock(&self.responsiveness);
        match &answer {
            Ok(_) => responsiveness.record_answer(Instant::now()),
            Err(error) => {
                log::info!("the sidecar at {} did not answer: {error}", self.address);
                responsiveness.record_failure(Instant::now());
            }
        }
        Some(answer)
    }
}

#[cfg(test)]
mod tests;
