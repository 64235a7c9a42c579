use std::net::SocketAddr;

use super::requests::{admit, gateway, send, table_with_engine};
use super::{address, ms, upstream};
use crate::gateway::load_reports::{LoadReport, LoadReports, Publisher};

fn report(n: u8, active: u32) -> LoadReport {
    LoadReport {
        engine: address(n),
        born: None,
        active,
        queued: 0,
        pace: 1.0,
        group: None,
    }
}

// Guards against requests that count twice, as the host's own and in the report of their upstream.
#[test]
fn own_requests_are_not_counted_in_a_report() {
    let mut reports = LoadReports::default();
    assert!(reports.record(ms(0), &upstream(1), &report(1, 5), 3));
    assert_eq!(reports.others(ms(10), "u-1"), Some(2));
    assert!(reports.record(ms(20), &upstream(1), &report(1, 2), 3));
    assert_eq!(reports.others(ms(30), "u-1"), Some(0));
}

// Guards against decisions by a load that is long past.
#[test]
fn old_reports_are_not_used() {
    let mut reports = LoadReports::default();
    reports.record(ms(0), &upstream(1), &report(1, 5), 0);
    assert_eq!(reports.others(ms(999), "u-1"), Some(5));
    assert_eq!(reports.others(ms(1_000), "u-1"), None);
    assert_eq!(reports.len(ms(1_000)), 0);
}

// Guards against reports that can't be true, or are of an upstream that was at the address before.
#[test]
fn impossible_reports_are_refused() {
    let mut reports = LoadReports::default();
    let mut known = upstream(1);
    known.born = Some(7);
    let wrong = [
        LoadReport {
            active: u32::MAX,
            ..report(1, 0)
        },
        LoadReport {
            queued: 10_000,
            ..report(1, 0)
        },
        LoadReport {
            pace: f64::NAN,
            ..report(1, 0)
        },
        LoadReport {
            pace: f64::INFINITY,
            ..report(1, 0)
        },
        LoadReport {
            pace: -1.0,
            ..report(1, 0)
        },
        LoadReport {
            born: Some(6),
            ..report(1, 0)
        },
    ];
    for report in wrong {
        assert!(!reports.record(ms(0), &known, &report, 0), "{report:?}");
    }
    assert_eq!(reports.others(ms(0), "u-1"), None);
    let right = LoadReport {
        born: Some(7),
        ..report(1, 1)
    };
    assert!(reports.record(ms(0), &known, &right, 0));
}

// Guards against requests for a busy or slow upstream while another one is free and healthy.
#[test]
fn reported_load_and_pace_decide_between_upstreams() {
    let mut gateway = gateway(2);
    gateway.set_table(ms(0), table_with_engine());
    let mut first = admit(&mut gateway, ms(0), "/s/x");
    send(&mut gateway, ms(0), &mut first);
    gateway.record_load(ms(1), &report(1, 6));
    gateway.record_load(ms(1), &report(2, 1));
    for n in 0..3 {
        let mut request = admit(&mut gateway, ms(2 + n), "/s/x");
        assert_eq!(send(&mut gateway, ms(2 + n), &mut request), "u-2");
    }
    gateway.record_load(ms(10), &report(1, 1));
    gateway.record_load(
        ms(10),
        &LoadReport {
            pace: 8.0,
            ..report(2, 4)
        },
    );
    let mut request = admit(&mut gateway, ms(11), "/s/x");
    assert_eq!(send(&mut gateway, ms(11), &mut request), "u-1");
    // An upstream that is not listed.
    assert!(!gateway.record_load(ms(12), &report(9, 1)));
}

fn host(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, 1], n))
}

// Guards against reports that no host asked for any more, and against more bytes than a host may spend on
// control.
#[test]
fn sidecar_reports_to_subscribers_within_its_bytes() {
    let mut publisher = Publisher::default();
    assert_eq!(publisher.read_interval(ms(0)), None);
    for n in 1..=4 {
        publisher.subscribe(ms(0), host(n));
    }
    assert_eq!(publisher.read_interval(ms(0)), Some(ms(100)));
    assert_eq!(publisher.recipients(ms(0), report(1, 1)).len(), 4);
    // The load is as before.
    assert!(publisher.recipients(ms(100), report(1, 1)).is_empty());
    assert_eq!(publisher.recipients(ms(200), report(1, 2)).len(), 4);
    assert_eq!(publisher.recipients(ms(700), report(1, 2)).len(), 4);
    // A new subscriber gets the next report, whatever the load.
    publisher.subscribe(ms(701), host(9));
    assert_eq!(publisher.recipients(ms(702), report(1, 2)).len(), 5);
    assert_eq!(publisher.read_interval(ms(3_500)), Some(ms(100)));
    assert_eq!(publisher.recipients(ms(3_500), report(1, 3)), [host(9)]);
    assert_eq!(publisher.read_interval(ms(3_701)), None);
    for n in 0..1_000 {
        publisher.subscribe(ms(4_000), host(n));
    }
    let interval = publisher.read_interval(ms(4_000)).unwrap();
    let recipients = publisher.recipients(ms(4_000), report(1, 4)).len();
    assert!(recipients as f64 * 64.0 / interval.as_secs_f64() <= 3_001.0);
}

// Guards against a limit of streams that follows the pauses of one group and holds back the streams of another,
// also while sidecars are silent.
#[test]
fn groups_are_told_apart_for_a_minute_after_their_reports() {
    let mut reports = LoadReports::default();
    let ids = ["u-1".to_owned(), "u-2".to_owned(), "u-3".to_owned()];
    assert_eq!(reports.groups(ms(0), ids.iter()), 0);
    for (n, group) in [(1, 7), (2, 7), (3, 9)] {
        let report = LoadReport {
            group: Some(group),
            ..report(n, 1)
        };
        reports.record(ms(0), &upstream(n), &report, 0);
    }
    assert_eq!(reports.groups(ms(0), ids[..2].iter()), 1);
    assert_eq!(reports.groups(ms(0), ids.iter()), 2);
    assert_eq!(reports.groups(ms(59_000), ids.iter()), 2);
    assert_eq!(reports.groups(ms(60_000), ids.iter()), 0);
}
