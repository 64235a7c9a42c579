//! Passes calls on along a tree of sidecars.
//!
//! See [`eelgrasshold_core::ranks::overlay`] for the shape of the tree. Each hop ends its wait
//! [`HOP_TIME`] before the sidecar above it does, so that a member that does not answer costs the
//! answers of the others only a delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex as StdMutex};
use std::time::{Duration, Instant};
use std::{fmt, io};

use eelgrasshold_core::ranks::overlay::{Branch, split};
use eelgrasshold_core::ranks::{Input, RankIndex};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, mpsc};

use super::local::LocalRank;
use super::lock;
use super::wire::{Answers, Call, Member, RankSidecar, RankSidecarClient, Reply};
use crate::rpc;

/// Time within which a sidecar answers after those below it have answered or run out of time.
const HOP_TIME: Duration = Duration::from_millis(50);
/// Time without a use after which a link is closed: a tree of another shape no longer needs it.
const LINK_IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Link {
    client: Mutex<Option<RankSidecarClient>>,
    used_at: StdMutex<Instant>,
}

impl Link {
    async fn open(&self, address: SocketAddr) -> io::Result<RankSidecarClient> {
        let mut cached = self.client.lock().await;
        if let Some(client) = &*cached {
            return Ok(client.clone());
        }
        let opened = rpc::open(address).await?;
        let client = RankSidecarClient::new(tarpc::client::Config::default(), opened).spawn();
        *cached = Some(client.clone());
        Ok(client)
    }
}

/// Why a call to a sidecar has no answer.
#[derive(Debug)]
pub(super) enum CallError {
    /// There is no link, so nothing was sent.
    Unreachable(String),
    /// The call was sent and may be carried out.
    NoAnswer(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Self::Unreachable(reason) | Self::NoAnswer(reason)) = self;
        f.write_str(reason)
    }
}

/// Links to other sidecars, opened on first use.
#[derive(Debug, Default)]
pub(super) struct Links(StdMutex<BTreeMap<SocketAddr, Arc<Link>>>);

impl Links {
    /// Calls the sidecar of a rank and, through it, other members.
    ///
    /// # Errors
    ///
    /// If the sidecar can't be reached, or does not answer in time.
    pub(super) async fn call(
        &self,
        child: Member,
        call: Call,
        members: Vec<Member>,
        deadline: Instant,
    ) -> Result<Reply, CallError> {
        let link = self.link(child.sidecar);
        let opening = tokio::time::timeout_at(deadline.into(), link.open(child.sidecar));
        let client = match opening.await {
            Ok(opened) => opened.map_err(|e| CallError::Unreachable(e.to_string()))?,
            Err(_) => return Err(CallError::Unreachable("no time left".to_owned())),
        };
        let mut cx = tarpc::context::current();
        cx.deadline = deadline;
        let answer = client.call(cx, child.rank, call, members).await;
        if answer.is_err() {
            // A late answer to this call must not delay the next one.
            *link.client.lock().await = None;
        }
        answer.map_err(|e| CallError::NoAnswer(e.to_string()))
    }

    fn link(&self, address: SocketAddr) -> Arc<Link> {
        let now = Instant::now();
        let mut links = lock(&self.0);
        links.retain(|_, link| now.duration_since(*lock(&link.used_at)) < LINK_IDLE_TIME);
        let new = || {
            Arc::new(Link {
                client: Mutex::new(None),
                used_at: StdMutex::new(now),
            })
        };
        let link = Arc::clone(links.entry(address).or_insert_with(new));
        *lock(&link.used_at) = now;
        link
    }
}

/// The sidecar as part of trees: serves the calls of others and passes them on.
#[derive(Clone, Debug)]
pub(super) struct Overlay {
    local: Arc<LocalRank>,
    links: Arc<Links>,
    fanout: usize,
    /// Inputs for the state machine that may lead.
    inputs: mpsc::UnboundedSender<Input>,
}

impl Overlay {
    pub(super) fn new(
        local: Arc<LocalRank>,
        links: Arc<Links>,
        fanout: usize,
        inputs: mpsc::UnboundedSender<Input>,
    ) -> Self {
        Self {
            local,
            links,
            fanout,
            inputs,
        }
    }

    /// Serves the calls of other sidecars; never returns.
    pub(super) async fn listen(self, listener: TcpListener) {
        rpc::accept(listener, |stream| self.clone().answer(stream)).await;
    }

    async fn answer(self, stream: TcpStream) {
        let handled = BaseChannel::with_defaults(rpc::link(stream)).execute(self.serve());
        handled.for_each_concurrent(None, |handled| handled).await;
    }

    /// Reads the local rank after a pass was held or released there, so that the state machine sees
    /// a hold whose owner falls silent.
    async fn report_hold(self) {
        if let Some(view) = self.local.read_view().await {
            let _ = self.inputs.send(Input::OwnView(view));
        }
    }

    /// Passes a call on to members; returns the answers that arrive in time.
    async fn pass_on(&self, call: &Call, members: Vec<Member>, deadline: Instant) -> Answers {
        let mut calls: FuturesUnordered<_> = split(members, self.fanout)
            .into_iter()
            .map(|Branch { child, members }| async move {
                let answer = self
                    .links
                    .call(child, call.clone(), members, deadline)
                    .await;
                (child, answer)
            })
            .collect();
        let mut answers = Answers::default();
        while let Some((child, answer)) = calls.next().await {
            match answer {
                Ok(reply) => answers.add(reply),
                Err(error) => {
                    log::info!("the sidecar of rank {} did not answer: {error}", child.rank);
                }
            }
        }
        answers
    }
}

impl RankSidecar for Overlay {
    async fn call(self, cx: Context, rank: RankIndex, call: Call, members: Vec<Member>) -> Reply {
        if let Some(leader) = call.caller.leader
            && self.local.is_in_group_of(&call.caller)
        {
            // The receiver is dropped only when the process stops.
            let _ = self.inputs.send(Input::PolledBy(leader));
        }
        let deadline = cx.deadline.checked_sub(HOP_TIME).unwrap_or(cx.deadline);
        let own = self.local.carry_out(rank, &call);
        let own = async {
            let own = tokio::time::timeout_at(deadline.into(), own).await;
            own.unwrap_or_default()
        };
        let (mut answers, below) = tokio::join!(own, self.pass_on(&call, members, deadline));
        if call.task.changes_hold() {
            tokio::spawn(self.clone().report_hold());
        }
        answers.ranks.extend(below.ranks);
        answers.selections.add(&below.selections);
        answers.into()
    }
}
