use std::time::Duration;

use super::content;
use super::rate::RateLimiter;

/// Guards against a rate limit per download, and against one that accumulates
/// capacity while the store is idle.
#[test]
fn downloads_share_the_rate() {
    let mut limiter = RateLimiter::new(1_000);
    let secs = Duration::from_secs;
    assert_eq!(limiter.reserve(secs(0), 1_000), secs(1));
    assert_eq!(limiter.reserve(secs(0), 2_000), secs(3));
    assert_eq!(limiter.reserve(secs(10), 1_000), secs(11));
}

/// If weights had equal contents, tests could not detect a mix-up.
#[test]
fn contents_differ_by_name() {
    assert_eq!(content("a", 100).len(), 100);
    assert_eq!(content("a", 100), content("a", 100));
    assert_ne!(content("a", 100), content("b", 100));
}
