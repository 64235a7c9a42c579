use super::*;
use crate::types::WorkClass;

fn sample() -> Config {
    let mut cfg = Config {
        revision: 1,
        ..Config::default()
    };
    cfg.teams.insert("classers".into(), Team::default());
    cfg.services.insert("drafts".into(), Service::default());
    let group = Group {
        service: "drafts".into(),
        ranks: 8,
        layers: 4,
        experts_per_layer: 64,
        slots_per_rank: 9,
        expert_bytes: 1 << 20,
    };
    cfg.groups.insert("drafts-a".into(), group);
    cfg
}

#[test]
fn valid_configuration_has_no_problems() {
    assert_eq!(validate(&sample()), []);
}

// Guards against validation that stops at the first problem.
#[test]
fn each_problem_is_reported_with_its_path() {
    let mut cfg = sample();
    cfg.teams.get_mut("classers").unwrap().weight = 0;
    cfg.groups.get_mut("drafts-a").unwrap().slots_per_rank = 7;
    cfg.services.get_mut("drafts").unwrap().default_team = Some("nobody".into());
    let paths: Vec<_> = validate(&cfg).into_iter().map(|p| p.path).collect();
    let expected = [
        "services.drafts.default_team",
        "teams.classers.weight",
        "groups.drafts-a.slots_per_rank",
    ];
    assert_eq!(paths, expected);
}

// Guards against retries of a POST to a plain service that isn't listed as idempotent.
#[test]
fn unlisted_calls_of_plain_services_are_not_idempotent() {
    let call = IdempotentCall {
        method: "POST".into(),
        path_prefix: "/status".into(),
    };
    let service = Service {
        kind: ServiceKind::Plain,
        idempotent: vec![call],
        ..Service::default()
    };
    assert_eq!(
        service.class_of("POST", "/reserve"),
        WorkClass::NonIdempotent
    );
    assert_eq!(service.class_of("POST", "/status"), WorkClass::Idempotent);
    assert_eq!(service.class_of("GET", "/reserve"), WorkClass::Idempotent);
}
