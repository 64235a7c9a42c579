//! A replica whose answers, including malformed ones, are scripted by the test.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use super::RankGroup;

/// Events in a complete stream.
const STREAM_EVENTS: u64 = 6;
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// A request received by a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Arrival {
    /// HTTP method, as received.
    pub method: String,
    /// Request target: path and query.
    pub path: String,
    /// Headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body of `content-length` bytes; empty without that header.
    pub body: Vec<u8>,
    /// Whether the replica started to execute the request.
    pub ran: bool,
    /// Whether its answer does not end by itself.
    pub is_endless: bool,
    /// Whether the connection closed before the answer was complete.
    pub abandoned: bool,
    /// When it arrived.
    pub at: Option<Instant>,
    /// When its answer was complete, or its connection closed.
    pub ended_at: Option<Instant>,
}

impl Arrival {
    /// Value of a header; empty if it is missing.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// How a replica answers one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A successful answer: an event stream for paths below `/stream/`, a plain body otherwise.
    Normal,
    /// An event stream of this many events, whose connection closes in the middle of the next one.
    CutAfter(u64),
    /// An event stream that falls silent after this many events; the connection stays open.
    HangAfter(u64),
    /// An event stream with this time between two events.
    Paced(Duration),
    /// The same, silent after this many events; the connection stays open.
    PacedHangAfter {
        /// Time between two events.
        interval: Duration,
        /// Events before the silence.
        events: u64,
    },
    /// After a delay, a refusal of a request that was not executed.
    NotRunAfter {
        /// Time until the refusal.
        delay: Duration,
        /// Address of the replica at fault, sent as `At-Server`.
        at: SocketAddr,
    },
    /// A refusal of a request that was not executed.
    NotRun {
        /// HTTP status of the refusal.
        status: u16,
        /// Address of the replica at fault, sent as `At-Server`; `None` sends no such header.
        at: Option<SocketAddr>,
    },
    /// A refusal of a request that was not executed, by a replica that wants none for this time.
    Paused(Duration),
    /// A signed failure with this status, after the request was executed.
    Failure(u16),
    /// A successful answer followed by extra bytes.
    NormalThen(Vec<u8>),
    /// Exactly these bytes; the connection stays open.
    Bytes(Vec<u8>),
    /// Executes the request and closes the connection without an answer.
    Close,
    /// Executes the request and never answers.
    Hang,
    /// A successful answer after a delay.
    Delayed(Duration),
}

#[derive(Debug)]
struct State {
    id: String,
    replies: VecDeque<Reply>,
    arrivals: Vec<Arrival>,
    rank: Option<(usize, Arc<RankGroup>)>,
    fatal: Option<Fatal>,
    /// Time for which the system accepts connections for a process that has ended, and resets them then.
    accepts_after_end: Duration,
    /// Requests a second that answers name as the limit.
    limit: Option<f64>,
    /// Whether answers say that the replica leaves.
    leaving: bool,
    /// Time until which requests are refused with the rest of it as `Retry-After`.
    paused_until: Option<Instant>,
    /// When the process ended, for each time that it did.
    ends: Vec<Instant>,
}

/// Requests that end the process when it begins to answer them.
#[derive(Clone, Debug)]
struct Fatal {
    /// Text in their path or in the parts of their prompt.
    marker: String,
    /// Time until the process has started again.
    down_time: Duration,
    /// What is sent of the answer before the end.
    sends: BeforeEnd,
}

/// What a process sends of an answer before it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BeforeEnd {
    /// Nothing.
    Nothing,
    /// The head.
    Head,
    /// The head and this many events, or the whole answer if there are no more.
    Events(u64),
    /// The whole answer; the process ends this time after it.
    Whole(Duration),
    /// The head and this many events; the process is silent for this time before it ends.
    Silence(u64, Duration),
}

impl Fatal {
    fn is_in(&self, arrival: &Arrival) -> bool {
        let mut parts = arrival.header("x-prefix-hash").split(',');
        arrival.path.contains(&self.marker)
            || parts.any(|p| p.split(':').next() == Some(&self.marker))
    }
}

/// Handle of a running replica.
#[derive(Debug)]
pub struct Replica {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

/// What the connections of one start of the process share.
#[derive(Debug, Default)]
struct Process {
    ended: Notify,
}

impl Replica {
    /// Starts a replica on an ephemeral port of loopback.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(id: &str) -> io::Result<Self> {
        Self::start_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), id).await
    }

    /// Starts a replica on a given address; port 0 selects an ephemeral port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start_on(address: SocketAddr, id: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            replies: VecDeque::new(),
            arrivals: Vec::new(),
            rank: None,
            fatal: None,
            accepts_after_end: Duration::ZERO,
            limit: None,
            leaving: false,
            paused_until: None,
            ends: Vec::new(),
        }));
        let task = tokio::spawn(run(listener, address, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Makes the replica a rank of a group, so that it answers `/report`, `/picked` and `/order`.
    pub fn join_group(&self, rank: usize, group: &Arc<RankGroup>) {
        lock(&self.state).rank = Some((rank, Arc::clone(group)));
    }

    /// Address that the replica listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the id, as a restart under the same address does. Requests that expect another id
    /// are refused with status 421.
    pub fn set_id(&self, id: &str) {
        id.clone_into(&mut lock(&self.state).id);
    }

    /// Makes the process end when it has sent the head of its answer to a request with `marker` in its
    /// path or as a part of its prompt. It starts again after `down_time`, under the same id.
    pub fn end_at(&self, marker: &str, down_time: Duration) {
        self.end_after(marker, down_time, BeforeEnd::Head);
    }

    /// The same without the head of an answer, as a service ends that answers in one piece.
    pub fn end_before_head_at(&self, marker: &str, down_time: Duration) {
        self.end_after(marker, down_time, BeforeEnd::Nothing);
    }

    /// The same after the given part of the answer. A process that has sent all events of a stream, or of the
    /// rest of a resumed one, does not end if it was to end after some.
    pub fn end_after(&self, marker: &str, down_time: Duration, sends: BeforeEnd) {
        lock(&self.state).fatal = Some(Fatal {
            marker: marker.to_owned(),
            down_time,
            sends,
        });
    }

    /// Lets the system accept connections for a time after the process has ended, and reset them then.
    pub fn accept_after_end(&self, time: Duration) {
        lock(&self.state).accepts_after_end = time;
    }

    /// Sets the limit of requests a second that all further answers name.
    pub fn set_limit(&self, limit: Option<f64>) {
        lock(&self.state).limit = limit;
    }

    /// Sets whether all further answers say that the replica leaves.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    /// Makes the replica refuse requests until an instant, each with the rest of that time as
    /// `Retry-After`.
    pub fn pause_until(&self, until: Instant) {
        lock(&self.state).paused_until = Some(until);
    }

    /// When the process ended, for each time that it did.
    #[must_use]
    pub fn ends(&self) -> Vec<Instant> {
        lock(&self.state).ends.clone()
    }

    /// Queues the replies to the next requests. Without a queued reply, requests are answered with
    /// [`Reply::Normal`].
    pub fn queue_replies(&self, replies: impl IntoIterator<Item = Reply>) {
        lock(&self.state).replies.extend(replies);
    }

    /// Answers all further requests as usual.
    pub fn clear_replies(&self) {
        lock(&self.state).replies.clear();
    }

    /// All requests received, the oldest first; calls to a rank are not included.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state).arrivals.clone()
    }

    /// Registry entry of the replica, with state `draining` if it is leaving.
    #[must_use]
    pub fn registry_entry(&self, service: &str, leaving: bool) -> Value {
        json!({
            "service": service,
            "addr": self.address.to_string(),
            "zone": "north-1",
            "version": "v1",
            "slots": 4,
            "state": if leaving { "draining" } else { "ready" },
            "cold_left_ms": 0,
            "seq": 1,
        })
    }

    /// Stops listening. Open connections are still served.
    pub fn close(self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs the process, and starts it again after each end.
async fn run(listener: TcpListener, address: SocketAddr, state: Arc<Mutex<State>>) {
    let mut listener = listener;
    loop {
        let process = Arc::new(Process::default());
        let mut connections = JoinSet::new();
        let ended = process.ended.notified();
        tokio::pin!(ended);
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    connections.spawn(serve(stream, Arc::clone(&state), Arc::clone(&process)));
                }
                () = &mut ended => break,
            }
        }
        let accepts_after_end = lock(&state).accepts_after_end;
        if !accepts_after_end.is_zero() {
            connections.shutdown().await;
            tokio::time::sleep(accepts_after_end).await;
        }
        drop(listener);
        connections.shutdown().await;
        let down_time = lock(&state).fatal.as_ref().map(|f| f.down_time);
        tokio::time::sleep(down_time.unwrap_or_default()).await;
        listener = match TcpListener::bind(address).await {
            Ok(bound) => bound,
            Err(error) => {
                log::error!("can't start a replica at {address} again: {error}");
                return;
            }
        };
    }
}

/// Serves a connection until either side closes it.
async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>, process: Arc<Process>) {
    let mut buf = Vec::new();
    while let Ok(Some(arrival)) = read_request(&mut stream, &mut buf).await {
        if arrival.path == "/report"
            || arrival.path.starts_with("/picked")
            || arrival.path == "/order"
        {
            let rank = lock(&state).rank.clone();
            let Some((rank, group)) = rank else {
                return;
            };
            let (status, body) = group.answer(rank, &arrival);
            if write_json(&mut stream, status, &body).await.is_err() {
                return;
            }
            continue;
        }
        let (index, reply, id) = record_arrival(&state, arrival.clone());
        let from = {
            let state = lock(&state);
            Answerer {
                id,
                limit: state.limit,
                leaving: state.leaving,
            }
        };
        let fatal = {
            let state = lock(&state);
            let fatal = state.fatal.clone().filter(|f| f.is_in(&arrival));
            fatal.filter(|_| state.arrivals[index].ran)
        };
        if let Some(fatal) = fatal {
            if write_before_end(&mut stream, &arrival, &from, fatal.sends).await {
                continue;
            }
            lock(&state).ends.push(Instant::now());
            process.ended.notify_one();
            return;
        }
        let answered = answer(&mut stream, &arrival, reply, &from).await;
        {
            let arrival = &mut lock(&state).arrivals[index];
            arrival.ended_at = Some(Instant::now());
            arrival.abandoned = answered.is_err();
        }
        if !answered.unwrap_or(false) {
            return;
        }
    }
}

/// Writes what a process sends of an answer before it ends; returns whether it lives on. It ends whether that
/// can be written or not.
async fn write_before_end(
    stream: &mut TcpStream,
    arrival: &Arrival,
    from: &Answerer,
    sends: BeforeEnd,
) -> bool {
    let written = match sends {
        BeforeEnd::Nothing => Ok(()),
        BeforeEnd::Head => write_head(stream, arrival, 200, &from.headers("digest"), None).await,
        BeforeEnd::Events(events) => {
            let after: u64 = arrival.header("last-event-id").parse().unwrap_or(0);
            if after + events >= STREAM_EVENTS {
                let whole = write_normal(stream, arrival, from, Ending::Whole, EVENT_INTERVAL);
                return whole.await.is_ok();
            }
            let ending = Ending::CutAfter(events);
            write_normal(stream, arrival, from, ending, EVENT_INTERVAL).await
        }
        BeforeEnd::Whole(time) => {
            let whole = write_normal(stream, arrival, from, Ending::Whole, EVENT_INTERVAL);
            let written = whole.await;
            tokio::time::sleep(time).await;
            written
        }
        BeforeEnd::Silence(events, time) => {
            let ending = Ending::SilentAfter(events);
            let written = write_normal(stream, arrival, from, ending, EVENT_INTERVAL).await;
            tokio::time::sleep(time).await;
            written
        }
    };
    if let Err(error) = written {
        log::debug!("can't write an answer before the end: {error}");
    }
    if !matches!(sends, BeforeEnd::Whole(_)) {
        tokio::time::sleep(EVENT_INTERVAL).await;
    }
    false
}

/// Records a request and selects its reply; returns its index in the record, the reply and the
/// current id.
fn record_arrival(state: &Mutex<State>, mut arrival: Arrival) -> (usize, Reply, String) {
    let mut state = lock(state);
    let expected = arrival.header("x-expect-instance");
    let reply = if !expected.is_empty() && expected != state.id {
        Reply::NotRun {
            status: 421,
            at: None,
        }
    } else {
        let until = state.paused_until;
        let left = until.and_then(|u| u.checked_duration_since(Instant::now()));
        match left {
            Some(left) => Reply::Paused(left),
            None => state.replies.pop_front().unwrap_or(Reply::Normal),
        }
    };
    let refused = matches!(
        reply,
        Reply::NotRun { .. } | Reply::NotRunAfter { .. } | Reply::Paused(_)
    );
    arrival.ran = !refused;
    arrival.is_endless = matches!(
        reply,
        Reply::Hang | Reply::HangAfter(_) | Reply::PacedHangAfter { .. }
    );
    arrival.at = Some(Instant::now());
    state.arrivals.push(arrival);
    (state.arrivals.len() - 1, reply, state.id.clone())
}

async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Arrival>> {
    loop {
        if let Some((arrival, length)) = parse(buf) {
            buf.drain(..length);
            return Ok(Some(arrival));
        }
        let mut chunk = [0; 4_096];
        let read = stream.read(&mut chunk).await?;
        if read == 0 {
            return Ok(None);
        }
        buf.extend_from_slice(&chunk[..read]);
    }
}

/// Parses the first request in a buffer; returns it with its length, or `None` if it is
/// incomplete.
fn parse(buf: &[u8]) -> Option<(Arrival, usize)> {
    let head_end = buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let pairs = lines.filter_map(|l| l.split_once(':'));
    let headers: BTreeMap<String, String> = pairs
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let body = buf.get(head_end..head_end + length)?.to_vec();
    let arrival = Arrival {
        method,
        path,
        headers,
        body,
        ..Arrival::default()
    };
    Some((arrival, head_end + length))
}

/// What a replica says of itself in answers.
struct Answerer {
    id: String,
    /// Requests a second that it takes.
    limit: Option<f64>,
    /// Whether it leaves.
    leaving: bool,
}

impl Answerer {
    /// Headers of an answer that was run, with a digest of the given kind.
    fn headers(&self, digest: &str) -> String {
        let limit = self.limit.map(|l| format!("Server-Limit: {l}\r\n"));
        let limit = limit.unwrap_or_default();
        let leaving = self.leaving_header();
        format!("X-Signature: {digest}.{}\r\n{limit}{leaving}", self.id)
    }

    fn leaving_header(&self) -> &'static str {
        if self.leaving {
            "Server-Leaving: 1\r\n"
        } else {
            ""
        }
    }
}

/// Writes a reply; returns whether the connection can be used for further requests.
async fn answer(
    stream: &mut TcpStream,
    arrival: &Arrival,
    reply: Reply,
    from: &Answerer,
) -> io::Result<bool> {
    let id = &from.id;
    match reply {
        Reply::Normal => write_normal(stream, arrival, from, Ending::Whole, EVENT_INTERVAL).await?,
        Reply::CutAfter(events) => {
            let ending = Ending::CutAfter(events);
            write_normal(stream, arrival, from, ending, EVENT_INTERVAL).await?;
            return Ok(false);
        }
        Reply::HangAfter(events) => {
            let ending = Ending::SilentAfter(events);
            write_normal(stream, arrival, from, ending, EVENT_INTERVAL).await?;
            return read_to_end(stream).await;
        }
        Reply::Paced(interval) => {
            write_normal(stream, arrival, from, Ending::Whole, interval).await?;
        }
        Reply::PacedHangAfter { interval, events } => {
            let ending = Ending::SilentAfter(events);
            write_normal(stream, arrival, from, ending, interval).await?;
            return read_to_end(stream).await;
        }
        Reply::NotRunAfter { delay, at } => {
            tokio::time::sleep(delay).await;
            let head = format!("X-Not-Executed: 1\r\nX-Instance: {id}\r\nAt-Server: {at}\r\n");
            write_head(stream, arrival, 503, &head, Some(0)).await?;
        }
        Reply::NormalThen(bytes) => {
            write_normal(stream, arrival, from, Ending::Whole, EVENT_INTERVAL).await?;
            stream.write_all(&bytes).await?;
        }
        Reply::NotRun { status, at } => {
            let at = at
                .map(|a| format!("At-Server: {a}\r\n"))
                .unwrap_or_default();
            let leaving = from.leaving_header();
            let head = format!("X-Not-Executed: 1\r\nX-Instance: {id}\r\n{at}{leaving}");
            write_head(stream, arrival, status, &head, Some(0)).await?;
        }
        Reply::Paused(left) => {
            let left = left.as_secs_f64();
            let leaving = from.leaving_header();
            let head = format!("X-Not-Executed: 1\r\nRetry-After: {left:.3}\r\n{leaving}");
            write_head(stream, arrival, 503, &head, Some(0)).await?;
        }
        Reply::Failure(status) => {
            let head = from.headers("failure");
            write_head(stream, arrival, status, &head, Some(0)).await?;
        }
        Reply::Bytes(bytes) => stream.write_all(&bytes).await?,
        Reply::Close => return Ok(false),
        Reply::Hang => return read_to_end(stream).await,
        Reply::Delayed(time) => {
            tokio::time::sleep(time).await;
            write_normal(stream, arrival, from, Ending::Whole, EVENT_INTERVAL).await?;
        }
    }
    Ok(true)
}

/// Waits until the client closes the connection, which is an error.
async fn read_to_end(stream: &mut TcpStream) -> io::Result<bool> {
    let mut rest = [0; 64];
    while stream.read(&mut rest).await? > 0 {}
    Err(io::ErrorKind::ConnectionAborted.into())
}

async fn write_head(
    stream: &mut TcpStream,
    arrival: &Arrival,
    status: u16,
    headers: &str,
    length: Option<usize>,
) -> io::Result<()> {
    let request = arrival.header("x-request-id");
    let framing = match length {
        Some(length) => format!("Content-Length: {length}\r\n"),
        None => "Transfer-Encoding: chunked\r\n".to_owned(),
    };
    let head = format!(
        "HTTP/1.1 {status} Status\r\nX-Request-Id: {request}\r\nKeep-Alive: timeout=10\r\n\
         {headers}{framing}\r\n"
    );
    stream.write_all(head.as_bytes()).await
}

async fn write_json(stream: &mut TcpStream, status: u16, body: &Value) -> io::Result<()> {
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    write_head(stream, &Arrival::default(), status, "", Some(body.len())).await?;
    stream.write_all(body.as_bytes()).await
}

/// How an event stream ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// With its last event.
    Whole,
    /// Within the event after this many.
    CutAfter(u64),
    /// After this many events, without the end of the body.
    SilentAfter(u64),
}

async fn write_normal(
    stream: &mut TcpStream,
    arrival: &Arrival,
    from: &Answerer,
    ending: Ending,
    interval: Duration,
) -> io::Result<()> {
    let digest = from.headers("digest");
    if !arrival.path.starts_with("/stream/") {
        let body = format!("{} {}", arrival.method, arrival.path);
        write_head(stream, arrival, 200, &digest, Some(body.len())).await?;
        return stream.write_all(body.as_bytes()).await;
    }
    let head = format!("{digest}Content-Type: text/event-stream\r\n");
    write_head(stream, arrival, 200, &head, None).await?;
    let after: u64 = arrival.header("last-event-id").parse().unwrap_or(0);
    for event in after + 1..=STREAM_EVENTS {
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        if matches!(ending, Ending::SilentAfter(events) if event > after + events) {
            return Ok(());
        }
        if matches!(ending, Ending::CutAfter(events) if event > after + events) {
            let half = &text[..text.len() / 2];
            return stream
                .write_all(format!("{:x}\r\n{half}", text.len()).as_bytes())
                .await;
        }
        stream
            .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
            .await?;
        tokio::time::sleep(interval).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}
