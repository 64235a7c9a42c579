//! Calls to the admin addresses of daemons.

use std::time::Duration;

use bytes::Bytes;
use eelgrasshold_net::admin::{MemberStatus, Status};
use eelgrasshold_net::http::{Client, collect, empty, http1_client};
use eelgrasshold_net::tls::Identity;
use futures::StreamExt;
use http::{Method, Request};
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Longest time for one answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Processes that are asked at the same time.
const PARALLEL: usize = 32;

/// Why a daemon gave no usable answer.
#[derive(Debug, Snafu)]
pub enum AdminError {
    /// It can't be reached.
    #[snafu(display("{address} does not answer; check the admin address"))]
    Unreachable {
        /// Address.
        address: String,
    },
    /// It refused.
    #[snafu(display("{address}: {reason}"))]
    Refused {
        /// Address.
        address: String,
        /// Reason.
        reason: String,
    },
}

/// Client of admin addresses.
#[derive(Clone, Debug)]
pub struct Admins {
    client: Client,
}

impl Admins {
    /// A client that uses mutual TLS if there is an identity.
    #[must_use]
    pub fn new(identity: Option<Identity>) -> Self {
        // The connector encrypts below HTTP, so the scheme is the same with TLS.
        Self {
            client: http1_client(identity),
        }
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    ///
    /// If the daemon can't be reached or refuses.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, AdminError> {
        let body = self.call(Method::GET, address, path).await?;
        serde_json::from_slice(&body).map_err(|error| AdminError::Refused {
            address: address.to_owned(),
            reason: format!("the answer can't be read: {error}"),
        })
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// If the daemon can't be reached or refuses.
    pub async fn post(&self, address: &str, path: &str) -> Result<(), AdminError> {
        self.call(Method::POST, address, path).await.map(drop)
    }

    /// Status of an entry host with the members that it knows.
    ///
    /// # Errors
    ///
    /// If the daemon can't be reached or refuses.
    pub async fn status(&self, address: &str) -> Result<Status, AdminError> {
        self.get(address, "/v1/status").await
    }

    /// Reads the same document from many processes, a bounded number at a time.
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
            .buffer_unordered(PARALLEL)
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
        let answer = tokio::time::timeout(TIMEOUT, self.client.request(request)).await;
        let answer = answer
            .map_err(|_| unreachable())?
            .map_err(|_| unreachable())?;
        let status = answer.status();
        let body = collect(answer.into_body(), MAX_ANSWER_BYTES, TIMEOUT).await;
        let body = body.map_err(|error| refused(error.to_string()))?;
        if status.is_success() {
            return Ok(body);
        }
        Err(refused(String::from_utf8_lossy(&body).trim().to_owned()))
    }
}
