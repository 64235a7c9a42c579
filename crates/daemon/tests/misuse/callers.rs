//! Callers that send or read in ways that the limits of the configuration do not permit.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// Size of one write of a body that is sent in pieces.
const PIECE_BYTES: usize = 32 << 10;
/// Time for which the peer may leave bytes unread; sending ends then, and the connection stays open.
const WRITE_LIMIT: Duration = Duration::from_secs(6);
/// Connections that are opened at the same time.
const CONNECTS_AT_ONCE: usize = 32;
/// Time for a connection to open; those that wait in a listener's backlog are open.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Receive buffer of a caller that reads nothing; the smallest that the system gives is larger.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// How a caller sends bytes.
#[derive(Clone, Copy, Debug)]
pub enum Body {
    /// This many bytes in one write.
    Whole(usize),
    /// This many bytes in several writes.
    Pieces(usize),
    /// This many bytes in chunks of a size, without the last chunk.
    Chunks { bytes: usize, chunk: usize },
    /// Text that is repeated until this many bytes were sent.
    Repeated(&'static str, usize),
    /// Nothing.
    Nothing,
}

impl Body {
    fn pieces(self) -> Box<dyn Iterator<Item = Vec<u8>> + Send> {
        match self {
            Self::Whole(bytes) => Box::new(std::iter::once(vec![b'a'; bytes])),
            Self::Pieces(bytes) => repeated(b"a", bytes),
            Self::Repeated(text, bytes) => repeated(text.as_bytes(), bytes),
            Self::Chunks { bytes, chunk } => {
                let text = format!("{chunk:x}\r\n{}\r\n", "a".repeat(chunk));
                repeated(text.as_bytes(), bytes / chunk * text.len())
            }
            Self::Nothing => Box::new(std::iter::empty()),
        }
    }
}

/// Pieces of about [`PIECE_BYTES`] or one `unit` that make up `bytes`, each of whole units.
fn repeated(unit: &[u8], bytes: usize) -> Box<dyn Iterator<Item = Vec<u8>> + Send> {
    let piece = unit.repeat((PIECE_BYTES / unit.len()).max(1));
    let (whole, rest) = (bytes / piece.len(), bytes % piece.len());
    let rest = piece[..rest].to_vec();
    Box::new(std::iter::repeat_n(piece, whole).chain([rest]))
}

/// Opens connections, sends the same text and body on each and keeps them open. A connection that the peer
/// closes is dropped.
pub async fn send_all(
    address: SocketAddr,
    callers: usize,
    head: impl Fn(usize) -> String,
    body: Body,
) -> Vec<TcpStream> {
    let mut sending = Vec::new();
    let numbers: Vec<usize> = (0..callers).collect();
    // A backlog of the listener that overflows makes a connection wait for a second.
    for group in numbers.chunks(CONNECTS_AT_ONCE) {
        let streams = join_all(group.iter().map(|_| connect(address))).await;
        for (n, stream) in group.iter().zip(streams) {
            if let Some(stream) = stream {
                sending.push(tokio::spawn(send(stream, head(*n), body)));
            }
        }
    }
    let streams = join_all(sending).await;
    streams.into_iter().filter_map(Result::unwrap).collect()
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    let connected = tokio::time::timeout(CONNECT_LIMIT, socket.connect(address));
    connected.await.ok()?.ok()
}

async fn send(mut stream: TcpStream, head: String, body: Body) -> Option<TcpStream> {
    for piece in std::iter::once(head.into_bytes()).chain(body.pieces()) {
        let written = tokio::time::timeout(WRITE_LIMIT, stream.write_all(&piece));
        match written.await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
    }
    Some(stream)
}
