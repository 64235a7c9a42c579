//! Asks other hosts for permits to send to upstreams that name limits, and publishes limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bincode::Options;
use eelgrasshold_core::gateway::upstream_limits::{Message, Observation, Permit, QuestionId};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use super::notices;
use super::shared::Shared;

/// First byte of a datagram about limits; no other datagram between hosts begins with it.
const LIMITS_MARK: u8 = 0xfe;
/// Times after which a question is sent again, and at last given up.
const ANSWER_TIMES: [Duration; 2] = [Duration::from_millis(40), Duration::from_millis(60)];
/// Limits in one datagram.
const MAX_LIMITS: usize = 16;
/// Largest message that is read, in bytes.
const MAX_MESSAGE_BYTES: u64 = 8 << 10;

/// Questions that were not answered yet, and the socket for datagrams between hosts.
#[derive(Debug)]
pub(super) struct Permits {
    socket: Arc<UdpSocket>,
    open: Mutex<Open>,
}

#[derive(Debug, Default)]
struct Open {
    last: QuestionId,
    questions: BTreeMap<QuestionId, oneshot::Sender<Permit>>,
}

/// A question that is forgotten when dropped.
struct Question<'a> {
    permits: &'a Permits,
    id: QuestionId,
    answer: oneshot::Receiver<Permit>,
}

impl Permits {
    pub(super) fn new(socket: Arc<UdpSocket>) -> Self {
        Self {
            socket,
            open: Mutex::default(),
        }
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn question(&self) -> Question<'_> {
        let (tx, answer) = oneshot::channel();
        let mut open = self.open();
        open.last += 1;
        let id = open.last;
        open.questions.insert(id, tx);
        Question {
            permits: self,
            id,
            answer,
        }
    }

    fn answered(&self, question: QuestionId, permit: Permit) {
        let waiting = self.open().questions.remove(&question);
        if waiting.is_none_or(|tx| tx.send(permit).is_err()) {
            log::debug!("a permit came too late");
        }
    }

    pub(super) fn send(&self, to: SocketAddr, message: &Message) {
        let bytes = match options().serialize(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::warn!("can't encode a message about limits: {error}");
                return;
            }
        };
        let datagram = [&[LIMITS_MARK], bytes.as_slice()].concat();
        // A datagram is dropped if the send buffer is full; questions are repeated, and limits are told
        // with each of them.
        drop(self.socket.try_send_to(&datagram, to));
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.permits.open().questions.remove(&self.id);
    }
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_MESSAGE_BYTES)
}

/// Decodes a datagram; `None` if it is not about limits.
pub(super) fn decode(datagram: &[u8]) -> Option<Result<Message, bincode::Error>> {
    let (mark, message) = datagram.split_first()?;
    (*mark == LIMITS_MARK).then(|| options().deserialize(message))
}

/// Asks the accountant of an upstream whether one request may be sent there; `None` if it does not
/// answer.
pub(super) async fn ask(shared: &Shared, upstream: &str, accountant: &str) -> Option<Permit> {
    let address = shared.peers().address_of(accountant)?;
    let observed = shared.core().limits.observation(shared.now(), upstream)?;
    let mut question = shared.permits.question();
    let message = Message::Ask {
        question: question.id,
        upstream: upstream.to_owned(),
        observed,
    };
    for time in ANSWER_TIMES {
        shared.permits.send(address, &message);
        if let Ok(answer) = tokio::time::timeout(time, &mut question.answer).await {
            return answer.ok();
        }
    }
    None
}

/// Publishes a limit that is new: the accountant of the upstream to all hosts, another host to the
/// accountant.
pub(super) fn publish(shared: &Shared, upstream: &str) {
    let now = shared.now();
    let (observed, accountant, is_own) = {
        let limits = &shared.core().limits;
        let accountant = limits.accountant(upstream).cloned();
        let is_own = limits.is_accountant(upstream);
        (limits.observation(now, upstream), accountant, is_own)
    };
    let Some(observed) = observed else {
        return;
    };
    let message = Message::Limits(vec![(upstream.to_owned(), observed)]);
    let to: Vec<SocketAddr> = {
        let peers = shared.peers();
        let own = peers.local_record().peers;
        if is_own {
            let live = peers.live_hosts();
            live.iter().map(|p| p.peers).filter(|a| *a != own).collect()
        } else {
            let address = accountant.and_then(|host| peers.address_of(&host));
            address.into_iter().collect()
        }
    };
    for address in to {
        shared.permits.send(address, &message);
    }
}

/// Sends the limits that this host is the accountant of to a host that has just started.
pub(super) fn send_accounted(shared: &Shared, to: SocketAddr) {
    let observed = shared.core().limits.accounted(shared.now());
    for chunk in observed.chunks(MAX_LIMITS) {
        shared.permits.send(to, &Message::Limits(chunk.to_vec()));
    }
}

/// Processes a message of another host.
pub(super) fn receive(shared: &Shared, message: Message, from: SocketAddr) {
    match message {
        Message::Ask {
            question,
            upstream,
            observed,
        } => {
            apply(shared, &upstream, observed);
            let now = shared.now();
            let (permit, known) = {
                let limits = &mut shared.core().limits;
                (
                    limits.decide(now, &upstream),
                    limits.observation(now, &upstream),
                )
            };
            let answer = Message::Answer {
                question,
                permit,
                upstream,
                observed: known.unwrap_or(observed),
            };
            shared.permits.send(from, &answer);
        }
        Message::Answer {
            question,
            permit,
            upstream,
            observed,
        } => {
            shared
                .core()
                .limits
                .receive(shared.now(), &upstream, observed);
            shared.permits.answered(question, permit);
        }
        Message::Leaving(reports) => notices::receive(shared, reports),
        Message::Limits(limits) => {
            for (upstream, observed) in limits {
                apply(shared, &upstream, observed);
            }
        }
    }
}

/// Records a limit that another host knows, and publishes it if it is new to this accountant.
fn apply(shared: &Shared, upstream: &str, observed: Observation) {
    let (changed, is_own) = {
        let limits = &mut shared.core().limits;
        let changed = limits.receive(shared.now(), upstream, observed);
        (changed, changed && limits.is_accountant(upstream))
    };
    if changed && is_own {
        publish(shared, upstream);
    }
}
