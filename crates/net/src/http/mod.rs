//! HTTP server, clients and bodies with size and time limits.

mod body;
mod client;
mod held;
mod server;

pub use body::{
    Body, BodyError, BodySender, channel_body, collect, collect_held, discard, empty, full,
};
pub use client::{
    Client, http1_client, plain_client, prior_knowledge_client, single_use_client, store_client,
};
pub(crate) use client::{Sender, handshake};
pub use held::{HeldBytes, Hold, NoRoom};
pub use server::{Limits, LimitsBuilder, Server};

use http::StatusCode;

/// Whether a status may be that of a final answer: 200 to 599. Parsers also let 101 and 600 to 999 through.
#[must_use]
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

#[cfg(test)]
mod tests;
