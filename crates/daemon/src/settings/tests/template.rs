//! The templates in `deploy/`, filled in as the platform does it.

use std::time::Duration;

use serde_json::{Value, json};

use super::super::{Settings, parse};

const GATEWAY: &str = include_str!("../../../../../deploy/gateway.json");
const RANK: &str = include_str!("../../../../../deploy/rank.json");

/// Bounds and limits that the templates use.
const FIGURES: [&str; 12] = [
    "bounds.grace_s",
    "bounds.ttl_max_s",
    "bounds.stable_window_ms",
    "bounds.evacuate_ms",
    "bounds.retry_ratio",
    "bounds.retry_slack",
    "bounds.retry_window_s",
    "bounds.cold_overage",
    "bounds.cold_slack",
    "limits.memory_mb",
    "limits.max_fds",
    "limits.link_mbps",
];

fn fields() -> Value {
    json!({
        "node_name": "edge-1",
        "ip": "127.0.0.1",
        "zone": "erie-1",
        "region": "erie",
        "listen": {
            "front": "127.0.0.1:8080",
            "ready_addr": "127.0.0.1:8081",
            "control": "127.0.0.1:7000",
            "directory": "127.0.0.1:8082",
        },
        "port_range": [7_340, 7_355],
        "seeds": ["127.0.0.1:7000"],
        "bootstrap": true,
        "limits": { "memory_mb": 260, "max_fds": 4_200, "link_mbps": 20.0 },
        "bounds": {
            "stable_window_ms": 3_000,
            "grace_s": 8,
            "evacuate_ms": 5_000,
            "retry_ratio": 0.2,
            "retry_window_s": 10,
            "retry_slack": 90,
            "cold_overage": 1.5,
            "cold_slack": 5,
            "ttl_max_s": 5,
        },
        "platform": { "addr": "127.0.0.1:9000" },
        "app": "127.0.0.1:9001",
        "service": "drafts",
    })
}

fn lookup<'a>(fields: &'a Value, path: &str) -> Option<&'a Value> {
    let value = fields.pointer(&format!("/{}", path.replace('.', "/")))?;
    (!value.is_null()).then_some(value)
}

/// Renders placeholders and the sections that depend on one value.
fn fill_in(template: &str, fields: &Value) -> String {
    let Some((before, rest)) = template.split_once("{{") else {
        return template.to_owned();
    };
    let (tag, rest) = rest.split_once("}}").unwrap();
    let mut filled = before.to_owned();
    let mut rest = rest;
    match tag.strip_prefix('#') {
        Some(path) => {
            let (section, after) = rest.split_once(&format!("{{{{/{path}}}}}")).unwrap();
            if lookup(fields, path).is_some_and(|v| *v != json!(false)) {
                filled += &fill_in(section, fields);
            }
            rest = after;
        }
        None => match tag.strip_suffix("|json") {
            Some(path) => {
                filled += &lookup(fields, path).map_or_else(String::new, Value::to_string);
            }
            None => match lookup(fields, tag) {
                Some(Value::String(text)) => filled += text,
                value => filled += &value.map_or_else(String::new, Value::to_string),
            },
        },
    }
    filled + &fill_in(rest, fields)
}

fn set(fields: &mut Value, path: &str, value: Option<&Value>) {
    let (table, key) = path.split_once('.').unwrap();
    let table = fields[table].as_object_mut().unwrap();
    match value {
        Some(value) => table.insert(key.to_owned(), value.clone()),
        None => table.remove(key),
    };
}

pub fn gateway(path: &str, value: &Value) -> Settings {
    let mut fields = fields();
    set(&mut fields, path, Some(value));
    parse("gateway.json", &fill_in(GATEWAY, &fields)).unwrap()
}

// Guards against processes that do not start since a bound of the platform is a fraction, a flag or left out.
#[test]
fn processes_start_with_any_form_of_the_platforms_figures() {
    let forms = [
        json!(300),
        json!(300.5),
        json!(true),
        json!(false),
        Value::Null,
    ];
    for path in FIGURES {
        for form in forms.iter().map(Some).chain([None]) {
            let mut fields = fields();
            set(&mut fields, path, form);
            for template in [GATEWAY, RANK] {
                let text = fill_in(template, &fields);
                let read = parse("local.yaml", &text);
                assert!(read.is_ok(), "{path} is {form:?}: {}", read.unwrap_err());
            }
        }
    }
    for path in FIGURES.iter().filter(|p| p.starts_with("bounds.")) {
        for form in [json!(0), json!(0.0), json!(0.25), json!(1e3)] {
            gateway(path, &form);
        }
    }
}

// Guards against bounds that are rounded to whole units.
#[test]
fn fractions_of_bounds_are_kept() {
    let drained = gateway("bounds.grace_s", &json!(7.5));
    assert_eq!(drained.drain_limit(), Duration::from_millis(7_500));
    let settled = gateway("bounds.stable_window_ms", &json!(2_999.25));
    let settled = settled.gateway.unwrap().settle_time();
    assert_eq!(settled, Duration::from_micros(2_999_250));
    let evacuated = gateway("bounds.evacuate_ms", &json!(5_000.5));
    let evacuated = evacuated.gateway.unwrap().evacuate_within();
    assert_eq!(evacuated, Some(Duration::from_micros(5_000_500)));
    let window = gateway("bounds.retry_window_s", &json!(0.75));
    let window = window.gateway.unwrap().retry_bound().window;
    assert_eq!(window, Duration::from_millis(750));
}
