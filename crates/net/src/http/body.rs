//! Bodies: buffered, streamed through a bounded channel, and read with limits.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;
use tokio::sync::mpsc;

/// Body of a request or response to send.
pub type Body = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;
/// Sender of the frames of a streamed body; see [`channel_body`].
pub type BodySender = mpsc::Sender<Result<Frame<Bytes>, Box<dyn Error + Send + Sync>>>;

/// Frames that a streamed body buffers; each is as large as a client reads ahead at most. A full
/// buffer makes the sender wait, so that a slow caller slows its engine.
const CHANNEL_FRAMES: usize = 1;

/// Error of [`collect`].
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
    B: hyper::body::Body<Data = Bytes> + Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let read = Limited::new(body, limit).collect();
    match tokio::time::timeout(timeout, read).await {
        Err(_) => TooSlowSnafu { limit: timeout }.fail(),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            TooLargeSnafu { limit }.fail()
        }
        Ok(Err(_)) => BrokenSnafu.fail(),
    }
}
