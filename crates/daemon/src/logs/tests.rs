use log::{Level, Record};

use super::line;

// Guards against log lines that can't be parsed or lose the event's number.
#[test]
fn line_is_json_with_the_event_number() {
    let pairs: &[(&str, u16)] = &[("event", 6001)];
    let record = Record::builder()
        .level(Level::Info)
        .key_values(&pairs)
        .build();
    let text = line("2026-01-01T00:00:00.000Z", "revision \"7\"", &record);
    let parsed: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(parsed["event"], 6001);
    assert_eq!(parsed["level"], "info");
    assert_eq!(parsed["message"], "revision \"7\"");
}
