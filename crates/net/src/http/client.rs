//! Pooled HTTP clients.

use std::time::Duration;

use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::Body;

/// Client with a pool of connections for each address.
pub type Client = legacy::Client<HttpConnector, Body>;

/// Longest time to connect; hosts are in one or two regions.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle connections are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A peer that answers no HTTP/2 ping this long is taken for dead.
const PING_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of HTTP/2 pings on connections with open streams.
const PING_INTERVAL: Duration = Duration::from_secs(2);

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_nodelay(true);
    connector
}

/// Client for engines, plain services and the platform: HTTP/1.1.
#[must_use]
pub fn plain_client() -> Client {
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector())
}

/// Client for upstream processes: HTTP/2 from the first byte, one connection each.
#[must_use]
pub fn prior_knowledge_client() -> Client {
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .timer(TokioTimer::new())
        .http2_only(true)
        .http2_adaptive_window(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .http2_keep_alive_timeout(PING_TIMEOUT)
        .retry_canceled_requests(false)
        .build(connector())
}
