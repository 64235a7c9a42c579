//! When a server that closes may end a connection.

use std::time::Duration;

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Time for the first request on a new connection of a server that closes.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(500);

/// Waits until a server closes and the first request on one of its connections has begun, which
/// `request_began` is notified of; or for a while, if none does. hyper ends a connection that it has
/// read nothing from, although a request may have arrived there.
pub(crate) async fn may_end(closing: &CancellationToken, request_began: &Notify) {
    closing.cancelled().await;
    let first_request = tokio::time::timeout(FIRST_REQUEST_TIME, request_began.notified());
    if first_request.await.is_err() {
        log::debug!("no request came on a connection of a server that closes");
    }
}
