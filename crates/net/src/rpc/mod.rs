//! RPC links over TCP between the sidecars of a group and between gateways.
//!
//! Links are opened on first use; either end closes a link whose peer has stopped responding.

mod calls;

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tarpc::context::Context;
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;

use self::calls::CallStream;
use crate::connect::{ACCEPT_RETRY_DELAY, ConnectionTasks, connect, detect_dead_peer};

/// Largest message, in bytes: a configuration is at most as large as a value of the store.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Links that are served at the same time. Each of 380 hosts follows one of ten, which have 38 each, or
/// one of three while the others have lost the store.
const MAX_LINKS: usize = 128;

/// Length-delimited, bincode-encoded messages over a TCP connection.
pub(crate) type Link<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Frames an open connection into messages.
pub(crate) fn link<Item, SinkItem>(stream: TcpStream) -> Link<Item, SinkItem>
where
    Item: serde::de::DeserializeOwned,
    SinkItem: serde::Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}

/// Connects to the other process and frames the connection.
///
/// # Errors
///
/// If the connection is refused or times out.
pub(crate) async fn open<Item, SinkItem>(address: SocketAddr) -> io::Result<Link<Item, SinkItem>>
where
    Item: serde::de::DeserializeOwned,
    SinkItem: serde::Serialize,
{
    connect(address).await.map(link)
}

/// Frames a connection whose peer only sends calls. A longer call than `max_call_bytes` ends it, since the
/// memory for a message is taken when its length is known.
pub(crate) fn server_link<Item, SinkItem>(
    stream: TcpStream,
    max_call_bytes: usize,
) -> Transport<CallStream, Item, SinkItem, Bincode<Item, SinkItem>>
where
    Item: serde::de::DeserializeOwned,
    SinkItem: serde::Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_framed(CallStream::new(stream, max_call_bytes));
    serde_transport::new(framed, Bincode::default())
}

/// Context of a call whose deadline is `timeout` from now.
pub(crate) fn context_with_timeout(timeout: Duration) -> Context {
    let mut cx = tarpc::context::current();
    cx.deadline = Instant::now() + timeout;
    cx
}

/// Accepts links and serves each in its own task; never returns. One link more than [`MAX_LINKS`] closes the
/// oldest, whose peer opens another when it needs one.
pub(crate) async fn accept<F, R>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let mut links = ConnectionTasks::new(MAX_LINKS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                detect_dead_peer(&stream);
                links.spawn(serve(stream));
            }
            Err(error) => {
                log::warn!("can't accept a link: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
