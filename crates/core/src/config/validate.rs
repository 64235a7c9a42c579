//! Validation of a whole configuration, before it is published and before it is applied.

use std::fmt;

use super::{Config, Group, Service, Team};

/// Maximum length of the name of a service, team or group, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum default deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum lifetime of an idempotency key, in seconds.
const MAX_KEY_LIFETIME_S: u64 = 3_600;

/// An invalid value in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// JSON path of the value, such as `teams.blue.weight`.
    pub path: String,
    /// Reason why the value is invalid, with the values that are allowed.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Returns all problems of a configuration; it may be applied only if there are none.
#[must_use]
pub fn validate(cfg: &Config) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (name, service) in &cfg.services {
        check_name(&mut problems, &format!("services.{name}"), name);
        check_service(&mut problems, cfg, name, service);
    }
    for (name, team) in &cfg.teams {
        check_name(&mut problems, &format!("teams.{name}"), name);
        check_team(&mut problems, name, team);
    }
    for (name, group) in &cfg.groups {
        check_name(&mut problems, &format!("groups.{name}"), name);
        check_group(&mut problems, cfg, name, group);
    }
    problems
}

fn report(problems: &mut Vec<Problem>, path: String, reason: impl Into<String>) {
    problems.push(Problem {
        path,
        reason: reason.into(),
    });
}

fn check_name(problems: &mut Vec<Problem>, path: &str, name: &str) {
    let legal = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(legal) {
        let reason = format!("must be 1 to {MAX_NAME_BYTES} lower-case letters, digits or hyphens");
        report(problems, path.to_owned(), reason);
    }
}

fn check_service(problems: &mut Vec<Problem>, cfg: &Config, name: &str, service: &Service) {
    let at = |field: &str| format!("services.{name}.{field}");
    if !(1..=MAX_DEADLINE_MS).contains(&service.default_deadline_ms) {
        let reason = format!("must be 1 to {MAX_DEADLINE_MS} ms");
        report(problems, at("default_deadline_ms"), reason);
    }
    if let Some(team) = &service.default_team
        && !cfg.teams.contains_key(team)
    {
        report(
            problems,
            at("default_team"),
            format!("team `{team}` is not configured"),
        );
    }
    if service.concurrency == 0 {
        report(problems, at("concurrency"), "must be at least 1");
    }
    if service.long_tokens == 0 {
        report(problems, at("long_tokens"), "must be at least 1");
    }
    if !(1..=100).contains(&service.long_share_percent) {
        report(problems, at("long_share_percent"), "must be 1 to 100");
    }
    if !(1..=MAX_KEY_LIFETIME_S).contains(&service.key_lifetime_s) {
        report(
            problems,
            at("key_lifetime_s"),
            format!("must be 1 to {MAX_KEY_LIFETIME_S} s"),
        );
    }
    for (i, call) in service.idempotent.iter().enumerate() {
        if call.method.is_empty() || !call.method.chars().all(|c| c.is_ascii_uppercase()) {
            let path = at(&format!("idempotent[{i}].method"));
            report(problems, path, "must be an upper-case HTTP method");
        }
        if !call.path_prefix.starts_with('/') {
            report(
                problems,
                at(&format!("idempotent[{i}].path_prefix")),
                "must start with /",
            );
        }
    }
}

fn check_team(problems: &mut Vec<Problem>, name: &str, team: &Team) {
    if team.weight == 0 {
        report(
            problems,
            format!("teams.{name}.weight"),
            "must be at least 1",
        );
    }
    if let Some(rate) = team.requests_per_s
        && !(rate.is_finite() && rate > 0.0)
    {
        report(
            problems,
            format!("teams.{name}.requests_per_s"),
            "must be above 0",
        );
    }
}

fn check_group(problems: &mut Vec<Problem>, cfg: &Config, name: &str, group: &Group) {
    let at = |field: &str| format!("groups.{name}.{field}");
    if !cfg.services.contains_key(&group.service) {
        let reason = format!("service `{}` is not configured", group.service);
        report(problems, at("service"), reason);
    }
    let sizes = [
        ("ranks", group.ranks),
        ("layers", group.layers),
        ("experts_per_layer", group.experts_per_layer),
        ("slots_per_rank", group.slots_per_rank),
    ];
    for (field, size) in sizes {
        if size == 0 {
            report(problems, at(field), "must be at least 1");
        }
    }
    if u64::from(group.ranks) * u64::from(group.slots_per_rank) < u64::from(group.experts_per_layer)
    {
        let reason = "ranks times slots_per_rank must be at least experts_per_layer";
        report(problems, at("slots_per_rank"), reason);
    }
    if group.expert_bytes == 0 {
        report(problems, at("expert_bytes"), "must be at least 1");
    }
}
