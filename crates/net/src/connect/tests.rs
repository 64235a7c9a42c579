use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::{connect, drop_unsent_at_end};

/// Guards against requests that are given up and still reach their upstream: a connection that
/// ends in order sends what is left first, also seconds later to a host that was paused.
#[tokio::test]
async fn a_connection_that_drops_what_is_unsent_ends_with_a_reset() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut stream = connect(listener.local_addr()?).await?;
    let (mut peer, _) = listener.accept().await?;
    drop_unsent_at_end(&stream);
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
