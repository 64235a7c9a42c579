//! Wire formats of the data path: HTTP headers, problem documents and server-sent events.

pub mod headers;
mod incoming;
mod problem;
mod sse;

#[cfg(test)]
mod tests;

pub use incoming::{CallerRequest, Target, parse_caller_request};
pub use problem::{internal_error, problem_response};
pub use sse::{SseEvent, SseSplitter};
