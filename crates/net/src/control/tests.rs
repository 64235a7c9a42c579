use std::sync::Arc;

use eelgrasshold_core::entry::PeerMessage;
use eelgrasshold_core::event::Stamp;
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::*;
use crate::tls::Identity;

fn message(n: u32) -> Message {
    let clock = Stamp {
        wall_ms: 7,
        counter: n,
    };
    Message::Peer {
        from: "entry-1".into(),
        clock,
        message: PeerMessage::Claims(Vec::new()),
    }
}

struct Authority {
    issuer: Issuer<'static, KeyPair>,
    certificate: CertificateDer<'static>,
}

impl Authority {
    fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let certificate = params.self_signed(&key).unwrap().der().clone();
        Self {
            issuer: Issuer::new(params, key),
            certificate,
        }
    }

    fn identity(&self, trusted: &Self) -> Identity {
        let params = CertificateParams::new(vec!["127.0.0.1".to_owned()]).unwrap();
        let key = KeyPair::generate().unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap().der().clone();
        let key = PrivateKeyDer::Pkcs8(key.serialize_der().into());
        Identity::new(vec![certificate], key, vec![trusted.certificate.clone()]).unwrap()
    }
}

/// Starts a server and returns its address and the messages that it receives.
async fn start_server(identity: Option<Identity>) -> (String, mpsc::UnboundedReceiver<Message>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (tx, rx) = mpsc::unbounded_channel();
    let server = ControlServer::new(listener, Arc::default(), identity, move |m| {
        tx.send(m).unwrap();
    });
    tokio::spawn(server.run(CancellationToken::new()));
    (address, rx)
}

#[tokio::test]
async fn messages_arrive_in_order_and_their_bytes_are_counted() {
    let (address, mut rx) = start_server(None).await;
    let traffic = Arc::new(Traffic::default());
    let links = Links::new(Arc::clone(&traffic), None);
    for n in 0..10 {
        links.send(&address, message(n));
    }
    for n in 0..10 {
        assert_eq!(rx.recv().await, Some(message(n)));
    }
    assert!(traffic.sent() > 0);
}

#[tokio::test]
async fn links_use_mutual_tls_with_an_identity() {
    let authority = Authority::new();
    let (address, mut rx) = start_server(Some(authority.identity(&authority))).await;
    let links = Links::new(Arc::default(), Some(authority.identity(&authority)));
    links.send(&address, message(1));
    assert_eq!(rx.recv().await, Some(message(1)));
}

// Guards against a server that accepts messages from a process with a certificate of an untrusted
// authority.
#[tokio::test]
async fn client_with_certificate_of_untrusted_authority_is_refused() {
    let (ours, other) = (Authority::new(), Authority::new());
    let (address, mut rx) = start_server(Some(ours.identity(&ours))).await;
    let untrusted = Links::new(Arc::default(), Some(other.identity(&ours)));
    untrusted.send(&address, message(1));
    let trusted = Links::new(Arc::default(), Some(ours.identity(&ours)));
    // The queue of the untrusted client closes when its handshake has failed.
    untrusted.closed(&address).await;
    trusted.send(&address, message(2));
    assert_eq!(rx.recv().await, Some(message(2)));
}

// Guards against a peer that is gone and blocks or fails its sender.
#[tokio::test]
async fn messages_to_an_unreachable_peer_are_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let links = Links::new(Arc::default(), None);
    links.send(&address, message(1));
    links.closed(&address).await;
    assert!(!links.is_open(&address));
}
