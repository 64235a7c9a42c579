//! Follows answers until the system has taken their last bytes.
//!
//! hyper takes the whole of a short body, and the end of a long one, before the connection of a caller that
//! reads slowly has taken the bytes. A request is open until then: a host that shuts down waits for it.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::http::Body;

/// Requests of a connection whose answers have ended but are not written yet. `T` keeps a request open until
/// it is dropped.
pub(super) struct Unwritten<T>(Arc<Mutex<Vec<T>>>);

impl<T: Send + Unpin + 'static> Unwritten<T> {
    pub(super) fn new() -> Self {
        Self(Arc::default())
    }

    /// Keeps a request open until its response is written.
    pub(super) fn follow(&self, response: Response<Body>, open_request: T) -> Response<Body> {
        response.map(|body| {
            let body = FollowedBody {
                body,
                open_request: Some(open_request),
                unwritten: self.clone(),
            };
            body.boxed_unsync()
        })
    }
}

impl<T> Unwritten<T> {
    fn lock(&self) -> MutexGuard<'_, Vec<T>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> Clone for Unwritten<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

/// The body of a response; it is dropped when its end was taken.
struct FollowedBody<T> {
    body: Body,
    open_request: Option<T>,
    unwritten: Unwritten<T>,
}

impl<T: Unpin> HttpBody for FollowedBody<T> {
    type Data = <Body as HttpBody>::Data;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<T> Drop for FollowedBody<T> {
    fn drop(&mut self) {
        if let Some(open_request) = self.open_request.take() {
            self.unwritten.lock().push(open_request);
        }
    }
}

/// The connection of a caller, as hyper uses it. hyper flushes it when its own buffers are empty.
pub(super) struct FollowedStream<S, T> {
    stream: S,
    unwritten: Unwritten<T>,
}

impl<S, T> FollowedStream<S, T> {
    pub(super) fn new(stream: S, unwritten: Unwritten<T>) -> Self {
        Self { stream, unwritten }
    }
}

impl<S: AsyncRead + Unpin, T> AsyncRead for FollowedStream<S, T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin, T> AsyncWrite for FollowedStream<S, T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.unwritten.lock().clear();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests;
