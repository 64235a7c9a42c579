//! A connection on which messages may not exceed a length.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of the length, in big-endian order, before each message.
const LENGTH_BYTES: usize = 4;

/// Fails to read a message that is longer than the limit. Writing is not limited.
#[derive(Debug)]
pub(crate) struct CallStream {
    stream: TcpStream,
    lengths: Lengths,
}

/// Checks the lengths of messages as their bytes pass.
#[derive(Debug)]
struct Lengths {
    limit: usize,
    /// Bytes of the length that have arrived.
    length: Vec<u8>,
    /// Rest of the present message.
    left: usize,
}

impl Lengths {
    /// False if a message that begins in these bytes is too long.
    fn check(&mut self, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let skipped = self.left.min(bytes.len());
            self.left -= skipped;
            bytes = &bytes[skipped..];
            let missing = (LENGTH_BYTES - self.length.len()).min(bytes.len());
            self.length.extend_from_slice(&bytes[..missing]);
            bytes = &bytes[missing..];
            if let Ok(length) = <[u8; LENGTH_BYTES]>::try_from(self.length.as_slice()) {
                self.left = u32::from_be_bytes(length) as usize;
                self.length.clear();
                if self.left > self.limit {
                    return false;
                }
            }
        }
        true
    }
}

impl CallStream {
    pub(super) fn new(stream: TcpStream, limit: usize) -> Self {
        let lengths = Lengths {
            limit,
            length: Vec::new(),
            left: 0,
        };
        Self { stream, lengths }
    }
}

impl AsyncRead for CallStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if self.lengths.check(&buf.filled()[before..]) {
            return Poll::Ready(Ok(()));
        }
        let error = io::Error::new(io::ErrorKind::InvalidData, "a call is too long");
        Poll::Ready(Err(error))
    }
}

impl AsyncWrite for CallStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::Lengths;

    // Guards against lengths that are missed when they arrive in pieces, and so against memory taken for
    // a message without end.
    #[test]
    fn long_messages_are_found_however_their_bytes_arrive() {
        let bytes = [0, 0, 0, 3, 7, 7, 7, 0, 0, 0, 0, 0, 0, 0, 9];
        for piece in 1..=bytes.len() {
            let mut lengths = Lengths {
                limit: 8,
                length: Vec::new(),
                left: 0,
            };
            let passed = bytes.chunks(piece).all(|piece| lengths.check(piece));
            assert!(!passed, "pieces of {piece}");
            lengths.limit = 9;
            lengths.left = 0;
            assert!(bytes.chunks(piece).all(|piece| lengths.check(piece)));
        }
    }
}
