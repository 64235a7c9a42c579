//! Links between processes beside ranks and between gateways.
//!
//! Links are opened when they are used, and closed by whoever finds the other side silent.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tarpc::context::Context;
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;

use crate::connect::{ACCEPT_PAUSE, connect, watch_silence};

/// Largest message, in bytes: a configuration is at most as large as a value of the store.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Messages on a link.
pub(crate) type Link<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// The messages of an open connection.
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

/// Opens a link.
///
/// # Errors
///
/// If the other process refuses or does not answer in time.
pub(crate) async fn open<Item, SinkItem>(address: SocketAddr) -> io::Result<Link<Item, SinkItem>>
where
    Item: serde::de::DeserializeOwned,
    SinkItem: serde::Serialize,
{
    connect(address).await.map(link)
}

/// A call's context with a time limit.
pub(crate) fn within(limit: Duration) -> Context {
    let mut cx = tarpc::context::current();
    cx.deadline = Instant::now() + limit;
    cx
}

/// Accepts links and serves each as a task of its own; never returns.
pub(crate) async fn accept<F, R>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                watch_silence(&stream);
                tokio::spawn(serve(stream));
            }
            Err(error) => {
                log::warn!("a link can't be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
