//! HTTP client of the daemons' admin addresses.

use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_net::admin::{MemberStatus, Status};
use eelgrasshold_net::http::{Client, collect, empty, http1_client};
use eelgrasshold_net::tls::Identity;
use futures::StreamExt;
use http::{Method, Request};
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Timeout for the response head, and again for the body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ANSWER_BYTES: usize = 64 << 20;
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Errors of requests to an admin address.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// No connection, or no response within the timeout.
    #[snafu(display("{address} does not answer; check the admin address"))]
    Unreachable { address: String },
    /// An error status, or a body that can't be read or decoded.
    #[snafu(display("{address}: {reason}"))]
    Refused { address: String, reason: String },
}

/// Client of the admin addresses of any number of daemons.
#[derive(Clone, Debug)]
pub struct AdminClient {
    client: Client,
}

impl AdminClient {
    /// Creates a client that uses mutual TLS if there is an identity.
    #[must_use]
    pub fn new(identity: Option<Identity>) -> Self {
        // The connector adds TLS itself, so request URLs have the scheme `http` in both cases.
        Self {
            client: http1_client(identity),
        }
    }

    /// Sends a GET request and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// Fails if the daemon can't be reached or refuses.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, AdminError> {
        let body = self.call(Method::GET, address, path).await?;
        serde_json::from_slice(&body).map_err(|error| AdminError::Refused {
            address: address.to_owned(),
            reason: format!("invalid response body: {error}"),
        })
    }

    /// Sends a POST request without a body.
    ///
    /// # Errors
    ///
    /// Fails if the daemon can't be reached or refuses.
    pub async fn post(&self, address: &str, path: &str) -> Result<(), AdminError> {
        self.call(Method::POST, address, path).await.map(drop)
    }

    /// Returns the status of an entry host, with the members that it knows.
    ///
    /// # Errors
    ///
    /// Fails if the daemon can't be reached or refuses.
    pub async fn status(&self, address: &str) -> Result<Status, AdminError> {
        self.get(address, "/v1/status").await
    }

    /// Sends the same GET request to all members, [`MAX_CONCURRENT_REQUESTS`] at a time, and returns
    /// the results in the order in which they arrive.
    pub async fn get_all<T: DeserializeOwned>(
        &self,
        members: Vec<MemberStatus>,
        path: &str,
    ) -> Vec<(MemberStatus, Result<T, AdminError>)> {
        let calls = members.into_iter().map(|member| async move {
            let answer = self.get(&member.admin_address, path).await;
            (member, answer)
        });
        futures::stream::iter(calls)
            .buffer_unordered(MAX_CONCURRENT_REQUESTS)
            .collect()
            .await
    }

    async fn call(&self, method: Method, address: &str, path: &str) -> Result<Bytes, AdminError> {
        let unreachable = || AdminError::Unreachable {
            address: address.to_owned(),
        };
        let refused = |reason: String| AdminError::Refused {
            address: address.to_owned(),
            reason,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(empty())
            .map_err(|error| refused(error.to_string()))?;
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, self.client.request(request)).await;
        let answer = answer
            .map_err(|_| unreachable())?
            .map_err(|_| unreachable())?;
        let status = answer.status();
        let body = collect(answer.into_body(), MAX_ANSWER_BYTES, REQUEST_TIMEOUT).await;
        let body = body.map_err(|error| refused(error.to_string()))?;
        if status.is_success() {
            return Ok(body);
        }
        Err(refused(String::from_utf8_lossy(&body).trim().to_owned()))
    }
}
