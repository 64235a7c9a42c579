use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{connect, reset_on_close};

/// Guards against abandoned requests that still reach their upstream: an orderly close sends the
/// remaining data first, even seconds later to a host that was paused.
#[tokio::test]
async fn closing_a_connection_with_reset_on_close_sends_a_reset() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut stream = connect(listener.local_addr()?).await?;
    let (mut peer, _) = listener.accept().await?;
    reset_on_close(&stream);
    stream.write_all(b"GET / HTTP/1.1\r\n").await?;
    drop(stream);
    let ended = loop {
        match peer.read(&mut [0; 64]).await {
            Ok(0) => break None,
            Ok(_) => {}
            Err(error) => break Some(error.kind()),
        }
    };
    assert_eq!(ended, Some(io::ErrorKind::ConnectionReset));
    Ok(())
}
