use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::net::TcpStream;

use super::{BoundServer, Server};
use crate::http_util::{HandlerFuture, empty};

fn start() -> Server {
    let handler = Arc::new(|_| Box::pin(async { Ok(empty(StatusCode::OK)) }) as HandlerFuture);
    BoundServer::new().unwrap().serve(handler)
}

/// Guards against a stopped server that still accepts connections, and
/// against one that is started at another address.
#[tokio::test]
async fn stopped_server_refuses_connections_until_started() {
    let server = start();
    TcpStream::connect(server.address()).await.unwrap();
    for _ in 0..3 {
        server.control().stop().await;
        let error = TcpStream::connect(server.address()).await.unwrap_err();
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
        server.control().start().await;
        TcpStream::connect(server.address()).await.unwrap();
    }
    server.close().await;
}

/// Guards against a server that stays down after a crash.
#[tokio::test(start_paused = true)]
async fn crashed_server_restarts_after_the_down_time() {
    let server = start();
    server.control().crash(Duration::from_secs(5));
    // Commands are handled in order: once the stop is acknowledged, the server is down.
    server.control().stop().await;
    assert!(TcpStream::connect(server.address()).await.is_err());
    server.control().crash(Duration::from_secs(5));
    tokio::time::sleep(Duration::from_secs(6)).await;
    TcpStream::connect(server.address()).await.unwrap();
    server.close().await;
}
