mod template;

use std::time::Duration;

use super::*;

const ENTRY: &str = r#"{
  "role": "entry",
  "host": "entry-1",
  "data_centre": "erie-1",
  "data_address": "127.0.0.1:8080",
  "control_address": "127.0.0.1:7000",
  "platform_url": "http://127.0.0.1:9000"
}"#;

#[test]
fn omitted_settings_get_defaults() {
    let settings = parse("entry.json", ENTRY).unwrap();
    assert_eq!(settings.drain_limit(), Duration::from_secs(60));
    assert_eq!(settings.region, "region-1");
}

// Guards against silently ignoring a misspelt setting.
#[test]
fn unknown_keys_and_wrong_types_are_refused_with_their_path() {
    let unknown = ENTRY.replace("\"role\"", "\"drain_limit\": 5, \"role\"");
    let error = parse("entry.json", &unknown).unwrap_err().to_string();
    assert!(error.contains("drain_limit"), "{error}");
    let wrong = ENTRY.replace("\"role\"", "\"drain_limit_s\": \"5\", \"role\"");
    let error = parse("entry.json", &wrong).unwrap_err().to_string();
    assert!(
        error.starts_with("entry.json: at `drain_limit_s`"),
        "{error}"
    );
}

// Guards against unencrypted traffic on a network because TLS was not configured.
#[test]
fn plain_links_stay_on_loopback_unless_a_setting_allows_them() {
    let open = ENTRY.replace("127.0.0.1:7000", "10.0.0.1:7000");
    let error = parse("entry.json", &open).unwrap_err().to_string();
    assert!(error.contains("control_address"), "{error}");
    let allowed = open.replace("\"role\"", "\"allow_plain_links\": true, \"role\"");
    assert!(parse("entry.json", &allowed).is_ok());
}

#[test]
fn upstream_needs_its_engine_and_a_seed() {
    let upstream = ENTRY.replace("\"entry\"", "\"upstream\"");
    insta::assert_snapshot!(parse("up.json", &upstream).unwrap_err(), @r"
    up.json: at `engine`: the role `upstream` needs an engine
    at `seeds`: an upstream process needs the control address of an entry host
    ");
}

const GATEWAY: &str = r#"{
  "role": "gateway",
  "host": "edge-1",
  "data_centre": "erie-1",
  "data_address": "127.0.0.1:8080",
  "control_address": "127.0.0.1:7000",
  "platform_url": "http://127.0.0.1:9000",
  "gateway": {
    "ready_address": "127.0.0.1:8081",
    "directory_address": "127.0.0.1:8082",
    "answer_validity_s": 5,
    "store_settle_ms": 3000,
    "evacuate_ms": 5000,
    "retry_ratio": 0.2,
    "retry_allowance": 100,
    "retry_window_s": 10,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "max_descriptors": 4096
  }
}"#;

// Guards against a gateway that does not start because the platform added a setting.
#[test]
fn gateways_ignore_and_list_unknown_settings() {
    let extended = GATEWAY.replace("\"retry_ratio\"", "\"colour\": 1, \"retry_ratio\"");
    let settings = parse("edge.json", &extended).unwrap();
    assert_eq!(settings.unknown, ["gateway.colour"]);
}

// Guards against a gateway that does not start where the platform names no bounds for cold upstreams.
#[test]
fn bounds_of_cold_upstreams_are_optional() {
    let set = parse("edge.json", GATEWAY).unwrap().gateway.unwrap();
    let bound = set.cold_bound().unwrap();
    assert_eq!((bound.overage, bound.slack), (1.5, 5.0));
    let without = GATEWAY.replace("\"cold_overage\": 1.5,", "");
    let without = without.replace("\"cold_slack\": 5,", "");
    let unset = parse("edge.json", &without).unwrap().gateway.unwrap();
    assert!(unset.cold_bound().is_none());
}

// Guards against a gateway that limits streams, or asks for load, without being told to, or not when told to.
#[test]
fn pause_control_and_sidecar_port_are_off_unless_set() {
    let unset = parse("edge.json", GATEWAY).unwrap().gateway.unwrap();
    assert_eq!((unset.pause_control, unset.sidecar_port()), (false, None));
    let set = GATEWAY.replace(
        "\"retry_ratio\"",
        "\"pause_control\": true, \"sidecar_port\": 7000, \"retry_ratio\"",
    );
    let set = parse("edge.json", &set).unwrap();
    assert!(set.unknown.is_empty(), "{:?}", set.unknown);
    let set = set.gateway.unwrap();
    assert_eq!((set.pause_control, set.sidecar_port()), (true, Some(7_000)));
}

// Guards against a wrong value that counts as unset.
#[test]
fn wrong_values_of_pause_control_and_sidecar_port_are_refused() {
    for (name, value) in [
        ("pause_control", "1"),
        ("pause_control", "\"true\""),
        ("sidecar_port", "-1"),
        ("sidecar_port", "65536"),
        ("sidecar_port", "\"7000\""),
    ] {
        let setting = format!("\"{name}\": {value}, \"retry_ratio\"");
        let text = GATEWAY.replace("\"retry_ratio\"", &setting);
        let error = parse("edge.json", &text).unwrap_err().to_string();
        assert!(error.contains(&format!("gateway.{name}")), "{error}");
    }
}

// Guards against validation errors that do not name the field.
#[test]
fn errors_name_the_invalid_gateway_setting() {
    for (field, bad) in [
        ("\"answer_validity_s\": 5", "\"answer_validity_s\": -1"),
        ("\"store_settle_ms\": 3000", "\"store_settle_ms\": -1"),
        ("\"evacuate_ms\": 5000", "\"evacuate_ms\": -10"),
        ("\"retry_ratio\": 0.2", "\"retry_ratio\": -1"),
        ("\"retry_allowance\": 100", "\"retry_allowance\": \"many\""),
        ("\"retry_window_s\": 10", "\"retry_window_s\": 1e9"),
        ("\"cold_overage\": 1.5", "\"cold_overage\": -1"),
        ("\"cold_slack\": 5", "\"cold_slack\": \"some\""),
        ("\"max_descriptors\": 4096", "\"max_descriptors\": 3"),
        (
            "\"max_descriptors\": 4096",
            "\"max_descriptors\": 4096, \"memory_mb\": 63",
        ),
        (
            "\"max_descriptors\": 4096",
            "\"max_descriptors\": 4096, \"held_mib\": 0",
        ),
        (
            "\"max_descriptors\": 4096",
            "\"max_descriptors\": 4096, \"memory_mb\": 96, \"held_mib\": 49",
        ),
        (
            "\"ready_address\": \"127.0.0.1:8081\"",
            "\"ready_address\": \"here\"",
        ),
    ] {
        // The field is the last one that the text names.
        let name = bad.rsplit_once("\":").unwrap().0;
        let name = name.rsplit('"').next().unwrap();
        let text = GATEWAY.replace(field, bad);
        assert_ne!(text, GATEWAY);
        let error = parse("edge.json", &text).unwrap_err().to_string();
        assert!(error.contains(&format!("gateway.{name}")), "{error}");
    }
}

// Guards against evacuations that are followed although the platform does not name a time limit for them,
// which renders nothing in the template.
#[test]
fn evacuations_are_followed_only_with_their_setting() {
    let set = parse("edge.json", GATEWAY).unwrap();
    assert_eq!(
        set.gateway.unwrap().evacuate_within(),
        Some(Duration::from_secs(5))
    );
    let unset = GATEWAY.replace("\"evacuate_ms\": 5000,", "");
    let unset = parse("edge.json", &unset).unwrap();
    assert_eq!(unset.gateway.unwrap().evacuate_within(), None);
    let filled = template::gateway("bounds.evacuate_ms", &serde_json::Value::Null);
    assert_eq!(filled.gateway.unwrap().evacuate_within(), None);
}

// Guards against errors that do not tell which value is wrong and which are not, and against values that
// fail only after the start.
#[test]
fn numbers_out_of_range_are_refused_with_their_path_value_and_range() {
    for (path, range) in [
        ("drain_limit_s", "0 to 86400"),
        ("gateway.answer_validity_s", "0 to 86400"),
        ("gateway.store_settle_ms", "0 to 86400000"),
        ("gateway.evacuate_ms", "0 to 86400000"),
        ("gateway.retry_ratio", "0 to 1000000"),
        ("gateway.retry_allowance", "0 to 1000000"),
        ("gateway.retry_window_s", "0 to 3600"),
        ("gateway.cold_overage", "0 to 1000000"),
        ("gateway.cold_slack", "-1000000 to 1000000"),
        ("gateway.sidecar_port", "1 to 65535"),
        ("gateway.max_descriptors", "256 to 1073741824"),
        ("gateway.memory_mb", "64 to 1073741824"),
        ("gateway.held_mib", "1 to 1048576"),
        ("rank.link_mbps", "0.1 to 1000000"),
        ("rank.fanout", "1 to 64"),
    ] {
        for (wrong, shown) in [("-1e7", "-10000000.0"), ("1e30", "1e30"), ("1e999", "inf")] {
            let (section, name) = path.split_once('.').unwrap_or(("", path));
            let setting = format!("\"{name}\": {wrong}");
            let text = match section {
                "gateway" => {
                    let others = GATEWAY
                        .lines()
                        .filter(|l| !l.contains(&format!("\"{name}\"")));
                    let others: Vec<&str> = others.collect();
                    let begin = "\"ready_address\"";
                    let text = others
                        .join("\n")
                        .replace(begin, &format!("{setting}, {begin}"));
                    text.replace("\"cold_slack\": 5,\n  }", "\"cold_slack\": 5\n  }")
                }
                "rank" => RANK.replace("\"link_mbps\": 6", &setting),
                _ => GATEWAY.replace("\"role\"", &format!("{setting}, \"role\"")),
            };
            let error = parse("host.json", &text).unwrap_err().to_string();
            let expected = format!("at `{path}`: must be {range}, is {shown}");
            assert!(error.contains(&expected), "{expected}: {error}");
        }
    }
}

// Guards against values that a limit replaces without a word.
#[test]
fn notes_name_values_that_a_limit_replaces() {
    let settings = template::gateway("bounds.stable_window_ms", &serde_json::json!(20));
    let note = "at `gateway.store_settle_ms`: 20ms counts as 500ms";
    assert_eq!(settings.notes, [note]);
    let settings = parse("edge.json", GATEWAY).unwrap();
    assert!(settings.notes.is_empty(), "{:?}", settings.notes);
}

const RANK: &str = r#"{
  "role": "rank",
  "host": "side-1",
  "data_centre": "erie-1",
  "control_address": "127.0.0.1:7000",
  "platform_url": "http://127.0.0.1:9000",
  "rank": { "link_mbps": 6 },
  "engine": { "address": "127.0.0.1:9001", "service": "drafts" }
}"#;

// Guards against a bandwidth or a fan-out with which a group's control traffic stands still, and
// against the section in a role that ignores it.
#[test]
fn settings_of_a_rank_are_checked() {
    let settings = parse("side.json", RANK).unwrap();
    assert!((settings.rank.link_bytes_per_s() - 750_000.0).abs() < 1e-6);
    assert_eq!(settings.rank.fanout(), 4);
    for (setting, name) in [
        ("\"link_mbps\": 0", "rank.link_mbps"),
        ("\"fanout\": 0", "rank.fanout"),
        ("\"fanout\": 500", "rank.fanout"),
    ] {
        let text = RANK.replace("\"link_mbps\": 6", setting);
        let error = parse("side.json", &text).unwrap_err().to_string();
        assert!(error.contains(name), "{error}");
    }
    let elsewhere = ENTRY.replace("\"role\"", "\"rank\": { \"fanout\": 9 }, \"role\"");
    let error = parse("entry.json", &elsewhere).unwrap_err().to_string();
    assert!(error.contains("only the role `rank`"), "{error}");
}
