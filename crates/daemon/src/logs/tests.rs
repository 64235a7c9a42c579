use std::io::Write;

use log::{Level, Record};

use super::format_line;

// Guards against log lines that are not valid JSON or lack the event number.
#[test]
fn line_is_json_with_the_event_number() {
    let pairs: &[(&str, u16)] = &[("event", 6001)];
    let record = Record::builder()
        .level(Level::Info)
        .key_values(&pairs)
        .build();
    let text = format_line("2026-01-01T00:00:00.000Z", "revision \"7\"", &record);
    let parsed: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(parsed["event"], 6001);
    assert_eq!(parsed["level"], "info");
    assert_eq!(parsed["message"], "revision \"7\"");
}

/// Output whose reader has stalled: a write blocks for ten minutes.
struct Stalled;

impl std::io::Write for Stalled {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(std::time::Duration::from_secs(600));
        Ok(0)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

// Guards against logging that blocks, or queues lines without bound, while standard output is not
// read.
#[test]
fn stalled_reader_never_blocks_and_excess_lines_are_dropped_and_counted() {
    let (mut queue, writer) = super::output::start(Stalled).unwrap();
    let before = super::dropped_lines();
    let started = std::time::Instant::now();
    for _ in 0..50_000 {
        queue.write_all(b"{}\n").unwrap();
    }
    assert!(super::dropped_lines() - before > 40_000);
    writer.close();
    assert!(started.elapsed() < std::time::Duration::from_secs(2));
}
