//! Encoding of the messages about the load of upstreams.

use bincode::Options;
use eelgrasshold_core::gateway::load_reports::Message;

/// First byte of such a datagram; no other datagram between hosts begins with it.
const MARK: u8 = 0xfd;
/// Largest datagram, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 128;

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_MESSAGE_BYTES as u64)
}

/// Encodes a message.
pub(crate) fn encode(message: &Message) -> Vec<u8> {
    match options().serialize(message) {
        Ok(bytes) => [&[MARK], bytes.as_slice()].concat(),
        Err(error) => {
            log::warn!("can't encode a message about the load of an upstream: {error}");
            Vec::new()
        }
    }
}

/// Decodes a datagram; `None` if it is no such message.
pub(crate) fn decode(datagram: &[u8]) -> Option<Message> {
    let (mark, message) = datagram.split_first()?;
    (*mark == MARK).then(|| options().deserialize(message).ok())?
}
