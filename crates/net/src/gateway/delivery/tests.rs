use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

use super::{FollowedStream, Unwritten};
use crate::http::full;

/// What a connection holds that its caller has not read.
const HELD_BYTES: usize = 4 << 10;
const BODY_BYTES: usize = 64 << 10;

// Guards against a stopping host that takes an answer for delivered when it is built, and ends while a slow
// caller reads it.
#[tokio::test]
async fn a_request_is_open_until_a_slow_caller_has_its_answer() {
    let (mut caller, host) = duplex(HELD_BYTES);
    let unwritten = Unwritten::new();
    let open = Arc::new(());
    let service = {
        let (unwritten, open) = (unwritten.clone(), Arc::clone(&open));
        service_fn(move |_| {
            let response = Response::new(full(Bytes::from(vec![b'w'; BODY_BYTES])));
            let response = unwritten.follow(response, Arc::clone(&open));
            async { Ok::<_, Infallible>(response) }
        })
    };
    let stream = TokioIo::new(FollowedStream::new(host, unwritten));
    let connection = http1::Builder::new().serve_connection(stream, service);
    let serving = tokio::spawn(connection);
    // The service holds one reference besides this one.
    let is_open = || Arc::strong_count(&open) > 2;
    caller
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .await
        .unwrap();
    let mut rest = vec![0; BODY_BYTES - 2 * HELD_BYTES];
    caller.read_exact(&mut rest).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(is_open(), "{HELD_BYTES} bytes or more are not written");
    let mut rest = vec![0; 2 * HELD_BYTES];
    caller.read_exact(&mut rest).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(!is_open(), "all is written");
    serving.abort();
}
