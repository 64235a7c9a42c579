//! A path from one gateway to the store, whose open connections can fall silent.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Passes connections on to the store.
pub struct StorePath {
    address: SocketAddr,
    faults: watch::Sender<()>,
    task: JoinHandle<()>,
}

impl StorePath {
    /// Opens a path to the store at an address.
    pub async fn open(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let faults = watch::Sender::new(());
        let subscriber = faults.clone();
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(serve(client, store, subscriber.subscribe()));
            }
        });
        Self {
            address,
            faults,
            task,
        }
    }

    /// Address at which the store is reached.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Loses all further answers on the open connections. Later connections are passed on.
    pub fn lose_answers(&self) {
        self.faults.send_replace(());
    }
}

impl Drop for StorePath {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut client: TcpStream, store: SocketAddr, mut faults: watch::Receiver<()>) {
    let mut server = TcpStream::connect(store).await.unwrap();
    let is_silent = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => false,
        changed = faults.changed() => changed.is_ok(),
    };
    if is_silent {
        // Until the client closes; how it does so does not matter.
        drop(tokio::io::copy(&mut client, &mut tokio::io::sink()).await);
    }
}
