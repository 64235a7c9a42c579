//! Bodies: whole, streamed through a bounded channel, and read with limits.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::body::Frame;
use snafu::Snafu;
use tokio::sync::mpsc;

/// Body of a response or request that this crate sends.
pub type Body = UnsyncBoxBody<Bytes, Box<dyn Error + Send + Sync>>;
/// Sending half of a streamed body.
pub type BodySender = mpsc::Sender<Result<Frame<Bytes>, Box<dyn Error + Send + Sync>>>;

/// Frames that wait between reader and writer; a slow caller slows its engine.
const CHANNEL_FRAMES: usize = 16;

/// Why a body was not read.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// It is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Limit, in bytes.
        limit: usize,
    },
    /// It did not arrive in time.
    #[snafu(display("the body did not arrive within {limit:?}"))]
    TooSlow {
        /// Limit.
        limit: Duration,
    },
    /// The connection broke.
    #[snafu(display("the connection broke while the body was read"))]
    Broken,
}

/// A whole body.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A body without content.
#[must_use]
pub fn empty() -> Body {
    full(Bytes::new())
}

/// A streamed body with back-pressure; dropping the sender ends it as a whole,
/// an error sent cuts it.
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

/// Reads a whole body.
///
/// # Errors
///
/// If it is larger than `limit` bytes, takes longer than `timeout` or its connection breaks.
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
