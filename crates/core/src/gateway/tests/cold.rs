use std::time::Duration;

use super::cold_simulation::{BOUND, cold, host, table};
use super::requests::{admit, end, refused, send};
use super::{ms, upstream};
use crate::gateway::cold::{ColdBound, RAMP_TIME};
use crate::gateway::evacuations::Evacuations;
use crate::gateway::follow::FollowUpdate;
use crate::gateway::registry::Upstream;
use crate::gateway::{Gateway, Next, Outcome};
use crate::platform::StoredObject;
use crate::types::Now;

/// Sends of as many requests as upstreams take at once.
fn burst(gateway: &mut Gateway, now: Now) -> Vec<String> {
    let mut sent = Vec::new();
    for _ in 0..200 {
        let mut request = admit(gateway, now, "/safe/x");
        let Next::Send(chosen, _) = gateway.next(now, &mut request) else {
            break;
        };
        end(gateway, now, &mut request, &chosen.id, Outcome::Answered);
        sent.push(chosen.id);
    }
    sent
}

/// Whether an upstream takes only one request at a time, or none.
fn is_limited(gateway: &mut Gateway, now: Now) -> bool {
    burst(gateway, now).len() < 2
}

/// A settled host that is alone, with these upstreams.
fn settled(upstreams: Vec<Upstream>) -> Gateway {
    let mut gateway = host(ms(0), Some(BOUND), 1);
    gateway.refresh_cold(ms(3_000));
    gateway.registry.replace(ms(3_000), upstreams, 1);
    gateway.refresh_cold(ms(3_000));
    gateway
}

/// Guards against a limit where none is configured: the same requests go to the same upstreams as without the
/// decision.
#[test]
fn without_settings_or_a_rate_nothing_changes() {
    let listed = || vec![cold(1, 1, 3_000), cold(2, 1, 3_000), cold(3, 1, 0)];
    let run = |bound: Option<ColdBound>, per_s: f64, listed: Vec<Upstream>| {
        let mut gateway = host(ms(0), bound, 1);
        let mut table = (*table(per_s)).clone();
        table.version = 3;
        gateway.set_table(ms(0), table.into());
        gateway.registry.replace(ms(0), listed, 1);
        let mut request = admit(&mut gateway, ms(1), "/safe/x");
        let id = send(&mut gateway, ms(1), &mut request);
        end(&mut gateway, ms(1), &mut request, &id, Outcome::Broken);
        assert!(gateway.refresh_cold(ms(1)).is_empty());
        (id, burst(&mut gateway, ms(2)), gateway.cold.skipped())
    };
    let warm = (1..=3).map(|n| cold(n, 1, 0)).collect();
    let before = run(None, 0.0, warm);
    assert_eq!((before.1.len(), before.2), (200, 0));
    assert_eq!(run(None, 23.0, listed()), before);
    assert_eq!(run(Some(BOUND), 0.0, listed()), before);
}

/// Guards against upstreams that are taken for warm too early, or for cold for ever.
#[test]
fn reported_and_assumed_cold_periods_end() {
    let unreported = Upstream {
        warm_up: None,
        ..upstream(1)
    };
    for (listed, cold_ms) in [(cold(1, 1, 1_500), 1_500), (unreported, 3_000)] {
        let mut gateway = settled(vec![listed]);
        assert!(is_limited(&mut gateway, ms(3_000 + cold_ms - 1)));
        let ramp_ends = ms(3_000 + cold_ms) + RAMP_TIME;
        assert!(is_limited(&mut gateway, ramp_ends.saturating_sub(ms(1))));
        assert!(!is_limited(&mut gateway, ramp_ends));
    }
    let mut gateway = settled(vec![cold(1, 1, 0)]);
    assert!(!is_limited(&mut gateway, ms(3_000)));
    // A new host knows no longer history than its own.
    let mut gateway = host(ms(0), Some(BOUND), 1);
    gateway.registry.replace(ms(0), vec![cold(1, 1, 10)], 1);
    assert_eq!(gateway.refresh_cold(ms(2_999)).len(), 1);
    assert_eq!(gateway.cold.len(ms(2_998)), 1);
    gateway.registry.set(cold(1, 2, 0));
    assert!(!gateway.refresh_cold(ms(2_999))[0].is_cold);
}

/// Guards against a restarted or evacuated upstream that gets its usual load before its entry says that it is
/// cold, and against one that stays limited although a newer entry says that it is warm.
#[test]
fn failures_and_ends_of_evacuations_make_upstreams_cold() {
    let broken = |gateway: &mut Gateway| {
        let mut request = admit(gateway, ms(4_000), "/safe/x");
        let id = send(gateway, ms(4_000), &mut request);
        end(gateway, ms(4_000), &mut request, &id, Outcome::Broken);
    };
    for (is_evacuated, until) in [(false, 60_000), (true, 8_199)] {
        let mut gateway = settled(vec![cold(1, 1, 0)]);
        if is_evacuated {
            gateway.record_evacuation_end(ms(4_000), "north-1");
        } else {
            broken(&mut gateway);
        }
        assert_eq!(gateway.cold.len(ms(until)), 1);
        assert!(is_limited(&mut gateway, ms(4_001)));
        gateway.registry.set(cold(1, 2, 0));
        gateway.refresh_cold(ms(4_100));
        assert_eq!(gateway.cold.len(ms(4_100)), 0);
        assert!(!is_limited(&mut gateway, ms(4_100) + RAMP_TIME));
    }
    // Once it is reached again, it is cold for as long as after a start.
    let mut gateway = settled(vec![cold(1, 1, 0)]);
    broken(&mut gateway);
    gateway.stream_begun(ms(5_000), "drafts", "u-1", "r");
    let counts = [7_999, 8_000].map(|n| gateway.cold.len(ms(n)));
    assert_eq!(counts, [1, 0]);
}

/// Guards against repeated sends and resumed streams that need no permit, and against refusals without the time
/// of the next permit.
#[test]
fn repeated_sends_need_permits_and_requests_wait_for_the_next_one() {
    for (path, outcome) in [("/safe/x", Outcome::Full), ("/s/x", Outcome::Broken)] {
        let mut gateway = settled(vec![cold(1, 1, 9_000), cold(2, 1, 9_000)]);
        gateway.cold.set_hosts(5);
        let mut now = ms(3_000);
        let mut request = admit(&mut gateway, now, path);
        let first = loop {
            match gateway.next(now, &mut request) {
                Next::Send(upstream, _) => break upstream.id,
                Next::Wait(wait) => now += wait,
                other => panic!("{other:?}"),
            }
        };
        burst(&mut gateway, now);
        end(&mut gateway, now, &mut request, &first, outcome);
        let Next::Wait(wait) = gateway.next(now, &mut request) else {
            panic!("a repeated send took no permit");
        };
        assert!(wait <= Duration::from_secs(1));
    }
    let mut gateway = settled(vec![cold(1, 1, 9_000)]);
    gateway.cold.set_hosts(400);
    burst(&mut gateway, ms(3_000));
    let mut request = admit(&mut gateway, ms(3_000), "/safe/x");
    let refusal = refused(&mut gateway, ms(3_000), &mut request);
    assert!(refusal.retry_after.is_some());
    assert!(gateway.cold.skipped() > 0);
}

/// Guards against a share that ignores a bound below the rate, and against a limit that is lifted at once.
#[test]
fn the_share_keeps_to_a_lower_bound_and_doubles_after_the_cold_period() {
    let sent_in = |gateway: &mut Gateway, from_s: u64| {
        let ticks = from_s * 1_000..from_s * 1_000 + 1_000;
        ticks.map(|n| burst(gateway, ms(n)).len()).sum::<usize>()
    };
    let mut gateway = settled(vec![cold(1, 1, 2_000)]);
    let sent = [3, 4, 5, 6, 7].map(|s| sent_in(&mut gateway, s));
    assert!((22..=24).contains(&sent[0]) && sent[1] <= 24, "{sent:?}");
    assert!(
        (30..=36).contains(&sent[2]) && (60..=72).contains(&sent[3]),
        "{sent:?}"
    );
    for (overage, slack, most) in [(0.5, 0.0, 11), (1.0, -15.0, 8), (0.0, 0.0, 0)] {
        let bound = ColdBound { overage, slack };
        let mut gateway = host(ms(0), Some(bound), 1);
        gateway.refresh_cold(ms(3_000));
        gateway
            .registry
            .replace(ms(3_000), vec![cold(1, 1, 9_000)], 1);
        let sent = sent_in(&mut gateway, 4);
        assert!(sent <= most && sent * 2 >= most, "{sent} of {most}");
    }
}

/// Guards against the usual load for upstreams right after an evacuation, in which they may have become cold.
#[test]
fn upstreams_are_cold_after_the_evacuation_of_their_data_centre() {
    let mut gateway = settled(vec![cold(1, 1, 0)]);
    gateway.evacuations = Evacuations::followed(ms(0), ms(4_000));
    let name = cold(1, 1, 0).data_centre;
    let object = StoredObject {
        name,
        version: 5,
        value: Vec::new(),
    };
    gateway.apply_evacuations(ms(9_000), &FollowUpdate::All(vec![object], 5));
    assert!(burst(&mut gateway, ms(9_500)).is_empty());
    gateway.apply_evacuations(ms(10_000), &FollowUpdate::All(Vec::new(), 6));
    gateway.refresh_cold(ms(10_000));
    assert!(is_limited(&mut gateway, ms(10_500)));
}
