use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::*;
use crate::config::{Service, Team};
use crate::types::{RefusalKind, WorkClass};

fn entry(host: &str, hosts: usize) -> Entry {
    let team = Team {
        requests_per_s: Some(8.0),
        ..Team::default()
    };
    let cfg = Config {
        revision: 1,
        services: BTreeMap::from([("drafts".into(), Service::default())]),
        teams: BTreeMap::from([("classers".into(), team)]),
        groups: BTreeMap::new(),
    };
    let mut entry = Entry::new(host.into(), 7);
    entry.handle(Now::ZERO, Input::Config(Arc::new(cfg)));
    let list = (0..hosts).map(|n| format!("entry-{n}")).collect();
    entry.handle(Now::ZERO, Input::EntryHosts(list));
    entry
}

fn send(entry: &mut Entry, now: Now, handle: RequestHandle) -> Vec<Output> {
    let request = Request {
        id: format!("r-{handle}"),
        service: "drafts".into(),
        team: "classers".into(),
        priority: 4,
        deadline: Duration::from_secs(30),
        class: WorkClass::Idempotent,
        idempotency_key: None,
        fingerprint: handle,
        prefix: None,
        prompt_tokens: 10,
        max_tokens: 10,
        resume_from: 0,
    };
    entry.handle(now, Input::Request { handle, request })
}

fn limited(out: &[Output]) -> bool {
    out.iter().any(|o| {
        matches!(o, Output::Refuse { refusal, .. }
            if refusal.kind == RefusalKind::TeamLimit && refusal.run == Run::NotRun)
    })
}

// Guards against a limit that is configured but not enforced, and against a refusal that is not
// marked as not run.
#[test]
fn requests_above_the_limit_are_refused_as_not_run() {
    let mut entry = entry("entry-0", 1);
    let refused = (0..800)
        .filter(|n| limited(&send(&mut entry, Now::from_millis(n * 10), *n)))
        .count();
    // 64 of 800 requests are within 8/s over 8 s; the burst admits a few more.
    assert!((733..=738).contains(&refused), "{refused}");
}

// Guards against a host whose demand does not reach the accountant, so that it stays at its equal
// share of the limit.
#[test]
fn share_of_the_accountant_raises_what_a_host_admits() {
    let mut hosts = [entry("entry-0", 2), entry("entry-1", 2)];
    let reports = |out: &[Output]| out.iter().any(|o| matches!(o, Output::Send { .. }));
    let accountant = usize::from(reports(&send(&mut hosts[0], Now::ZERO, 0)));
    let reporter = 1 - accountant;
    let mut admitted = 0;
    for n in 1..500 {
        let now = Now::from_millis(n * 20);
        let mut out = send(&mut hosts[reporter], now, n);
        admitted += u32::from(!limited(&out) && n > 250);
        out.extend(hosts[reporter].handle(now, Input::Timer(Timer::Tick)));
        for output in out {
            if let Output::Send { message, .. } = output {
                let from = format!("entry-{reporter}");
                for reply in hosts[accountant].handle(now, Input::Peer { from, message }) {
                    if let Output::Send { message, .. } = reply {
                        let from = format!("entry-{accountant}");
                        hosts[reporter].handle(now, Input::Peer { from, message });
                    }
                }
            }
        }
    }
    // 8/s over 5 s are 40; the equal share would allow 20.
    assert!((36..=41).contains(&admitted), "{admitted}");
}
