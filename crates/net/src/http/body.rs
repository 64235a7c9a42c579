//! Bodies: buffered, streamed through a bounded channel, and read with limits.

use std::error::Error;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body as HttpBody, Frame};
use snafu::Snafu;
use tokio::sync::mpsc;

use super::held::{HeldBytes, Hold};

/// Body of a request or response to send.
pub type Body = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;
/// Sender of the frames of a streamed body; see [`channel_body`].
pub type BodySender = mpsc::Sender<Result<Frame<Bytes>, Box<dyn Error + Send + Sync>>>;

/// Frames that a streamed body buffers; each is as large as a client reads ahead at most. A full
/// buffer makes the sender wait, so that a slow caller slows its engine.
const CHANNEL_FRAMES: usize = 1;

/// First size of the buffer of a body whose size was not announced, in bytes.
const MIN_GROWTH_BYTES: usize = 4 << 10;

/// Error of [`collect`] and [`collect_held`].
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Largest accepted size, in bytes.
        limit: usize,
    },
    /// The body did not arrive completely in time.
    #[snafu(display("the body did not arrive within {limit:?}"))]
    TooSlow {
        /// Longest accepted time for the whole body.
        limit: Duration,
    },
    /// The connection failed before the end of the body.
    #[snafu(display("the connection broke while the body was read"))]
    Broken,
    /// The bytes held for others leave no room.
    #[snafu(display("the host holds too many bytes of other requests"))]
    NoRoom,
    /// Room was needed for other requests, and this one was larger or slower.
    #[snafu(display(
        "the body arrived too slowly for its size while the host was short of memory"
    ))]
    Evicted,
}

/// Creates a body from bytes in memory.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
#[must_use]
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a streamed body with backpressure. Dropping the sender ends the body normally. Sending
/// an error aborts it, so that the receiver sees a truncated body.
#[must_use]
pub fn channel_body() -> (BodySender, Body) {
    let (tx, rx) = mpsc::channel(CHANNEL_FRAMES);
    let stream = receiver_stream(rx);
    (tx, StreamBody::new(stream).boxed_unsync())
}

fn receiver_stream<T: Send + 'static>(rx: mpsc::Receiver<T>) -> impl futures::Stream<Item = T> {
    futures::stream::unfold(rx, |mut rx| async move {
        rx.recv().await.map(|item| (item, rx))
    })
    .fuse()
}

/// Reads a body to its end.
///
/// # Errors
///
/// If the body is larger than `limit` bytes, takes longer than `timeout` or its connection fails.
pub async fn collect<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes> + Send,
{
    let read = read(body, limit, |_| Ok(()), |_| {});
    match tokio::time::timeout(timeout, read).await {
        Err(_) => TooSlowSnafu { limit: timeout }.fail(),
        Ok(read) => read,
    }
}

/// Reads a body to its end, within the budget of the process. The hold covers the bytes as long as they are
/// in memory; its request has not run if this fails.
///
/// # Errors
///
/// If the body is larger than `limit` bytes, takes longer than `timeout`, its connection fails, there is no
/// room for it, or it was evicted.
pub async fn collect_held<B>(
    body: B,
    limit: usize,
    timeout: Duration,
    budget: &HeldBytes,
) -> Result<(Bytes, Hold), BodyError>
where
    B: HttpBody<Data = Bytes> + Send,
{
    let announced = body.size_hint().exact();
    let hold = budget.open(announced.map(|n| usize::try_from(n).unwrap_or(usize::MAX)));
    let reserve = |bytes| hold.reserve(bytes).or(NoRoomSnafu.fail());
    let read = read(body, limit, reserve, |arrived| hold.record_arrived(arrived));
    let body = tokio::select! {
        biased;
        () = hold.evicted().cancelled() => return EvictedSnafu.fail(),
        read = tokio::time::timeout(timeout, read) => match read {
            Err(_) => return TooSlowSnafu { limit: timeout }.fail(),
            Ok(read) => read?,
        },
    };
    hold.keep().or(EvictedSnafu.fail())?;
    Ok((body, hold))
}

/// Reads and discards a body; false if it has not ended after `limit` bytes or `timeout`.
pub async fn discard<B>(body: B, limit: usize, timeout: Duration) -> bool
where
    B: HttpBody<Data = Bytes> + Send,
{
    let announced = body.size_hint().lower();
    if announced > limit as u64 {
        return false;
    }
    let mut left = limit;
    let read = async {
        let mut body = pin!(body);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            let length = frame.data_ref().map_or(0, Bytes::len);
            if length > left {
                return false;
            }
            left -= length;
        }
        true
    };
    tokio::time::timeout(timeout, read).await.unwrap_or(false)
}

/// Reads a body into one buffer: pieces would each keep a buffer of the connection alive, and joining them
/// would hold the body twice. `reserve` is called before the buffer grows, with its new size.
async fn read<B>(
    body: B,
    limit: usize,
    reserve: impl Fn(usize) -> Result<(), BodyError>,
    record: impl Fn(usize),
) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes>,
{
    let mut body = pin!(body);
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return TooLargeSnafu { limit }.fail();
    }
    let mut buf = Vec::new();
    if let Some(length) = hint.exact() {
        // The system gives memory to pages when they are written, so that a body that does not come
        // takes little.
        let length = usize::try_from(length).unwrap_or(limit);
        reserve(length)?;
        buf.reserve_exact(length);
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return BrokenSnafu.fail();
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        let length = buf.len() + data.len();
        if length > limit {
            return TooLargeSnafu { limit }.fail();
        }
        if length > buf.capacity() {
            let doubled = (buf.capacity() * 2).max(MIN_GROWTH_BYTES);
            let capacity = doubled.min(limit).max(length);
            reserve(capacity)?;
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(data);
        record(buf.len());
    }
    Ok(Bytes::from(buf))
}
