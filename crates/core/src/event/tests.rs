use std::time::{Duration, SystemTime};

use super::*;

// Guards against an effect that sorts before its cause when the receiver's clock is behind.
#[test]
fn stamp_after_a_message_is_later_than_its_stamp() {
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(100);
    let mut ahead = HybridClock::default();
    let mut behind = HybridClock::default();
    let sent = ahead.tick(wall + Duration::from_secs(5));
    assert!(behind.observe(sent, wall) > sent);
    assert!(behind.tick(wall) > sent);
}

// Guards against a ring that grows without bound or loses count of what it dropped.
#[test]
fn ring_keeps_the_latest_events() {
    let mut ring = Ring::new("entry-1".into(), 2);
    for n in 0..3 {
        let stamp = Stamp {
            wall_ms: n,
            counter: 0,
        };
        ring.push(stamp, Event::new(EventKind::RequestAdmitted, ""));
    }
    let kept: Vec<_> = ring.records().map(|r| r.stamp.wall_ms).collect();
    assert_eq!((kept, ring.dropped()), (vec![1, 2], 1));
}

// Guards against an event that the catalogue page doesn't list, or lists with another number.
#[test]
fn catalogue_page_and_code_list_the_same_events() {
    let page = include_str!("../../../../docs/events.md");
    let mut listed: Vec<(u16, String)> = Vec::new();
    for line in page.lines() {
        let mut cells = line.split('|').map(str::trim).skip(1);
        let (Some(number), Some(name)) = (cells.next(), cells.next()) else {
            continue;
        };
        if let Ok(number) = number.parse() {
            listed.push((number, name.to_owned()));
        }
    }
    let known: Vec<_> = EventKind::ALL
        .iter()
        .map(|k| (k.number(), k.name().to_owned()))
        .collect();
    assert_eq!(listed, known);
}
