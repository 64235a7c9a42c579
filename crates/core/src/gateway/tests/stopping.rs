use std::time::Duration;

use super::ms;
use super::requests::{admit, gateway};
use crate::gateway::Admitted;
use crate::gateway::stopping::Shutdown;
use crate::types::{Now, Run};

/// A shutdown of 8 s that begins at 10 s.
fn shutdown() -> Shutdown {
    Shutdown::new(ms(10_000), Duration::from_secs(8))
}

/// A request that comes at a time, with a time limit.
fn request(path: &str, at: Now, limit: Duration) -> Admitted {
    let mut request = admit(&mut gateway(2), at, path);
    request.waits_until = at + limit;
    request.deadline = at + limit;
    request
}

const LONG: Duration = Duration::from_secs(8);

// Guards against requests that a stopping host takes late and whose answers are lost with it.
#[test]
fn a_stopping_host_takes_late_only_what_is_sure_to_end() {
    for at in [12_700, 13_200, 16_000] {
        let mut stream = request("/s/x", ms(at), LONG);
        let refusal = shutdown().take(ms(at), &mut stream).unwrap_err();
        assert_eq!(refusal.run, Run::NotRun, "at {at} ms");
        let mut once = request("/unsafe/x", ms(at), LONG);
        let refusal = shutdown().take(ms(at), &mut once).unwrap_err();
        assert_eq!(refusal.run, Run::NotRun, "at {at} ms");
    }
    let mut short = request("/s/x", ms(13_200), Duration::from_secs(4));
    assert!(shutdown().take(ms(13_200), &mut short).is_ok());
}

// Guards against requests with answers in one piece that a stopping host refuses for their long limits.
#[test]
fn a_stopping_host_takes_what_it_can_give_a_final_answer() {
    let mut safe = request("/safe/x", ms(13_200), LONG);
    assert!(shutdown().take(ms(13_200), &mut safe).is_ok());
    assert_eq!(safe.deadline, ms(17_500));
    let mut late = request("/safe/x", ms(17_500), LONG);
    assert!(shutdown().take(ms(17_500), &mut late).is_err());
}

// Guards against sound requests that a stopping host refuses although most of its time is left.
#[test]
fn a_stopping_host_takes_early_what_may_be_repeated() {
    for at in [10_000, 12_600] {
        let mut stream = request("/s/x", ms(at), LONG);
        assert!(shutdown().take(ms(at), &mut stream).is_ok(), "at {at} ms");
        assert_eq!(stream.deadline, ms(17_500));
    }
    let mut once = request("/unsafe/x", ms(10_000), LONG);
    let refusal = shutdown().take(ms(10_000), &mut once).unwrap_err();
    assert_eq!(refusal.run, Run::NotRun);
    let mut once = request("/unsafe/x", ms(10_000), Duration::from_secs(3));
    assert!(shutdown().take(ms(10_000), &mut once).is_ok());
}

// Guards against short streams that a stopping host refuses for their long time limits.
#[test]
fn a_stopping_host_takes_late_a_stream_that_names_a_short_answer() {
    let stream = |max_events| {
        let mut stream = request("/s/x", ms(13_200), LONG);
        let mut route = (*stream.route).clone();
        route.target_pause = Some(ms(120));
        stream.route = route.into();
        stream.max_events = max_events;
        stream
    };
    assert!(shutdown().take(ms(13_200), &mut stream(Some(10))).is_ok());
    assert!(shutdown().take(ms(13_200), &mut stream(Some(66))).is_err());
    assert!(shutdown().take(ms(13_200), &mut stream(None)).is_err());
}

// Guards against requests that are taken early, wait at the host, and are sent when too little time is
// left.
#[test]
fn a_stopping_host_decides_again_on_a_request_that_has_waited() {
    let mut stream = request("/s/x", ms(10_050), LONG);
    assert!(shutdown().take(ms(10_100), &mut stream).is_ok());
    assert!(shutdown().take(ms(13_200), &mut stream).is_err());
}
