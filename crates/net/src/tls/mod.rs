//! Mutual TLS for the links between daemons and for the admin address.

use std::path::Path;
use std::sync::Arc;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// A bidirectional byte stream, plain or encrypted.
pub type Stream = Box<dyn Duplex>;

/// Bidirectional byte stream; implemented for all types with the required traits.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin + Send {}

impl<S: AsyncRead + AsyncWrite + Unpin + Send> Duplex for S {}

/// Error of creating an [`Identity`].
#[derive(Debug, Snafu)]
pub enum TlsError {
    /// A file is missing or has no certificate or key in PEM format.
    #[snafu(display(
        "can't read PEM from {path}: {source}; name a file with a certificate or key"
    ))]
    Pem {
        /// Path of the file.
        path: String,
        /// Error of reading or decoding the file.
        source: rustls::pki_types::pem::Error,
    },
    /// The key does not match the certificate, or a certificate is invalid.
    #[snafu(display("the certificate, key and authority don't fit together: {reason}"))]
    Mismatch {
        /// Explanation of the TLS library.
        reason: String,
    },
}

/// Certificate chain and key of a process, and the certificate authorities that it trusts.
///
/// `Debug` shows none of them.
#[derive(Clone)]
pub struct Identity {
    server: TlsAcceptor,
    client: TlsConnector,
}

impl std::fmt::Debug for Identity {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Identity").finish_non_exhaustive()
    }
}

impl Identity {
    /// Reads the certificate chain, the key and the trusted authorities from PEM files.
    ///
    /// # Errors
    ///
    /// [`TlsError::Pem`] if a file can't be read, [`TlsError::Mismatch`] if the certificates and
    /// the key can't be used together.
    pub fn from_files(chain: &Path, key: &Path, authority: &Path) -> Result<Self, TlsError> {
        let path = |p: &Path| p.display().to_string();
        let read_chain = |p: &Path| {
            CertificateDer::pem_file_iter(p)
                .and_then(Iterator::collect::<Result<Vec<_>, _>>)
                .context(PemSnafu { path: path(p) })
        };
        let key = PrivateKeyDer::from_pem_file(key).context(PemSnafu { path: path(key) })?;
        Self::new(read_chain(chain)?, key, read_chain(authority)?)
    }

    /// Creates an identity from a certificate chain, its key and the trusted authorities.
    ///
    /// # Errors
    ///
    /// [`TlsError::Mismatch`] if they can't be used together.
    pub fn new(
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
        authority: Vec<CertificateDer<'static>>,
    ) -> Result<Self, TlsError> {
        let mismatch = |reason: String| TlsError::Mismatch { reason };
        let mut roots = RootCertStore::empty();
        for certificate in authority {
            roots
                .add(certificate)
                .map_err(|e| mismatch(e.to_string()))?;
        }
        let roots = Arc::new(roots);
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
                .build()
                .map_err(|e| mismatch(e.to_string()))?;
        let server = ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_safe_default_protocol_versions()
            .map_err(|e| mismatch(e.to_string()))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(|e| mismatch(e.to_string()))?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| mismatch(e.to_string()))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(|e| mismatch(e.to_string()))?;
        Ok(Self {
            server: Arc::new(server).into(),
            client: Arc::new(client).into(),
        })
    }
}

/// Runs the client's side of the TLS handshake; returns the stream unchanged without an identity.
/// `address` is `IP:PORT`; the server's certificate must be valid for the IP address.
///
/// # Errors
///
/// If the address is invalid or the handshake fails.
pub async fn client_stream<S: Duplex + 'static>(
    identity: Option<&Identity>,
    address: &str,
    stream: S,
) -> std::io::Result<Stream> {
    let Some(identity) = identity else {
        return Ok(Box::new(stream));
    };
    let host = address.rsplit_once(':').map_or(address, |(host, _)| host);
    let name = ServerName::try_from(host.trim_matches(['[', ']']).to_owned())
        .map_err(|e| std::io::Error::new(std::io::ErrorKind::InvalidInput, e))?;
    Ok(Box::new(identity.client.connect(name, stream).await?))
}

/// Runs the server's side of the TLS handshake; returns the stream unchanged without an identity.
///
/// # Errors
///
/// If the handshake fails or the client has no certificate of a trusted authority.
pub async fn server_stream<S: Duplex + 'static>(
    identity: Option<&Identity>,
    stream: S,
) -> std::io::Result<Stream> {
    let Some(identity) = identity else {
        return Ok(Box::new(stream));
    };
    Ok(Box::new(identity.server.accept(stream).await?))
}
