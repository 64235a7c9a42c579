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

#[cfg(test)]
mod tests;
