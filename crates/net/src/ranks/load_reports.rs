//! Sends the load of the local engine to the hosts that subscribe to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eelgrasshold_core::gateway::load_reports::{Message, Publisher};
use tokio::net::UdpSocket;

use super::local::LocalRank;
use crate::load_messages::{MAX_MESSAGE_BYTES, decode, encode};
use crate::runtime::Clock;

/// Time after a failed receive until the next one.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Answers subscriptions with reports; never returns.
pub(super) async fn publish(clock: Clock, local: Arc<LocalRank>, socket: UdpSocket) {
    let mut publisher = Publisher::default();
    let mut buf = [0; MAX_MESSAGE_BYTES];
    let mut read_at = clock.now();
    loop {
        let interval = publisher.read_interval(clock.now());
        let due = async {
            match interval {
                Some(interval) => tokio::time::sleep_until(clock.instant(read_at + interval)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            received = socket.recv_from(&mut buf) => match received {
                Ok((length, from)) => subscribe(clock, &mut publisher, &buf[..length], from),
                Err(error) => {
                    log::debug!("can't receive a subscription: {error}");
                    tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
                }
            },
            () = due => {
                read_at = clock.now();
                let Some(report) = local.load().await else {
                    continue;
                };
                for host in publisher.recipients(clock.now(), report) {
                    // A report that can't be sent is followed by a newer one.
                    drop(socket.try_send_to(&encode(&Message::Report(report)), host));
                }
            }
        }
    }
}

fn subscribe(clock: Clock, publisher: &mut Publisher, datagram: &[u8], from: SocketAddr) {
    match decode(datagram) {
        Some(Message::Subscribe) => publisher.subscribe(clock.now(), from),
        Some(Message::Report(_)) | None => log::debug!("{from} sent no subscription"),
    }
}
